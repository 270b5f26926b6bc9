// Package faultsim runs the machines of the platform's path under a virtual
// clock: controllers with their stewards, and routers, with stand-ins for the
// runners, the platform's list, clients and operators, a seeded network and
// seeded disks. It brings failures about and checks the rules from what
// clients, runners and operators see.
package faultsim

import (
	"fmt"
	"math/rand"
	"strings"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/eventqueue"
)

const (
	site          = "drill"
	startMs       = 1_000_000
	maxTraceLines = 600
)

// InjectedBugs are deliberate faults of the system, for showing that a checker
// fires. None is ever set otherwise.
type InjectedBugs struct {
	// ResendUnsafe makes routers send lost requests again whatever they are.
	ResendUnsafe bool
	// RejectLost makes routers refuse what was lost at a runner.
	RejectLost bool
	// HideDraining hides from the system that runners are leaving.
	HideDraining bool
	// LoseSyncedWrites makes disks say that they saved what they then lose.
	LoseSyncedWrites bool
	// AcknowledgeEarly tells operators yes before any copy has the map.
	AcknowledgeEarly bool
	// RouteByFirstConfig makes routers follow the first map at times; WithholdConfig makes
	// them never hear of a later one.
	RouteByFirstConfig, WithholdConfig bool
	// RetryWithoutBudget makes routers send again without asking the budget.
	RetryWithoutBudget bool
	// ReuseFence makes all controllers order under one fence.
	ReuseFence bool
	// IgnoreExpectedCount sends orders without the count that is expected.
	IgnoreExpectedCount bool
	// OverstateCapacity tells of twice the room that runners have, OverstateStoreRate of twenty
	// times the pace that the store of weights has.
	OverstateCapacity, OverstateStoreRate bool
	// DuplicateLookUp makes routers ask twice for each request.
	DuplicateLookUp bool
	// NeverHeal leaves the core cut off from the routers after a disaster.
	NeverHeal bool
	// SkipChunk loses a piece where a stream is resumed.
	SkipChunk bool
	// IgnoreDiskFailure makes a process go on without its disk once a save failed.
	IgnoreDiskFailure bool
	// WrongService sends some requests to a runner of another service; DenyKnown
	// says of what the map and its models have that they have it not.
	WrongService, DenyKnown bool
	// OmitRetryAfter leaves out of refusals when to come back; AnswerTwice gives
	// some requests a second answer.
	OmitRetryAfter, AnswerTwice bool
	// DeferDiskWrites makes disks say that they saved what a loss of power then takes
	// back: the last few saves.
	DeferDiskWrites bool
	// ForgetAccepted makes controllers forget which orders were accepted.
	ForgetAccepted bool
	// IgnoreBase accepts orders whatever they are built on.
	IgnoreBase bool
	// StaleRead makes every controller answer read-backs from its own copy,
	// StaleRejection refuse orders by it.
	StaleRead, StaleRejection bool
}

// Simulation is a whole site in virtual time.
type Simulation struct {
	Seed    int64
	Checker *Checker
	Bounds  bounds.Bounds
	Bugs    InjectedBugs

	random       *rand.Rand
	events       *eventqueue.Queue
	nodes        map[string]*node
	seeds        []string
	connectivity connectivity
	// cuts holds the directed pairs that nothing passes.
	cuts                                  map[[2]string]bool
	lossShare, duplicateShare, delayShare float64
	maxDelayMs                            int64
	healedAtMs                            int64
	thawedAtMs                            map[string]int64
	fleet                                 fleet
	// listDown says that the platform's list does not answer.
	listDown        bool
	clients         clients
	operators       operators
	trace           []string
	injected        []string
	controllersMade int
	// allowedLosses is how many core machines may be lost at once.
	allowedLosses int
}

// testBounds are those of a small deployment.
var testBounds = bounds.Bounds{
	SeedLagMs: 3000, ReuseAfterMs: 2000, InTouchMs: 3000, AckMs: 4000, CatchUpMs: 4000, DrainMs: 3000, GraceMs: 8000,
	LostSlackMs: 200, ApplyByMs: 2000, GoBackMs: 250, StretchMs: 5000, RetryRatio: 0.1, RetryWindowMs: 10_000, ExtraTries: 10,
	RecoverMs: 12_000, PassMs: 120, Fenced: true, LeaseMs: 3000, ThawMs: 300, OriginWindowMs: 5000, OriginOver: 1.1,
}

// New makes the world of a small site at its very first start: of three or four
// core machines, of which one may be lost.
func New(seed int64, breaks InjectedBugs) *Simulation {
	return newSized(seed, breaks, 3+int(seed%2), 1)
}

// newSized makes a site of some core machines, of which some may be lost. Half
// of the seeds have runners that check no fences, so that these hide nothing.
func newSized(seed int64, breaks InjectedBugs, count, losses int) *Simulation {
	sim := &Simulation{
		allowedLosses: losses,
		Seed:          seed, Bounds: testBounds, Bugs: breaks, random: rand.New(rand.NewSource(seed)), events: eventqueue.New(startMs),
		nodes: map[string]*node{}, cuts: map[[2]string]bool{}, thawedAtMs: map[string]int64{}, healedAtMs: never,
	}
	sim.Bounds.Fenced = seed%2 == 0
	sim.connectivity = newConnectivity(sim)
	sim.Checker = newChecker(sim)
	sim.fleet = newFleet(sim)
	sim.clients = newClients()
	sim.operators = newOperators()
	for i := range count {
		n := sim.addNode(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("10.0.0.%d", i+1), fmt.Sprintf("zone-%d", i%3), protocol.RoleController)
		if i < 3 {
			sim.seeds = append(sim.seeds, n.address+":7")
		}
	}
	sim.controllersMade = count
	for i := range 3 {
		sim.addNode(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("10.0.1.%d", i+1), fmt.Sprintf("zone-%d", i), protocol.RoleRouter)
	}
	for _, name := range sim.nodeNames() {
		sim.startNode(sim.nodes[name], true)
	}
	sim.observePeriodically()
	return sim
}

func (sim *Simulation) observePeriodically() {
	sim.connectivity.observe()
	sim.fleet.recordListing(sim)
	sim.after(50, sim.observePeriodically)
}

// NowMs is the virtual time.
func (sim *Simulation) NowMs() int64 { return sim.events.NowMs() }

// after schedules something after a delay; a negative delay counts as none.
func (sim *Simulation) after(delayMs int64, run func()) { sim.events.After(delayMs, run) }

func (sim *Simulation) logf(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8d ", sim.NowMs())+fmt.Sprintf(format, args...))
	if len(sim.trace) > 2*maxTraceLines {
		sim.trace = append(sim.trace[:0], sim.trace[len(sim.trace)-maxTraceLines:]...)
	}
}

// Trace gives the latest of what happened.
func (sim *Simulation) Trace() string { return strings.Join(sim.trace, "\n") }

// Faults lists what a run brought about.
func (sim *Simulation) Faults() []string { return sim.injected }

// Run lets virtual time pass.
func (sim *Simulation) Run(ms int64) { sim.events.RunFor(ms) }

// Package faultsim simulates a site of the platform's path in virtual time:
// controllers and routers run their own state machines; runners, the
// platform's list of them, clients, operators, the network and the disks are
// models. It injects faults and checks the platform's rules against what
// clients, runners and operators observe. A run is determined by its seed.
package faultsim

import (
	"fmt"
	"math/rand"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/eventqueue"
	"myrtlewinch/internal/simulation/network"
	"myrtlewinch/internal/simulation/tracelog"
)

const (
	siteName = "faultsim"
	// startMs is the virtual time at which a simulation begins.
	startMs = 1_000_000
	// maxTraceLines bounds the trace that a report prints.
	maxTraceLines = 600
	// observeIntervalMs is how often the state of links, nodes and runners is
	// recorded.
	observeIntervalMs = 50
	// seedCount is how many controllers are seeds, which new nodes contact first.
	seedCount   = 3
	zoneCount   = 3
	routerCount = 3
	// daemonPort is where daemons accept messages of other daemons.
	daemonPort = ":7"
	// controlPort is where controllers accept calls of operators.
	controlPort = ":80"
)

// Simulation is a whole site in virtual time.
type Simulation struct {
	// Seed determines the run.
	Seed int64
	// Checker records what happens and reports violations of the rules.
	Checker *Checker
	// Bounds are the time limits of the rules.
	Bounds bounds.Bounds
	// Bugs are set by tests only.
	Bugs InjectedBugs

	random       *rand.Rand
	events       *eventqueue.Queue
	network      *network.Network
	nodes        map[string]*node
	connectivity connectivity
	fleet        fleet
	clients      clients
	operators    operators
	trace        *tracelog.Log
	// seeds are the addresses that nodes are started with.
	seeds []string
	// healedAtMs is when the network last healed, thawedAtMs when each node last
	// thawed.
	healedAtMs int64
	thawedAtMs map[string]int64
	// isListDown says that the platform's list does not answer.
	isListDown bool
	// injected names the faults so far.
	injected []string
	// controllersMade counts controllers, replaced ones included.
	controllersMade int
	// allowedLosses is how many controllers may be lost at the same time.
	allowedLosses int
}

// testBounds are those of a small deployment.
var testBounds = bounds.Bounds{
	SeedLagMs: 3000, ReuseAfterMs: 2000, InTouchMs: 3000, AckMs: 4000, CatchUpMs: 4000, DrainMs: 3000, GraceMs: 8000,
	LostSlackMs: 200, ApplyByMs: 2000, GoBackMs: 250, StretchMs: 5000, RetryRatio: 0.1, RetryWindowMs: 10_000, ExtraTries: 10,
	RecoverMs: 12_000, PassMs: 120, Fenced: true, LeaseMs: 3000, ThawMs: 300, OriginWindowMs: 5000, OriginOver: 1.1,
}

// New makes a small site at its very first start. Even seeds have three
// controllers, odd ones four, of which one may be lost.
func New(seed int64, bugs InjectedBugs) *Simulation { return newSized(seed, bugs, 3+int(seed%2), 1) }

// newSized makes a site with a number of controllers, of which some may be
// lost. Runners check fencing tokens for even seeds only: for odd ones a
// violation of the lease is not hidden by the runners' check.
func newSized(seed int64, bugs InjectedBugs, controllers, allowedLosses int) *Simulation {
	sim := &Simulation{
		Seed: seed, Bounds: testBounds, Bugs: bugs, allowedLosses: allowedLosses,
		random: rand.New(rand.NewSource(seed)), events: eventqueue.New(startMs), trace: tracelog.New(maxTraceLines),
		nodes: map[string]*node{}, thawedAtMs: map[string]int64{}, healedAtMs: never,
	}
	sim.Bounds.Fenced = seed%2 == 0
	sim.network = network.New(sim.events, sim.random, drawLatencyMs)
	sim.connectivity = newConnectivity(sim)
	sim.Checker = newChecker(sim)
	sim.fleet = newFleet(sim)
	sim.clients = newClients(sim)
	sim.operators = newOperators(sim)
	sim.addControllers(controllers)
	sim.addRouters()
	for _, name := range sim.nodeNames() {
		sim.startNode(sim.nodes[name], true)
	}
	sim.observePeriodically()
	return sim
}

func (sim *Simulation) addControllers(count int) {
	for i := range count {
		zone := fmt.Sprintf("zone-%d", i%zoneCount)
		n := sim.addNode(controllerName(i+1), fmt.Sprintf("10.0.0.%d", i+1), zone, protocol.RoleController)
		if i < seedCount {
			sim.seeds = append(sim.seeds, n.address+daemonPort)
		}
	}
	sim.controllersMade = count
}

func (sim *Simulation) addRouters() {
	for i := range routerCount {
		name, zone := fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("zone-%d", i)
		sim.addNode(name, fmt.Sprintf("10.0.1.%d", i+1), zone, protocol.RoleRouter)
	}
}

func (sim *Simulation) observePeriodically() {
	sim.connectivity.observe()
	sim.fleet.recordListing()
	sim.after(observeIntervalMs, sim.observePeriodically)
}

// NowMs is the virtual time.
func (sim *Simulation) NowMs() int64 { return sim.events.NowMs() }

// Run lets virtual time pass.
func (sim *Simulation) Run(ms int64) { sim.events.RunFor(ms) }

// runUntil runs up to a number of steps of virtual time, and stops early once
// a condition holds. It says whether the condition holds.
func (sim *Simulation) runUntil(steps int, stepMs int64, condition func() bool) bool {
	for range steps {
		if sim.Run(stepMs); condition() {
			return true
		}
	}
	return false
}

// after schedules an event after a delay; a negative delay counts as none.
func (sim *Simulation) after(delayMs int64, run func()) { sim.events.After(delayMs, run) }

func (sim *Simulation) logf(format string, args ...any) {
	sim.trace.Addf(sim.NowMs(), format, args...)
}

// Trace gives the latest of what happened.
func (sim *Simulation) Trace() string { return sim.trace.String() }

// Faults names the injected faults, in order.
func (sim *Simulation) Faults() []string { return sim.injected }

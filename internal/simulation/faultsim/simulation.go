// Package faultsim simulates, in virtual time, a site that is operated through the platform's
// interfaces. Controllers and routers run their real state machines; the runners, the platform's
// runner list, clients, operators, the network and the disks are models. The simulation injects
// faults and checks the platform's rules against what clients, runners and operators observe.
// A run is determined by its seed.
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
	// observeIntervalMs is how often the state of links, nodes and runners is recorded.
	observeIntervalMs = 50
	// seedCount is how many controllers are seeds: the addresses that new nodes contact first.
	seedCount   = 3
	zoneCount   = 3
	routerCount = 3
	// daemonPort is where daemons accept messages of other daemons.
	daemonPort = ":7"
	// operatorPort is where controllers accept calls of operators.
	operatorPort = ":80"
)

// Simulation is a simulated site in virtual time.
type Simulation struct {
	// Seed determines the run.
	Seed int64
	// Checker records what happens and reports violations of the rules.
	Checker *Checker
	// Bounds are the limits of the rules.
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
	// seeds are the addresses of the seed controllers. Each node gets them at its start.
	seeds []string
	// healedAtMs is when the faults of the network last ended, and resumedAtMs, by node, when the
	// node last resumed after a freeze.
	healedAtMs  int64
	resumedAtMs map[string]int64
	// isRunnerListDown is true while calls to the platform's runner list get no response.
	isRunnerListDown bool
	// injectedFaults holds the names of the faults injected so far, in order.
	injectedFaults []string
	// controllersCreated counts all controllers ever created, including those replaced since.
	controllersCreated int
	// maxLostControllers is how many controllers may be lost at the same time.
	maxLostControllers int
}

// testBounds are the limits that a small deployment could have.
var testBounds = bounds.Bounds{
	SeedLagMs: 3000, ReuseAfterMs: 2000, InTouchMs: 3000, AckMs: 4000, CatchUpMs: 4000, DrainMs: 3000, GraceMs: 8000,
	LostSlackMs: 200, ApplyByMs: 2000, GoBackMs: 250, StretchMs: 5000, RetryRatio: 0.1, RetryWindowMs: 10_000, ExtraTries: 10,
	RecoverMs: 12_000, PassMs: 120, Fenced: true, LeaseMs: 3000, ThawMs: 300, OriginWindowMs: 5000, OriginOver: 1.1,
}

// New returns a small site at its first start, with three controllers for an even seed and four for
// an odd one. One controller may be lost at a time.
func New(seed int64, bugs InjectedBugs) *Simulation {
	return newWithControllers(seed, bugs, 3+int(seed%2), 1)
}

// newWithControllers returns a site with the given number of controllers, of which
// maxLostControllers may be lost at the same time. Runners check fencing tokens for even seeds
// only, so that with odd seeds their check does not hide a violation of the lease.
func newWithControllers(seed int64, bugs InjectedBugs, controllers, maxLostControllers int) *Simulation {
	sim := &Simulation{
		Seed: seed, Bounds: testBounds, Bugs: bugs, maxLostControllers: maxLostControllers,
		random: rand.New(rand.NewSource(seed)), events: eventqueue.New(startMs), trace: tracelog.New(maxTraceLines),
		nodes: map[string]*node{}, resumedAtMs: map[string]int64{}, healedAtMs: never,
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
	sim.controllersCreated = count
}

func (sim *Simulation) addRouters() {
	for i := range routerCount {
		name, zone := fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("zone-%d", i)
		sim.addNode(name, fmt.Sprintf("10.0.1.%d", i+1), zone, protocol.RoleRouter)
	}
}

func (sim *Simulation) observePeriodically() {
	sim.connectivity.observe()
	sim.fleet.recordSnapshots()
	sim.after(observeIntervalMs, sim.observePeriodically)
}

// NowMs returns the virtual time.
func (sim *Simulation) NowMs() int64 { return sim.events.NowMs() }

// Run advances the virtual time and runs the events that become due.
func (sim *Simulation) Run(ms int64) { sim.events.RunFor(ms) }

// runUntil runs up to the given number of steps of stepMs each and stops after the first step at
// whose end the condition holds. It reports whether the condition was met.
func (sim *Simulation) runUntil(steps int, stepMs int64, condition func() bool) bool {
	for range steps {
		if sim.Run(stepMs); condition() {
			return true
		}
	}
	return false
}

// after schedules an event after a delay. A negative delay counts as 0.
func (sim *Simulation) after(delayMs int64, run func()) { sim.events.After(delayMs, run) }

func (sim *Simulation) logf(format string, args ...any) {
	sim.trace.Addf(sim.NowMs(), format, args...)
}

// Trace returns the latest maxTraceLines lines of the trace.
func (sim *Simulation) Trace() string { return sim.trace.String() }

// Faults returns the names of the injected faults, in order.
func (sim *Simulation) Faults() []string { return sim.injectedFaults }

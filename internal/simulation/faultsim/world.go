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
	site      = "drill"
	startMs   = 1_000_000
	traceMost = 600
)

// Breaks are deliberate faults of the system, for showing that a checker
// fires. None is ever set otherwise.
type Breaks struct {
	// ResendUnsafe makes routers send lost requests again whatever they are.
	ResendUnsafe bool
	// RefuseLost makes routers refuse what was lost at a runner.
	RefuseLost bool
	// KeepLeaving hides from the system that runners are leaving.
	KeepLeaving bool
	// UnsyncedDisk makes disks say that they saved what they then lose.
	UnsyncedDisk bool
	// EagerAnswer tells operators yes before any copy has the map.
	EagerAnswer bool
	// OlderMap makes routers follow the first map at times; StaleMap makes
	// them never hear of a later one.
	OlderMap, StaleMap bool
	// FreeTries makes routers send again without asking the budget.
	FreeTries bool
	// SameFence makes all controllers order under one fence.
	SameFence bool
	// NoExpected sends orders without the count that is expected.
	NoExpected bool
	// LieRoom tells of twice the room that runners have, FastStore of twenty
	// times the pace that the store of weights has.
	LieRoom, FastStore bool
	// DoubleLookUp makes routers ask twice for each request.
	DoubleLookUp bool
	// NoMend leaves the core cut off from the routers after a disaster.
	NoMend bool
	// SkipPiece loses a piece where a stream is resumed.
	SkipPiece bool
	// DeafDisk makes a process go on without its disk once a save failed.
	DeafDisk bool
	// OtherService sends some requests to a runner of another service; DenyKnown
	// says of what the map and its models have that they have it not.
	OtherService, DenyKnown bool
	// NoRetryTime leaves out of refusals when to come back; TwoAnswers gives
	// some requests a second answer.
	NoRetryTime, TwoAnswers bool
	// CachedDisk makes disks say that they saved what a loss of power then takes
	// back: the last few saves.
	CachedDisk bool
	// ForgetOrders makes controllers forget which orders were accepted.
	ForgetOrders bool
	// IgnoreBase accepts orders whatever they are built on.
	IgnoreBase bool
	// StaleRead makes every controller answer read-backs from its own copy,
	// StaleRefusal refuse orders by it.
	StaleRead, StaleRefusal bool
}

// World is a whole site in virtual time.
type World struct {
	Seed   int64
	Book   *Book
	Bounds bounds.Bounds
	Breaks Breaks

	random *rand.Rand
	events *eventqueue.Queue
	nodes  map[string]*node
	seeds  []string
	touch  touch
	// cuts holds the directed pairs that nothing passes.
	cuts                          map[[2]string]bool
	lossPart, twicePart, latePart float64
	lateMs                        int64
	healedMs                      int64
	thawedMs                      map[string]int64
	fleet                         fleet
	// listDown says that the platform's list does not answer.
	listDown  bool
	clients   clients
	operators operators
	trace     []string
	faults    []string
	machines  int
	// losses is how many core machines may be lost at once.
	losses int
}

// usualBounds are those of a small deployment.
var usualBounds = bounds.Bounds{
	SeedLagMs: 3000, ReuseAfterMs: 2000, InTouchMs: 3000, AckMs: 4000, CatchUpMs: 4000, DrainMs: 3000, GraceMs: 8000,
	LostSlackMs: 200, ApplyByMs: 2000, GoBackMs: 250, StretchMs: 5000, RetryRatio: 0.1, RetryWindowMs: 10_000, ExtraTries: 10,
	RecoverMs: 12_000, PassMs: 120, Fenced: true, LeaseMs: 3000, ThawMs: 300, OriginWindowMs: 5000, OriginOver: 1.1,
}

// New makes the world of a small site at its very first start: of three or four
// core machines, of which one may be lost.
func New(seed int64, breaks Breaks) *World { return newSized(seed, breaks, 3+int(seed%2), 1) }

// newSized makes a site of some core machines, of which some may be lost. Half
// of the seeds have runners that check no fences, so that these hide nothing.
func newSized(seed int64, breaks Breaks, count, losses int) *World {
	w := &World{
		losses: losses,
		Seed:   seed, Bounds: usualBounds, Breaks: breaks, random: rand.New(rand.NewSource(seed)), events: eventqueue.New(startMs),
		nodes: map[string]*node{}, cuts: map[[2]string]bool{}, thawedMs: map[string]int64{}, healedMs: never,
	}
	w.Bounds.Fenced = seed%2 == 0
	w.touch = newTouch(w)
	w.Book = newBook(w)
	w.fleet = newFleet(w)
	w.clients = newClients()
	w.operators = newOperators()
	for i := range count {
		n := w.addNode(fmt.Sprintf("core-%d", i+1), fmt.Sprintf("10.0.0.%d", i+1), fmt.Sprintf("zone-%d", i%3), protocol.Controller)
		if i < 3 {
			w.seeds = append(w.seeds, n.address+":7")
		}
	}
	w.machines = count
	for i := range 3 {
		w.addNode(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("10.0.1.%d", i+1), fmt.Sprintf("zone-%d", i), protocol.Router)
	}
	for _, name := range w.names() {
		w.start(w.nodes[name], true)
	}
	w.sample()
	return w
}

func (w *World) sample() {
	w.touch.look()
	w.fleet.note(w)
	w.after(50, w.sample)
}

// NowMs is the virtual time.
func (w *World) NowMs() int64 { return w.events.NowMs() }

// after schedules something after a delay; a negative delay counts as none.
func (w *World) after(delayMs int64, run func()) { w.events.After(delayMs, run) }

func (w *World) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8d ", w.NowMs())+fmt.Sprintf(format, args...))
	if len(w.trace) > 2*traceMost {
		w.trace = append(w.trace[:0], w.trace[len(w.trace)-traceMost:]...)
	}
}

// Trace gives the latest of what happened.
func (w *World) Trace() string { return strings.Join(w.trace, "\n") }

// Faults lists what a run brought about.
func (w *World) Faults() []string { return w.faults }

// Run lets virtual time pass.
func (w *World) Run(ms int64) { w.events.RunFor(ms) }

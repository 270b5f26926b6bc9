// Package nativesim runs the daemons' own state machines under a virtual clock,
// with a seeded network, disks and runners. It causes failures and checks the
// rules from what senders and runners see.
package nativesim

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/eventqueue"
	"myrtlewinch/internal/simulation/invariants"
	"myrtlewinch/internal/simulation/testbackend"
)

const (
	startMs   = 1_000_000
	tickMs    = 50
	traceMost = 400
)

// World is a whole site in virtual time.
type World struct {
	Seed   int64
	Book   *invariants.Book
	Text   string
	Site   *description.Description
	Random *rand.Rand

	events   *eventqueue.Queue
	nodes    map[string]*node
	address  map[string]string
	runners  map[string]*runner
	platform *testbackend.Platform
	// cuts holds the directed pairs that no message passes.
	cuts map[[2]string]bool
	// lossPart of messages are lost and twicePart come twice.
	lossPart, twicePart float64
	// latePart of what passes the network comes up to lateMs late.
	latePart        float64
	lateMs          int64
	seeds           []string
	trace           []string
	operator        operator
	senders         senders
	Net             NetTally
	busy            map[string]bool
	variants, moves int
	careless        bool
	// weigh counts the bytes of messages, which costs time.
	weigh bool
	// lieAboutRoom is what runners report as their room, for a broken variant.
	lieAboutRoom int64
	faults       []string
	// Breaks lets a test break the system on purpose, to show that a rule fires.
	Breaks Breaks
}

// Breaks are deliberate faults of the system itself, for showing that a
// checker fires. None is ever set otherwise.
type Breaks struct {
	// NoSocketCheck makes sends ignore the check at the socket.
	NoSocketCheck bool
	// UnsyncedDisk makes disks say that they saved what they then lose.
	UnsyncedDisk bool
	// ResendLost makes routers send lost requests again whatever they are.
	ResendLost bool
	// GapMs replaces the gap between two holders.
	GapMs int64
	// NoGiven makes routers keep from the primary what they gave to peers.
	NoGiven bool
	// DropThenRun tells senders of a drop and sends the request all the same.
	DropThenRun bool
	// TellWrong makes routers end a torn telling as if it were whole.
	TellWrong bool
	// LieToOperator tells operators of the opposite of what became of a text.
	LieToOperator bool
	// NoFence makes runners heed late orders of holders before.
	NoFence bool
	// SlipBack makes routers send under the first revision at times.
	SlipBack bool
	// ForgetHold makes frozen daemons believe that no time passed.
	ForgetHold bool
}

// New makes the world of a described site; nothing is founded.
func New(text string, seed int64) *World {
	var site string
	for _, name := range []string{"zagreb", "alexandria"} {
		if strings.Contains(text, `"`+name+`"`) {
			site = name
		}
	}
	d, faults := description.Read([]byte(text), site)
	if len(faults) > 0 {
		panic(fmt.Sprintf("sim: the description has faults: %v", faults))
	}
	w := &World{
		Seed: seed, Text: text, Site: d, Random: rand.New(rand.NewSource(seed)),
		Book:  invariants.New(d.Store.LoadsPer10s, d.SecondGoes),
		nodes: map[string]*node{}, address: map[string]string{}, runners: map[string]*runner{},
		platform: testbackend.NewPlatform(), cuts: map[[2]string]bool{}, busy: map[string]bool{}, events: eventqueue.New(startMs),
	}
	for i, member := range d.Controllers {
		n := w.addNode(member, protocol.Controller)
		n.disk = &simDisk{keys: map[string]string{}, incarnation: member.Name + "-disk-0"}
		if i < 3 {
			w.seeds = append(w.seeds, n.address)
		}
	}
	for _, member := range d.Routers {
		w.addNode(member, protocol.Router)
	}
	for _, r := range d.Runners {
		w.runners[r.Name] = &runner{name: r.Name, room: r.Room}
		w.StartRunner(r.Name)
	}
	for _, name := range w.names("") {
		w.nodes[name].seeds = w.seeds
		w.Start(name)
	}
	w.senders.init(w)
	w.operator.init()
	return w
}

// names lists the daemons of a part, or all, in order.
func (w *World) names(part string) []string {
	var out []string
	for name, n := range w.nodes {
		if part == "" || n.part == part {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (w *World) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8d ", w.events.NowMs())+fmt.Sprintf(format, args...))
	if len(w.trace) > traceMost {
		w.trace = w.trace[len(w.trace)-traceMost:]
	}
}

// Trace gives the latest of what happened.
func (w *World) Trace() string { return strings.Join(w.trace, "\n") }

// Run lets virtual time pass.
func (w *World) Run(ms int64) { w.events.RunFor(ms) }

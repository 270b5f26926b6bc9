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
	"myrtlewinch/internal/simulation/network"
	"myrtlewinch/internal/simulation/testbackend"
	"myrtlewinch/internal/simulation/tracelog"
)

const (
	startMs       = 1_000_000
	tickMs        = 50
	maxTraceLines = 400
)

// World is a whole site in virtual time.
type World struct {
	Seed            int64
	Checker         *invariants.Checker
	DescriptionText string
	Description     *description.Description
	Random          *rand.Rand

	events             *eventqueue.Queue
	nodes              map[string]*node
	nodeAt             map[string]string
	runners            map[string]*runner
	platform           *testbackend.Platform
	links              *network.Network
	seeds              []string
	trace              *tracelog.Log
	operator           operator
	clients            clients
	Network            NetworkTally
	recovering         map[string]bool
	submissions, moves int
	acceptOldRevisions bool
	// countBytes counts the bytes of messages, which costs time.
	countBytes bool
	// reportedCapacity is what runners report as their room, for a broken variant.
	reportedCapacity int64
	faults           []string
	// Bugs lets a test break the system on purpose, to show that a rule fires.
	Bugs Bugs
}

// Bugs are deliberate faults of the system itself, for showing that a
// checker fires. None is ever set otherwise.
type Bugs struct {
	// SkipSocketCheck makes sends ignore the check at the socket.
	SkipSocketCheck bool
	// LoseWrites makes disks say that they saved what they then lose.
	LoseWrites bool
	// RetryLost makes routers send lost requests again whatever they are.
	RetryLost bool
	// HolderGapMs replaces the gap between two holders.
	HolderGapMs int64
	// HideRenewals makes routers keep from the primary what they gave to peers.
	HideRenewals bool
	// RunDropped tells senders of a drop and sends the request all the same.
	RunDropped bool
	// EndBrokenStreams makes routers end a torn telling as if it were whole.
	EndBrokenStreams bool
	// InvertOutcomes tells operators of the opposite of what became of a text.
	InvertOutcomes bool
	// IgnoreFencing makes runners heed late orders of holders before.
	IgnoreFencing bool
	// SendOldRevision makes routers send under the first revision at times.
	SendOldRevision bool
	// ForgetLeases makes frozen daemons believe that no time passed.
	ForgetLeases bool
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
		Seed: seed, DescriptionText: text, Description: d, Random: rand.New(rand.NewSource(seed)),
		Checker: invariants.New(d.Store.LoadsPer10s, d.SecondGoes),
		nodes:   map[string]*node{}, nodeAt: map[string]string{}, runners: map[string]*runner{},
		platform: testbackend.NewPlatform(), recovering: map[string]bool{}, events: eventqueue.New(startMs),
		trace: tracelog.New(maxTraceLines),
	}
	w.links = network.New(w.events, w.Random, drawLatencyMs)
	for i, member := range d.Controllers {
		n := w.addNode(member, protocol.RoleController)
		n.disk = &simDisk{keys: map[string]string{}, incarnation: member.Name + "-disk-0"}
		if i < 3 {
			w.seeds = append(w.seeds, n.address)
		}
	}
	for _, member := range d.Routers {
		w.addNode(member, protocol.RoleRouter)
	}
	for _, r := range d.Runners {
		w.runners[r.Name] = &runner{name: r.Name, capacity: r.Room}
		w.StartRunner(r.Name)
	}
	for _, name := range w.nodeNames("") {
		w.nodes[name].seeds = w.seeds
		w.Start(name)
	}
	w.clients.init(w)
	w.operator.init()
	return w
}

// nodeNames lists the daemons of a part, or all, in order.
func (w *World) nodeNames(part string) []string {
	var out []string
	for name, n := range w.nodes {
		if part == "" || n.role == part {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (w *World) tracef(format string, args ...any) {
	w.trace.Addf(w.events.NowMs(), format, args...)
}

// Trace gives the latest of what happened.
func (w *World) Trace() string { return w.trace.String() }

// Run lets virtual time pass.
func (w *World) Run(ms int64) { w.events.RunFor(ms) }

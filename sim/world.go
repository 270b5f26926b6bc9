// Package sim runs the daemons' own state machines under a virtual clock,
// with a seeded network, disks and runners. It causes failures and checks the
// rules from what senders and runners see.
package sim

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand"
	"sort"
	"strings"

	"myrtlewinch/control"
	"myrtlewinch/daemon"
	"myrtlewinch/description"
	"myrtlewinch/eventqueue"
	"myrtlewinch/rules"
	"myrtlewinch/stand"
	"myrtlewinch/traffic"
	"myrtlewinch/wire"
)

const (
	startMs   = 1_000_000
	tickMs    = 50
	traceMost = 400
)

// World is a whole site in virtual time.
type World struct {
	Seed   int64
	Book   *rules.Book
	Text   string
	Site   *description.Description
	Random *rand.Rand

	events   *eventqueue.Queue
	nodes    map[string]*node
	address  map[string]string
	runners  map[string]*runner
	platform *stand.Platform
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
	// NoGiven makes routers keep from the primary what they gave to fellows.
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

// NetTally counts the control traffic.
type NetTally struct{ Messages, Lost, LookUps, Bytes uint64 }

// node is one daemon.
type node struct {
	name, zone, part string
	// called is the name that the daemon itself goes by.
	called string
	// lived is the name that its incarnations are made of, if another.
	lived      string
	address    string
	machine    daemon.Machine
	up, frozen bool
	frozenMs   int64
	// life tells one run of the process from the next.
	life    int
	bootMs  int64
	offset  int64
	backlog []func()
	disk    *simDisk
	under   map[uint64]*asked
	// seeds are those of its settings; only a new machine gets new ones.
	seeds []string
}

// simDisk is a disk: what is synced, and how it behaves.
type simDisk struct {
	keys          map[string]string
	incarnation   string
	slowMs        int64
	stalled, full bool
	wipes         int
	// pending was asked for and is not synced yet.
	pending []wire.Save
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
		Book:  rules.New(d.Store.LoadsPer10s, d.SecondGoes),
		nodes: map[string]*node{}, address: map[string]string{}, runners: map[string]*runner{},
		platform: stand.NewPlatform(), cuts: map[[2]string]bool{}, busy: map[string]bool{}, events: eventqueue.New(startMs),
	}
	for i, member := range d.Controllers {
		n := w.addNode(member, wire.Controller)
		n.disk = &simDisk{keys: map[string]string{}, incarnation: member.Name + "-disk-0"}
		if i < 3 {
			w.seeds = append(w.seeds, n.address)
		}
	}
	for _, member := range d.Routers {
		w.addNode(member, wire.Router)
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

func (w *World) addNode(member description.Member, part string) *node {
	n := &node{name: member.Name, called: member.Name, zone: member.Zone, part: part, address: member.Name + ":1", under: map[uint64]*asked{}}
	w.nodes[n.name] = n
	w.address[n.address] = n.name
	return n
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

// clock is the daemon's own clock: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.bootMs + n.offset }

// put brings an input before a daemon; a frozen one takes it when it wakes.
func (w *World) put(n *node, life int, input any) {
	if !n.up || n.life != life {
		return
	}
	if n.frozen {
		// What can't wait for ever is lost, as a full ring loses it.
		if len(n.backlog) < 4096 {
			n.backlog = append(n.backlog, func() { w.put(n, life, input) })
		}
		return
	}
	w.perform(n, n.machine.Step(n.clock(w.events.NowMs()), input))
}

// Start starts a daemon from what its disk holds.
func (w *World) Start(name string) {
	n := w.nodes[name]
	if n.up {
		return
	}
	n.up, n.frozen, n.backlog = true, false, nil
	n.life++
	n.bootMs = w.events.NowMs()
	n.offset = 3_600_000 + w.Random.Int63n(1_000_000)
	n.under = map[uint64]*asked{}
	self := wire.Place{Name: n.called, Address: n.address, Zone: n.zone, Part: n.part}
	if n.part == wire.Controller {
		self.Incarnation = n.disk.incarnation
		machine, err := control.New(control.Settings{Site: w.Site.Site, Self: self, Seeds: n.seeds, Platform: "platform", GapMs: w.Breaks.GapMs}, cloned(n.disk.keys), n.clock(w.events.NowMs()))
		if err != nil {
			panic(fmt.Sprintf("sim: %s does not start: %v", name, err))
		}
		n.machine = machine
	} else {
		self.Incarnation = n.incarnation()
		n.machine = traffic.New(traffic.Settings{Site: w.Site.Site, Self: self, Seeds: n.seeds, Platform: "platform"}, n.clock(w.events.NowMs()))
	}
	w.note("%s starts", name)
	life := n.life
	w.events.After(w.Random.Int63n(tickMs), func() { w.tick(n, life) })
}

func cloned(keys map[string]string) map[string]string {
	out := make(map[string]string, len(keys))
	for key, value := range keys {
		out[key] = value
	}
	return out
}

func (w *World) tick(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	if !n.frozen {
		w.put(n, life, wire.Tick{})
	}
	w.events.After(tickMs, func() { w.tick(n, life) })
}

// Kill ends a daemon at once.
func (w *World) Kill(name string) {
	n := w.nodes[name]
	if n == nil || !n.up {
		return
	}
	w.note("%s is killed", name)
	n.up = false
	if n.disk != nil && len(n.disk.pending) > 0 {
		// A power cut leaves some first part of what was not synced yet.
		for _, save := range n.disk.pending[:w.Random.Intn(len(n.disk.pending)+1)] {
			save.Write.Apply(n.disk.keys)
		}
		n.disk.pending = nil
	}
	for _, id := range sortedIds(n.under) {
		n.under[id].broke()
	}
}

// Freeze stops a daemon where it stands; Thaw lets it go on.
func (w *World) Freeze(name string) {
	w.note("%s freezes", name)
	w.nodes[name].frozen, w.nodes[name].frozenMs = true, w.events.NowMs()
}

// Thaw wakes a frozen daemon. Its clock went on.
func (w *World) Thaw(name string) {
	n := w.nodes[name]
	if !n.frozen {
		return
	}
	w.note("%s wakes", name)
	n.frozen = false
	if w.Breaks.ForgetHold {
		n.bootMs += w.events.NowMs() - n.frozenMs
	}
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// Wipe empties a disk; the daemon must be down.
func (w *World) Wipe(name string) {
	d := w.nodes[name].disk
	d.wipes++
	d.keys = map[string]string{}
	d.incarnation = fmt.Sprintf("%s-disk-%d", name, d.wipes)
	d.full, d.stalled, d.slowMs = false, false, 0
	w.note("%s loses its disk", name)
}

// Cut stops all messages between two groups; with oneWay only from the first.
func (w *World) Cut(from, to []string, oneWay bool) {
	w.note("cut %v | %v", from, to)
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			w.cuts[[2]string{a, b}] = true
			if !oneWay {
				w.cuts[[2]string{b, a}] = true
			}
		}
	}
}

// Heal ends all cuts and all loss.
func (w *World) Heal() {
	w.note("the network heals")
	w.cuts = map[[2]string]bool{}
	w.lossPart, w.twicePart, w.latePart = 0, 0, 0
}

func (w *World) latencyMs() int64 {
	if w.Random.Intn(50) == 0 {
		return 1 + w.Random.Int63n(40)
	}
	return 1 + w.Random.Int63n(3)
}

// pass carries something from one name to another, unless the network is cut.
func (w *World) pass(from, to string, arrive func(), lost func()) {
	tookMs := w.latencyMs()
	if w.latePart > 0 && w.Random.Float64() < w.latePart {
		tookMs += w.Random.Int63n(w.lateness(from, to))
	}
	w.events.After(tookMs, func() {
		if w.cuts[[2]string{from, to}] {
			if lost != nil {
				lost()
			}
			return
		}
		arrive()
	})
}

// requestLateMs bounds how late a request or its answer comes: what a router
// wrote can't be called back, and a leaver's time would be up meanwhile.
const requestLateMs = 800

func (w *World) lateness(from, to string) int64 {
	for _, end := range []string{from, to} {
		if n := w.nodes[end]; n != nil && n.part == wire.Router && (w.runners[from] != nil || w.runners[to] != nil) {
			return requestLateMs
		}
	}
	return w.lateMs
}

// perform carries a daemon's effects out.
func (w *World) perform(n *node, effects wire.Effects) {
	life := n.life
	for _, text := range effects.Notes {
		w.note("%s: %s", n.name, text)
	}
	for _, save := range effects.Saves {
		w.saveTo(n, life, save)
	}
	for _, send := range effects.Sends {
		w.send(n, send)
	}
	for _, call := range effects.Calls {
		w.call(n, life, call)
	}
	for _, answer := range effects.Answers {
		if op := w.operator.asked[answer.Id]; op != nil && n.part == wire.Controller {
			w.operator.answered(w, n, answer)
			continue
		}
		if under := n.under[answer.Id]; under != nil {
			under.told(answer.Body)
		}
	}
}

func (w *World) saveTo(n *node, life int, save wire.Save) {
	n.disk.pending = append(n.disk.pending, save)
	if len(n.disk.pending) == 1 {
		w.saveNext(n, life)
	}
}

// saveNext brings the first save that waits to the platter: one after the
// other, as on the disk's own thread.
func (w *World) saveNext(n *node, life int) {
	d := n.disk
	w.events.After(1+w.Random.Int63n(4)+d.slowMs, func() {
		// What a power cut left was settled when it happened.
		if !n.up || n.life != life {
			return
		}
		if d.stalled {
			w.saveNext(n, life)
			return
		}
		save := d.pending[0]
		d.pending = d.pending[1:]
		if !d.full && !w.Breaks.UnsyncedDisk {
			save.Write.Apply(d.keys)
		}
		if len(d.pending) > 0 {
			w.saveNext(n, life)
		}
		w.put(n, life, wire.Saved{Number: save.Number, Ok: !d.full})
	})
}

func (w *World) send(n *node, send wire.Send) {
	to, ok := w.address[send.Address]
	if !ok {
		return
	}
	w.Net.Messages++
	if _, isLookUp := send.Body.(wire.LookUp); isLookUp {
		w.Net.LookUps++
	}
	if w.lossPart > 0 && w.Random.Float64() < w.lossPart {
		w.Net.Lost++
		return
	}
	if ask, isAsk := send.Body.(wire.Ask); isAsk && w.Breaks.NoGiven {
		ask.GivenMs = 0
		send.Body = ask
	}
	envelope := wire.Envelope{Site: w.Site.Site, From: w.place(n), To: send.To, Body: send.Body}
	if w.weigh {
		w.Net.Bytes += weight(envelope)
	}
	times := 1
	if w.twicePart > 0 && w.Random.Float64() < w.twicePart {
		times = 2
	}
	for range times {
		w.pass(n.name, to, func() {
			if target := w.nodes[to]; target != nil {
				w.put(target, target.life, envelope)
			}
		}, func() { w.Net.Lost++ })
	}
}

// weight is the size of a message as it is sent alone between daemons.
func weight(e wire.Envelope) uint64 {
	var text bytes.Buffer
	if gob.NewEncoder(&text).Encode([]wire.Envelope{e}) != nil {
		return 0
	}
	return uint64(text.Len())
}

func (w *World) place(n *node) wire.Place {
	return wire.Place{Name: n.called, Address: n.address, Zone: n.zone, Part: n.part, Incarnation: n.incarnation()}
}

// incarnation is that of the disk, or of the process where there is none.
func (n *node) incarnation() string {
	if n.part == wire.Controller {
		return n.disk.incarnation
	}
	name := n.name
	if n.lived != "" {
		name = n.lived
	}
	return fmt.Sprintf("%s-life-%d", name, n.life)
}

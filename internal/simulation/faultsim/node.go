package faultsim

import (
	"fmt"
	"maps"
	"slices"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// node is one daemon on a machine of its own.
type node struct {
	name, zone, part, address string
	machine                   interface {
		Step(nowMs int64, input any) protocol.Effects
	}
	up, frozen, removed bool
	// leaving says that a planned stop has begun.
	leaving bool
	// life tells one run of the process from the next; bornMs is its start.
	life           int
	bornMs, offset int64
	// made counts the machines of all lives: one that begins anew from its disk
	// is another machine of the same process.
	made     int
	backlog  []func()
	disk     *simDisk
	passages map[uint64]*passage
	ids      uint64
}

// simDisk is a disk: what is synced, and how it behaves.
type simDisk struct {
	keys          map[string]string
	incarnation   string
	slowMs        int64
	stalled, full bool
	// failed says that a save failed: the machine takes none from then on. torn
	// is what that save left, if it left anything.
	failed bool
	torn   *protocol.DiskWrite
	wipes  int
	// pending was asked for and is not synced yet.
	pending []protocol.DiskWrite
	// cached is what a broken disk called saved and has not written.
	cached []protocol.DiskWrite
}

func (n *node) core() bool { return n.part == protocol.Controller }

// well says that it runs and nothing is the matter with it.
func (n *node) well() bool {
	return n.up && !n.frozen && !n.leaving && (n.disk == nil || !n.disk.full && !n.disk.stalled && n.disk.slowMs == 0)
}

// clock is the daemon's own: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.bornMs + n.offset }

func (n *node) place() protocol.Node {
	p := protocol.Node{Name: n.name, Address: n.address + ":7", Zone: n.zone, Part: n.part, Incarnation: fmt.Sprintf("%s-life-%d", n.name, n.life)}
	if n.core() {
		p.Incarnation = n.disk.incarnation
	}
	return p
}

func (w *World) addNode(name, address, zone, part string) *node {
	n := &node{name: name, address: address, zone: zone, part: part, passages: map[uint64]*passage{}}
	if part == protocol.Controller {
		n.disk = &simDisk{keys: map[string]string{}, incarnation: name + "-disk-0"}
	}
	w.nodes[name] = n
	return n
}

// names lists the daemons that are there, of one part or all, in order.
func (w *World) names(part ...string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		if n := w.nodes[name]; !n.removed && (len(part) == 0 || slices.Contains(part, n.part)) {
			out = append(out, name)
		}
	}
	return out
}

// start starts a daemon from what its disk holds.
func (w *World) start(n *node, first bool) {
	if n.up || n.removed {
		return
	}
	n.up, n.frozen, n.leaving, n.backlog = true, false, false, nil
	n.life++
	n.bornMs, n.offset = w.NowMs(), 3_600_000+w.random.Int63n(1_000_000)
	n.passages = map[uint64]*passage{}
	w.make(n, first)
	w.note("%s starts", n.name)
	w.touch.upset(n)
	life := n.life
	w.after(w.random.Int63n(tickMs), func() { w.tick(n, life) })
}

// make gives a daemon its machine, of a controller from what its disk holds.
func (w *World) make(n *node, first bool) {
	n.made++
	self := n.place()
	if n.core() {
		n.disk.reopen()
		tenant := controller.New(controller.Settings{
			Self: self, Bounds: w.Bounds, ListAddress: listAddress, ListPerSec: listPerSec, ControlPort: "80",
		}, format{})
		machine, err := consensus.New(consensus.Settings{
			Site: site, Self: self, Seeds: slices.Clone(w.seeds), Tenant: w.broken(tenant), Losses: w.losses, Founds: first,
			GapMs: w.Bounds.LeaseMs + w.Bounds.ThawMs, AwayMs: consensus.AwayMsFor(w.Bounds.CatchUpMs),
			ShowMs: consensus.ShowMsFor(w.Bounds.CatchUpMs), Timing: consensus.TimingFor(w.Bounds.CatchUpMs),
			LeaveMs: controller.LeaveMs(w.Bounds),
		}, maps.Clone(n.disk.keys), n.clock(w.NowMs()))
		if err != nil {
			panic(fmt.Sprintf("drill: %s does not start: %v", n.name, err))
		}
		n.machine = machine
	} else {
		n.machine = proxy.New(proxy.Settings{
			Site: site, Self: self, Seeds: slices.Clone(w.seeds), Bounds: w.Bounds, ListAddress: listAddress,
		}, format{}, n.clock(w.NowMs()))
	}
}

// probeMs is how often a shell looks at a disk that failed.
const probeMs = 250

// renew begins anew in place from a disk that failed, as soon as it takes
// writes again. What comes for the machine before comes to the new one.
func (w *World) renew(n *node, life int) {
	switch {
	case !n.up || n.life != life || w.Breaks.DeafDisk:
	case n.frozen || n.disk.full || n.disk.stalled:
		w.after(probeMs, func() { w.renew(n, life) })
	default:
		w.note("%s begins anew from its disk", n.name)
		w.make(n, false)
	}
}

// reopen reads a disk anew, with what a failed save may have left.
func (d *simDisk) reopen() {
	if d.torn != nil {
		d.torn.Write.Apply(d.keys)
	}
	for _, save := range d.cached {
		save.Write.Apply(d.keys)
	}
	d.failed, d.torn, d.pending, d.cached = false, nil, nil, nil
}

// cachedMost is how many saves a broken disk holds back.
const cachedMost = 12

// keep writes a save, or with a cache the one that has lain there longest.
func (d *simDisk) keep(save protocol.DiskWrite, isCached bool) {
	d.cached = append(d.cached, save)
	for len(d.cached) > 0 && (!isCached || len(d.cached) > cachedMost) {
		d.cached[0].Write.Apply(d.keys)
		d.cached = d.cached[1:]
	}
}

const tickMs = 50

func (w *World) tick(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	if !n.frozen {
		w.put(n, life, protocol.Tick{})
	}
	w.after(tickMs, func() { w.tick(n, life) })
}

// put brings an input before a daemon; a frozen one takes it when it wakes.
func (w *World) put(n *node, life int, input any) {
	switch {
	case !n.up || n.life != life:
	case n.frozen:
		if len(n.backlog) < 4096 {
			n.backlog = append(n.backlog, func() { w.put(n, life, input) })
		}
	default:
		w.perform(n, n.machine.Step(n.clock(w.NowMs()), input))
	}
}

// perform carries a daemon's effects out.
func (w *World) perform(n *node, effects protocol.Effects) {
	life := n.life
	for _, text := range effects.LogLines {
		w.note("%s: %s", n.name, text)
	}
	for _, save := range effects.DiskWrites {
		n.disk.pending = append(n.disk.pending, save)
		if len(n.disk.pending) == 1 {
			w.saveNext(n, n.made)
		}
	}
	for _, send := range effects.Sends {
		w.send(n, send)
	}
	for _, call := range effects.Calls {
		w.call(n, life, call)
	}
	for _, answer := range effects.Answers {
		if _, is := answer.Body.(consensus.Departed); is {
			w.after(leaveWaitMs, func() { w.end(n, life) })
		} else if n.core() {
			w.operators.answered(w, n, answer)
		} else if p := n.passages[answer.ID]; p != nil {
			p.told(answer.Body)
		} else {
			w.Book.breach("ANSWER", w.NowMs(), "%s answered a request that has ended: %T", n.name, answer.Body)
		}
	}
}

// saveNext brings the first save that waits to the platter, one after the
// other, as on the disk's own thread.
func (w *World) saveNext(n *node, made int) {
	d, life := n.disk, n.life
	w.after(1+w.random.Int63n(4)+d.slowMs, func() {
		// What a power cut left was settled when it happened.
		if !n.up || n.made != made {
			return
		}
		if d.stalled || n.frozen {
			w.saveNext(n, made)
			return
		}
		save := d.pending[0]
		d.pending = d.pending[1:]
		if d.full && !d.failed {
			d.failed = true
			// Whether it reached the platter nobody knows until it is read again.
			if w.random.Intn(2) == 0 {
				d.torn = &save
			}
			w.after(probeMs, func() { w.renew(n, life) })
		}
		if !d.failed && !w.Breaks.UnsyncedDisk {
			d.keep(save, w.Breaks.CachedDisk)
		}
		if len(d.pending) > 0 {
			w.saveNext(n, made)
		}
		w.put(n, life, protocol.DiskWriteDone{Number: save.Number, Ok: !d.failed})
	})
}

// kill ends a daemon at once.
func (w *World) kill(n *node) {
	if !n.up {
		return
	}
	w.note("%s is killed", n.name)
	w.touch.upset(n)
	n.up = false
	if n.disk != nil {
		// A power cut leaves some first part of what was not synced yet; nothing
		// was written after a defect.
		for _, save := range n.disk.pending[:w.random.Intn(len(n.disk.pending)+1)] {
			if !w.Breaks.UnsyncedDisk && !n.disk.failed {
				save.Write.Apply(n.disk.keys)
			}
		}
		n.disk.pending, n.disk.cached = nil, nil
	}
	for _, id := range slices.Sorted(maps.Keys(n.passages)) {
		n.passages[id].broke()
	}
	w.operators.broke(w, n)
}

// leave begins a planned stop and ends the daemon when its grace is nearly
// over; then it starts anew.
func (w *World) leave(n *node) {
	if !n.up || n.frozen || n.leaving {
		return
	}
	w.note("%s is told to stop", n.name)
	life := n.life
	n.leaving = true
	w.touch.upset(n)
	if n.core() {
		// The answer ends it, at the latest after the time for the hand-over.
		w.put(n, life, consensus.StepDown{})
		w.after(w.Bounds.GraceMs, func() { w.end(n, life) })
		return
	}
	w.put(n, life, proxy.Leave{})
	w.after(w.Bounds.GraceMs-700, func() { w.end(n, life) })
}

// leaveWaitMs passes between a controller's hand-over and its end.
const leaveWaitMs = 300

// end ends a life of a daemon that stops as planned, and starts the next.
func (w *World) end(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	w.kill(n)
	w.after(500, func() { w.start(n, false) })
}

// freeze stops a daemon where it stands; thaw lets it go on.
func (w *World) freeze(n *node) {
	if n.up && !n.frozen {
		w.note("%s freezes", n.name)
		n.frozen = true
		w.touch.upset(n)
	}
}

// thaw wakes a frozen daemon. Its clock went on.
func (w *World) thaw(n *node) {
	if !n.frozen {
		return
	}
	w.note("%s wakes", n.name)
	n.frozen = false
	w.touch.upset(n)
	w.thawedMs[n.name] = w.NowMs()
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// wipe empties a disk; the daemon must be down.
func (w *World) wipe(n *node) {
	d := n.disk
	d.wipes++
	*d = simDisk{keys: map[string]string{}, incarnation: fmt.Sprintf("%s-disk-%d", n.name, d.wipes), wipes: d.wipes}
	w.note("%s loses its disk", n.name)
}

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
	name, zone, role, address string
	machine                   interface {
		Step(nowMs int64, input any) protocol.Effects
	}
	up, frozen, removed bool
	// leaving says that a planned stop has begun.
	leaving bool
	// incarnation tells one run of the process from the next; startedMs is its start.
	incarnation              int
	startedMs, clockOffsetMs int64
	// machines counts the machines of all lives: one that begins anew from its disk
	// is another machine of the same process.
	machines      int
	backlog       []func()
	disk          *disk
	requests      map[uint64]*proxiedRequest
	lastRequestID uint64
}

// disk is a disk: what is synced, and how it behaves.
type disk struct {
	keys          map[string]string
	incarnation   string
	slowMs        int64
	stalled, full bool
	// failed says that a save failed: the machine takes none from then on. torn
	// is what that save left, if it left anything.
	failed    bool
	uncertain *protocol.DiskWrite
	wipes     int
	// pending was asked for and is not synced yet.
	pending []protocol.DiskWrite
	// deferred is what a broken disk called saved and has not written.
	deferred []protocol.DiskWrite
}

func (n *node) isController() bool { return n.role == protocol.RoleController }

// isHealthy says that it runs and nothing is the matter with it.
func (n *node) isHealthy() bool {
	return n.up && !n.frozen && !n.leaving && (n.disk == nil || !n.disk.full && !n.disk.stalled && n.disk.slowMs == 0)
}

// clock is the daemon's own: monotonic, with a start of its own.
func (n *node) clock(nowMs int64) int64 { return nowMs - n.startedMs + n.clockOffsetMs }

func (n *node) identity() protocol.Node {
	p := protocol.Node{Name: n.name, Address: n.address + ":7", Zone: n.zone, Part: n.role, Incarnation: fmt.Sprintf("%s-life-%d", n.name, n.incarnation)}
	if n.isController() {
		p.Incarnation = n.disk.incarnation
	}
	return p
}

func (sim *Simulation) addNode(name, address, zone, part string) *node {
	n := &node{name: name, address: address, zone: zone, role: part, requests: map[uint64]*proxiedRequest{}}
	if part == protocol.RoleController {
		n.disk = &disk{keys: map[string]string{}, incarnation: name + "-disk-0"}
	}
	sim.nodes[name] = n
	return n
}

// nodeNames lists the daemons that are there, of one part or all, in order.
func (sim *Simulation) nodeNames(part ...string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(sim.nodes)) {
		if n := sim.nodes[name]; !n.removed && (len(part) == 0 || slices.Contains(part, n.role)) {
			out = append(out, name)
		}
	}
	return out
}

// startNode starts a daemon from what its disk holds.
func (sim *Simulation) startNode(n *node, first bool) {
	if n.up || n.removed {
		return
	}
	n.up, n.frozen, n.leaving, n.backlog = true, false, false, nil
	n.incarnation++
	n.startedMs, n.clockOffsetMs = sim.NowMs(), 3_600_000+sim.random.Int63n(1_000_000)
	n.requests = map[uint64]*proxiedRequest{}
	sim.createMachine(n, first)
	sim.logf("%s starts", n.name)
	sim.connectivity.disturb(n)
	life := n.incarnation
	sim.after(sim.random.Int63n(tickMs), func() { sim.tickNode(n, life) })
}

// createMachine gives a daemon its machine, of a controller from what its disk holds.
func (sim *Simulation) createMachine(n *node, first bool) {
	n.machines++
	self := n.identity()
	if n.isController() {
		n.disk.reopen()
		tenant := controller.New(controller.Settings{
			Self: self, Bounds: sim.Bounds, ListAddress: listAddress, ListPerSec: listPerSec, ControlPort: "80",
		}, format{})
		machine, err := consensus.New(consensus.Settings{
			Site: site, Self: self, Seeds: slices.Clone(sim.seeds), Application: sim.withBugs(tenant), MaxLosses: sim.allowedLosses, FirstStart: first,
			GapMs: sim.Bounds.LeaseMs + sim.Bounds.ThawMs, WitnessTimeoutMs: consensus.WitnessTimeoutFor(sim.Bounds.CatchUpMs),
			ReplicaGraceMs: consensus.ReplicaGraceFor(sim.Bounds.CatchUpMs), Timing: consensus.TimingFor(sim.Bounds.CatchUpMs),
			LeaveTimeoutMs: controller.ShutdownHandoverMs(sim.Bounds),
		}, maps.Clone(n.disk.keys), n.clock(sim.NowMs()))
		if err != nil {
			panic(fmt.Sprintf("drill: %s does not start: %v", n.name, err))
		}
		n.machine = machine
	} else {
		n.machine = proxy.New(proxy.Settings{
			Site: site, Self: self, Seeds: slices.Clone(sim.seeds), Bounds: sim.Bounds, ListAddress: listAddress,
		}, format{}, n.clock(sim.NowMs()))
	}
}

// diskRetryMs is how often a shell looks at a disk that failed.
const diskRetryMs = 250

// reopenAfterFailure begins anew in place from a disk that failed, as soon as it takes
// writes again. What comes for the machine before comes to the new one.
func (sim *Simulation) reopenAfterFailure(n *node, life int) {
	switch {
	case !n.up || n.incarnation != life || sim.Bugs.IgnoreDiskFailure:
	case n.frozen || n.disk.full || n.disk.stalled:
		sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, life) })
	default:
		sim.logf("%s begins anew from its disk", n.name)
		sim.createMachine(n, false)
	}
}

// reopen reads a disk anew, with what a failed save may have left.
func (d *disk) reopen() {
	if d.uncertain != nil {
		d.uncertain.Write.Apply(d.keys)
	}
	for _, save := range d.deferred {
		save.Write.Apply(d.keys)
	}
	d.failed, d.uncertain, d.pending, d.deferred = false, nil, nil, nil
}

// maxDeferred is how many saves a broken disk holds back.
const maxDeferred = 12

// write writes a save, or with a cache the one that has lain there longest.
func (d *disk) write(save protocol.DiskWrite, isCached bool) {
	d.deferred = append(d.deferred, save)
	for len(d.deferred) > 0 && (!isCached || len(d.deferred) > maxDeferred) {
		d.deferred[0].Write.Apply(d.keys)
		d.deferred = d.deferred[1:]
	}
}

const tickMs = 50

func (sim *Simulation) tickNode(n *node, life int) {
	if !n.up || n.incarnation != life {
		return
	}
	if !n.frozen {
		sim.deliver(n, life, protocol.Tick{})
	}
	sim.after(tickMs, func() { sim.tickNode(n, life) })
}

// deliver brings an input before a daemon; a frozen one takes it when it wakes.
func (sim *Simulation) deliver(n *node, life int, input any) {
	switch {
	case !n.up || n.incarnation != life:
	case n.frozen:
		if len(n.backlog) < 4096 {
			n.backlog = append(n.backlog, func() { sim.deliver(n, life, input) })
		}
	default:
		sim.apply(n, n.machine.Step(n.clock(sim.NowMs()), input))
	}
}

// apply carries a daemon's effects out.
func (sim *Simulation) apply(n *node, effects protocol.Effects) {
	life := n.incarnation
	for _, text := range effects.LogLines {
		sim.logf("%s: %s", n.name, text)
	}
	for _, save := range effects.DiskWrites {
		n.disk.pending = append(n.disk.pending, save)
		if len(n.disk.pending) == 1 {
			sim.syncNextWrite(n, n.machines)
		}
	}
	for _, send := range effects.Sends {
		sim.sendMessage(n, send)
	}
	for _, call := range effects.Calls {
		sim.outboundCall(n, life, call)
	}
	for _, answer := range effects.Responses {
		if _, is := answer.Body.(consensus.LeaveResult); is {
			sim.after(exitDelayMs, func() { sim.exitAndRestart(n, life) })
		} else if n.isController() {
			sim.operators.receiveAnswer(sim, n, answer)
		} else if p := n.requests[answer.ID]; p != nil {
			p.handleAnswer(answer.Body)
		} else {
			sim.Checker.report("ANSWER", sim.NowMs(), "%s answered a request that has ended: %T", n.name, answer.Body)
		}
	}
}

// syncNextWrite brings the first save that waits to the platter, one after the
// other, as on the disk's own thread.
func (sim *Simulation) syncNextWrite(n *node, made int) {
	d, life := n.disk, n.incarnation
	sim.after(1+sim.random.Int63n(4)+d.slowMs, func() {
		// What a power cut left was settled when it happened.
		if !n.up || n.machines != made {
			return
		}
		if d.stalled || n.frozen {
			sim.syncNextWrite(n, made)
			return
		}
		save := d.pending[0]
		d.pending = d.pending[1:]
		if d.full && !d.failed {
			d.failed = true
			// Whether it reached the platter nobody knows until it is read again.
			if sim.random.Intn(2) == 0 {
				d.uncertain = &save
			}
			sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, life) })
		}
		if !d.failed && !sim.Bugs.LoseSyncedWrites {
			d.write(save, sim.Bugs.DeferDiskWrites)
		}
		if len(d.pending) > 0 {
			sim.syncNextWrite(n, made)
		}
		sim.deliver(n, life, protocol.DiskWriteDone{Number: save.Number, Ok: !d.failed})
	})
}

// kill ends a daemon at once.
func (sim *Simulation) kill(n *node) {
	if !n.up {
		return
	}
	sim.logf("%s is killed", n.name)
	sim.connectivity.disturb(n)
	n.up = false
	if n.disk != nil {
		// A power cut leaves some first part of what was not synced yet; nothing
		// was written after a defect.
		for _, save := range n.disk.pending[:sim.random.Intn(len(n.disk.pending)+1)] {
			if !sim.Bugs.LoseSyncedWrites && !n.disk.failed {
				save.Write.Apply(n.disk.keys)
			}
		}
		n.disk.pending, n.disk.deferred = nil, nil
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		n.requests[id].routerCrashed()
	}
	sim.operators.nodeCrashed(sim, n)
}

// stopGracefully begins a planned stop and ends the daemon when its grace is nearly
// over; then it starts anew.
func (sim *Simulation) stopGracefully(n *node) {
	if !n.up || n.frozen || n.leaving {
		return
	}
	sim.logf("%s is told to stop", n.name)
	life := n.incarnation
	n.leaving = true
	sim.connectivity.disturb(n)
	if n.isController() {
		// The answer ends it, at the latest after the time for the hand-over.
		sim.deliver(n, life, consensus.Leave{})
		sim.after(sim.Bounds.GraceMs, func() { sim.exitAndRestart(n, life) })
		return
	}
	sim.deliver(n, life, proxy.Drain{})
	sim.after(sim.Bounds.GraceMs-700, func() { sim.exitAndRestart(n, life) })
}

// exitDelayMs passes between a controller's hand-over and its end.
const exitDelayMs = 300

// exitAndRestart ends a life of a daemon that stops as planned, and starts the next.
func (sim *Simulation) exitAndRestart(n *node, life int) {
	if !n.up || n.incarnation != life {
		return
	}
	sim.kill(n)
	sim.after(500, func() { sim.startNode(n, false) })
}

// freeze stops a daemon where it stands; thaw lets it go on.
func (sim *Simulation) freeze(n *node) {
	if n.up && !n.frozen {
		sim.logf("%s freezes", n.name)
		n.frozen = true
		sim.connectivity.disturb(n)
	}
}

// thaw wakes a frozen daemon. Its clock went on.
func (sim *Simulation) thaw(n *node) {
	if !n.frozen {
		return
	}
	sim.logf("%s wakes", n.name)
	n.frozen = false
	sim.connectivity.disturb(n)
	sim.thawedAtMs[n.name] = sim.NowMs()
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// wipeDisk empties a disk; the daemon must be down.
func (sim *Simulation) wipeDisk(n *node) {
	d := n.disk
	d.wipes++
	*d = disk{keys: map[string]string{}, incarnation: fmt.Sprintf("%s-disk-%d", n.name, d.wipes), wipes: d.wipes}
	sim.logf("%s loses its disk", n.name)
}

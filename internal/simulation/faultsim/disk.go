package faultsim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

const (
	// diskRetryMs is how often a process looks whether a failed disk works again.
	diskRetryMs = 250
	// maxDeferred is how many confirmed writes a disk with
	// InjectedBugs.DeferDiskWrites holds back.
	maxDeferred = 12
	// maxSyncMs is how long a write takes on a disk that is not slow.
	maxSyncMs = 4
)

// disk is a controller's disk: the contents that are durable, and its faults.
type disk struct {
	contents    map[string]string
	incarnation string
	// slowMs is how much longer writes take.
	slowMs            int64
	isStalled, isFull bool
	// hasFailed says that a write failed; the machine may make no further ones.
	hasFailed bool
	// uncertain is the failed write if it became durable all the same, which shows
	// only when the disk is read again.
	uncertain *protocol.DiskWrite
	wipes     int
	// pending are the writes that were asked for and are not durable yet.
	pending []protocol.DiskWrite
	// deferred are the writes that were confirmed and are not durable; see
	// InjectedBugs.DeferDiskWrites.
	deferred []protocol.DiskWrite
}

// newDisk makes an empty disk that was wiped a number of times.
func newDisk(nodeName string, wipes int) *disk {
	return &disk{contents: map[string]string{}, incarnation: fmt.Sprintf("%s-disk-%d", nodeName, wipes), wipes: wipes}
}

func (d *disk) isHealthy() bool { return !d.isFull && !d.isStalled && d.slowMs == 0 }

// reopen reads a disk again, with what a failed write may have left.
func (d *disk) reopen() {
	if d.uncertain != nil {
		d.uncertain.Write.Apply(d.contents)
	}
	for _, deferred := range d.deferred {
		deferred.Write.Apply(d.contents)
	}
	d.hasFailed, d.uncertain, d.pending, d.deferred = false, nil, nil, nil
}

// write makes a write durable; with isDeferred the one that has been deferred
// for longest, once enough are.
func (d *disk) write(write protocol.DiskWrite, isDeferred bool) {
	limit := 0
	if isDeferred {
		limit = maxDeferred
	}
	d.deferred = append(d.deferred, write)
	for len(d.deferred) > limit {
		d.deferred[0].Write.Apply(d.contents)
		d.deferred = d.deferred[1:]
	}
}

// losePower keeps the first of the pending writes and drops the others, and
// what was deferred. Nothing is written after a failure.
func (d *disk) losePower(synced int, losesAll bool) {
	if !losesAll && !d.hasFailed {
		for _, write := range d.pending[:synced] {
			write.Write.Apply(d.contents)
		}
	}
	d.pending, d.deferred = nil, nil
}

// enqueueWrite adds a write to those that the disk makes durable one by one.
func (sim *Simulation) enqueueWrite(n *node, write protocol.DiskWrite) {
	n.disk.pending = append(n.disk.pending, write)
	if len(n.disk.pending) == 1 {
		sim.syncNextWrite(n, n.machines)
	}
}

// syncNextWrite makes the first pending write durable after a while, and goes
// on with the next.
func (sim *Simulation) syncNextWrite(n *node, machine int) {
	d, incarnation := n.disk, n.incarnation
	sim.after(1+sim.random.Int63n(maxSyncMs)+d.slowMs, func() {
		// What a loss of power left was settled when it happened.
		if !n.isUp || n.machines != machine {
			return
		}
		if d.isStalled || n.isFrozen {
			sim.syncNextWrite(n, machine)
			return
		}
		write := d.pending[0]
		d.pending = d.pending[1:]
		if d.isFull && !d.hasFailed {
			sim.failWrite(n, write)
		}
		if !d.hasFailed && !sim.Bugs.LoseSyncedWrites {
			d.write(write, sim.Bugs.DeferDiskWrites)
		}
		if len(d.pending) > 0 {
			sim.syncNextWrite(n, machine)
		}
		sim.deliver(n, incarnation, protocol.DiskWriteDone{Number: write.Number, Ok: !d.hasFailed})
	})
}

// failWrite lets a write fail; half of the failed writes become durable.
func (sim *Simulation) failWrite(n *node, write protocol.DiskWrite) {
	n.disk.hasFailed = true
	if sim.random.Intn(2) == 0 {
		n.disk.uncertain = &write
	}
	incarnation := n.incarnation
	sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, incarnation) })
}

// reopenAfterFailure gives a daemon a new machine from the disk that failed, as
// soon as that takes writes again. Inputs go to the new machine from then on.
func (sim *Simulation) reopenAfterFailure(n *node, incarnation int) {
	switch {
	case !n.runs(incarnation) || sim.Bugs.IgnoreDiskFailure:
	case n.isFrozen || n.disk.isFull || n.disk.isStalled:
		sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, incarnation) })
	default:
		sim.logf("%s reopens its disk", n.name)
		sim.createMachine(n, false)
	}
}

// wipeDisk empties a disk; the daemon must not be up.
func (sim *Simulation) wipeDisk(n *node) {
	n.disk = newDisk(n.name, n.disk.wipes+1)
	sim.logf("%s loses its disk", n.name)
}

// degradeDisk gives a disk a fault for some seconds. A process whose write
// failed recovers by itself afterwards.
func (sim *Simulation) degradeDisk(n *node, degrade func(d *disk)) {
	sim.logf("the disk of %s has a fault", n.name)
	degrade(n.disk)
	sim.connectivity.disturb(n)
	sim.after(sim.randomDelayMs(), func() {
		sim.logf("the disk of %s works again", n.name)
		sim.connectivity.disturb(n)
		n.disk.isFull, n.disk.isStalled, n.disk.slowMs = false, false, 0
	})
}

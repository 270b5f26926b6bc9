package faultsim

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
)

const (
	// diskRetryMs is how often a process looks whether a failed disk works again.
	diskRetryMs = 250
	// maxDeferred is how many confirmed writes a disk with
	// InjectedBugs.DeferDiskWrites holds back.
	maxDeferred = 12
)

// controllerDisk is a controller's disk. After a failed write the machine may
// make no further ones until the process reopens the disk.
type controllerDisk struct {
	disk.Disk
	hasFailed bool
	// uncertain is the failed write if it became durable all the same, which shows
	// only when the disk is read again.
	uncertain *protocol.DiskWrite
	// deferred are the writes that were confirmed and are not durable; see
	// InjectedBugs.DeferDiskWrites.
	deferred []protocol.DiskWrite
}

func newControllerDisk(daemon string) *controllerDisk {
	return &controllerDisk{Disk: *disk.New(daemon)}
}

// reopen reads a disk again, with what a failed write may have left.
func (d *controllerDisk) reopen() {
	if d.uncertain != nil {
		d.uncertain.Write.Apply(d.Contents)
	}
	for _, deferred := range d.deferred {
		deferred.Write.Apply(d.Contents)
	}
	d.hasFailed, d.uncertain, d.deferred = false, nil, nil
	d.Discard()
}

// write makes a write durable; with isDeferred the one that has been deferred
// for longest, once enough are.
func (d *controllerDisk) write(write protocol.DiskWrite, isDeferred bool) {
	limit := 0
	if isDeferred {
		limit = maxDeferred
	}
	d.deferred = append(d.deferred, write)
	for len(d.deferred) > limit {
		d.deferred[0].Write.Apply(d.Contents)
		d.deferred = d.deferred[1:]
	}
}

// losePower makes the first of the pending writes durable, unless a write has
// failed or losesAll, and forgets the others and the deferred ones.
func (d *controllerDisk) losePower(durable int, losesAll bool) {
	if losesAll || d.hasFailed {
		durable = 0
	}
	d.LosePower(durable)
	d.deferred = nil
}

// enqueueWrite adds a write to those that the disk makes durable one by one.
func (sim *Simulation) enqueueWrite(n *node, write protocol.DiskWrite) {
	if isOnly := n.disk.Enqueue(write); isOnly {
		sim.syncNextWrite(n, n.machines)
	}
}

// syncNextWrite makes the first pending write durable after a while, and goes
// on with the next.
func (sim *Simulation) syncNextWrite(n *node, machine int) {
	d, incarnation := n.disk, n.incarnation
	sim.after(d.DrawSyncMs(sim.random), func() {
		// What a loss of power left was settled when it happened.
		if !n.isUp || n.machines != machine {
			return
		}
		if d.IsStalled || n.isFrozen {
			sim.syncNextWrite(n, machine)
			return
		}
		write := d.Dequeue()
		if d.IsFull && !d.hasFailed {
			sim.failWrite(n, write)
		}
		if !d.hasFailed && !sim.Bugs.LoseSyncedWrites {
			d.write(write, sim.Bugs.DeferDiskWrites)
		}
		if d.Pending() > 0 {
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
	case n.isFrozen || n.disk.IsFull || n.disk.IsStalled:
		sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, incarnation) })
	default:
		sim.logf("%s reopens its disk", n.name)
		sim.createMachine(n, false)
	}
}

// wipeDisk empties a disk; the daemon must not be up.
func (sim *Simulation) wipeDisk(n *node) {
	*n.disk = controllerDisk{Disk: *n.disk.Successor(n.name)}
	sim.logf("%s loses its disk", n.name)
}

// degradeDisk gives a disk a fault for some seconds. A process whose write
// failed recovers by itself afterwards.
func (sim *Simulation) degradeDisk(n *node, degrade func(d *disk.Disk)) {
	sim.logf("the disk of %s has a fault", n.name)
	degrade(&n.disk.Disk)
	sim.connectivity.disturb(n)
	sim.after(sim.randomDelayMs(), func() {
		sim.logf("the disk of %s works again", n.name)
		sim.connectivity.disturb(n)
		n.disk.Repair()
	})
}

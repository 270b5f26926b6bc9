package faultsim

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
)

const (
	// diskRetryMs is how often a process checks whether a failed disk works again.
	diskRetryMs = 250
	// maxDeferred bounds how many confirmed writes are not yet durable on a disk with
	// InjectedBugs.DeferDiskWrites.
	maxDeferred = 12
)

// controllerDisk is a controller's disk. After a failed write all further writes fail until the
// process reopens the disk.
type controllerDisk struct {
	disk.Disk
	hasFailed bool
	// durableFailedWrite is the failed write if it became durable despite the error, and nil
	// otherwise. The write becomes visible only when the disk is reopened.
	durableFailedWrite *protocol.DiskWrite
	// deferred are the writes that were confirmed but are not yet durable; see
	// InjectedBugs.DeferDiskWrites.
	deferred []protocol.DiskWrite
}

func newControllerDisk(daemon string) *controllerDisk {
	return &controllerDisk{Disk: *disk.New(daemon)}
}

// reopen ends the effects of a failed write: the contents then include that write if it became
// durable, and the deferred writes, but no pending ones.
func (d *controllerDisk) reopen() {
	if d.durableFailedWrite != nil {
		d.durableFailedWrite.Write.Apply(d.Contents)
	}
	for _, deferred := range d.deferred {
		deferred.Write.Apply(d.Contents)
	}
	d.hasFailed, d.durableFailedWrite, d.deferred = false, nil, nil
	d.Discard()
}

// write makes a write durable. With isDeferred it only adds the write to the deferred ones, of
// which the oldest becomes durable once there are more than maxDeferred.
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

// losePower makes the given number of pending writes durable, or none after a failed write or if
// losesAll is set. It discards the other pending writes and the deferred ones.
func (d *controllerDisk) losePower(durable int, losesAll bool) {
	if losesAll || d.hasFailed {
		durable = 0
	}
	d.LosePower(durable)
	d.deferred = nil
}

// enqueueWrite adds a write to the pending ones, which the disk makes durable one by one.
func (sim *Simulation) enqueueWrite(n *node, write protocol.DiskWrite) {
	if isOnly := n.disk.Enqueue(write); isOnly {
		sim.syncNextWrite(n, n.stateMachinesCreated)
	}
}

// syncNextWrite makes the first pending write durable after the time that the disk takes, reports
// it to the state machine, and continues with the next. It stops once the state machine with the
// given number is no longer the current one.
func (sim *Simulation) syncNextWrite(n *node, stateMachineNumber int) {
	d, incarnation := n.disk, n.incarnation
	sim.after(d.DrawSyncMs(sim.random), func() {
		// If the process was killed, losePower has already decided which writes became durable.
		if !n.isUp || n.stateMachinesCreated != stateMachineNumber {
			return
		}
		if d.IsStalled || n.isFrozen {
			sim.syncNextWrite(n, stateMachineNumber)
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
			sim.syncNextWrite(n, stateMachineNumber)
		}
		sim.deliver(n, incarnation, protocol.DiskWriteDone{Number: write.Number, Ok: !d.hasFailed})
	})
}

// failWrite makes a write fail. Half of the failed writes become durable despite the error.
func (sim *Simulation) failWrite(n *node, write protocol.DiskWrite) {
	n.disk.hasFailed = true
	if sim.random.Intn(2) == 0 {
		n.disk.durableFailedWrite = &write
	}
	incarnation := n.incarnation
	sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, incarnation) })
}

// reopenAfterFailure reopens a failed disk as soon as it accepts writes again, and gives the daemon
// a new state machine that starts from the disk's contents and receives all inputs from then on.
func (sim *Simulation) reopenAfterFailure(n *node, incarnation int) {
	switch {
	case !n.isRunning(incarnation) || sim.Bugs.IgnoreDiskFailure:
	case n.isFrozen || n.disk.IsFull || n.disk.IsStalled:
		sim.after(diskRetryMs, func() { sim.reopenAfterFailure(n, incarnation) })
	default:
		sim.logf("%s reopens its disk", n.name)
		sim.createStateMachine(n, false)
	}
}

// wipeDisk replaces a controller's disk with an empty one. The daemon must not be up.
func (sim *Simulation) wipeDisk(n *node) {
	*n.disk = controllerDisk{Disk: *n.disk.Successor(n.name)}
	sim.logf("%s loses its disk", n.name)
}

// injectDiskFault gives a disk a fault for some seconds. A process whose write failed recovers by
// itself afterwards; see reopenAfterFailure.
func (sim *Simulation) injectDiskFault(n *node, degrade func(d *disk.Disk)) {
	sim.logf("the disk of %s has a fault", n.name)
	degrade(&n.disk.Disk)
	sim.connectivity.recordFault(n)
	sim.after(sim.randomFaultMs(), func() {
		sim.logf("the disk of %s works again", n.name)
		sim.connectivity.recordFault(n)
		n.disk.Repair()
	})
}

// Package disk models the disk of a simulated daemon: what is durable, the
// writes that are not yet, and the faults that a simulation gives it. The
// simulation decides when a pending write completes, and whether it fails.
package disk

import (
	"fmt"
	"math/rand"

	"myrtlewinch/internal/protocol"
)

// maxSyncMs is how long a write takes on a disk that is not slow.
const maxSyncMs = 4

// Disk is the disk of a daemon. The simulation sets the faults at any time.
type Disk struct {
	// Contents is what is durable, by key.
	Contents map[string]string
	// SlowMs is how much longer than usual writes take.
	SlowMs int64
	// IsStalled says that no write completes, and IsFull that writes fail.
	IsStalled, IsFull bool

	incarnation string
	wipes       int
	// pending are the writes that were asked for and are not durable yet, in order.
	pending []protocol.DiskWrite
}

// New makes an empty disk for a daemon.
func New(daemon string) *Disk { return newDisk(daemon, 0) }

func newDisk(daemon string, wipes int) *Disk {
	return &Disk{Contents: map[string]string{}, incarnation: fmt.Sprintf("%s-disk-%d", daemon, wipes), wipes: wipes}
}

// Incarnation distinguishes the disk from itself before it was wiped.
func (d *Disk) Incarnation() string { return d.incarnation }

// Wipe empties the disk and ends its faults. Its daemon must not be running.
func (d *Disk) Wipe(daemon string) { *d = *d.Successor(daemon) }

// Successor makes an empty disk of the next incarnation, for a daemon that
// takes the place of another.
func (d *Disk) Successor(daemon string) *Disk { return newDisk(daemon, d.wipes+1) }

// IsHealthy says that the disk has no fault.
func (d *Disk) IsHealthy() bool { return !d.IsFull && !d.IsStalled && d.SlowMs == 0 }

// Repair ends the faults.
func (d *Disk) Repair() { d.IsFull, d.IsStalled, d.SlowMs = false, false, 0 }

// Enqueue adds a write to the pending ones, which complete one by one. It says
// whether the write is the only one.
func (d *Disk) Enqueue(write protocol.DiskWrite) (isOnly bool) {
	d.pending = append(d.pending, write)
	return len(d.pending) == 1
}

// DrawSyncMs draws how long the first pending write takes.
func (d *Disk) DrawSyncMs(random *rand.Rand) int64 { return 1 + random.Int63n(maxSyncMs) + d.SlowMs }

// Dequeue takes the first pending write. It is not durable unless the caller
// applies it to the contents.
func (d *Disk) Dequeue() protocol.DiskWrite {
	write := d.pending[0]
	d.pending = d.pending[1:]
	return write
}

// Pending is how many writes are pending.
func (d *Disk) Pending() int { return len(d.pending) }

// Discard forgets all pending writes.
func (d *Disk) Discard() { d.pending = nil }

// LosePower makes the first of the pending writes durable and forgets the
// others.
func (d *Disk) LosePower(durable int) {
	for _, write := range d.pending[:durable] {
		write.Write.Apply(d.Contents)
	}
	d.Discard()
}

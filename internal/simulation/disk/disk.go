// Package disk models the disk of a simulated daemon: its durable contents, the
// pending writes, and the faults that a simulation injects. The simulation
// decides when a pending write completes, and whether it fails.
package disk

import (
	"fmt"
	"math/rand"

	"myrtlewinch/internal/protocol"
)

// maxSyncMs is how long a write takes at most on a disk that is not slow.
const maxSyncMs = 4

// Disk is the disk of a daemon. The simulation may set the faults at any time.
type Disk struct {
	// Contents holds the durable values by key.
	Contents map[string]string
	// SlowMs is how much longer than usual writes take.
	SlowMs int64
	// IsStalled is true while no write completes, IsFull while all writes fail.
	IsStalled, IsFull bool

	incarnation string
	wipes       int
	// pending holds the writes that have not completed, in order.
	pending []protocol.DiskWrite
}

// New returns an empty disk for a daemon.
func New(daemon string) *Disk { return newDisk(daemon, 0) }

func newDisk(daemon string, wipes int) *Disk {
	return &Disk{Contents: map[string]string{}, incarnation: fmt.Sprintf("%s-disk-%d", daemon, wipes), wipes: wipes}
}

// Incarnation returns an id that changes when the disk is wiped.
func (d *Disk) Incarnation() string { return d.incarnation }

// Wipe empties the disk and ends its faults. Its daemon must not be running.
func (d *Disk) Wipe(daemon string) { *d = *d.Successor(daemon) }

// Successor returns an empty disk with the next incarnation, for the replacement
// of a daemon.
func (d *Disk) Successor(daemon string) *Disk { return newDisk(daemon, d.wipes+1) }

// IsHealthy reports whether the disk has no fault.
func (d *Disk) IsHealthy() bool { return !d.IsFull && !d.IsStalled && d.SlowMs == 0 }

// Repair ends the faults.
func (d *Disk) Repair() { d.IsFull, d.IsStalled, d.SlowMs = false, false, 0 }

// Enqueue adds a write to the pending ones, which complete one by one. It reports
// whether the write is the only one.
func (d *Disk) Enqueue(write protocol.DiskWrite) (isOnly bool) {
	d.pending = append(d.pending, write)
	return len(d.pending) == 1
}

// DrawSyncMs draws how long the first pending write takes.
func (d *Disk) DrawSyncMs(random *rand.Rand) int64 { return 1 + random.Int63n(maxSyncMs) + d.SlowMs }

// Dequeue removes and returns the first pending write. It becomes durable only if
// the caller applies it to the contents.
func (d *Disk) Dequeue() protocol.DiskWrite {
	write := d.pending[0]
	d.pending = d.pending[1:]
	return write
}

// Pending returns the number of pending writes.
func (d *Disk) Pending() int { return len(d.pending) }

// Discard removes all pending writes.
func (d *Disk) Discard() { d.pending = nil }

// LosePower makes the given number of pending writes durable, the first ones, and
// discards the others.
func (d *Disk) LosePower(durable int) {
	for _, write := range d.pending[:durable] {
		write.Write.Apply(d.Contents)
	}
	d.Discard()
}

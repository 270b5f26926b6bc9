package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

// maxSyncMs bounds how long a sync takes on a disk that is not slow.
const maxSyncMs = 4

// disk is the disk of a controller: what is synced, and how it behaves.
type disk struct {
	// keys are what is synced.
	keys map[string]string
	// incarnation is a new one after each Wipe.
	incarnation string
	wipes       int
	// slowMs is added to each sync.
	slowMs int64
	// A stalled disk syncs nothing until it goes on; a full one fails.
	stalled, full bool
	// pending was requested and is not synced yet, in order.
	pending []protocol.DiskWrite
}

// Wipe empties a disk; its daemon must be down.
func (w *World) Wipe(name string) {
	d := w.nodes[name].disk
	d.wipes++
	d.keys = map[string]string{}
	d.incarnation = fmt.Sprintf("%s-disk-%d", name, d.wipes)
	d.full, d.stalled, d.slowMs = false, false, 0
	w.tracef("%s loses its disk", name)
}

// losePower leaves some of the pending writes, the first ones, on the disk.
func (w *World) losePower(d *disk) {
	if len(d.pending) == 0 {
		return
	}
	for _, write := range d.pending[:w.Random.Intn(len(d.pending)+1)] {
		write.Write.Apply(d.keys)
	}
	d.pending = nil
}

func (w *World) writeToDisk(p process, write protocol.DiskWrite) {
	d := p.node.disk
	d.pending = append(d.pending, write)
	if len(d.pending) == 1 {
		w.syncNextWrite(p)
	}
}

// syncNextWrite syncs the first pending write: one after the other, as on the
// disk's own thread.
func (w *World) syncNextWrite(p process) {
	d := p.node.disk
	w.events.After(1+w.Random.Int63n(maxSyncMs)+d.slowMs, func() {
		// What a power cut left was settled when it happened.
		if !p.running() {
			return
		}
		if d.stalled {
			w.syncNextWrite(p)
			return
		}
		write := d.pending[0]
		d.pending = d.pending[1:]
		if !d.full && !w.Bugs.LoseWrites {
			write.Write.Apply(d.keys)
		}
		if len(d.pending) > 0 {
			w.syncNextWrite(p)
		}
		w.deliver(p, protocol.DiskWriteDone{Number: write.Number, Ok: !d.full})
	})
}

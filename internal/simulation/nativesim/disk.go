package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

// simDisk is a disk: what is synced, and how it behaves.
type simDisk struct {
	keys          map[string]string
	incarnation   string
	slowMs        int64
	stalled, full bool
	wipes         int
	// pending was asked for and is not synced yet.
	pending []protocol.DiskWrite
}

// Wipe empties a disk; the daemon must be down.
func (w *World) Wipe(name string) {
	d := w.nodes[name].disk
	d.wipes++
	d.keys = map[string]string{}
	d.incarnation = fmt.Sprintf("%s-disk-%d", name, d.wipes)
	d.full, d.stalled, d.slowMs = false, false, 0
	w.tracef("%s loses its disk", name)
}

func (w *World) writeToDisk(n *node, life int, save protocol.DiskWrite) {
	n.disk.pending = append(n.disk.pending, save)
	if len(n.disk.pending) == 1 {
		w.syncNextWrite(n, life)
	}
}

// syncNextWrite brings the first save that waits to the platter: one after the
// other, as on the disk's own thread.
func (w *World) syncNextWrite(n *node, life int) {
	d := n.disk
	w.events.After(1+w.Random.Int63n(4)+d.slowMs, func() {
		// What a power cut left was settled when it happened.
		if !n.up || n.incarnation != life {
			return
		}
		if d.stalled {
			w.syncNextWrite(n, life)
			return
		}
		save := d.pending[0]
		d.pending = d.pending[1:]
		if !d.full && !w.Bugs.LoseWrites {
			save.Write.Apply(d.keys)
		}
		if len(d.pending) > 0 {
			w.syncNextWrite(n, life)
		}
		w.deliver(n, life, protocol.DiskWriteDone{Number: save.Number, Ok: !d.full})
	})
}

package nativesim

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/disk"
)

// Wipe empties a disk. The disk's daemon must be down.
func (w *World) Wipe(name string) {
	w.nodes[name].disk.Wipe(name)
	w.tracef("the disk of %s is wiped", name)
}

// losePower makes the first pending writes durable and loses the others. The
// number of writes that become durable is random.
func (w *World) losePower(d *disk.Disk) {
	if d.Pending() > 0 {
		d.LosePower(w.Random.Intn(d.Pending() + 1))
	}
}

func (w *World) writeToDisk(p nodeProcess, write protocol.DiskWrite) {
	if isOnly := p.node.disk.Enqueue(write); isOnly {
		w.syncNextWrite(p)
	}
}

// syncNextWrite syncs the first pending write. Writes are synced one after the
// other, as by the disk thread of a real daemon.
func (w *World) syncNextWrite(p nodeProcess) {
	d := p.node.disk
	w.events.After(d.DrawSyncMs(w.Random), func() {
		// Kill has already decided which pending writes are durable.
		if !p.running() {
			return
		}
		if d.IsStalled {
			w.syncNextWrite(p)
			return
		}
		write := d.Dequeue()
		if !d.IsFull && !w.Bugs.LoseWrites {
			write.Write.Apply(d.Contents)
		}
		if d.Pending() > 0 {
			w.syncNextWrite(p)
		}
		w.deliver(p, protocol.DiskWriteDone{Number: write.Number, Ok: !d.IsFull})
	})
}

package endurance

import (
	"maps"

	"myrtlewinch/internal/protocol"
)

// disk is a node's disk. All writes that wait are synced together, as in package
// storage.
type disk struct {
	// keys are the rows that are synced.
	keys map[string]string
	// waiting are the writes for the next sync; syncing says that one is under way.
	waiting []protocol.DiskWrite
	syncing bool
	// syncMs is how long a sync takes.
	syncMs int64
	// syncs counts the syncs since the start, writes the writes in them.
	syncs, writes int
}

// sync syncs the writes that wait, and goes on while there are any.
func (c *cluster) sync(n *node) {
	batch := n.waiting
	n.syncing = len(batch) > 0
	if !n.syncing {
		return
	}
	n.waiting = nil
	n.syncs, n.writes = n.syncs+1, n.writes+len(batch)
	generation := n.generation
	c.events.After(n.syncMs, func() {
		restarted := generation > 1
		if n.generation == generation && !(c.faults.hangDisk && restarted) {
			c.finishSync(n, batch)
		}
	})
}

// finishSync applies the writes of a sync and tells the node of them.
func (c *cluster) finishSync(n *node, batch []protocol.DiskWrite) {
	keys := maps.Clone(n.keys)
	for _, write := range batch {
		write.Write.Apply(keys)
	}
	n.keys = keys
	for _, write := range batch {
		c.step(n, protocol.DiskWriteDone{Number: write.Number, Ok: true})
	}
	c.sync(n)
}

package process

import (
	"maps"
	"sync"

	"myrtlewinch/internal/protocol"
)

// maxReplies is how many responses to one id may wait for their reader. A state machine
// sends at most that many responses to one id.
const maxReplies = 4

// replyTable routes the machine's responses to the goroutines that wait for them.
type replyTable struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan protocol.Reply
}

func newReplyTable() replyTable { return replyTable{waiting: map[uint64]chan protocol.Reply{}} }

func (t *replyTable) open() (id uint64, replies <-chan protocol.Reply) {
	channel := make(chan protocol.Reply, maxReplies)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.waiting[t.lastID] = channel
	return t.lastID, channel
}

func (t *replyTable) close(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// deliver passes a response to the goroutine that waits for its id, if there still is one.
func (t *replyTable) deliver(response protocol.Response) {
	t.mu.Lock()
	channel := t.waiting[response.ID]
	t.mu.Unlock()
	if channel != nil {
		channel <- response.Body
	}
}

// counters are the named counters of a process.
type counters struct {
	mu     sync.Mutex
	values map[string]uint64
}

func newCounters() counters { return counters{values: map[string]uint64{}} }

func (c *counters) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[name]++
}

func (c *counters) copy() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.values)
}

package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// key is what requests ask for.
type key struct{ service, model, adapter string }

// entry is a cached line of the index, for a key that was named.
type entry struct {
	epoch, change uint64
	holders       []protocol.IndexHolder
	// turnMs is when it may be held where it is not, or -1.
	turnMs  int64
	loading bool
	usedMs  int64
	// toldMs is when the index last told of it.
	toldMs int64
	// shunned are runners that said that they don't hold it after all, until
	// when they are left out.
	shunned map[string]int64
}

const (
	cacheMost = 2048
	// staleMs is how old a line may be and still be a hit: a router that has not
	// asked for longer is not told when a holder goes.
	staleMs = 3500
	shunMs  = 1000
	// shunAnywayMs is for how long it is shunned whatever the index tells.
	shunAnywayMs = 150
)

// cache keeps entries for named keys only.
type cache map[key]*entry

// take brings an index line in; false says that a newer one is there.
func (c cache) take(nowMs int64, in protocol.IndexReply) bool {
	at := key{in.Service, in.Model, in.Adapter}
	old := c[at]
	if old != nil && (old.epoch > in.Epoch || old.epoch == in.Epoch && old.change > in.Change) {
		return false
	}
	if old == nil && len(c) >= cacheMost {
		c.evict()
	}
	e := &entry{epoch: in.Epoch, change: in.Change, holders: in.Holders, turnMs: -1, loading: in.Loading, usedMs: nowMs, toldMs: nowMs}
	if in.TurnMs >= 0 {
		e.turnMs = nowMs + in.TurnMs
	}
	if old != nil {
		e.usedMs = old.usedMs
		// What a runner said itself just now is newer than what the line rests
		// on, though it may tell of a change elsewhere.
		changed := old.epoch != in.Epoch || old.change != in.Change
		for runner, untilMs := range old.shunned {
			if untilMs > nowMs && (!changed || nowMs-(untilMs-shunMs) < shunAnywayMs) {
				e.shun(untilMs-shunMs, runner)
			}
		}
	}
	c[at] = e
	return true
}

// evict lets the line go that was unused for longest.
func (c cache) evict() {
	var oldest key
	found := false
	for at, e := range c {
		if !found || e.usedMs < c[oldest].usedMs || e.usedMs == c[oldest].usedMs && at.less(oldest) {
			oldest, found = at, true
		}
	}
	delete(c, oldest)
}

func (k key) less(other key) bool {
	return slices.Compare([]string{k.service, k.model, k.adapter}, []string{other.service, other.model, other.adapter}) < 0
}

func (e *entry) shun(nowMs int64, runner string) {
	if e.shunned == nil {
		e.shunned = map[string]int64{}
	}
	e.shunned[runner] = nowMs + shunMs
}

// offers says whether a holder can be asked for the key.
func (e *entry) offers(nowMs int64, at key, h *protocol.IndexHolder) bool {
	return (at.adapter == "" || h.Adapter) && e.shunned[h.ID] <= nowMs
}

package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// cacheKey is what requests ask for.
type cacheKey struct{ service, model, adapter string }

// cacheEntry is a cached line of the index, for a key that was named.
type cacheEntry struct {
	epoch, change uint64
	holders       []protocol.IndexHolder
	// loadExpectedMs is when it may be held where it is not, or -1.
	loadExpectedMs int64
	loading        bool
	lastUsedMs     int64
	// updatedMs is when the index last told of it.
	updatedMs int64
	// excluded are runners that said that they don't hold it after all, until
	// when they are left out.
	excluded map[string]int64
}

const (
	maxCacheEntries = 2048
	// entryMaxAgeMs is how old a line may be and still be a hit: a router that has not
	// asked for longer is not told when a holder goes.
	entryMaxAgeMs = 3500
	excludeMs     = 1000
	// excludeMinMs is for how long it is shunned whatever the index tells.
	excludeMinMs = 150
)

// cache keeps entries for named keys only.
type cache map[cacheKey]*cacheEntry

// update brings an index line in; false says that a newer one is there.
func (c cache) update(nowMs int64, in protocol.IndexReply) bool {
	at := cacheKey{in.Service, in.Model, in.Adapter}
	old := c[at]
	if old != nil && (old.epoch > in.Epoch || old.epoch == in.Epoch && old.change > in.Change) {
		return false
	}
	if old == nil && len(c) >= maxCacheEntries {
		c.evictLeastRecentlyUsed()
	}
	e := &cacheEntry{epoch: in.Epoch, change: in.Change, holders: in.Holders, loadExpectedMs: -1, loading: in.Loading, lastUsedMs: nowMs, updatedMs: nowMs}
	if in.TurnMs >= 0 {
		e.loadExpectedMs = nowMs + in.TurnMs
	}
	if old != nil {
		e.lastUsedMs = old.lastUsedMs
		// What a runner said itself just now is newer than what the line rests
		// on, though it may tell of a change elsewhere.
		changed := old.epoch != in.Epoch || old.change != in.Change
		for runner, untilMs := range old.excluded {
			if untilMs > nowMs && (!changed || nowMs-(untilMs-excludeMs) < excludeMinMs) {
				e.exclude(untilMs-excludeMs, runner)
			}
		}
	}
	c[at] = e
	return true
}

// evictLeastRecentlyUsed lets the line go that was unused for longest.
func (c cache) evictLeastRecentlyUsed() {
	var oldest cacheKey
	found := false
	for at, e := range c {
		if !found || e.lastUsedMs < c[oldest].lastUsedMs || e.lastUsedMs == c[oldest].lastUsedMs && at.less(oldest) {
			oldest, found = at, true
		}
	}
	delete(c, oldest)
}

func (k cacheKey) less(other cacheKey) bool {
	return slices.Compare([]string{k.service, k.model, k.adapter}, []string{other.service, other.model, other.adapter}) < 0
}

func (e *cacheEntry) exclude(nowMs int64, runner string) {
	if e.excluded == nil {
		e.excluded = map[string]int64{}
	}
	e.excluded[runner] = nowMs + excludeMs
}

// canServe says whether a holder can be asked for the key.
func (e *cacheEntry) canServe(nowMs int64, at cacheKey, h *protocol.IndexHolder) bool {
	return (at.adapter == "" || h.Adapter) && e.excluded[h.ID] <= nowMs
}

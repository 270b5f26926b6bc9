package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	maxCacheEntries = 2048
	// maxCacheKeyBytes bounds the keys of all entries. Clients choose the adapter of a key, up
	// to the size of a request's head.
	maxCacheKeyBytes = 1 << 20
	// entryMaxAgeMs is the maximum age of an entry that counts as a hit. An older one may
	// be wrong: when a runner stops holding a model, the index notifies only routers that
	// looked it up recently.
	entryMaxAgeMs = 3500
	// excludeMs is how long a runner is excluded from an entry after it responded that it
	// does not hold the model.
	excludeMs = 1000
	// excludeMinMs is how long it stays excluded even if the index reports a change in
	// the meantime. That change may concern another runner.
	excludeMinMs = 150
)

// cacheKey identifies an entry of the index: the service, model and adapter that a
// request needs.
type cacheKey struct{ service, model, adapter string }

// less reports whether k sorts before other.
func (k cacheKey) less(other cacheKey) bool {
	return slices.Compare([]string{k.service, k.model, k.adapter}, []string{other.service, other.model, other.adapter}) < 0
}

// bytes returns the size of the names.
func (k cacheKey) bytes() int { return len(k.service) + len(k.model) + len(k.adapter) }

// cacheEntry is a cached entry of the index.
type cacheEntry struct {
	// epoch and change are the entry's version.
	epoch, change uint64
	// holders are the runners that hold what the key names.
	holders []protocol.IndexHolder
	// loadExpectedMs is when a runner is expected to hold it if none does, or -1 if that
	// is not known. loading is true while a load is in progress.
	loadExpectedMs int64
	loading        bool
	lastUsedMs     int64
	// updatedMs is when the index last sent the entry.
	updatedMs int64
	// excluded are the holders that responded that they do not hold it, with the time
	// until which they are not used; nil without any.
	excluded map[string]int64
}

// cache keeps the index entries of keys that were requested. The zero value is empty.
type cache struct {
	entries map[cacheKey]*cacheEntry
	// keyBytes is the size of all keys.
	keyBytes int
}

// get returns the entry of a key, or nil.
func (c *cache) get(key cacheKey) *cacheEntry { return c.entries[key] }

// len returns the number of entries.
func (c *cache) len() int { return len(c.entries) }

// update stores an entry that the index sent. It returns false, and keeps the cached
// entry, if the cached one is newer.
func (c *cache) update(nowMs int64, reply protocol.IndexReply) bool {
	key := cacheKey{reply.Service, reply.Model, reply.Adapter}
	old := c.get(key)
	if old != nil && old.newerThan(reply) {
		return false
	}
	if old == nil {
		c.makeRoom(key)
	}
	entry := &cacheEntry{
		epoch: reply.Epoch, change: reply.Change, holders: reply.Holders,
		loadExpectedMs: -1, loading: reply.Loading, lastUsedMs: nowMs, updatedMs: nowMs,
	}
	if reply.TurnMs >= 0 {
		entry.loadExpectedMs = nowMs + reply.TurnMs
	}
	if old != nil {
		entry.lastUsedMs = old.lastUsedMs
		entry.keepExclusions(nowMs, old)
	}
	c.entries[key] = entry
	return true
}

// makeRoom counts a new key and evicts the entries that no longer fit beside it.
func (c *cache) makeRoom(key cacheKey) {
	if c.entries == nil {
		c.entries = map[cacheKey]*cacheEntry{}
	}
	c.keyBytes += key.bytes()
	for len(c.entries) > 0 && (len(c.entries) >= maxCacheEntries || c.keyBytes > maxCacheKeyBytes) {
		c.evictLeastRecentlyUsed()
	}
}

// newerThan reports whether the entry's version is newer than the version of a reply.
func (e *cacheEntry) newerThan(reply protocol.IndexReply) bool {
	if e.epoch != reply.Epoch {
		return e.epoch > reply.Epoch
	}
	return e.change > reply.Change
}

// keepExclusions copies the exclusions of the previous entry. If the version has changed,
// only the most recent ones are copied: a runner's last response is newer than the
// information behind the index.
func (e *cacheEntry) keepExclusions(nowMs int64, old *cacheEntry) {
	changed := old.epoch != e.epoch || old.change != e.change
	for runner, untilMs := range old.excluded {
		excludedMs := untilMs - excludeMs
		recent := nowMs-excludedMs < excludeMinMs
		if untilMs > nowMs && (!changed || recent) {
			e.exclude(excludedMs, runner)
		}
	}
}

// exclude excludes a runner for excludeMs.
func (e *cacheEntry) exclude(nowMs int64, runner string) {
	if e.excluded == nil {
		e.excluded = map[string]int64{}
	}
	e.excluded[runner] = nowMs + excludeMs
}

// canServe reports whether a holder has the adapter of the key and is not
// excluded.
func (e *cacheEntry) canServe(nowMs int64, key cacheKey, holder *protocol.IndexHolder) bool {
	return (key.adapter == "" || holder.Adapter) && e.excluded[holder.ID] <= nowMs
}

// evictLeastRecentlyUsed removes one entry. Ties are broken by key, so that a simulation is
// repeatable.
func (c *cache) evictLeastRecentlyUsed() {
	var oldest cacheKey
	var oldestMs int64
	found := false
	for key, entry := range c.entries {
		older := entry.lastUsedMs < oldestMs || entry.lastUsedMs == oldestMs && key.less(oldest)
		if !found || older {
			oldest, oldestMs, found = key, entry.lastUsedMs, true
		}
	}
	delete(c.entries, oldest)
	c.keyBytes -= oldest.bytes()
}

// isEmpty reports whether the entry names no runner and no load. Such an entry may come
// from a control plane that has no information yet.
func (e *cacheEntry) isEmpty() bool {
	return len(e.holders) == 0 && e.loadExpectedMs < 0 && !e.loading
}

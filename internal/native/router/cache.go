package router

import (
	"slices"
	"strings"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	maxCacheEntries = 4096
	// entryMaxAgeMs is the maximum age of an entry that counts as a hit.
	entryMaxAgeMs = 10_000
	// staleEntryMaxAgeMs replaces entryMaxAgeMs once no controller has replied for
	// controllersUnresponsiveMs. That is safe: a runner that no longer holds the item rejects the
	// request without executing it.
	staleEntryMaxAgeMs        = 600_000
	controllersUnresponsiveMs = 1000
	// lookUpTimeoutMs is how long the router waits for the reply to a look-up before it uses the
	// next controller.
	lookUpTimeoutMs = 300
	// keyParts is the number of parts of a choice.Key in a message.
	keyParts = 3
)

// cacheEntry holds the holders of a key that requests have named, as a controller reported them.
type cacheEntry struct {
	// position is the position of the state that the entry was computed from, asOfMs the time at
	// which the entry was valid.
	position protocol.Position
	asOfMs   int64
	holders  []protocol.Holder
}

// cachedEntry returns the entry of a key if it counts as a hit, that is, if it is recent enough
// and has holders. Otherwise it returns nil.
func (m *Machine) cachedEntry(key choice.Key) *cacheEntry {
	entry := m.cache[key]
	maxAgeMs := int64(entryMaxAgeMs)
	if m.controllersUnresponsiveSinceMs > 0 && m.nowMs-m.controllersUnresponsiveSinceMs > controllersUnresponsiveMs {
		maxAgeMs = staleEntryMaxAgeMs
	}
	if entry == nil || m.nowMs-entry.asOfMs > maxAgeMs || len(entry.holders) == 0 {
		return nil
	}
	return entry
}

// applyLookUpReply handles the reply to a look-up, or a notification about a key, whose ID is 0.
func (m *Machine) applyLookUpReply(reply protocol.LookUpReply) {
	delete(m.unansweredLookUps, reply.ID)
	m.controllersUnresponsiveSinceMs = 0
	parts := strings.SplitN(reply.Key, "/", keyParts)
	if len(parts) != keyParts || reply.Behind {
		return
	}
	key := choice.Key{Service: parts[0], Model: parts[1], Adapter: parts[2]}
	requested := m.recordReply(key, reply)
	// Only keys that requests have named are cached.
	old := m.cache[key]
	if !requested && old == nil && reply.ID == 0 {
		return
	}
	asOfMs := m.nowMs - reply.AgeMs
	if old == nil || !old.isNewer(reply.At, asOfMs) {
		if old == nil && len(m.cache) >= maxCacheEntries {
			m.evictOldest()
		}
		m.cache[key] = &cacheEntry{position: reply.At, asOfMs: asOfMs, holders: slices.Clone(reply.Holders)}
	}
	m.dispatchQueue()
}

// recordReply stores, in all requests for the key, the time at which the reply expects a load. If
// the reply is a notification or the reply to the request's look-up, it also records that the
// look-up has a reply. It reports whether there is a request for the key.
func (m *Machine) recordReply(key choice.Key, reply protocol.LookUpReply) bool {
	requested := false
	for _, r := range m.requests {
		if r.key != key {
			continue
		}
		requested = true
		r.lookUpReplied = r.lookUpReplied || reply.ID == r.lookUpID || reply.ID == 0
		r.loadExpectedMs = 0
		if reply.TurnMs > 0 {
			r.loadExpectedMs = m.nowMs + reply.TurnMs
		}
	}
	return requested
}

// isNewer reports whether the entry is newer than one with the given position and time.
func (e *cacheEntry) isNewer(position protocol.Position, asOfMs int64) bool {
	if e.position == position {
		return e.asOfMs > asOfMs
	}
	return position.Less(e.position)
}

// evictOldest removes the oldest entry. Among equally old ones it selects by key, so that a
// simulation is repeatable.
func (m *Machine) evictOldest() {
	var oldest choice.Key
	var oldestMs int64
	found := false
	for key, entry := range m.cache {
		older := entry.asOfMs < oldestMs || entry.asOfMs == oldestMs && key.String() < oldest.String()
		if !found || older {
			oldest, oldestMs, found = key, entry.asOfMs, true
		}
	}
	delete(m.cache, oldest)
}

// removeHolder removes a runner that was found not to hold the item.
func (m *Machine) removeHolder(key choice.Key, runner protocol.LeavingRunner) {
	entry := m.cache[key]
	if entry == nil {
		return
	}
	entry.holders = slices.DeleteFunc(entry.holders, func(h protocol.Holder) bool {
		return h.Runner == runner.Runner && h.Incarnation == runner.Incarnation
	})
}

// sendLookUp sends the look-up of a request to the controller that lookUpTarget selects.
func (m *Machine) sendLookUp(r *request) {
	controllers := m.detector.NodesOf(protocol.RoleController)
	if len(controllers) == 0 {
		return
	}
	target := controllers[m.lookUpTarget%len(controllers)]
	m.unansweredLookUps[r.lookUpID] = m.nowMs
	m.outbox.Send(target, protocol.LookUp{ID: r.lookUpID, Service: r.Service, Model: r.Model, Adapter: r.Adapter})
}

// checkLookUpTarget switches to the next controller once a look-up has had no reply for
// lookUpTimeoutMs.
func (m *Machine) checkLookUpTarget() {
	for _, sentMs := range m.unansweredLookUps {
		if m.nowMs-sentMs < lookUpTimeoutMs {
			continue
		}
		m.lookUpTarget++
		if m.controllersUnresponsiveSinceMs == 0 {
			m.controllersUnresponsiveSinceMs = sentMs
		}
		clear(m.unansweredLookUps)
		m.retryLookUps()
		return
	}
}

// retryLookUps sends the look-ups of waiting requests that have no reply to the new target. This
// is the only place where a request causes more than one look-up.
func (m *Machine) retryLookUps() {
	for _, id := range m.queue {
		r := m.requests[id]
		if r == nil || r.attemptActive || r.lookUpReplied {
			continue
		}
		if r.lookUpID == 0 || m.cachedEntry(r.key) != nil {
			continue
		}
		m.Counters.LookUpRetries++
		m.sendLookUp(r)
	}
}

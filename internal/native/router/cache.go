package router

import (
	"slices"
	"strings"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

const (
	maxCacheEntries = 4096
	// entryMaxAgeMs is how old an entry may be and still count as a hit.
	entryMaxAgeMs = 10_000
	// staleEntryMaxAgeMs replaces entryMaxAgeMs once no controller has
	// answered for controllersSilentMs. A runner that no longer holds the
	// item rejects the request without running it.
	staleEntryMaxAgeMs  = 600_000
	controllersSilentMs = 1000
	// lookUpTimeoutMs is how long a look-up may be unanswered before the next
	// controller is used.
	lookUpTimeoutMs = 300
	// keyParts is the number of parts of a choice.Key in a message.
	keyParts = 3
)

// cacheEntry is a cached entry of the choice table, for a key that requests
// have named.
type cacheEntry struct {
	// position is the entry's version, asOfMs the time it was valid at.
	position protocol.Position
	asOfMs   int64
	holders  []protocol.Holder
}

// cachedEntry returns the entry of a key if it counts as a hit, otherwise nil:
// it is recent enough and names a runner.
func (m *Machine) cachedEntry(key choice.Key) *cacheEntry {
	entry := m.cache[key]
	maxAgeMs := int64(entryMaxAgeMs)
	if m.controllersSilentSinceMs > 0 && m.nowMs-m.controllersSilentSinceMs > controllersSilentMs {
		maxAgeMs = staleEntryMaxAgeMs
	}
	if entry == nil || m.nowMs-entry.asOfMs > maxAgeMs || len(entry.holders) == 0 {
		return nil
	}
	return entry
}

// applyLookUpReply applies an answer to a look-up, or the notification of a
// change of the choice table, which has no ID.
func (m *Machine) applyLookUpReply(reply protocol.LookUpReply) {
	delete(m.unansweredLookUps, reply.ID)
	m.controllersSilentSinceMs = 0
	parts := strings.SplitN(reply.Key, "/", keyParts)
	if len(parts) != keyParts || reply.Behind {
		return
	}
	key := choice.Key{Service: parts[0], Model: parts[1], Adapter: parts[2]}
	requested := m.noteReply(key, reply)
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

// noteReply notes in the requests for the key that they have an answer, and
// when a load is expected. It reports whether there is such a request.
func (m *Machine) noteReply(key choice.Key, reply protocol.LookUpReply) bool {
	requested := false
	for _, r := range m.requests {
		if r.key != key {
			continue
		}
		requested = true
		r.lookUpAnswered = r.lookUpAnswered || reply.ID == r.lookUpID || reply.ID == 0
		r.loadExpectedMs = 0
		if reply.TurnMs > 0 {
			r.loadExpectedMs = m.nowMs + reply.TurnMs
		}
	}
	return requested
}

// isNewer reports whether the entry is newer than one of the given position
// and time.
func (e *cacheEntry) isNewer(position protocol.Position, asOfMs int64) bool {
	if e.position == position {
		return e.asOfMs > asOfMs
	}
	return position.Less(e.position)
}

// evictOldest removes one entry; ties are broken by key, so that equal states
// evolve equally.
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

// removeHolder removes a runner that does not hold the item after all.
func (m *Machine) removeHolder(key choice.Key, runner protocol.LeavingRunner) {
	entry := m.cache[key]
	if entry == nil {
		return
	}
	entry.holders = slices.DeleteFunc(entry.holders, func(h protocol.Holder) bool {
		return h.Runner == runner.Runner && h.Incarnation == runner.Incarnation
	})
}

// sendLookUp sends the look-up of a request to the present target.
func (m *Machine) sendLookUp(r *request) {
	controllers := m.detector.NodesOf(protocol.RoleController)
	if len(controllers) == 0 {
		return
	}
	target := controllers[m.lookUpTarget%len(controllers)]
	m.unansweredLookUps[r.lookUpID] = m.nowMs
	m.outbox.Send(target, protocol.LookUp{ID: r.lookUpID, Service: r.Service, Model: r.Model, Adapter: r.Adapter})
}

// checkLookUpTarget moves to the next controller once a look-up has been
// unanswered for lookUpTimeoutMs.
func (m *Machine) checkLookUpTarget() {
	for _, sentMs := range m.unansweredLookUps {
		if m.nowMs-sentMs < lookUpTimeoutMs {
			continue
		}
		m.lookUpTarget++
		if m.controllersSilentSinceMs == 0 {
			m.controllersSilentSinceMs = sentMs
		}
		clear(m.unansweredLookUps)
		m.retryLookUps()
		return
	}
}

// retryLookUps repeats the unanswered look-ups of waiting requests at the new
// target. A request sends more than one look-up only here.
func (m *Machine) retryLookUps() {
	for _, id := range m.queue {
		r := m.requests[id]
		if r == nil || r.attemptActive || r.lookUpAnswered {
			continue
		}
		if r.lookUpID == 0 || m.cachedEntry(r.key) != nil {
			continue
		}
		m.Counters.LookUpRetries++
		m.sendLookUp(r)
	}
}

package router

import (
	"slices"
	"strings"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

// cacheEntry is a cached line of the choice table, for a key that was named.
type cacheEntry struct {
	position protocol.Position
	asOfMs   int64
	holders  []protocol.Holder
}

// cachedEntry gives the cached line if it is a hit: known, not too old, and with a
// runner in it.
func (m *Machine) cachedEntry(key choice.Key) *cacheEntry {
	e := m.cache[key]
	oldestMs := int64(entryMaxAgeMs)
	// While no controller answers, an old entry is better than none: a runner
	// that no longer holds the item says so without running it.
	if m.controllersSilentSinceMs > 0 && m.nowMs-m.controllersSilentSinceMs > controllersSilentMs {
		oldestMs = staleEntryMaxAgeMs
	}
	if e == nil || m.nowMs-e.asOfMs > oldestMs || len(e.holders) == 0 {
		return nil
	}
	return e
}

// applyLookUpReply takes an answer of the index, or its word of a change.
func (m *Machine) applyLookUpReply(said protocol.LookUpReply) {
	delete(m.unansweredLookUps, said.ID)
	m.controllersSilentSinceMs = 0
	parts := strings.SplitN(said.Key, "/", 3)
	if len(parts) != 3 || said.Behind {
		return
	}
	key := choice.Key{Service: parts[0], Model: parts[1], Adapter: parts[2]}
	asked := false
	for _, r := range m.requests {
		if r.key == key {
			asked = true
			r.lookUpAnswered = r.lookUpAnswered || said.ID == r.lookUpID || said.ID == 0
			if r.loadExpectedMs = 0; said.TurnMs > 0 {
				r.loadExpectedMs = m.nowMs + said.TurnMs
			}
		}
	}
	old := m.cache[key]
	// Only what requests named is kept, and newer replaces older, never the
	// reverse.
	if !asked && old == nil && said.ID == 0 {
		return
	}
	atMs := m.nowMs - said.AgeMs
	if old != nil && (isNewer(old.position, said.At) || old.position == said.At && old.asOfMs > atMs) {
		m.dispatchQueue()
		return
	}
	if old == nil && len(m.cache) >= maxCacheEntries {
		m.evictOldest()
	}
	m.cache[key] = &cacheEntry{position: said.At, asOfMs: atMs, holders: slices.Clone(said.Holders)}
	m.dispatchQueue()
}

func isNewer(a, b protocol.Position) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Number > b.Number
}

func (m *Machine) evictOldest() {
	var oldest choice.Key
	found := false
	for key, e := range m.cache {
		if !found || e.asOfMs < m.cache[oldest].asOfMs || e.asOfMs == m.cache[oldest].asOfMs && key.String() < oldest.String() {
			oldest, found = key, true
		}
	}
	delete(m.cache, oldest)
}

// removeHolder takes a runner that said that it does not hold the item out of the line.
func (m *Machine) removeHolder(key choice.Key, mark protocol.LeavingRunner) {
	if e := m.cache[key]; e != nil {
		e.holders = slices.DeleteFunc(e.holders, func(h protocol.Holder) bool {
			return h.Runner == mark.Runner && h.Incarnation == mark.Incarnation
		})
	}
}

// retryLookUps sends the look-ups of waiting requests to the next controller,
// since the one before left them unanswered. It is the only case in which a
// request sends more than one, and not oftener than the target turns.
func (m *Machine) retryLookUps() {
	for _, id := range m.queue {
		r := m.requests[id]
		if r == nil || r.attemptActive || r.lookUpAnswered || r.lookUpID == 0 || m.cachedEntry(r.key) != nil {
			continue
		}
		m.Counters.LookUpRetries++
		m.sendLookUp(r)
	}
}

func (m *Machine) sendLookUp(r *request) {
	if controllers := m.detector.NodesOf(protocol.RoleController); len(controllers) > 0 {
		to := controllers[m.lookUpTarget%len(controllers)]
		m.unansweredLookUps[r.lookUpID] = m.nowMs
		m.send(to, protocol.LookUp{ID: r.lookUpID, Service: r.Service, Model: r.Model, Adapter: r.Adapter})
	}
}

// checkLookUpTarget sends look-ups to another controller once one leaves them
// unanswered.
func (m *Machine) checkLookUpTarget() {
	for id, sentMs := range m.unansweredLookUps {
		if m.nowMs-sentMs >= lookUpTimeoutMs {
			m.lookUpTarget++
			if m.controllersSilentSinceMs == 0 {
				m.controllersSilentSinceMs = sentMs
			}
			clear(m.unansweredLookUps)
			m.retryLookUps()
			return
		}
		_ = id
	}
}

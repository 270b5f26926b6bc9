package router

import (
	"slices"
	"strings"

	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/protocol"
)

// entry is a cached line of the choice table, for a key that was named.
type entry struct {
	at      protocol.Position
	atMs    int64
	holders []protocol.Holder
}

// entry gives the cached line if it is a hit: known, not too old, and with a
// runner in it.
func (m *Machine) entry(key choice.Key) *entry {
	e := m.cache[key]
	oldestMs := int64(entryMs)
	// While no controller answers, an old entry is better than none: a runner
	// that no longer holds the item says so without running it.
	if m.cutSinceMs > 0 && m.nowMs-m.cutSinceMs > cutMs {
		oldestMs = cutEntryMs
	}
	if e == nil || m.nowMs-e.atMs > oldestMs || len(e.holders) == 0 {
		return nil
	}
	return e
}

// indexed takes an answer of the index, or its word of a change.
func (m *Machine) indexed(said protocol.LookUpReply) {
	delete(m.silent, said.ID)
	m.cutSinceMs = 0
	parts := strings.SplitN(said.Key, "/", 3)
	if len(parts) != 3 || said.Behind {
		return
	}
	key := choice.Key{Service: parts[0], Model: parts[1], Adapter: parts[2]}
	asked := false
	for _, r := range m.requests {
		if r.key == key {
			asked = true
			r.answered = r.answered || said.ID == r.lookUp || said.ID == 0
			if r.turnMs = 0; said.TurnMs > 0 {
				r.turnMs = m.nowMs + said.TurnMs
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
	if old != nil && (newer(old.at, said.At) || old.at == said.At && old.atMs > atMs) {
		m.wake()
		return
	}
	if old == nil && len(m.cache) >= cacheMost {
		m.evictOldest()
	}
	m.cache[key] = &entry{at: said.At, atMs: atMs, holders: slices.Clone(said.Holders)}
	m.wake()
}

func newer(a, b protocol.Position) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Number > b.Number
}

func (m *Machine) evictOldest() {
	var oldest choice.Key
	found := false
	for key, e := range m.cache {
		if !found || e.atMs < m.cache[oldest].atMs || e.atMs == m.cache[oldest].atMs && key.String() < oldest.String() {
			oldest, found = key, true
		}
	}
	delete(m.cache, oldest)
}

// evict takes a runner that said that it does not hold the item out of the line.
func (m *Machine) evict(key choice.Key, mark protocol.LeavingRunner) {
	if e := m.cache[key]; e != nil {
		e.holders = slices.DeleteFunc(e.holders, func(h protocol.Holder) bool {
			return h.Runner == mark.Runner && h.Incarnation == mark.Incarnation
		})
	}
}

// lookUpAgain sends the look-ups of waiting requests to the next controller,
// since the one before left them unanswered. It is the only case in which a
// request sends more than one, and not oftener than the target turns.
func (m *Machine) lookUpAgain() {
	for _, id := range m.order {
		r := m.requests[id]
		if r == nil || r.away || r.answered || r.lookUp == 0 || m.entry(r.key) != nil {
			continue
		}
		m.Counters.LookUpRetries++
		m.sendLookUp(r)
	}
}

func (m *Machine) sendLookUp(r *request) {
	if controllers := m.roster.NodesOf(protocol.RoleController); len(controllers) > 0 {
		to := controllers[m.target%len(controllers)]
		m.silent[r.lookUp] = m.nowMs
		m.send(to, protocol.LookUp{ID: r.lookUp, Service: r.Service, Model: r.Model, Adapter: r.Adapter})
	}
}

// turnTarget sends look-ups to another controller once one leaves them
// unanswered.
func (m *Machine) turnTarget() {
	for id, sentMs := range m.silent {
		if m.nowMs-sentMs >= silentMs {
			m.target++
			if m.cutSinceMs == 0 {
				m.cutSinceMs = sentMs
			}
			clear(m.silent)
			m.lookUpAgain()
			return
		}
		_ = id
	}
}

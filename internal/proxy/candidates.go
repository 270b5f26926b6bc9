package proxy

import (
	"slices"

	"myrtlewinch/internal/config"
)

// candidates lists the runners that a request can be sent to now, and in
// m.offered the holders behind them. Where there is none, m.crowdedNow says
// that it is for want of places alone.
func (m *Machine) candidates(r *request) []candidate {
	m.offered, m.crowdedNow = m.offered[:0], false
	m.chosen = m.chosen[:0]
	e := m.entry(r.key)
	if e == nil || m.stale(r, e) {
		return nil
	}
	e.usedMs = m.nowMs
	streams := m.streams(r.service)
	// A runner that it was lost at is better than none.
	for _, again := range []bool{false, true} {
		for i := range e.holders {
			h := &e.holders[i]
			if m.isLeaving(h.ID) || !e.offers(m.nowMs, r.key, h) || slices.Contains(r.refused, h.ID) ||
				slices.Contains(r.unreached, h.ID) && m.nowMs < r.unreachedMs || slices.Contains(r.failed, h.ID) != again {
				continue
			}
			known := m.runner(h.ID)
			if known.slots == 0 {
				known.slots = h.Slots
			}
			if known.full(m.nowMs, r.tokens, streams) || m.slow(r, known) {
				m.crowdedNow = true
				continue
			}
			m.offered = append(m.offered, *h)
			m.chosen = append(m.chosen, candidate{
				id: h.ID, load: known.load(m.nowMs), slots: known.slots, reading: known.reading,
				own: h.Zone == m.set.Self.Zone, suspect: known.suspectToMs > m.nowMs,
			})
		}
		if len(m.chosen) > 0 || m.crowdedNow {
			break
		}
	}
	return m.chosen
}

// slow says that the prompts that wait at a runner would take more than half
// of a stream's patience to be read before its own.
func (m *Machine) slow(r *request, known *runner) bool {
	each := m.reads[modelOf{r.key.service, r.key.model}]
	if each <= 0 || r.service.Engine == nil || r.route.Kind != config.Stream {
		return false
	}
	waiting := known.reading
	if m.nowMs-known.toldMs <= toldForMs {
		waiting = max(waiting, int64(known.waiting)*max(1, r.Params.PromptTokens))
	}
	aheadMs := int64(float64(waiting) * each / 1000)
	return aheadMs > max(r.route.LatencyTargetMs, m.patienceMs(r)/2)
}

// stale says that a line is too old for a hit: its request waits for the
// look-up's answer as a miss does. An old line is better than none after that,
// or while no controller answers.
func (m *Machine) stale(r *request, e *entry) bool {
	return m.nowMs-e.toldMs > staleMs && r.goes == 0 && !r.answered && !m.silent() && m.nowMs-r.cameMs < missMs
}

// streams is how many requests this router may have under way at a runner.
func (m *Machine) streams(s *config.Service) int {
	if s.MaxConnections <= 0 {
		return 1 << 20
	}
	return max(2, int(margin*float64(s.MaxConnections))/max(1, m.routers))
}

package proxy

import (
	"slices"

	"myrtlewinch/internal/config"
)

// candidates lists the runners that a request can be sent to now, and in
// m.offered the holders behind them. Where there is none, m.allFull says
// that it is for want of places alone.
func (m *Machine) candidates(r *request) []candidate {
	m.candidateHolders, m.allFull = m.candidateHolders[:0], false
	m.candidateList = m.candidateList[:0]
	e := m.indexEntry(r.key)
	if e == nil || m.isStale(r, e) {
		return nil
	}
	e.lastUsedMs = m.nowMs
	streams := m.inFlightLimit(r.service)
	// A runner that it was lost at is better than none.
	for _, again := range []bool{false, true} {
		for i := range e.holders {
			h := &e.holders[i]
			if m.isDraining(h.ID) || !e.canServe(m.nowMs, r.key, h) || slices.Contains(r.rejectedBy, h.ID) ||
				slices.Contains(r.unreachable, h.ID) && m.nowMs < r.unreachableUntilMs || slices.Contains(r.failedAt, h.ID) != again {
				continue
			}
			known := m.runnerState(h.ID)
			if known.slots == 0 {
				known.slots = h.Slots
			}
			if known.isFull(m.nowMs, r.tokens, streams) || m.prefillTooLong(r, known) {
				m.allFull = true
				continue
			}
			m.candidateHolders = append(m.candidateHolders, *h)
			m.candidateList = append(m.candidateList, candidate{
				id: h.ID, load: known.load(m.nowMs), slots: known.slots, prefillTokens: known.prefillTokens,
				sameZone: h.Zone == m.settings.Self.Zone, unhealthy: known.unhealthyUntilMs > m.nowMs,
			})
		}
		if len(m.candidateList) > 0 || m.allFull {
			break
		}
	}
	return m.candidateList
}

// prefillTooLong says that the prompts that wait at a runner would take more than half
// of a stream's patience to be read before its own.
func (m *Machine) prefillTooLong(r *request, known *runnerState) bool {
	each := m.prefillEstimates[modelKey{r.key.service, r.key.model}]
	if each <= 0 || r.service.Engine == nil || r.route.Kind != config.Stream {
		return false
	}
	waiting := known.prefillTokens
	if m.nowMs-known.reportedMs <= reportMaxAgeMs {
		waiting = max(waiting, int64(known.reportedQueued)*max(1, r.Params.PromptTokens))
	}
	aheadMs := int64(float64(waiting) * each / 1000)
	return aheadMs > max(r.route.LatencyTargetMs, m.answerTimeMs(r)/2)
}

// isStale says that a line is too old for a hit: its request waits for the
// look-up's answer as a miss does. An old line is better than none after that,
// or while no controller answers.
func (m *Machine) isStale(r *request, e *cacheEntry) bool {
	return m.nowMs-e.updatedMs > entryMaxAgeMs && r.attempts == 0 && !r.lookUpAnswered && !m.primarySilent() && m.nowMs-r.arrivedMs < missDelayedMs
}

// inFlightLimit is how many requests this router may have under way at a runner.
func (m *Machine) inFlightLimit(s *config.Service) int {
	if s.MaxConnections <= 0 {
		return 1 << 20
	}
	return max(2, int(limitMargin*float64(s.MaxConnections))/max(1, m.routerCount))
}

package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// full holds a request whose runners have no place, for a quarter of its aim.
func (m *Machine) full(r *request) {
	m.crowd(r)
	aimMs := r.route.LatencyTargetMs
	if aimMs <= 0 {
		aimMs = 400
	}
	waitMs := aimMs / 4
	if r.passed {
		waitMs = brokenMs
	}
	if m.nowMs-r.sinceMs < waitMs {
		return
	}
	if r.passed || r.kept || r.mayHaveRun {
		m.giveUp(r)
		return
	}
	m.drop(r, errkind.PlacementTimeout, m.placeMs(r))
}

// placeMs says when a place may be free for one that is refused, by the pace
// at which requests of the service end here.
func (m *Machine) placeMs(r *request) int64 {
	waiting := int64(m.crowded[r.key.service])
	pace := m.paces[r.key.service]
	if pace == nil || pace.perSecond() <= 0 {
		return max(100, r.route.LatencyTargetMs)
	}
	return max(50, int64(float64(waiting*1000)/pace.perSecond()))
}

// lacking decides on a request for which no runner is known.
func (m *Machine) lacking(r *request) {
	m.lookAgain(r)
	totalMs := m.patienceMs(r)
	waitedMs, usedMs := m.nowMs-r.sinceMs, m.nowMs-r.cameMs
	// One that is held for over half of its time and then refused is worse
	// than one refused before.
	halfMs := totalMs * 45 / 100
	switch e := m.entry(r.key); {
	case r.passed:
		if waitedMs >= brokenMs {
			m.giveUp(r)
		}
	case r.kept:
		m.giveUp(r)
	case e == nil || len(e.holders) == 0 && e.turnMs < 0 && !e.loading && !r.answered:
		// While control is settling, what can bear it waits for its word.
		if r.service.Engine == nil && waitedMs >= unknownMs || usedMs >= halfMs {
			m.drop(r, errkind.NoConfig, 500)
		}
	case e.turnMs >= 0:
		// What can't be had in time is refused at once.
		serviceMs := min(m.lasts(r.route.Name), totalMs/4)
		turnMs := max(e.turnMs, m.nowMs)
		if e.turnMs > r.cameMs+totalMs-serviceMs || usedMs >= totalMs*3/4 || usedMs >= halfMs && m.nowMs > e.turnMs+turnSlackMs {
			m.drop(r, errkind.PlacementTimeout, turnMs-m.nowMs+50)
		}
	case e.loading:
		if usedMs >= halfMs {
			m.drop(r, errkind.PlacementTimeout, 500)
		}
	case r.service.Engine == nil:
		if waitedMs >= max(50, r.route.LatencyTargetMs/4) {
			m.drop(r, errkind.NoRunner, 300)
		}
	default:
		if usedMs >= halfMs {
			m.drop(r, errkind.NoRunner, 500)
		}
	}
}

// patienceMs is for how long from its coming a request can be answered at all.
func (m *Machine) patienceMs(r *request) int64 {
	totalMs := r.deadlineMs - r.cameMs
	if r.route.Kind == config.Stream && !r.passed {
		totalMs = min(totalMs, max(silenceMs, silenceAims*r.route.LatencyTargetMs, silenceGaps*r.route.MaxEventGapMs))
	}
	return totalMs
}

// giveUp ends a request after its sends, with what is true of them.
func (m *Machine) giveUp(r *request) {
	kind := r.last
	if kind == "" {
		kind = errkind.NoRunner
	}
	m.drop(r, kind, 200)
}

// drop ends a request. What may have run is never answered with a promise.
func (m *Machine) drop(r *request, kind errkind.Kind, retryMs int64) {
	m.unwait(r)
	delete(m.requests, r.ID)
	switch {
	case r.passed:
		m.Counters.Rejections["stream broken off"]++
		m.answer(r.ID, AbortStream{})
		return
	case r.kept:
		m.answer(r.ID, ForwardKept{})
		return
	case r.mayHaveRun && kind.Response().NotExecuted:
		kind, retryMs = errkind.OutcomeUnknown, 0
	}
	m.Counters.Rejections[kind]++
	if retryMs > 0 {
		// A longer wait than a third of what the client has left is not kept.
		leftMs := r.deadlineMs - m.nowMs
		if r.Params.TimeoutMs > 0 {
			leftMs = r.Params.TimeoutMs - (m.nowMs - r.cameMs)
		}
		retryMs = max(20, min(retryMs, leftMs*3/10))
	}
	m.answer(r.ID, protocol.Rejection{Kind: kind, RetryMs: retryMs})
}

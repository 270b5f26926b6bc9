package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// waitForSlot holds a request whose runners have no place, for a quarter of its aim.
func (m *Machine) waitForSlot(r *request) {
	m.markSlotWait(r)
	aimMs := r.route.LatencyTargetMs
	if aimMs <= 0 {
		aimMs = 400
	}
	waitMs := aimMs / 4
	if r.forwarded {
		waitMs = resumeWaitMs
	}
	if m.nowMs-r.waitingSinceMs < waitMs {
		return
	}
	if r.forwarded || r.hasKeptResponse || r.mayHaveRun {
		m.failAfterAttempts(r)
		return
	}
	m.reject(r, errkind.PlacementTimeout, m.slotWaitMs(r))
}

// slotWaitMs says when a place may be free for one that is refused, by the pace
// at which requests of the service end here.
func (m *Machine) slotWaitMs(r *request) int64 {
	waiting := int64(m.slotWaiters[r.key.service])
	pace := m.completionRates[r.key.service]
	if pace == nil || pace.perSecond() <= 0 {
		return max(100, r.route.LatencyTargetMs)
	}
	return max(50, int64(float64(waiting*1000)/pace.perSecond()))
}

// waitForRunner decides on a request for which no runner is known.
func (m *Machine) waitForRunner(r *request) {
	m.retryLookUp(r)
	totalMs := m.answerTimeMs(r)
	waitedMs, usedMs := m.nowMs-r.waitingSinceMs, m.nowMs-r.arrivedMs
	// One that is held for over half of its time and then refused is worse
	// than one refused before.
	halfMs := totalMs * 45 / 100
	switch e := m.indexEntry(r.key); {
	case r.forwarded:
		if waitedMs >= resumeWaitMs {
			m.failAfterAttempts(r)
		}
	case r.hasKeptResponse:
		m.failAfterAttempts(r)
	case e == nil || len(e.holders) == 0 && e.loadExpectedMs < 0 && !e.loading && !r.lookUpAnswered:
		// While control is settling, what can bear it waits for its word.
		if r.service.Engine == nil && waitedMs >= unknownWaitMs || usedMs >= halfMs {
			m.reject(r, errkind.NoConfig, 500)
		}
	case e.loadExpectedMs >= 0:
		// What can't be had in time is refused at once.
		serviceMs := min(m.expectedLatencyMs(r.route.Name), totalMs/4)
		turnMs := max(e.loadExpectedMs, m.nowMs)
		if e.loadExpectedMs > r.arrivedMs+totalMs-serviceMs || usedMs >= totalMs*3/4 || usedMs >= halfMs && m.nowMs > e.loadExpectedMs+loadDelayMs {
			m.reject(r, errkind.PlacementTimeout, turnMs-m.nowMs+50)
		}
	case e.loading:
		if usedMs >= halfMs {
			m.reject(r, errkind.PlacementTimeout, 500)
		}
	case r.service.Engine == nil:
		if waitedMs >= max(50, r.route.LatencyTargetMs/4) {
			m.reject(r, errkind.NoRunner, 300)
		}
	default:
		if usedMs >= halfMs {
			m.reject(r, errkind.NoRunner, 500)
		}
	}
}

// answerTimeMs is for how long from its coming a request can be answered at all.
func (m *Machine) answerTimeMs(r *request) int64 {
	totalMs := r.deadlineMs - r.arrivedMs
	if r.route.Kind == config.Stream && !r.forwarded {
		totalMs = min(totalMs, max(streamSilenceMs, streamSilenceAims*r.route.LatencyTargetMs, streamSilenceGaps*r.route.MaxEventGapMs))
	}
	return totalMs
}

// failAfterAttempts ends a request after its sends, with what is true of them.
func (m *Machine) failAfterAttempts(r *request) {
	kind := r.lastErrorKind
	if kind == "" {
		kind = errkind.NoRunner
	}
	m.reject(r, kind, 200)
}

// reject ends a request. What may have run is never answered with a promise.
func (m *Machine) reject(r *request, kind errkind.Kind, retryMs int64) {
	m.dequeue(r)
	delete(m.requests, r.ID)
	switch {
	case r.forwarded:
		m.Counters.Rejections["stream broken off"]++
		m.reply(r.ID, AbortStream{})
		return
	case r.hasKeptResponse:
		m.reply(r.ID, ForwardKept{})
		return
	case r.mayHaveRun && kind.Response().NotExecuted:
		kind, retryMs = errkind.OutcomeUnknown, 0
	}
	m.Counters.Rejections[kind]++
	if retryMs > 0 {
		// A longer wait than a third of what the client has left is not kept.
		leftMs := r.deadlineMs - m.nowMs
		if r.Params.TimeoutMs > 0 {
			leftMs = r.Params.TimeoutMs - (m.nowMs - r.arrivedMs)
		}
		retryMs = max(20, min(retryMs, leftMs*3/10))
	}
	m.reply(r.ID, protocol.Rejection{Kind: kind, RetryMs: retryMs})
}

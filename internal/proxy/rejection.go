package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
)

const (
	// resumeWaitMs is how long a stream that broke waits for a runner to
	// resume at. Clients tolerate a gap of about two seconds.
	resumeWaitMs = 1500
	// unknownWaitMs is how long a request without a model waits while nothing
	// is known about its service.
	unknownWaitMs = 1500
	// A client of a stream gives up after a silence of the longest of these,
	// including that before the first event: a fixed time, and multiples of
	// the route's latency target and of its longest gap between events.
	streamSilenceMs, streamSilenceTargets, streamSilenceGaps = 2000, 4, 8
	// loadDelayMs is by how much a load may be late and still be waited for.
	loadDelayMs = 500
	// defaultTargetMs replaces the latency target of a route that has none.
	defaultTargetMs = 400
	// slotWaitDivisor: a request waits for a free slot, or for a runner of a
	// service without models, for this part of the route's latency target,
	// and at least minRunnerWaitMs for a runner.
	slotWaitDivisor = 4
	minRunnerWaitMs = 50
	// hopelessPercent is the part of the time in which a request can be
	// answered after which it is rejected if there is still no runner. The
	// client may then have time for another attempt.
	hopelessPercent = 45
)

// Values of Retry-After, by what is known of the reason.
const (
	retryAfterAttemptsMs    = 200
	retryNoRunnerMs         = 300
	retryUnknownMs          = 500
	retryShutdownMs         = 200
	retryAfterLoadMs        = 50
	minRetryMs              = 20
	minSlotRetryMs          = 50
	minSlotRetryUnknownMs   = 100
	maxRetryTenthsOfTimeout = 3
)

// waitForSlot decides on a request whose runners are all full: it waits for a
// part of the latency target. A stream that is to be resumed waits longer.
func (m *Machine) waitForSlot(r *request) {
	m.markSlotWait(r)
	targetMs := r.route.LatencyTargetMs
	if targetMs <= 0 {
		targetMs = defaultTargetMs
	}
	waitMs := targetMs / slotWaitDivisor
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
	m.reject(r, errkind.PlacementTimeout, m.slotRetryMs(r))
}

// slotRetryMs estimates when a slot may be free for a rejected request, by the
// number of requests that wait and the rate at which attempts end here.
func (m *Machine) slotRetryMs(r *request) int64 {
	waiting := int64(m.slotWaiters[r.key.service])
	rate := m.completionRates[r.key.service]
	if rate == nil || rate.perSecond() <= 0 {
		return max(minSlotRetryUnknownMs, r.route.LatencyTargetMs)
	}
	return max(minSlotRetryMs, int64(float64(waiting*1000)/rate.perSecond()))
}

// waitForRunner decides on a request for which no runner is known: it waits,
// or is rejected as soon as waiting is hopeless. A client that is rejected
// early can do more than one that waits in vain.
func (m *Machine) waitForRunner(r *request) {
	m.retryLookUp(r)
	answerTimeMs := m.answerTimeMs(r)
	waitedMs, usedMs := m.nowMs-r.waitingSinceMs, m.nowMs-r.arrivedMs
	hopeless := usedMs >= answerTimeMs*hopelessPercent/100
	hasModels := r.service.Engine != nil
	switch entry := m.indexEntry(r.key); {
	case r.forwarded:
		if waitedMs >= resumeWaitMs {
			m.failAfterAttempts(r)
		}
	case r.hasKeptResponse:
		m.failAfterAttempts(r)
	case entry == nil || entry.isEmpty() && !r.lookUpAnswered:
		// The control plane may be electing a primary. A request for a model
		// waits longer, since a load may be under way.
		if !hasModels && waitedMs >= unknownWaitMs || hopeless {
			m.reject(r, errkind.NoConfig, retryUnknownMs)
		}
	case entry.loadExpectedMs >= 0:
		m.waitForLoad(r, entry, answerTimeMs)
	case entry.loading:
		if hopeless {
			m.reject(r, errkind.PlacementTimeout, retryUnknownMs)
		}
	case !hasModels:
		if waitedMs >= max(minRunnerWaitMs, r.route.LatencyTargetMs/slotWaitDivisor) {
			m.reject(r, errkind.NoRunner, retryNoRunnerMs)
		}
	default:
		if hopeless {
			m.reject(r, errkind.NoRunner, retryUnknownMs)
		}
	}
}

// waitForLoad decides on a request whose model is expected to be loaded at a
// known time. It is rejected at once if that is too late to answer it, and
// later if the load is late.
func (m *Machine) waitForLoad(r *request, entry *cacheEntry, answerTimeMs int64) {
	usedMs := m.nowMs - r.arrivedMs
	executionMs := min(m.expectedLatencyMs(r.route.Name), answerTimeMs/4)
	loadTooLate := entry.loadExpectedMs > r.arrivedMs+answerTimeMs-executionMs
	timeNearlyOver := usedMs >= answerTimeMs*3/4
	mayBeLost := !entry.loading && m.nowMs > entry.loadExpectedMs+loadDelayMs
	loadOverdue := mayBeLost && usedMs >= answerTimeMs*hopelessPercent/100
	if loadTooLate || timeNearlyOver || loadOverdue {
		expectedMs := max(entry.loadExpectedMs, m.nowMs)
		m.reject(r, errkind.PlacementTimeout, expectedMs-m.nowMs+retryAfterLoadMs)
	}
}

// answerTimeMs is the time after its arrival in which a request can still be
// answered: until its deadline, or until the client of a stream gives up if
// the stream has not begun.
func (m *Machine) answerTimeMs(r *request) int64 {
	totalMs := r.deadlineMs - r.arrivedMs
	if r.route.Kind != config.Stream || r.forwarded {
		return totalMs
	}
	silenceMs := max(
		streamSilenceMs,
		streamSilenceTargets*r.route.LatencyTargetMs,
		streamSilenceGaps*r.route.MaxEventGapMs,
	)
	return min(totalMs, silenceMs)
}

// failAfterAttempts ends a request that gets no further attempt, with the
// error of the last one.
func (m *Machine) failAfterAttempts(r *request) {
	kind := r.lastErrorKind
	if kind == "" {
		kind = errkind.NoRunner
	}
	m.reject(r, kind, retryAfterAttemptsMs)
}

// reject ends a request with an error. If the client has a part of a response,
// its connection is aborted instead; a kept response of a runner is forwarded
// instead. A kind that states that the request has not run is replaced if a
// runner may have run it. retryMs is when the client should come back, 0 if
// that is not known.
func (m *Machine) reject(r *request, kind errkind.Kind, retryMs int64) {
	m.dequeue(r)
	delete(m.requests, r.ID)
	switch {
	case r.forwarded:
		m.Counters.Rejections[abortedStreams]++
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
		retryMs = m.limitRetry(r, retryMs)
	}
	m.reply(r.ID, Reject{Kind: kind, RetryMs: retryMs})
}

// limitRetry limits a Retry-After to three tenths of the client's remaining
// time, since clients ignore a longer one.
func (m *Machine) limitRetry(r *request, retryMs int64) int64 {
	leftMs := r.deadlineMs - m.nowMs
	if r.Params.TimeoutMs > 0 {
		leftMs = r.Params.TimeoutMs - (m.nowMs - r.arrivedMs)
	}
	return max(minRetryMs, min(retryMs, leftMs*maxRetryTenthsOfTimeout/10))
}

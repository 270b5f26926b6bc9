package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
)

const (
	// resumeWaitMs is how long a broken stream waits for a runner at which it can be
	// resumed. Clients tolerate a gap of about two seconds.
	resumeWaitMs = 1500
	// unknownWaitMs is how long a request without a model waits while nothing
	// is known about its service.
	unknownWaitMs = 1500
	// The client of a stream gives up after a pause, before the first event or later,
	// that is longer than the longest of these: a fixed time, a multiple of the route's
	// latency target, and a multiple of the route's longest gap between events.
	maxStreamPauseMs, maxStreamPauseTargets, maxStreamPauseGaps = 2000, 4, 8
	// maxLoadDelayMs is how late an expected load may be before it counts as overdue.
	maxLoadDelayMs = 500
	// defaultTargetMs replaces the latency target of a route that has none.
	defaultTargetMs = 400
	// A request waits for a free slot, or for a runner of a service without models, for
	// the route's latency target divided by slotWaitDivisor. The wait for a runner lasts
	// at least minRunnerWaitMs.
	slotWaitDivisor = 4
	minRunnerWaitMs = 50
	// earlyRejectionPercent is the part of the response window after which a request is
	// rejected if there is still no runner. The client may then have time for another
	// attempt.
	earlyRejectionPercent = 45
)

// Values of Retry-After by the cause of the rejection, and their limits.
const (
	retryAfterAttemptsMs    = 200 // no further attempt, or the deadline has passed
	retryNoRunnerMs         = 300 // a service without models has no runner
	retryUnknownMs          = 500 // it is not known when the request can be served
	retryShutdownMs         = 200 // this router is shutting down
	retryAfterLoadMs        = 50  // added to the time until an expected load
	minRetryMs              = 20  // minimum of every value
	minSlotRetryMs          = 50  // minimum if all runners are full
	minSlotRetryUnknownMs   = 100 // the same if the rate of free slots is not known
	maxRetryTenthsOfTimeout = 3   // maximum, in tenths of the client's remaining time
)

// waitForSlot handles a request whose runners are all full: it waits for a part of the
// latency target. A stream that is to be resumed waits longer.
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

// slotRetryMs estimates when a slot may be free for a rejected request, from the number
// of waiting requests and the rate at which attempts end at this router.
func (m *Machine) slotRetryMs(r *request) int64 {
	waiting := int64(m.slotWaiters[r.key.service])
	rate := m.completionRates[r.key.service]
	if rate == nil || rate.perSecond() <= 0 {
		return max(minSlotRetryUnknownMs, r.route.LatencyTargetMs)
	}
	return max(minSlotRetryMs, int64(float64(waiting*1000)/rate.perSecond()))
}

// waitForRunner handles a request for which no runner is known. It waits, or is rejected
// as soon as it is unlikely that a runner becomes available in time: a client that is
// rejected early has time left for a retry.
func (m *Machine) waitForRunner(r *request) {
	m.retryLookUp(r)
	responseWindowMs := m.responseWindowMs(r)
	waitedMs, usedMs := m.nowMs-r.waitingSinceMs, m.nowMs-r.arrivedMs
	rejectEarly := usedMs >= responseWindowMs*earlyRejectionPercent/100
	hasModels := r.service.Engine != nil
	switch entry := m.indexEntry(r.key); {
	case r.forwarded:
		if waitedMs >= resumeWaitMs {
			m.failAfterAttempts(r)
		}
	case r.hasKeptResponse:
		m.failAfterAttempts(r)
	case entry == nil || entry.isEmpty() && !r.lookUpReplied:
		// The control plane may be electing a primary. A request for a model
		// waits longer, because a load may be in progress.
		if !hasModels && waitedMs >= unknownWaitMs || rejectEarly {
			m.reject(r, errkind.ControlPlaneUnavailable, retryUnknownMs)
		}
	case entry.loadExpectedMs >= 0:
		m.waitForLoad(r, entry, responseWindowMs)
	case entry.loading:
		if rejectEarly {
			m.reject(r, errkind.PlacementTimeout, retryUnknownMs)
		}
	case !hasModels:
		if waitedMs >= max(minRunnerWaitMs, r.route.LatencyTargetMs/slotWaitDivisor) {
			m.reject(r, errkind.NoRunner, retryNoRunnerMs)
		}
	default:
		if rejectEarly {
			m.reject(r, errkind.NoRunner, retryUnknownMs)
		}
	}
}

// waitForLoad handles a request whose model is expected to be loaded at a known time. The
// request is rejected at once if the load is expected too late for a response. Otherwise
// it is rejected once the load is overdue or three quarters of the response window are
// over.
func (m *Machine) waitForLoad(r *request, entry *cacheEntry, responseWindowMs int64) {
	usedMs := m.nowMs - r.arrivedMs
	executionMs := min(m.expectedLatencyMs(r.route.Name), responseWindowMs/4)
	loadTooLate := entry.loadExpectedMs > r.arrivedMs+responseWindowMs-executionMs
	timeNearlyOver := usedMs >= responseWindowMs*3/4
	mayBeLost := !entry.loading && m.nowMs > entry.loadExpectedMs+maxLoadDelayMs
	loadOverdue := mayBeLost && usedMs >= responseWindowMs*earlyRejectionPercent/100
	if loadTooLate || timeNearlyOver || loadOverdue {
		expectedMs := max(entry.loadExpectedMs, m.nowMs)
		m.reject(r, errkind.PlacementTimeout, expectedMs-m.nowMs+retryAfterLoadMs)
	}
}

// responseWindowMs returns the time after its arrival in which a response to the request
// is still useful: until its deadline, or until the client of a stream gives up if the
// stream has not begun.
func (m *Machine) responseWindowMs(r *request) int64 {
	totalMs := r.deadlineMs - r.arrivedMs
	if r.route.Kind != config.Stream || r.forwarded {
		return totalMs
	}
	maxPauseMs := max(
		maxStreamPauseMs,
		maxStreamPauseTargets*r.route.LatencyTargetMs,
		maxStreamPauseGaps*r.route.MaxEventGapMs,
	)
	return min(totalMs, maxPauseMs)
}

// failAfterAttempts ends a request that gets no further attempt. The error kind of its
// last attempt is used, or NoRunner if it has none.
func (m *Machine) failAfterAttempts(r *request) {
	kind := r.lastErrorKind
	if kind == "" {
		kind = errkind.NoRunner
	}
	m.reject(r, kind, retryAfterAttemptsMs)
}

// reject ends a request with an error. If the client has already received a part of a
// response, its connection is aborted instead. Otherwise, if a failed response of a
// runner was kept, that response is forwarded instead. A kind that states that the
// request has not run is replaced by OutcomeUnknown if a runner may have run it. retryMs
// is the time after which the client should retry, or 0 if it is not known.
func (m *Machine) reject(r *request, kind errkind.Kind, retryMs int64) {
	m.dequeue(r)
	delete(m.requests, r.ID)
	switch {
	case r.forwarded:
		m.Counters.Rejections[abortedStreams]++
		m.reply(r.ID, AbortStream{})
		return
	case r.hasKeptResponse:
		m.reply(r.ID, ForwardKeptResponse{})
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

// limitRetry limits a Retry-After to three tenths of the client's remaining time, because
// clients ignore a longer one.
func (m *Machine) limitRetry(r *request, retryMs int64) int64 {
	leftMs := r.deadlineMs - m.nowMs
	if r.Params.TimeoutMs > 0 {
		leftMs = r.Params.TimeoutMs - (m.nowMs - r.arrivedMs)
	}
	return max(minRetryMs, min(retryMs, leftMs*maxRetryTenthsOfTimeout/10))
}

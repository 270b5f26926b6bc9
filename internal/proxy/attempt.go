package proxy

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// writeWindowMs is how long after the choice of the runner the first byte
	// of an attempt may be written.
	writeWindowMs = 400
	// unreachableMs is how long a request avoids a runner to which its connection failed.
	unreachableMs = 150
	// maxFailedDials is the number of failed connections after which a request is
	// rejected.
	maxFailedDials = 4
	// The urgencies of the routes' priorities 0 to 3 are 0, 3, 6 and 8, see urgency.
	urgencyStep = 3
	maxUrgency  = 8
)

// Outcome classifies the end of an attempt by what is known of its effect at the runner.
// It determines whether the request may be retried and which response its client may get.
type Outcome int

// The outcomes. After Expired, NotSent, Rejected and Misdirected the request
// counts as not run; after ServerError, ResponseLost, InvalidResponse and
// StreamBroken the runner may have run it.
const (
	// Completed means that the response was forwarded completely, or the client
	// disconnected.
	Completed Outcome = iota
	// Expired means that StartAttempt.WriteByMs passed before a byte was written.
	Expired
	// NotSent means that the attempt failed before a byte was written.
	NotSent
	// Rejected means that the runner rejected the request and stated that it did not run
	// it.
	Rejected
	// Misdirected means that a different runner responded, or the runner does not hold
	// the model or adapter.
	Misdirected
	// ServerError means that the runner responded with a server error, which is kept for
	// the client in case no other attempt succeeds.
	ServerError
	// ResponseLost means that bytes of the request were written, but no complete response
	// that can be forwarded arrived.
	ResponseLost
	// InvalidResponse means that the runner sent something that is not a valid response
	// to this request.
	InvalidResponse
	// StreamBroken means that a stream failed after a part of it was forwarded to the
	// client.
	StreamBroken
)

// startAttempt starts an attempt at a runner.
func (m *Machine) startAttempt(r *request, holder protocol.IndexHolder) {
	if !r.budgetCredited {
		r.budgetCredited = true
		m.retryBudget(r.service.Name).deposit(m.settings.Bounds.RetryRatio)
	}
	r.attempts++
	m.countAttempt(r)
	r.attemptActive, r.runnerID = true, holder.ID
	m.dequeue(r)
	runner := m.runnerState(holder.ID)
	runner.addInFlight(m.nowMs, 1, r.tokens)
	newConnection := r.needsNewConnection(r.attempts)
	if !newConnection {
		runner.useConnection(m.nowMs)
	}
	m.beginPrefill(r, holder.ID)
	m.reply(r.ID, StartAttempt{
		Params: AttemptParams{
			Runner: holder.ID, Urgency: urgency(r.route.Priority),
			LastEventID: r.lastEventID, WeightsVersion: r.weightsVersion,
		},
		Address: holder.Address, Route: r.route, NewConnection: newConnection,
		MaxIdle:   max(0, m.inFlightLimit(r.service)-runner.inFlight),
		WriteByMs: min(m.nowMs+writeWindowMs, r.deadlineMs), DeadlineMs: r.deadlineMs,
	})
}

// countAttempt counts an attempt that starts.
func (m *Machine) countAttempt(r *request) {
	m.Counters.Attempts++
	if r.attempts > 1 {
		m.Counters.Retries++
	}
	if r.forwarded {
		m.Counters.Resumes++
	}
}

// urgency maps a route's priority, 0 first, to the urgency that is sent to runners.
func urgency(priority int) int {
	return min(maxUrgency, urgencyStep*max(0, priority)-max(0, priority-2))
}

// needsNewConnection reports whether the attempt with this number, counted from 1, must
// not reuse an idle connection. The runner may be closing that connection at the same
// time, and no other attempt could follow.
func (r *request) needsNewConnection(attempt int) bool {
	return !r.route.Retryable() || attempt >= max(1, r.route.MaxAttempts)
}

// attemptsExhausted reports whether the request has used all attempts that its route
// allows.
func (r *request) attemptsExhausted() bool { return r.attempts >= max(1, r.route.MaxAttempts) }

// attemptEnded applies the outcome of an attempt: it updates what is known of
// the runner, then finishes the request or queues it for another attempt.
func (m *Machine) attemptEnded(in AttemptEnded) {
	r := m.requests[in.ID]
	if r == nil || !r.attemptActive {
		return
	}
	m.releaseSlot(r)
	m.runnerState(r.runnerID).connectionKept(m.nowMs, in.ConnectionIdleMs)
	r.recordProgress(in)
	r.waitingSinceMs = m.nowMs
	switch in.Outcome {
	case Completed:
		m.attemptCompleted(r)
	case Expired:
		r.undoAttempt()
	case NotSent:
		m.attemptNotSent(r)
	case Rejected:
		m.attemptRejected(r)
	case Misdirected:
		m.attemptMisdirected(r, in.OtherRunner)
	case ServerError, ResponseLost, InvalidResponse, StreamBroken:
		m.attemptFailed(r, in.Outcome)
	}
	m.requeue(r)
	m.dispatchQueue()
}

// recordProgress records how much of the response the client has received.
func (r *request) recordProgress(in AttemptEnded) {
	r.forwarded = r.forwarded || in.Forwarded
	if in.LastEventID != "" {
		r.lastEventID = in.LastEventID
	}
	if in.WeightsVersion > 0 {
		r.weightsVersion = in.WeightsVersion
	}
}

// attemptCompleted removes a request that is completed.
func (m *Machine) attemptCompleted(r *request) {
	m.runnerState(r.runnerID).recordSuccess()
	m.recordLatency(r.route.Name, m.nowMs-r.arrivedMs)
	delete(m.requests, r.ID)
}

// undoAttempt subtracts the last attempt from the count, because no byte of it was
// written. It then does not use up one of the attempts that the route allows.
func (r *request) undoAttempt() { r.attempts-- }

// attemptNotSent makes the request avoid an unreachable runner for a short time. After
// maxFailedDials of these attempts the request fails.
func (m *Machine) attemptNotSent(r *request) {
	m.runnerState(r.runnerID).recordFailure(m.nowMs)
	r.undoAttempt()
	r.unreachable = append(r.unreachable, r.runnerID)
	r.unreachableUntilMs = m.nowMs + unreachableMs
	r.lastErrorKind = errkind.NoRunner
	r.failedDials++
	if r.failedDials >= maxFailedDials {
		m.failAfterAttempts(r)
	}
}

// attemptRejected excludes a runner that rejected the request, and for a short time sends
// it no other request either.
func (m *Machine) attemptRejected(r *request) {
	m.runnerState(r.runnerID).markFull(m.nowMs)
	r.rejectedBy = append(r.rejectedBy, r.runnerID)
	r.lastErrorKind = errkind.RunnerRejected
}

// attemptMisdirected excludes a runner that does not hold what the request needs, also
// from the cached index entry. If another runner responded at the address, the expected
// one no longer exists and counts as draining.
func (m *Machine) attemptMisdirected(r *request, otherRunner bool) {
	if entry := m.cache.get(r.key); entry != nil && !r.forwarded {
		entry.exclude(m.nowMs, r.runnerID)
	}
	if otherRunner {
		m.markDraining(r.runnerID)
	}
	r.rejectedBy = append(r.rejectedBy, r.runnerID)
	r.lastErrorKind = errkind.RunnerRejected
}

// attemptFailed handles an attempt that the runner may have executed. The request is
// retried only if its route is retryable and, if a part of a stream was forwarded, the
// stream can be resumed.
func (m *Machine) attemptFailed(r *request, outcome Outcome) {
	if outcome != ServerError {
		m.runnerState(r.runnerID).recordFailure(m.nowMs)
	}
	r.mayHaveRun = true
	r.hasKeptResponse = outcome == ServerError
	r.failedAt = append(r.failedAt, r.runnerID)
	r.lastErrorKind = errkind.OutcomeUnknown
	if outcome == InvalidResponse {
		r.lastErrorKind = errkind.InvalidResponse
	}
	notResumable := r.forwarded && r.lastEventID == ""
	if !r.route.Retryable() || r.attemptsExhausted() || notResumable {
		m.failAfterAttempts(r)
	}
}

// requeue queues a request that is not finished, or fails it if no attempt is left.
func (m *Machine) requeue(r *request) {
	if m.requests[r.ID] == nil {
		return
	}
	m.enqueue(r)
	if r.attemptsExhausted() {
		m.failAfterAttempts(r)
	}
}

// releaseSlot updates the runner's state and the completion rate at the end of an
// attempt, whatever its outcome.
func (m *Machine) releaseSlot(r *request) {
	r.attemptActive = false
	m.endPrefill(r)
	m.runnerState(r.runnerID).addInFlight(m.nowMs, -1, -r.tokens)
	rate := m.completionRates[r.key.service]
	if rate == nil {
		rate = &completionRate{}
		m.completionRates[r.key.service] = rate
	}
	rate.record(m.nowMs)
}

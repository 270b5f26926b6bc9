package proxy

import "myrtlewinch/internal/errkind"

// Outcome classifies the end of an attempt by what is known of its effect at
// the runner. It decides whether the request may be sent again and what its
// client may be told.
type Outcome int

// The outcomes. After Expired, NotSent, Rejected and Misdirected the request counts
// as not run; after Failed, Lost, Nonsense and Cut the runner may have run it.
const (
	// Completed: the response was forwarded completely, or the client
	// disconnected.
	Completed Outcome = iota
	// Expired: Send.WriteByMs passed before a byte was written.
	Expired
	// NotSent: the attempt failed before a byte was written.
	NotSent
	// Rejected: the runner rejected the request and stated that it did not
	// run it.
	Rejected
	// Misdirected: a different runner responded, or the runner does not hold the
	// model or adapter.
	Misdirected
	// ServerError: the runner responded with a server error, which is kept for the
	// client in case no other attempt succeeds.
	ServerError
	// ResponseLost: bytes were written and no usable, complete response came.
	ResponseLost
	// InvalidResponse: what came is not a valid response to this request.
	InvalidResponse
	// StreamBroken: a stream failed after a part of it was forwarded to the client.
	StreamBroken
)

// attemptEnded applies the outcome of an attempt: it updates what is known of the
// runner, then finishes the request or queues it for another attempt.
func (m *Machine) attemptEnded(in AttemptEnded) {
	r := m.requests[in.ID]
	if r == nil || !r.attemptActive {
		return
	}
	m.releaseSlot(r)
	known := m.runnerState(r.runnerID)
	r.forwarded = r.forwarded || in.Forwarded
	if in.LastEventID != "" {
		r.lastEventID = in.LastEventID
	}
	if in.WeightsVersion > 0 {
		r.weightsVersion = in.WeightsVersion
	}
	r.waitingSinceMs = m.nowMs
	switch in.Outcome {
	case Completed:
		known.recordSuccess()
		m.recordLatency(r.route.Name, m.nowMs-r.arrivedMs)
		delete(m.requests, r.ID)
		m.dispatchQueue()
		return
	case Expired:
		// Nothing was tried, so nothing is used up.
		m.undoAttempt(r)
	case NotSent:
		known.recordFailure(m.nowMs)
		m.undoAttempt(r)
		r.unreachable, r.unreachableUntilMs = append(r.unreachable, r.runnerID), m.nowMs+unreachableMs
		r.lastErrorKind = errkind.NoRunner
		if r.failedDials++; r.failedDials >= maxFailedDials {
			m.failAfterAttempts(r)
		}
	case Rejected:
		known.markFull(m.nowMs)
		r.rejectedBy = append(r.rejectedBy, r.runnerID)
		r.lastErrorKind = errkind.RunnerRejected
	case Misdirected:
		if e := m.cache[r.key]; e != nil && !r.forwarded {
			e.exclude(m.nowMs, r.runnerID)
		}
		if in.OtherRunner {
			// Another has its address, so that life is over.
			m.markDraining(r.runnerID)
		}
		r.rejectedBy = append(r.rejectedBy, r.runnerID)
		r.lastErrorKind = errkind.RunnerRejected
	case ServerError, ResponseLost, InvalidResponse, StreamBroken:
		if in.Outcome != ServerError {
			known.recordFailure(m.nowMs)
		}
		r.mayHaveRun = true
		r.hasKeptResponse = in.Outcome == ServerError
		r.failedAt = append(r.failedAt, r.runnerID)
		r.lastErrorKind = errkind.OutcomeUnknown
		if in.Outcome == InvalidResponse {
			r.lastErrorKind = errkind.BrokenResponse
		}
		// What may have run goes on only if it may run twice.
		if !r.route.Retryable() || r.attempts >= max(1, r.route.MaxAttempts) || r.forwarded && r.lastEventID == "" {
			m.failAfterAttempts(r)
		}
	}
	if m.requests[r.ID] != nil {
		m.enqueue(r)
		if r.attempts >= max(1, r.route.MaxAttempts) {
			m.failAfterAttempts(r)
		}
	}
	m.dispatchQueue()
}

// prefillDone notes that a prompt is not being read any more.
func (m *Machine) prefillDone(r *request) {
	if r.prefillPending {
		r.prefillPending = false
		m.runnerState(r.runnerID).prefillTokens -= r.Params.PromptTokens
	}
}

// undoAttempt takes back a send of which no byte was written.
func (m *Machine) undoAttempt(r *request) { r.attempts-- }

// releaseSlot frees the place that a send took.
func (m *Machine) releaseSlot(r *request) {
	r.attemptActive = false
	m.prefillDone(r)
	m.runnerState(r.runnerID).addInFlight(m.nowMs, -1, -r.tokens)
	pace := m.completionRates[r.key.service]
	if pace == nil {
		pace = &completionRate{}
		m.completionRates[r.key.service] = pace
	}
	pace.record(m.nowMs)
}

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

// ended applies the outcome of an attempt: it updates what is known of the
// runner, then finishes the request or queues it for another attempt.
func (m *Machine) ended(in AttemptEnded) {
	r := m.requests[in.ID]
	if r == nil || !r.away {
		return
	}
	m.release(r)
	known := m.runner(r.runner)
	r.passed = r.passed || in.Forwarded
	if in.LastEventID != "" {
		r.after = in.LastEventID
	}
	if in.WeightsVersion > 0 {
		r.version = in.WeightsVersion
	}
	r.sinceMs = m.nowMs
	switch in.Outcome {
	case Completed:
		known.succeed()
		m.lasted(r.route.Name, m.nowMs-r.cameMs)
		delete(m.requests, r.ID)
		m.wake()
		return
	case Expired:
		// Nothing was tried, so nothing is used up.
		m.unsent(r)
	case NotSent:
		known.fail(m.nowMs)
		m.unsent(r)
		r.unreached, r.unreachedMs = append(r.unreached, r.runner), m.nowMs+unreachedMs
		r.last = errkind.NoRunner
		if r.dials++; r.dials >= dialsMost {
			m.giveUp(r)
		}
	case Rejected:
		known.fill(m.nowMs)
		r.refused = append(r.refused, r.runner)
		r.last = errkind.RunnerRejected
	case Misdirected:
		if e := m.cache[r.key]; e != nil && !r.passed {
			e.shun(m.nowMs, r.runner)
		}
		if in.OtherRunner {
			// Another has its address, so that life is over.
			m.leaves(r.runner)
		}
		r.refused = append(r.refused, r.runner)
		r.last = errkind.RunnerRejected
	case ServerError, ResponseLost, InvalidResponse, StreamBroken:
		if in.Outcome != ServerError {
			known.fail(m.nowMs)
		}
		r.mayHaveRun = true
		r.kept = in.Outcome == ServerError
		r.failed = append(r.failed, r.runner)
		r.last = errkind.OutcomeUnknown
		if in.Outcome == InvalidResponse {
			r.last = errkind.BrokenResponse
		}
		// What may have run goes on only if it may run twice.
		if !r.route.Retryable() || r.goes >= max(1, r.route.MaxAttempts) || r.passed && r.after == "" {
			m.giveUp(r)
		}
	}
	if m.requests[r.ID] != nil {
		m.wait(r)
		if r.goes >= max(1, r.route.MaxAttempts) {
			m.giveUp(r)
		}
	}
	m.wake()
}

// read notes that a prompt is not being read any more.
func (m *Machine) read(r *request) {
	if r.reads {
		r.reads = false
		m.runner(r.runner).reading -= r.Params.PromptTokens
	}
}

// unsent takes back a send of which no byte was written.
func (m *Machine) unsent(r *request) { r.goes-- }

// release frees the place that a send took.
func (m *Machine) release(r *request) {
	r.away = false
	m.read(r)
	m.runner(r.runner).change(m.nowMs, -1, -r.tokens)
	pace := m.paces[r.key.service]
	if pace == nil {
		pace = &paced{}
		m.paces[r.key.service] = pace
	}
	pace.note(m.nowMs)
}

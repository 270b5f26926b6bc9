package proxy

import "myrtlewinch/internal/errkind"

// Outcome classifies the end of an attempt by what is known of its effect at
// the runner. It decides whether the request may be sent again and what its
// client may be told.
type Outcome int

// The outcomes. After TooLate, NotSent, TurnedAway and NotHeld the request counts
// as not run; after Failed, Lost, Nonsense and Cut the runner may have run it.
const (
	// Answered: the response was forwarded completely, or the client
	// disconnected.
	Answered Outcome = iota
	// TooLate: Send.UntilMs passed before a byte was written.
	TooLate
	// NotSent: the attempt failed before a byte was written.
	NotSent
	// TurnedAway: the runner rejected the request and stated that it did not
	// run it.
	TurnedAway
	// NotHeld: a different runner responded, or the runner does not hold the
	// model or adapter.
	NotHeld
	// Failed: the runner responded with a server error, which is kept for the
	// client in case no other attempt succeeds.
	Failed
	// Lost: bytes were written and no usable, complete response came.
	Lost
	// Nonsense: what came is not a valid response to this request.
	Nonsense
	// Cut: a stream failed after a part of it was forwarded to the client.
	Cut
)

// ended applies the outcome of an attempt: it updates what is known of the
// runner, then finishes the request or queues it for another attempt.
func (m *Machine) ended(in Ended) {
	r := m.requests[in.ID]
	if r == nil || !r.away {
		return
	}
	m.release(r)
	known := m.runner(r.runner)
	r.passed = r.passed || in.Passed
	if in.After != "" {
		r.after = in.After
	}
	if in.Version > 0 {
		r.version = in.Version
	}
	r.sinceMs = m.nowMs
	switch in.Outcome {
	case Answered:
		known.succeed()
		m.lasted(r.route.Name, m.nowMs-r.cameMs)
		delete(m.requests, r.ID)
		m.wake()
		return
	case TooLate:
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
	case TurnedAway:
		known.fill(m.nowMs)
		r.refused = append(r.refused, r.runner)
		r.last = errkind.RunnerRejected
	case NotHeld:
		if e := m.cache[r.key]; e != nil && !r.passed {
			e.shun(m.nowMs, r.runner)
		}
		if in.Other {
			// Another has its address, so that life is over.
			m.leaves(r.runner)
		}
		r.refused = append(r.refused, r.runner)
		r.last = errkind.RunnerRejected
	case Failed, Lost, Nonsense, Cut:
		if in.Outcome != Failed {
			known.fail(m.nowMs)
		}
		r.mayHaveRun = true
		r.kept = in.Outcome == Failed
		r.failed = append(r.failed, r.runner)
		r.last = errkind.OutcomeUnknown
		if in.Outcome == Nonsense {
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
		m.runner(r.runner).reading -= r.Asked.PromptTokens
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

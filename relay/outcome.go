package relay

import "myrtlewinch/defect"

// Outcome is how a send ended.
type Outcome int

// The outcomes, by what is known of the runner.
const (
	// Answered: the client has its answer, or went away.
	Answered Outcome = iota
	// TooLate: it stood still too long before a byte was written.
	TooLate
	// NotSent: no byte was written.
	NotSent
	// TurnedAway: the runner said that it did not run it.
	TurnedAway
	// NotHeld: another runner answered, or it does not hold what was asked.
	NotHeld
	// Failed: the runner ran it and failed; the answer is kept for the client.
	Failed
	// Lost: bytes were written and no whole answer came.
	Lost
	// Nonsense: what came is no answer to this request.
	Nonsense
	// Cut: a stream broke off after pieces of it were passed on.
	Cut
)

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
		r.last = defect.NoRunner
		if r.dials++; r.dials >= dialsMost {
			m.giveUp(r)
		}
	case TurnedAway:
		known.fill(m.nowMs)
		r.refused = append(r.refused, r.runner)
		r.last = defect.RunnerDropped
	case NotHeld:
		if e := m.cache[r.key]; e != nil && !r.passed {
			e.shun(m.nowMs, r.runner)
		}
		if in.Other {
			// Another has its address, so that life is over.
			m.leaves(r.runner)
		}
		r.refused = append(r.refused, r.runner)
		r.last = defect.RunnerDropped
	case Failed, Lost, Nonsense, Cut:
		if in.Outcome != Failed {
			known.fail(m.nowMs)
		}
		r.mayHaveRun = true
		r.kept = in.Outcome == Failed
		r.failed = append(r.failed, r.runner)
		r.last = defect.OutcomeUnknown
		if in.Outcome == Nonsense {
			r.last = defect.BrokenAnswer
		}
		// What may have run goes on only if it may run twice.
		if !r.route.Repeatable() || r.goes >= max(1, r.route.Tries) || r.passed && r.after == "" {
			m.giveUp(r)
		}
	}
	if m.requests[r.ID] != nil {
		m.wait(r)
		if r.goes >= max(1, r.route.Tries) {
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

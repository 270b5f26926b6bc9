package router

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// unhealthyMs is how long a runner is the last choice after a failure.
const unhealthyMs = 1000

// request is the state of a client's request from its arrival to its end.
type request struct {
	Request
	key choice.Key
	// service is set by checkNames, and again at each choice of a runner.
	service *description.Service
	// arrivedMs is when it arrived, deadlineMs when it is rejected.
	arrivedMs  int64
	deadlineMs int64
	// lookUpID is the id of its look-up; lookUpAnswered says that the choice
	// table has answered it, or reported a change of the key since.
	lookUpID       uint64
	lookUpAnswered bool
	// cacheMiss says that no runner was known on arrival, missCounted that it
	// has been counted in MissesDelayed.
	cacheMiss   bool
	missCounted bool
	// isQueued says that it is counted in Machine.queued.
	isQueued bool
	// attemptActive says that an attempt at runner is under way; otherwise
	// runner is that of the last attempt.
	attemptActive bool
	runner        string
	// attempts counts the attempts without those that expired.
	attempts int
	// idRecorded says that its id is in Machine.recentIDs, budgetCredited that
	// the retry budget has had its deposit for it.
	idRecorded     bool
	budgetCredited bool
	// mayHaveRun is set by the first attempt that a runner may have executed:
	// from then on the client is never told that the request has not run.
	mayHaveRun bool
	// triedRunners are the processes that it was sent to.
	triedRunners map[protocol.LeavingRunner]bool
	// loadExpectedMs is when a runner may hold what it needs, by the last
	// answer of the choice table; 0 if that is not known.
	loadExpectedMs int64
	// lastErrorKind is the error kind of the last attempt, for the client if
	// no other attempt follows.
	lastErrorKind errkind.Kind
}

// idKey is the request's id among those of all services.
func (r *request) idKey() string { return r.Service + "/" + r.RequestID }

// admit takes a new request.
func (m *Machine) admit(in Request) {
	m.Counters.Requests++
	r := &request{
		Request: in, arrivedMs: m.nowMs, deadlineMs: m.nowMs + maxWaitMs,
		triedRunners: map[protocol.LeavingRunner]bool{},
		key:          choice.Key{Service: in.Service, Model: in.Model, Adapter: in.Adapter},
	}
	m.requests[in.ID] = r
	m.queue = append(m.queue, in.ID)
	if m.runStages(arrivalStages, r) {
		m.dispatch(r)
	}
}

// runStages runs stages until one does not proceed. It reports whether all
// did.
func (m *Machine) runStages(stages []stage, r *request) bool {
	for _, decide := range stages {
		d := decide(m, r)
		if d.proceed {
			continue
		}
		if d.kind != "" {
			m.reject(r, d.kind, d.detail)
		}
		return false
	}
	return true
}

// dispatch starts the next attempt of a request, rejects the request, or
// queues it.
func (m *Machine) dispatch(r *request) {
	if r.attemptActive || m.runStages(dispatchStages, r) {
		return
	}
	if m.requests[r.ID] != nil {
		m.enqueue(r)
	}
}

// dispatchQueue dispatches every request that has no attempt under way, the
// oldest first.
func (m *Machine) dispatchQueue() {
	kept := m.queue[:0]
	for _, id := range m.queue {
		if r := m.requests[id]; r != nil {
			m.dispatch(r)
		}
		if m.requests[id] != nil {
			kept = append(kept, id)
		}
	}
	m.queue = kept
}

// enqueue counts a request as waiting, or rejects it if the queue of its
// service is full.
func (m *Machine) enqueue(r *request) {
	if r.isQueued || r.service == nil {
		return
	}
	if m.queued[r.Service] >= int(r.service.MaxQueued) {
		m.reject(r, errkind.QueueFull, "too many requests of this service wait here")
		return
	}
	r.isQueued = true
	m.queued[r.Service]++
}

// dequeue counts a request as no longer waiting.
func (m *Machine) dequeue(r *request) {
	if r.isQueued {
		r.isQueued = false
		m.queued[r.Service]--
	}
}

// reject ends a request with an error. A kind that states that the request has
// not run is replaced if a runner may have run it.
func (m *Machine) reject(r *request, kind errkind.Kind, detail string) {
	if r.mayHaveRun && kind.Response().NotExecuted {
		kind, detail = errkind.OutcomeUnknown, "an earlier go may have run; then: "+detail
	}
	response := kind.Response()
	if r.idRecorded && response.NotExecuted {
		m.recentIDs.forget(r.idKey())
	}
	m.Counters.Rejections[kind]++
	rejection := Reject{Kind: kind, Detail: detail}
	if r.loadExpectedMs > m.nowMs && response.RetryAfterSec > 0 {
		rejection.RetryMs = r.loadExpectedMs - m.nowMs
	}
	m.respond(r.ID, rejection)
	m.forget(r)
}

// forget removes a request that has ended.
func (m *Machine) forget(r *request) {
	m.dequeue(r)
	delete(m.requests, r.ID)
}

// clientDisconnected forgets a request whose client disconnected.
func (m *Machine) clientDisconnected(id uint64) {
	r := m.requests[id]
	if r == nil {
		return
	}
	if r.attemptActive {
		// The attempt was ordered and will not begin any more.
		m.inFlight[r.runner]--
	} else if r.idRecorded && !r.mayHaveRun {
		// It has only waited, so its id may be used again.
		m.recentIDs.forget(r.idKey())
	}
	m.forget(r)
}

// attemptEnded applies the outcome of an attempt: it updates what is known of
// the runner, then finishes the request or dispatches it again.
func (m *Machine) attemptEnded(in AttemptEnded) {
	r := m.requests[in.ID]
	if r == nil || !r.attemptActive {
		return
	}
	r.attemptActive = false
	m.inFlight[r.runner]--
	process := r.triedProcess()
	switch in.Outcome {
	case Completed:
		m.forget(r)
		return
	case Expired:
		// No byte was written, so no attempt is used up.
		r.attempts--
		delete(r.triedRunners, process)
	case NotSent:
		m.unhealthyUntilMs[r.runner] = m.nowMs + unhealthyMs
		r.lastErrorKind = errkind.NoRunner
	case NotLoaded, OtherRunner:
		m.removeHolder(r.key, process)
		r.lastErrorKind = errkind.NoRunner
	case StaleRevision:
		m.highestSeenRevision = max(m.highestSeenRevision, in.Revision)
		r.lastErrorKind = errkind.NoConfig
		delete(r.triedRunners, process)
	case RunnerBusy:
		r.lastErrorKind = errkind.RunnerRejected
	case Duplicate:
		m.reject(r, errkind.DuplicateRequest, "the runner has seen this id; the first sending may have run")
		return
	case ResponseLost, InvalidResponse:
		m.attemptFailed(r, in.Outcome)
		return
	}
	m.dispatch(r)
}

// triedProcess returns the process that the last attempt was sent to.
func (r *request) triedProcess() protocol.LeavingRunner {
	for tried := range r.triedRunners {
		if tried.Runner == r.runner {
			return tried
		}
	}
	return protocol.LeavingRunner{Runner: r.runner}
}

// attemptFailed handles an attempt that the runner may have executed: the
// request is sent again only if its service is repeatable.
func (m *Machine) attemptFailed(r *request, outcome Outcome) {
	m.unhealthyUntilMs[r.runner] = m.nowMs + unhealthyMs
	r.mayHaveRun = true
	kind, detail := errkind.OutcomeUnknown, "the runner got the request and gave no whole answer; it may have run"
	if outcome == InvalidResponse {
		kind, detail = errkind.BrokenResponse, "what came from the runner is no answer to this request; it may have run"
	}
	if !r.service.Idempotent {
		m.reject(r, kind, detail)
		return
	}
	r.lastErrorKind = kind
	m.dispatch(r)
}

// respond adds an output for a request to the effects.
func (m *Machine) respond(id uint64, output Output) { m.outbox.Respond(id, output) }

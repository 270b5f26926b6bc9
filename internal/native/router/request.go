package router

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// unhealthyMs is how long a runner counts as unhealthy after a failure: unhealthyCost is added to
// its cost, so that healthy ones are preferred.
const unhealthyMs = 1000

// request is the state of a client's request from its arrival to its end.
type request struct {
	Request
	key choice.Key
	// service is set by checkNames, and again whenever a runner is chosen.
	service *description.Service
	// arrivedMs is when it arrived, deadlineMs its deadline.
	arrivedMs  int64
	deadlineMs int64
	// lookUpID is the id of its look-up. lookUpReplied is true once a controller has replied to
	// that, or has sent a notification about the key.
	lookUpID      uint64
	lookUpReplied bool
	// cacheMiss is true if no holder was cached on arrival, missCounted once it is counted in
	// Counters.MissesDelayed.
	cacheMiss   bool
	missCounted bool
	// isQueued is true while it is counted in Machine.queued.
	isQueued bool
	// attemptActive is true while an attempt at runner is in flight. Otherwise runner is the one
	// that was chosen last.
	attemptActive bool
	runner        string
	// attempts is the number of attempts, without those that ended as Expired.
	attempts int
	// idRecorded is true if its id was added to Machine.recentIDs, budgetCredited once its deposit
	// was added to the retry budget.
	idRecorded     bool
	budgetCredited bool
	// mayHaveRun is set by the first attempt that a runner may have executed. From then on the
	// client is never told that the request was not executed.
	mayHaveRun bool
	// triedRunners are the processes to which it was sent, except those that may be tried again.
	triedRunners map[protocol.LeavingRunner]bool
	// loadExpectedMs is when a runner is expected to hold the item that the request needs,
	// according to the last reply of a controller. It is 0 if that is not known.
	loadExpectedMs int64
	// lastErrorKind is the error kind of the last attempt. The client gets it if no other attempt
	// follows.
	lastErrorKind errkind.Kind
}

// idKey returns the request's id, qualified by the service.
func (r *request) idKey() string { return r.Service + "/" + r.RequestID }

// admit handles a new request.
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

// runStages runs stages until one does not proceed. It reports whether all of them did.
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

// dispatch starts the next attempt of a request, rejects the request, or queues it.
func (m *Machine) dispatch(r *request) {
	if r.attemptActive || m.runStages(dispatchStages, r) {
		return
	}
	if m.requests[r.ID] != nil {
		m.enqueue(r)
	}
}

// dispatchQueue dispatches every request that has no attempt in flight, the oldest first.
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

// enqueue counts a request as waiting, or rejects it if the queue of its service is full.
func (m *Machine) enqueue(r *request) {
	if r.isQueued || r.service == nil {
		return
	}
	if m.queued[r.Service] >= int(r.service.MaxQueued) {
		m.reject(r, errkind.Overloaded, "too many requests to this service are queued at this router")
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

// reject ends a request with an error. If a runner may have executed the request, a kind that
// states that it was not executed is replaced.
func (m *Machine) reject(r *request, kind errkind.Kind, detail string) {
	if r.mayHaveRun && kind.Response().NotExecuted {
		kind, detail = errkind.OutcomeUnknown, "an earlier attempt may have been executed; the last error: "+detail
	}
	response := kind.Response()
	if r.idRecorded && response.NotExecuted {
		m.recentIDs.remove(r.idKey())
	}
	m.Counters.Rejections[kind]++
	rejection := Reject{Kind: kind, Detail: detail}
	if r.loadExpectedMs > m.nowMs && response.RetryAfterSec > 0 {
		rejection.RetryMs = r.loadExpectedMs - m.nowMs
	}
	m.respond(r.ID, rejection)
	m.removeRequest(r)
}

// removeRequest removes a request that has ended.
func (m *Machine) removeRequest(r *request) {
	m.dequeue(r)
	delete(m.requests, r.ID)
}

// clientDisconnected removes a request whose client disconnected.
func (m *Machine) clientDisconnected(id uint64) {
	r := m.requests[id]
	if r == nil {
		return
	}
	if r.attemptActive {
		// The machine has requested the attempt, but the server will not start it.
		m.inFlight[r.runner]--
	} else if r.idRecorded && !r.mayHaveRun {
		// No runner has executed it, so its id may be used again.
		m.recentIDs.remove(r.idKey())
	}
	m.removeRequest(r)
}

// attemptEnded applies the outcome of an attempt: it updates what is known of the runner, then
// ends the request or dispatches it again.
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
		m.removeRequest(r)
		return
	case Expired:
		// No byte was written, so it does not count as an attempt.
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
		r.lastErrorKind = errkind.ControlPlaneUnavailable
		delete(r.triedRunners, process)
	case RunnerBusy:
		r.lastErrorKind = errkind.RunnerRejected
	case Duplicate:
		m.reject(r, errkind.DuplicateRequest, "the runner has received this id before; the earlier request may have been executed")
		return
	case ResponseLost, InvalidResponse:
		m.attemptFailed(r, in.Outcome)
		return
	}
	m.dispatch(r)
}

// triedProcess returns the process to which the last attempt was sent.
func (r *request) triedProcess() protocol.LeavingRunner {
	for tried := range r.triedRunners {
		if tried.Runner == r.runner {
			return tried
		}
	}
	return protocol.LeavingRunner{Runner: r.runner}
}

// attemptFailed handles an attempt that the runner may have executed: the request is sent again
// only if its service is idempotent.
func (m *Machine) attemptFailed(r *request, outcome Outcome) {
	m.unhealthyUntilMs[r.runner] = m.nowMs + unhealthyMs
	r.mayHaveRun = true
	kind, detail := errkind.OutcomeUnknown, "the request was sent to a runner and no complete response arrived; it may have been executed"
	if outcome == InvalidResponse {
		kind, detail = errkind.InvalidResponse, "the runner's response is not valid for this request, which may have been executed"
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

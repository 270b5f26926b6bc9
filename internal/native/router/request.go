package router

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// Inputs of the data plane.
type (
	// Request is what a sender asked.
	Request struct {
		ID                      uint64
		Service, Model, Adapter string
		// RequestID is the request's id towards the runner; Given says that the
		// sender chose it.
		RequestID     string
		ClientChoseID bool
		BodyBytes     int64
	}
	// AttemptEnded says how a go ended.
	AttemptEnded struct {
		ID      uint64
		Outcome Outcome
		// Revision is the higher one a runner told of.
		Revision uint64
	}
	// ClientDisconnected says that the sender went away.
	ClientDisconnected struct{ ID uint64 }
	// Drain begins a planned stop: nothing new is taken.
	Drain struct{}
)

// Outcome is how a go ended.
type Outcome int

// The outcomes, by what is known of the runner.
const (
	// Completed: the whole answer was relayed, or the relay has begun and the
	// rest is between the sender and the go.
	Completed Outcome = iota
	// Expired: the go's time had passed before a byte was written.
	Expired
	// NotSent: no byte was written.
	NotSent
	// NotLoaded, Stale, Other, Busy, Repeated: the runner said that it did not run it.
	NotLoaded
	StaleRevision
	OtherRunner
	RunnerBusy
	Duplicate
	// ResponseLost: bytes were written and no whole answer came.
	ResponseLost
	// InvalidResponse: what came is not an answer to this request.
	InvalidResponse
)

// StartAttempt tells the shell to send a request to a runner.
type StartAttempt struct {
	RequestID, Service, Model, Adapter string
	Runner, Address, Incarnation       string
	Revision                           uint64
	Streaming, Repeatable              bool
	// WriteByMs is the last moment at which the first byte may be written.
	WriteByMs  int64
	DeadlineMs int64
	// ChunkTimeoutMs is the most that may pass between two pieces of a telling.
	ChunkTimeoutMs int64
}

// request is one that is under way here.
type request struct {
	Request
	key            choice.Key
	service        *description.Service
	arrivedMs      int64
	deadlineMs     int64
	lookUpID       uint64
	lookUpAnswered bool
	cacheMiss      bool
	missCounted    bool
	isQueued       bool
	attemptActive  bool
	attempts       int
	idRecorded     bool
	budgetCredited bool
	// mayHaveRun is set once a go was lost: from then on no answer is a drop.
	mayHaveRun   bool
	runner       string
	triedRunners map[protocol.LeavingRunner]bool
	// loadExpectedMs is when what it needs may be held, by the index's last word, or
	// nought.
	loadExpectedMs int64
	// lastErrorKind is the kind a request gets when no further go is to be had.
	lastErrorKind errkind.Kind
}

// Policy is one step on the way of a request. The way ends at the first step
// that does not say next.
type Policy interface {
	Decide(m *Machine, r *request) verdict
}

type verdict struct {
	next bool
	// kind ends the request; without one it waits.
	kind   errkind.Kind
	detail string
}

var (
	next = verdict{next: true}
	wait = verdict{}
)

func drop(kind errkind.Kind, detail string) verdict { return verdict{kind: kind, detail: detail} }

// The ways: what is asked when a request comes, and at each later turn.
var (
	arrival = []Policy{namePolicy{}, repeatPolicy{}, roomPolicy{}, lookUpPolicy{}}
	turn    = []Policy{timePolicy{}, wordPolicy{}, choicePolicy{}, budgetPolicy{}, sendPolicy{}}
)

func (m *Machine) admit(in Request) {
	m.Counters.Requests++
	r := &request{
		Request: in, arrivedMs: m.nowMs, deadlineMs: m.nowMs + maxWaitMs, triedRunners: map[protocol.LeavingRunner]bool{},
		key: choice.Key{Service: in.Service, Model: in.Model, Adapter: in.Adapter},
	}
	m.requests[in.ID] = r
	m.queue = append(m.queue, in.ID)
	if m.runStages(arrival, r) {
		m.dispatch(r)
	}
}

// runStages leads a request along a way; true says that it came to the end.
func (m *Machine) runStages(way []Policy, r *request) bool {
	for _, policy := range way {
		v := policy.Decide(m, r)
		if v.next {
			continue
		}
		if v.kind != "" {
			m.reject(r, v.kind, v.detail)
		}
		return false
	}
	return true
}

func (m *Machine) dispatch(r *request) {
	if !r.attemptActive && !m.runStages(turn, r) && m.requests[r.ID] != nil {
		m.enqueue(r)
	}
}

// enqueue gives a waiting request its place, or drops it where there is none.
func (m *Machine) enqueue(r *request) {
	if r.isQueued || r.service == nil {
		return
	}
	if m.queued[r.Service] >= int(r.service.Holding) {
		m.reject(r, errkind.QueueFull, "too many requests of this service wait here")
		return
	}
	r.isQueued = true
	m.queued[r.Service]++
}

func (m *Machine) reject(r *request, kind errkind.Kind, detail string) {
	if r.mayHaveRun && kind.Response().NotExecuted {
		kind, detail = errkind.OutcomeUnknown, "an earlier go may have run; then: "+detail
	}
	if r.idRecorded && kind.Response().NotExecuted {
		m.recentIDs.forget(r.Service + "/" + r.RequestID)
	}
	m.Counters.Rejections[kind]++
	said := protocol.Rejection{Kind: kind, Detail: detail}
	if r.loadExpectedMs > m.nowMs && kind.Response().RetryAfterSec > 0 {
		said.RetryMs = r.loadExpectedMs - m.nowMs
	}
	m.answer(r.ID, said)
	m.forget(r)
}

func (m *Machine) dequeue(r *request) {
	if r.isQueued {
		r.isQueued = false
		m.queued[r.Service]--
	}
}

func (m *Machine) forget(r *request) {
	m.dequeue(r)
	delete(m.requests, r.ID)
}

// dispatchQueue gives every waiting request its turn, the eldest first.
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

func (m *Machine) attemptEnded(in AttemptEnded) {
	r := m.requests[in.ID]
	if r == nil || !r.attemptActive {
		return
	}
	r.attemptActive = false
	m.inFlight[r.runner]--
	mark := protocol.LeavingRunner{Runner: r.runner}
	for tried := range r.triedRunners {
		if tried.Runner == r.runner {
			mark = tried
		}
	}
	switch in.Outcome {
	case Completed:
		m.forget(r)
		return
	case Expired:
		// Nothing was tried, so nothing is used up.
		r.attempts--
		delete(r.triedRunners, mark)
	case NotSent:
		m.unhealthyUntilMs[r.runner] = m.nowMs + unhealthyMs
		r.lastErrorKind = errkind.NoRunner
	case NotLoaded, OtherRunner:
		m.removeHolder(r.key, mark)
		r.lastErrorKind = errkind.NoRunner
	case StaleRevision:
		m.highestSeenRevision = max(m.highestSeenRevision, in.Revision)
		r.lastErrorKind = errkind.NoConfig
		delete(r.triedRunners, mark)
	case RunnerBusy:
		r.lastErrorKind = errkind.RunnerRejected
	case Duplicate:
		m.reject(r, errkind.DuplicateRequest, "the runner has seen this id; the first sending may have run")
		return
	case ResponseLost, InvalidResponse:
		m.unhealthyUntilMs[r.runner] = m.nowMs + unhealthyMs
		r.mayHaveRun = true
		kind, detail := errkind.OutcomeUnknown, "the runner got the request and gave no whole answer; it may have run"
		if in.Outcome == InvalidResponse {
			kind, detail = errkind.BrokenResponse, "what came from the runner is no answer to this request; it may have run"
		}
		// What may have run goes on only if it may run twice.
		if !r.service.Repeatable {
			m.reject(r, kind, detail)
			return
		}
		r.lastErrorKind = kind
	}
	m.dispatch(r)
}

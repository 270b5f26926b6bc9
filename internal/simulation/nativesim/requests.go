package nativesim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// clientRequest is one sending of a client's request to a router.
type clientRequest struct {
	// id is the sending's own, name the request's: a client keeps the name when
	// it sends a request again.
	id             uint64
	name           string
	service        string
	model, adapter string
	// probe only finds out which description a router uses; it is not counted.
	probe bool
	// retries is how often the client has sent it again after a drop.
	retries int
	// duplicate is one of two sendings at once.
	duplicate bool

	world  *World
	router nodeProcess
	done   bool
	// retryMs is when the router's drop said to send it again, or 0.
	retryMs int64
	// attempting says that the router's process is on its way to a runner and
	// back.
	attempting bool
	// pieces counts the pieces of a stream that reached the router.
	pieces int
	// disconnected is set once the client went away; what the router answers
	// reaches no one.
	disconnected bool
}

// submitTo sends a request to a router.
func (w *World) submitTo(routerName string, request clientRequest) {
	n := w.nodes[routerName]
	w.clients.submissions++
	r := &request
	r.id, r.world, r.router.node = w.clients.submissions, w, n
	w.Checker.RequestSubmitted(r.service, r.name)
	w.transmit(clientsEndpoint, n.name, r.arrive, func() { r.finish(outcomeNotConnected, false) })
}

// arrive is the request's arrival at the router.
func (r *clientRequest) arrive() {
	w, n := r.world, r.router.node
	if !n.up {
		r.finish(outcomeNotConnected, false)
		return
	}
	r.router = n.process()
	n.pending[r.id] = r
	w.deliver(r.router, router.Request{
		ID: r.id, Service: r.service, Model: r.model, Adapter: r.adapter,
		RequestID: r.name, ClientChoseID: true, BodyBytes: 100,
	})
	if !r.probe && w.Random.Intn(disconnectShare) == 0 {
		w.events.After(w.Random.Int63n(3000), r.disconnect)
	}
}

// routerAnswered handles what the router's state machine responds: a rejection,
// or an attempt to start.
func (r *clientRequest) routerAnswered(body protocol.Reply) {
	switch response := body.(type) {
	case router.Reject:
		r.retryMs = response.RetryMs
		r.answer(testbackend.Outcome(response.Kind), response.Kind.Response().NotExecuted)
	case router.StartAttempt:
		r.startAttempt(response)
	}
}

// answer carries the last word on the request to the client.
func (r *clientRequest) answer(outcome testbackend.Outcome, dropped bool) {
	arrive := func() { r.finish(outcome, dropped) }
	r.world.transmit(r.router.node.name, clientsEndpoint, arrive, func() { r.finish(outcomeStreamBroke, false) })
	delete(r.router.node.pending, r.id)
}

// streamBroke is the client's connection breaking.
func (r *clientRequest) streamBroke() {
	delete(r.router.node.pending, r.id)
	r.finish(outcomeStreamBroke, false)
}

// disconnect is the client going away: its connection closes, and an attempt in
// flight is broken off.
func (r *clientRequest) disconnect() {
	if r.done || r.router.node.pending[r.id] != r {
		return
	}
	r.disconnected = true
	r.finish(outcomeDisconnected, false)
	delete(r.router.node.pending, r.id)
	if !r.attempting {
		r.world.deliver(r.router, router.ClientDisconnected{ID: r.id})
	}
}

// finish ends the request for its client, once.
func (r *clientRequest) finish(outcome testbackend.Outcome, dropped bool) {
	if r.done {
		return
	}
	r.done = true
	w := r.world
	w.Checker.RequestEnded(w.events.NowMs(), r.service, r.name, string(outcome), dropped)
	if r.probe {
		return
	}
	w.requestEnded(r.service, outcome)
	isRetry := r.retries > 0 && r.retries <= maxClientRetries
	if isRetry && !r.duplicate {
		w.clients.retryOutcomes[outcome]++
	}
	r.scheduleRetry(outcome, dropped)
	if outcome == outcomeAnswered && r.model != "" {
		w.clients.answersByModel[r.model]++
	}
}

// scheduleRetry sends a dropped request again, with its name, when the drop
// said to, through any router.
func (r *clientRequest) scheduleRetry(outcome testbackend.Outcome, dropped bool) {
	w := r.world
	kind := errkind.Kind(outcome)
	if !dropped || kind.Response().RetryAfterSec == 0 {
		return
	}
	if r.retries >= maxClientRetries || w.clients.stopped {
		return
	}
	next := clientRequest{name: r.name, service: r.service, model: r.model, adapter: r.adapter, retries: r.retries + 1}
	pauseSec := errkind.ErrorBody{Kind: kind, RetryMs: r.retryMs}.RetryAfterSec()
	w.events.After(int64(pauseSec)*1000, func() { w.submitTo(w.randomNode(protocol.RoleRouter), next) })
}

func sortedIDs(requests map[uint64]*clientRequest) []uint64 {
	return slices.Sorted(maps.Keys(requests))
}

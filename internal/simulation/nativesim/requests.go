package nativesim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// clientRequest is a client's request as it is sent to one router.
type clientRequest struct {
	// submissionID is new each time that the request is sent to a router; a client
	// keeps the requestID when it sends a request again.
	submissionID   uint64
	requestID      string
	service        string
	model, adapter string
	// probe is true for a request that only finds out which description a router
	// uses. Its outcome is not counted.
	probe bool
	// retries is how often the client has sent the request again after it was
	// rejected without having run.
	retries int
	// duplicate is true if the client sends the request twice to the same router.
	duplicate bool

	world  *World
	router nodeProcess
	done   bool
	// retryMs is the delay after which the router's rejection allows a retry, or 0.
	retryMs int64
	// attemptInFlight is true while the router's process has an attempt in flight.
	attemptInFlight bool
	// chunksReceived counts the chunksReceived of a response that reached the router.
	chunksReceived int
	// disconnected is set once the client closed the connection. The router's
	// response is lost then.
	disconnected bool
}

// submitTo sends a request to a router.
func (w *World) submitTo(routerName string, request clientRequest) {
	n := w.nodes[routerName]
	w.clients.submissions++
	r := &request
	r.submissionID, r.world, r.router.node = w.clients.submissions, w, n
	w.Checker.RequestSubmitted(r.service, r.requestID)
	w.transmit(clientsEndpoint, n.name, r.arrive, func() { r.finish(outcomeNotConnected, false) })
}

// arrive handles the request's arrival at the router.
func (r *clientRequest) arrive() {
	w, n := r.world, r.router.node
	if !n.up {
		r.finish(outcomeNotConnected, false)
		return
	}
	r.router = n.process()
	n.pending[r.submissionID] = r
	w.deliver(r.router, router.Request{
		ID: r.submissionID, Service: r.service, Model: r.model, Adapter: r.adapter,
		RequestID: r.requestID, ClientChoseID: true, BodyBytes: 100,
	})
	if !r.probe && w.Random.Intn(disconnectOneIn) == 0 {
		w.events.After(w.Random.Int63n(3000), r.disconnect)
	}
}

// handleRouterReply handles a reply of the router's state machine: a rejection,
// or an attempt to start.
func (r *clientRequest) handleRouterReply(body protocol.Reply) {
	switch reply := body.(type) {
	case router.Reject:
		r.retryMs = reply.RetryMs
		r.respondToClient(testbackend.Outcome(reply.Kind), reply.Kind.Response().NotExecuted)
	case router.StartAttempt:
		r.startAttempt(reply)
	}
}

// respondToClient transmits the final outcome of the request to the client. With
// notExecuted it promises that the request did not run.
func (r *clientRequest) respondToClient(outcome testbackend.Outcome, notExecuted bool) {
	arrive := func() { r.finish(outcome, notExecuted) }
	r.world.transmit(r.router.node.name, clientsEndpoint, arrive, func() { r.finish(outcomeConnectionLost, false) })
	delete(r.router.node.pending, r.submissionID)
}

// connectionLost handles the loss of the connection between client and router.
func (r *clientRequest) connectionLost() {
	delete(r.router.node.pending, r.submissionID)
	r.finish(outcomeConnectionLost, false)
}

// disconnect closes the client's connection. The router learns of it at once, or
// at the end of an attempt in flight.
func (r *clientRequest) disconnect() {
	if r.done || r.router.node.pending[r.submissionID] != r {
		return
	}
	r.disconnected = true
	r.finish(outcomeClientDisconnected, false)
	delete(r.router.node.pending, r.submissionID)
	if !r.attemptInFlight {
		r.world.deliver(r.router, router.ClientDisconnected{ID: r.submissionID})
	}
}

// finish ends the request for its client. Only the first call has an effect.
func (r *clientRequest) finish(outcome testbackend.Outcome, notExecuted bool) {
	if r.done {
		return
	}
	r.done = true
	w := r.world
	w.Checker.RequestEnded(w.events.NowMs(), r.service, r.requestID, string(outcome), notExecuted)
	if r.probe {
		return
	}
	w.requestEnded(r.service, outcome)
	isRetry := r.retries > 0 && r.retries <= maxClientRetries
	if isRetry && !r.duplicate {
		w.clients.retryOutcomes[outcome]++
	}
	r.scheduleRetry(outcome, notExecuted)
	if outcome == outcomeAnswered && r.model != "" {
		w.clients.responsesByModel[r.model]++
	}
}

// scheduleRetry sends the request again if it was rejected without having run:
// with the same request id, through any router, after the delay that the
// rejection names.
func (r *clientRequest) scheduleRetry(outcome testbackend.Outcome, notExecuted bool) {
	w := r.world
	kind := errkind.Kind(outcome)
	if !notExecuted || kind.Response().RetryAfterSec == 0 {
		return
	}
	if r.retries >= maxClientRetries || w.clients.stopped {
		return
	}
	next := clientRequest{requestID: r.requestID, service: r.service, model: r.model, adapter: r.adapter, retries: r.retries + 1}
	pauseSec := errkind.ErrorBody{Kind: kind, RetryMs: r.retryMs}.RetryAfterSec()
	w.events.After(int64(pauseSec)*1000, func() { w.submitTo(w.randomNode(protocol.RoleRouter), next) })
}

func sortedIDs(requests map[uint64]*clientRequest) []uint64 {
	return slices.Sorted(maps.Keys(requests))
}

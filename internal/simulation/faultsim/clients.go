package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

const (
	// clientsEndpoint is the name of the clients' endpoint in the network.
	clientsEndpoint = "clients"
	// usualIntervalMs is the mean time between two requests, and burstIntervalMs the mean time
	// during a burst.
	usualIntervalMs = 25
	burstIntervalMs = 10
	plainTimeoutMs  = 2500
	streamTimeoutMs = 5000
	// clientTimeoutMarginMs is how much longer than its stated timeout a client waits.
	clientTimeoutMarginMs = 400
	// maxClientRetries bounds the retries after rejections.
	maxClientRetries = 2
	// unavailableStatus is the HTTP status of rejections after which clients retry.
	unavailableStatus = 503
)

// The paths that clients request. The first segment names the route; see configurations.go.
const (
	safePath   = "/safe/x"
	unsafePath = "/unsafe/x"
	resumePath = "/resume/x"
	oncePath   = "/once/x"
	markPath   = "/mark/x"
)

// clientOutcome is how a request ended from its client's point of view.
type clientOutcome string

const (
	clientPending  clientOutcome = ""
	clientAnswered clientOutcome = "answered"
	// clientFailed means that the client got an error response of a runner.
	clientFailed clientOutcome = "failed"
	// clientAborted means that the router ended the response before it was complete.
	clientAborted      clientOutcome = "aborted"
	clientDisconnected clientOutcome = "disconnected"
	clientTimedOut     clientOutcome = "timed out"
	clientRejected     clientOutcome = "rejected"
)

// clients send requests to the routers, to some routers more than to others.
type clients struct {
	sim        *Simulation
	running    bool
	lastID     int
	requests   []*clientRequest
	intervalMs int64
	// popularModel and the next model get most of the requests, unless drawAllModels is set: then
	// all models get equally many.
	popularModel  int
	drawAllModels bool
	outcomes      map[clientOutcome]int
	// useStoppingRouters is true if clients also send new requests to routers that are shutting
	// down. A load balancer uses these routers if too few others are ready.
	useStoppingRouters bool
}

func newClients(sim *Simulation) clients {
	return clients{sim: sim, intervalMs: usualIntervalMs, outcomes: map[clientOutcome]int{}}
}

// clientRequest is one request of a client.
type clientRequest struct {
	sim         *Simulation
	id          string
	path        string
	router      string
	incarnation int
	sentMs      int64
	timeoutMs   int64
	params      proxy.RequestParams
	// retries counts the earlier requests that this one repeats after their rejections.
	retries int
	outcome clientOutcome
	// chunksReceived is how many chunksReceived of a stream the client has received.
	chunksReceived int
	// proxied is the request at the router, or nil before it has arrived there.
	proxied *proxiedRequest
}

// start makes clients send requests from now on.
func (c *clients) start() {
	if !c.running {
		c.running = true
		c.scheduleNext()
	}
}

// scheduleNext sends a request now and schedules the next one.
func (c *clients) scheduleNext() {
	if !c.running {
		return
	}
	c.sim.after(1+c.sim.random.Int63n(2*c.intervalMs), func() { c.scheduleNext() })
	available := slices.DeleteFunc(c.sim.nodeNames(protocol.RoleRouter), func(name string) bool {
		n := c.sim.nodes[name]
		return !n.isUp || n.isStopping && !c.useStoppingRouters
	})
	if len(available) == 0 {
		return
	}
	// The first available router gets twice as many requests as any other.
	router := available[max(0, c.sim.random.Intn(len(available)+1)-1)]
	c.send(router, c.drawPath(), 0)
}

// drawPath draws the path of a request.
func (c *clients) drawPath() string {
	switch draw := c.sim.random.Intn(100); {
	case draw < 25:
		return safePath
	case draw < 45:
		return unsafePath
	case draw < 65:
		return resumePath
	case draw < 75:
		return oncePath
	case draw < 90:
		return markPath
	}
	return onlyPath(c.sim.operators.acceptedVersion)
}

// onlyPath returns a path for which only the given version of the configuration has a route.
func onlyPath(version uint64) string { return fmt.Sprintf("/only-%d/x", version) }

// send sends one request to a router.
func (c *clients) send(router, path string, retries int) {
	n := c.sim.nodes[router]
	if !n.isUp || n.isStopping && retries == 0 && !c.useStoppingRouters {
		return
	}
	c.lastID++
	r := &clientRequest{
		sim: c.sim, id: fmt.Sprintf("t%d", c.lastID), path: path, router: router, incarnation: n.incarnation,
		sentMs: c.sim.NowMs(), timeoutMs: plainTimeoutMs, retries: retries,
	}
	r.params = proxy.RequestParams{RequestID: r.id}
	if r.isStream() {
		r.timeoutMs = streamTimeoutMs
		c.drawModelParams(r)
	}
	r.params.TimeoutMs = r.timeoutMs
	c.requests = append(c.requests, r)
	c.sim.Checker.recordRequest(r)
	incarnation := n.incarnation
	disconnect := func() { r.complete(clientDisconnected) }
	c.sim.transmit(clientsEndpoint, router, func() {
		if !n.isRunning(incarnation) {
			disconnect()
			return
		}
		r.arriveAt(n)
	}, disconnect)
	c.sim.after(r.timeoutMs+clientTimeoutMarginMs, r.timeOut)
}

// drawModelParams draws the model, the adapter and the prompt of a request.
func (c *clients) drawModelParams(r *clientRequest) {
	r.params.Model = modelName(c.chooseModel())
	if r.params.Model == modelName(modelWithAdapters) && c.sim.random.Intn(2) == 0 {
		r.params.Adapter = fmt.Sprintf("a%d", 1+c.sim.random.Intn(adapterCount))
	}
	r.params.PromptTokens, r.params.MaxOutputTokens = 200+c.sim.random.Int63n(1500), 50
	r.params.PromptParts = []proxy.PromptPart{{ID: fmt.Sprint("p", c.sim.random.Intn(5)), Tokens: 100}, {ID: r.id, Tokens: 100}}
}

// chooseModel draws a model: usually one of the two popular ones.
func (c *clients) chooseModel() int {
	if c.drawAllModels || c.sim.random.Intn(10) == 0 {
		return c.sim.random.Intn(modelCount)
	}
	return (c.popularModel + c.sim.random.Intn(2)) % modelCount
}

// arriveAt handles the arrival of the request at its router.
func (r *clientRequest) arriveAt(n *node) {
	n.lastRequestID++
	r.proxied = &proxiedRequest{
		sim: r.sim, router: n, incarnation: n.incarnation, id: n.lastRequestID, client: r, params: r.params,
	}
	n.requests[r.proxied.id] = r.proxied
	r.sim.deliver(n, n.incarnation, proxy.Request{ID: r.proxied.id, Host: requestHost, Path: r.path, Params: r.params})
}

func (r *clientRequest) isStream() bool { return r.path == resumePath || r.path == oncePath }

// deliver calls arrive once a transmission from the router arrives at the client. If the link is
// blocked, the client sees a broken connection.
func (r *clientRequest) deliver(from string, arrive func()) {
	r.sim.transmit(from, clientsEndpoint, arrive, func() { r.complete(clientDisconnected) })
}

// receiveChunk receives a chunk of a stream and checks its order. It is called when the router
// forwards the chunk, because a connection preserves the order.
func (r *clientRequest) receiveChunk(chunk int) {
	if chunk != r.chunksReceived+1 {
		r.sim.Checker.report(RuleOrder, r.sim.NowMs(), "%s: received chunk %d after chunk %d", r.id, chunk, r.chunksReceived)
	}
	r.chunksReceived = chunk
}

// complete records how the request ended for its client. Only the first outcome counts.
func (r *clientRequest) complete(outcome clientOutcome) {
	if r.outcome != clientPending {
		r.checkSecondOutcome(outcome)
		return
	}
	r.outcome = outcome
	r.sim.clients.outcomes[outcome]++
	if outcome == clientAnswered && r.isStream() && r.chunksReceived != chunksPerStream {
		r.sim.Checker.report(RuleOrder, r.sim.NowMs(), "%s was completed with a wrong number of chunks: %d", r.id, r.chunksReceived)
	}
}

// checkSecondOutcome reports a second response to a request. It ignores responses after a timeout
// or a lost connection, because the client does not receive them.
func (r *clientRequest) checkSecondOutcome(outcome clientOutcome) {
	isConnected := r.outcome != clientTimedOut && r.outcome != clientDisconnected
	if isConnected && outcome != clientDisconnected {
		r.sim.Checker.report(RuleAnswer, r.sim.NowMs(), "%s got a second outcome %q after %q", r.id, outcome, r.outcome)
	}
}

// handleRejection handles a rejection by the router. The client retries after retryMs if the status
// allows that and its timeout has not passed.
func (r *clientRequest) handleRejection(kind errkind.Kind, retryMs int64) {
	if r.outcome != clientPending {
		r.complete(clientRejected)
		return
	}
	sim := r.sim
	r.complete(clientRejected + ": " + clientOutcome(kind))
	sim.Checker.recordRequestRejected(r, kind)
	if kind.Response().Status != unavailableStatus {
		return
	}
	hasTimeLeft := sim.NowMs()-r.sentMs < r.timeoutMs
	if !hasTimeLeft {
		return
	}
	if retryMs <= 0 {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s was rejected as %q without a retry delay", r.id, kind)
		return
	}
	if r.retries < maxClientRetries && sim.clients.running {
		sim.after(retryMs, r.retry)
	}
}

// retry sends the request again, to a random router.
func (r *clientRequest) retry() {
	routers := r.sim.nodeNames(protocol.RoleRouter)
	r.sim.clients.send(routers[r.sim.random.Intn(len(routers))], r.path, r.retries+1)
}

// timeOut ends the request at its client, which then closes the connection.
func (r *clientRequest) timeOut() {
	if r.outcome != clientPending {
		return
	}
	r.checkUnanswered()
	r.complete(clientTimedOut)
	if p := r.proxied; p != nil {
		p.runInRouter(p.handleClientDisconnect)
	}
}

// checkUnanswered reports a request without a response that has no attempt in flight at a runner,
// although its router has had no fault.
func (r *clientRequest) checkUnanswered() {
	sim, n := r.sim, r.sim.nodes[r.router]
	isIdle := r.proxied != nil && !r.proxied.isFinished && !r.proxied.isAttemptInFlight
	if isIdle && n.isHealthy() && sim.connectivity.isFaultFreeSince(n.name, r.sentMs) {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s (%s) got no response from %s before its timeout and has no attempt in flight", r.id, r.path, r.router)
	}
}

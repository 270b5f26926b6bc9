package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

const (
	// clientsEndpoint is the clients' name in the network.
	clientsEndpoint = "clients"
	// usualIntervalMs is the mean time between two requests, burstIntervalMs that
	// in a burst.
	usualIntervalMs = 25
	burstIntervalMs = 10
	plainTimeoutMs  = 2500
	streamTimeoutMs = 5000
	// giveUpSlackMs is how much longer than its timeout a client waits.
	giveUpSlackMs = 400
	// maxClientRetries bounds the retries after rejections.
	maxClientRetries = 2
	// unavailableStatus is the HTTP status of rejections that may be retried.
	unavailableStatus = 503
)

// The paths that clients ask for. The first part names the route; see
// configurations.go.
const (
	safePath   = "/safe/x"
	unsafePath = "/unsafe/x"
	resumePath = "/resume/x"
	oncePath   = "/once/x"
	markPath   = "/mark/x"
)

// clientOutcome is how a request ended for its client.
type clientOutcome string

const (
	clientPending  clientOutcome = ""
	clientAnswered clientOutcome = "answered"
	clientFailed   clientOutcome = "failed"
	// clientAborted: the router ended the stream as incomplete.
	clientAborted      clientOutcome = "aborted"
	clientDisconnected clientOutcome = "disconnected"
	clientTimedOut     clientOutcome = "timed out"
	clientRejected     clientOutcome = "rejected"
)

// clients send requests to the routers, some routers more than others.
type clients struct {
	sim        *Simulation
	running    bool
	lastID     int
	requests   []*clientRequest
	intervalMs int64
	// popularModel and the next are asked for most, unless wantRareModels.
	popularModel   int
	wantRareModels bool
	outcomes       map[clientOutcome]int
	// useStopping says that new requests also go to routers that stop, as when
	// too few others are ready.
	useStopping bool
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
	attributes  proxy.RequestParams
	// retries counts the rejections before this request.
	retries int
	outcome clientOutcome
	// chunks is how many chunks of a stream have arrived.
	chunks int
	// proxied is the request at the router, once it has arrived there.
	proxied *proxiedRequest
}

// start lets clients send.
func (c *clients) start() {
	if !c.running {
		c.running = true
		c.scheduleNext()
	}
}

// scheduleNext sends a request now and schedules the one after it.
func (c *clients) scheduleNext() {
	if !c.running {
		return
	}
	c.sim.after(1+c.sim.random.Int63n(2*c.intervalMs), func() { c.scheduleNext() })
	available := slices.DeleteFunc(c.sim.nodeNames(protocol.RoleRouter), func(name string) bool {
		n := c.sim.nodes[name]
		return !n.isUp || n.isStopping && !c.useStopping
	})
	if len(available) == 0 {
		return
	}
	// The first router gets twice as much as any other.
	router := available[max(0, c.sim.random.Intn(len(available)+1)-1)]
	c.send(router, c.drawPath(), 0)
}

// drawPath draws what is asked for.
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

// onlyPath is a path that only one version of the configuration routes.
func onlyPath(version uint64) string { return fmt.Sprintf("/only-%d/x", version) }

// send sends one request to a router.
func (c *clients) send(router, path string, retries int) {
	n := c.sim.nodes[router]
	if !n.isUp || n.isStopping && retries == 0 && !c.useStopping {
		return
	}
	c.lastID++
	r := &clientRequest{
		sim: c.sim, id: fmt.Sprintf("t%d", c.lastID), path: path, router: router, incarnation: n.incarnation,
		sentMs: c.sim.NowMs(), timeoutMs: plainTimeoutMs, retries: retries,
	}
	r.attributes = proxy.RequestParams{RequestID: r.id}
	if r.isStream() {
		r.timeoutMs = streamTimeoutMs
		c.drawModelAttributes(r)
	}
	r.attributes.TimeoutMs = r.timeoutMs
	c.requests = append(c.requests, r)
	c.sim.Checker.recordRequest(r)
	incarnation := n.incarnation
	disconnect := func() { r.complete(clientDisconnected) }
	c.sim.transmit(clientsEndpoint, router, func() {
		if !n.runs(incarnation) {
			disconnect()
			return
		}
		r.arriveAt(n)
	}, disconnect)
	c.sim.after(r.timeoutMs+giveUpSlackMs, r.timeOut)
}

// drawModelAttributes draws the model, the adapter and the size of a request.
func (c *clients) drawModelAttributes(r *clientRequest) {
	r.attributes.Model = modelName(c.chooseModel())
	if r.attributes.Model == modelName(modelWithAdapters) && c.sim.random.Intn(2) == 0 {
		r.attributes.Adapter = fmt.Sprintf("a%d", 1+c.sim.random.Intn(adapterCount))
	}
	r.attributes.PromptTokens, r.attributes.MaxOutputTokens = 200+c.sim.random.Int63n(1500), 50
	r.attributes.PromptParts = []proxy.PromptPart{{ID: fmt.Sprint("p", c.sim.random.Intn(5)), Tokens: 100}, {ID: r.id, Tokens: 100}}
}

// chooseModel draws a model: mostly one of two popular ones.
func (c *clients) chooseModel() int {
	if c.wantRareModels || c.sim.random.Intn(10) == 0 {
		return c.sim.random.Intn(modelCount)
	}
	return (c.popularModel + c.sim.random.Intn(2)) % modelCount
}

// arriveAt is the request reaching its router.
func (r *clientRequest) arriveAt(n *node) {
	n.lastRequestID++
	r.proxied = &proxiedRequest{
		sim: r.sim, router: n, incarnation: n.incarnation, id: n.lastRequestID, client: r, attributes: r.attributes,
	}
	n.requests[r.proxied.id] = r.proxied
	r.sim.deliver(n, n.incarnation, proxy.Request{ID: r.proxied.id, Host: requestHost, Path: r.path, Params: r.attributes})
}

func (r *clientRequest) isStream() bool { return r.path == resumePath || r.path == oncePath }

// deliver carries something from the router to the client.
func (r *clientRequest) deliver(from string, arrive func()) {
	r.sim.transmit(from, clientsEndpoint, arrive, func() { r.complete(clientDisconnected) })
}

// receiveChunk takes a chunk of a stream. A connection keeps the order, so the
// order is checked as the router passes the chunk on.
func (r *clientRequest) receiveChunk(chunk int) {
	if chunk != r.chunks+1 {
		r.sim.Checker.report(RuleOrder, r.sim.NowMs(), "%s: chunk %d comes after %d", r.id, chunk, r.chunks)
	}
	r.chunks = chunk
}

// complete notes how the request ended for its client; only the first end
// counts.
func (r *clientRequest) complete(outcome clientOutcome) {
	if r.outcome != clientPending {
		r.checkSecondOutcome(outcome)
		return
	}
	r.outcome = outcome
	r.sim.clients.outcomes[outcome]++
	if outcome == clientAnswered && r.isStream() && r.chunks != chunksPerStream {
		r.sim.Checker.report(RuleOrder, r.sim.NowMs(), "%s looks complete after %d chunks", r.id, r.chunks)
	}
}

// checkSecondOutcome reports a second answer to a request. After a timeout or a
// lost connection the client receives nothing.
func (r *clientRequest) checkSecondOutcome(outcome clientOutcome) {
	isConnected := r.outcome != clientTimedOut && r.outcome != clientDisconnected
	if isConnected && outcome != clientDisconnected {
		r.sim.Checker.report(RuleAnswer, r.sim.NowMs(), "%s ended as %q after %q", r.id, outcome, r.outcome)
	}
}

// rejected is an error that the router answers itself. The client retries some
// time later if that may help.
func (r *clientRequest) rejected(kind errkind.Kind, retryMs int64) {
	if r.outcome != clientPending {
		r.complete(clientRejected)
		return
	}
	sim := r.sim
	r.complete(clientRejected + ": " + clientOutcome(kind))
	sim.Checker.recordRejection(r, kind)
	if kind.Response().Status != unavailableStatus {
		return
	}
	hasTimeLeft := sim.NowMs()-r.sentMs < r.timeoutMs
	if !hasTimeLeft {
		return
	}
	if retryMs <= 0 {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s was rejected as %q without a time to retry", r.id, kind)
		return
	}
	if r.retries < maxClientRetries && sim.clients.running {
		sim.after(retryMs, r.retry)
	}
}

// retry sends the request again, to any router.
func (r *clientRequest) retry() {
	routers := r.sim.nodeNames(protocol.RoleRouter)
	r.sim.clients.send(routers[r.sim.random.Intn(len(routers))], r.path, r.retries+1)
}

// timeOut is the client giving up.
func (r *clientRequest) timeOut() {
	if r.outcome != clientPending {
		return
	}
	r.checkUnanswered()
	r.complete(clientTimedOut)
	if p := r.proxied; p != nil {
		p.whenRouterRuns(p.clientGone)
	}
}

// checkUnanswered reports a request that a healthy router neither answers nor
// has sent to a runner.
func (r *clientRequest) checkUnanswered() {
	sim, n := r.sim, r.sim.nodes[r.router]
	isIdle := r.proxied != nil && !r.proxied.isFinished && !r.proxied.isSending
	if isIdle && n.isHealthy() && sim.connectivity.isUndisturbedSince(n.name, r.sentMs) {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s (%s) got no answer from %s in its time and is not under way", r.id, r.path, r.router)
	}
}

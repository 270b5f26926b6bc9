package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/proxy"
)

// clients send requests to the routers, each of an uneven share.
type clients struct {
	running        bool
	lastID         int
	requests       []*clientRequest
	intervalMs     int64
	popularModel   int
	wantRareModels bool
	outcomes       map[string]int
}

func newClients() clients { return clients{intervalMs: 25, outcomes: map[string]int{}} }

// clientRequest is one try of a client.
type clientRequest struct {
	sim         *Simulation
	id          string
	path        string
	router      string
	incarnation int
	sentMs      int64
	timeoutMs   int64
	attributes  proxy.RequestParams
	// retries counts the refusals before it; ended is how it ended.
	retries int
	outcome string
	chunks  int
	served  bool
	proxied *proxiedRequest
}

// start lets clients send.
func (c *clients) start(sim *Simulation) {
	if !c.running {
		c.running = true
		c.scheduleNext(sim)
	}
}

func (c *clients) scheduleNext(sim *Simulation) {
	if !c.running {
		return
	}
	sim.after(1+sim.random.Int63n(2*c.intervalMs), func() { c.scheduleNext(sim) })
	routers := sim.nodeNames("router")
	up := slices.DeleteFunc(slices.Clone(routers), func(name string) bool { n := sim.nodes[name]; return !n.up || n.leaving })
	if len(up) == 0 {
		return
	}
	// The first router gets more than its share.
	at := max(0, sim.random.Intn(len(up)+1)-1)
	path := "/safe/x"
	switch draw := sim.random.Intn(100); {
	case draw < 25:
	case draw < 45:
		path = "/unsafe/x"
	case draw < 65:
		path = "/resume/x"
	case draw < 75:
		path = "/once/x"
	case draw < 90:
		path = "/mark/x"
	default:
		path = fmt.Sprintf("/only-%d/x", sim.operators.acceptedVersion)
	}
	c.send(sim, up[at], path, 0)
}

// send makes one try at a router.
func (c *clients) send(sim *Simulation, router, path string, again int) {
	n := sim.nodes[router]
	if !n.up || n.leaving && again == 0 {
		return
	}
	c.lastID++
	r := &clientRequest{
		sim: sim, id: fmt.Sprintf("t%d", c.lastID), path: path, router: router, incarnation: n.incarnation, sentMs: sim.NowMs(), timeoutMs: 2500, retries: again,
	}
	r.attributes = proxy.RequestParams{RequestID: r.id}
	if r.isStream() {
		r.timeoutMs = 5000
		r.attributes.Model = modelName(c.chooseModel(sim))
		if r.attributes.Model == modelName(0) && sim.random.Intn(2) == 0 {
			r.attributes.Adapter = fmt.Sprintf("a%d", 1+sim.random.Intn(adapterCount))
		}
		r.attributes.PromptTokens, r.attributes.MaxOutputTokens = 200+sim.random.Int63n(1500), 50
		r.attributes.PromptParts = []proxy.PromptPart{{ID: fmt.Sprint("p", sim.random.Intn(5)), Tokens: 100}, {ID: r.id, Tokens: 100}}
	}
	r.attributes.TimeoutMs = r.timeoutMs
	c.requests = append(c.requests, r)
	sim.Checker.recordRequest(r)
	life := n.incarnation
	sim.transmit("clients", router, func() {
		if !n.up || n.incarnation != life {
			r.complete("connection broke")
			return
		}
		n.lastRequestID++
		p := &proxiedRequest{sim: sim, router: n, incarnation: life, id: n.lastRequestID, client: r, attributes: r.attributes}
		r.proxied = p
		n.requests[p.id] = p
		sim.deliver(n, life, proxy.Request{ID: p.id, Host: requestHost, Path: path, Params: r.attributes})
	}, func() { r.complete("connection broke") })
	sim.after(r.timeoutMs+400, r.timeOut)
}

// chooseModel draws what is asked for: a few most of the time, and those change.
func (c *clients) chooseModel(sim *Simulation) int {
	if c.wantRareModels || sim.random.Intn(10) == 0 {
		return sim.random.Intn(modelCount)
	}
	return (c.popularModel + sim.random.Intn(2)) % modelCount
}

func (r *clientRequest) isStream() bool { return r.path == "/resume/x" || r.path == "/once/x" }

// deliver carries something from the router to the client.
func (r *clientRequest) deliver(from string, arrive func()) {
	r.sim.transmit(from, "clients", arrive, func() { r.complete("connection broke") })
}

// receiveChunk takes a piece of a stream; one connection keeps its order, so it
// is checked as it is passed on.
func (r *clientRequest) receiveChunk(piece int) {
	if piece != r.chunks+1 {
		r.sim.Checker.report("ORDER", r.sim.NowMs(), "%s: piece %d comes after %d", r.id, piece, r.chunks)
	}
	r.chunks = piece
}

// complete is how the try ended for its client; each ends once.
func (r *clientRequest) complete(how string) {
	if r.outcome != "" {
		if how != "connection broke" && r.outcome != "gone" && r.outcome != "connection broke" {
			r.sim.Checker.report("ANSWER", r.sim.NowMs(), "%s ended as %q after %q", r.id, how, r.outcome)
		}
		return
	}
	r.outcome = how
	r.sim.clients.outcomes[how]++
	if how == "answered" {
		r.served = true
		if r.isStream() && r.chunks != chunksPerStream {
			r.sim.Checker.report("ORDER", r.sim.NowMs(), "%s looks complete after %d pieces", r.id, r.chunks)
		}
	}
}

// rejected is an answer of the router's own.
func (r *clientRequest) rejected(kind errkind.Kind, retryMs int64) {
	if r.outcome != "" {
		r.complete("refused")
		return
	}
	r.complete("refused: " + string(kind))
	reply := kind.Response()
	r.sim.Checker.recordRejection(r, kind)
	if reply.Status != 503 {
		return
	}
	// Who has no time left has no use for it.
	if r.sim.NowMs()-r.sentMs >= r.timeoutMs {
		return
	}
	if retryMs <= 0 {
		r.sim.Checker.report("ANSWER", r.sim.NowMs(), "%s was refused as %q without a word on when to come back", r.id, kind)
		return
	}
	if r.retries < 2 && r.sim.clients.running {
		r.sim.after(retryMs, func() {
			up := r.sim.nodeNames("router")
			r.sim.clients.send(r.sim, up[r.sim.random.Intn(len(up))], r.path, r.retries+1)
		})
	}
}

// timeOut is the client giving up.
func (r *clientRequest) timeOut() {
	if r.outcome != "" {
		return
	}
	sim := r.sim
	if n := sim.nodes[r.router]; r.proxied != nil && !r.proxied.finished && !r.proxied.isSending && n.isHealthy() && sim.connectivity.isUndisturbedSince(n.name, r.sentMs) {
		sim.Checker.report("ANSWER", sim.NowMs(), "%s (%s) got no answer from %s in its time and is not under way", r.id, r.path, r.router)
	}
	r.complete("gone")
	if r.proxied != nil {
		p := r.proxied
		p.whenRouterRuns(func() { p.clientGone() })
	}
}

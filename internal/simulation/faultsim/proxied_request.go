package faultsim

import (
	"strconv"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/proxy"
)

const (
	// dialTimeoutMs is how long a router tries to connect to a runner.
	dialTimeoutMs = 300
	// refusedDialMs is how long it takes if the machine refuses the connection.
	refusedDialMs = 1
	// afterDeadlineMs is how long after a request's deadline the router's process
	// closes the connection to the runner.
	afterDeadlineMs = 1000
	// maxExtraSends bounds the sends of a router with
	// InjectedBugs.RetryWithoutBudget.
	maxExtraSends = 5
	// rejectedRetryMs is the retry time in rejections of a router with
	// InjectedBugs.RejectLost.
	rejectedRetryMs = 200
)

// proxiedRequest is a client's request at a router. It models what the router's
// process does for the router's state machine: connections and streams.
type proxiedRequest struct {
	sim         *Simulation
	router      *node
	incarnation int
	id          uint64
	client      *clientRequest
	attributes  proxy.RequestParams
	// isFinished says that the machine gave its last answer, or was notified that none
	// is wanted.
	isFinished bool
	// isHeadSent says that the client has the head of the answer.
	isHeadSent bool
	// hasKeptFailure says that a runner's failed answer is kept, to be passed on
	// if no other attempt succeeds.
	hasKeptFailure bool
	// lastChunk is the last chunk that the client was sent; pendingChunks are on
	// their way from the runner.
	lastChunk     int
	pendingChunks []int
	// attempt is the latest send, and isSending says that it is under way.
	attempt   *attempt
	isSending bool
	// extraSends counts sends that the machine did not ask for.
	extraSends int
}

// parseChunk reads the number of a chunk; anything else counts as 0.
func parseChunk(text string) int {
	number, _ := strconv.Atoi(text)
	return number
}

// whenRouterRuns does something in the router's process: at once, or when it
// thaws, or never if it has ended.
func (p *proxiedRequest) whenRouterRuns(do func()) {
	switch {
	case !p.router.runs(p.incarnation):
	case p.router.isFrozen:
		p.router.backlog = append(p.router.backlog, func() { p.whenRouterRuns(do) })
	default:
		do()
	}
}

// handleOutput carries out what the router's machine decided.
func (p *proxiedRequest) handleOutput(output proxy.Output) {
	if p.isFinished {
		p.sim.Checker.report(RuleAnswer, p.sim.NowMs(), "%s got another answer after its last: %T", p.client.id, output)
		return
	}
	switch answer := output.(type) {
	case proxy.Reject:
		p.reject(answer)
	case proxy.AbortStream:
		p.finish()
		p.completeClient(clientAborted)
	case proxy.ForwardKept:
		p.passFailureOn()
	case proxy.StartAttempt:
		p.beginSend(answer)
	}
}

// completeClient answers the client how its request ended.
func (p *proxiedRequest) completeClient(outcome clientOutcome) {
	p.client.deliver(p.router.name, func() { p.client.complete(outcome) })
}

func (p *proxiedRequest) reject(rejection proxy.Reject) {
	if p.sim.Bugs.OmitRetryAfter {
		rejection.RetryMs = 0
	}
	if p.sim.Bugs.DenyKnown {
		rejection.Kind = errkind.UnknownPage
	}
	p.finish()
	p.client.deliver(p.router.name, func() { p.client.rejected(rejection.Kind, rejection.RetryMs) })
	if p.sim.Bugs.AnswerTwice {
		p.completeClient(clientAborted)
	}
}

func (p *proxiedRequest) passFailureOn() {
	if !p.hasKeptFailure {
		p.sim.Checker.report(RuleAnswer, p.sim.NowMs(), "%s: there is no failed answer to pass on", p.client.id)
	}
	p.finish()
	p.completeClient(clientFailed)
}

// beginSend lets the router's process write the request to a runner.
func (p *proxiedRequest) beginSend(send proxy.StartAttempt) {
	sim := p.sim
	if p.isSending {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s is sent while another send is under way", p.client.id)
	}
	p.isSending = true
	send = p.tamperSend(send)
	write := func() { p.sendAttempt(send) }
	tooLate := func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Expired}) }
	sim.writeToSocket(p.router, p.incarnation, send.WriteByMs, write, tooLate)
}

// tamperSend changes a send as the injected bugs would.
func (p *proxiedRequest) tamperSend(send proxy.StartAttempt) proxy.StartAttempt {
	sim := p.sim
	if sim.Bugs.RouteByFirstConfig && versionOf(send.Route.Name) > 1 && sim.random.Intn(4) == 0 {
		older := *send.Route
		older.Name = versionRouteName(1)
		send.Route = &older
	}
	if sim.Bugs.WrongService && sim.random.Intn(10) == 0 {
		for _, r := range sim.fleet.activeRunners("") {
			if r.entry.Service != send.Route.Split[0].Service {
				send.Address, send.Params.Runner = r.entry.Address, r.entry.ID
			}
		}
	}
	return send
}

// finish ends the request for the router's process.
func (p *proxiedRequest) finish() {
	p.isFinished = true
	if p.attempt != nil {
		p.attempt.isCancelled, p.attempt.isFinished = true, true
	}
	delete(p.router.requests, p.id)
}

// sendAttempt writes the request to whoever runs at the address.
func (p *proxiedRequest) sendAttempt(send proxy.StartAttempt) {
	if p.isFinished {
		return
	}
	sim := p.sim
	r := sim.fleet.runnerAt(send.Address)
	if r == nil || !sim.connectivity.areConnected(p.router.name, send.Address) {
		p.failToConnect(r == nil)
		return
	}
	a := &attempt{request: p, send: send, runner: r}
	p.attempt, p.pendingChunks = a, nil
	sim.Checker.recordSend(p)
	sim.transmit(p.router.name, send.Address, func() {
		// A connection belongs to the incarnation that accepted it.
		if r.hasEnded {
			a.connectionBroken()
			return
		}
		a.receive()
	}, nil)
	sim.after(send.DeadlineMs-p.router.clock(sim.NowMs())+afterDeadlineMs, func() {
		p.whenRouterRuns(func() { p.closeConnection(a) })
	})
}

// failToConnect reports that nothing was sent. Half of the addresses where
// nobody listens refuse the connection at once.
func (p *proxiedRequest) failToConnect(isNobodyThere bool) {
	tookMs := int64(dialTimeoutMs)
	if isNobodyThere && p.sim.random.Intn(2) == 0 {
		tookMs = refusedDialMs
	}
	p.sim.after(tookMs, func() {
		p.whenRouterRuns(func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.NotSent}) })
	})
}

// closeConnection gives an attempt up that is still unanswered.
func (p *proxiedRequest) closeConnection(a *attempt) {
	if p.attempt != a || a.isFinished || p.isFinished {
		return
	}
	a.isFinished, a.isCancelled = true, true
	p.connectionLost(a)
}

// reportOutcome reports to the router's machine how the send ended.
func (p *proxiedRequest) reportOutcome(ended proxy.AttemptEnded) {
	if p.isFinished {
		return
	}
	if p.attempt != nil {
		p.attempt.isFinished = true
	}
	p.isSending = false
	ended.ID, ended.Forwarded = p.id, p.isHeadSent
	if p.isHeadSent && p.lastChunk > 0 {
		ended.LastEventID = strconv.Itoa(p.lastChunk)
	}
	if ended.Outcome == proxy.Completed {
		p.finish()
	}
	p.sim.deliver(p.router, p.incarnation, ended)
}

// connectionLost is a send that was written and brought no complete answer.
func (p *proxiedRequest) connectionLost(a *attempt) {
	if p.isHeadSent {
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.StreamBroken})
		return
	}
	bugs := p.sim.Bugs
	switch {
	case bugs.RejectLost:
		p.finish()
		p.sim.deliver(p.router, p.incarnation, proxy.ClientDisconnected{ID: p.id})
		p.client.rejected(errkind.NoRunner, rejectedRetryMs)
	case bugs.ResendUnsafe:
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.NotSent})
	case bugs.RetryWithoutBudget && a.send.Route.Kind == config.Safe && p.extraSends < maxExtraSends:
		p.extraSends++
		again := a.send
		again.DeadlineMs, again.WriteByMs = again.DeadlineMs+1000, again.WriteByMs+2000
		p.sendAttempt(again)
	default:
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.ResponseLost})
	}
}

// serverError is a failed answer of the runner. It is kept where the request
// may be tried elsewhere, and passed on otherwise.
func (p *proxiedRequest) serverError() {
	if p.attempt.send.Route.Retryable() && !p.isHeadSent {
		p.hasKeptFailure = true
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.ServerError})
		return
	}
	p.completeClient(clientFailed)
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// complete is the complete answer to a plain request, or the end of a stream.
func (p *proxiedRequest) complete() {
	if p.isFinished {
		return
	}
	p.completeClient(clientAnswered)
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// forwardChunk passes the next chunk of a stream on to the client, unless the
// client has it from an earlier attempt.
func (p *proxiedRequest) forwardChunk(a *attempt) {
	if p.isFinished || p.attempt != a || len(p.pendingChunks) == 0 {
		return
	}
	chunk := p.pendingChunks[0]
	p.pendingChunks = p.pendingChunks[1:]
	if p.isHeadSent && chunk <= p.lastChunk {
		return
	}
	p.isHeadSent, p.lastChunk = true, chunk
	if p.sim.Bugs.SkipChunk && a.send.Params.LastEventID != "" {
		p.lastChunk = chunk + 1
	}
	p.client.receiveChunk(p.lastChunk)
	if chunk >= chunksPerStream {
		p.complete()
	}
}

// clientGone is the client closing its connection.
func (p *proxiedRequest) clientGone() {
	if p.isFinished {
		return
	}
	p.finish()
	p.sim.deliver(p.router, p.incarnation, proxy.ClientDisconnected{ID: p.id})
}

// routerCrashed is the router's process ending.
func (p *proxiedRequest) routerCrashed() {
	p.finish()
	p.client.complete(clientDisconnected)
}

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
	// dialRefusedMs is how long it takes until the runner's host refuses a connection.
	dialRefusedMs = 1
	// closeAfterDeadlineMs is how long after a request's deadline the router's process closes the
	// connection to the runner.
	closeAfterDeadlineMs = 1000
	// maxExtraAttempts bounds the additional attempts of a request at a router with
	// InjectedBugs.RetryWithoutBudget.
	maxExtraAttempts = 5
	// rejectLostRetryMs is the retry delay in the rejections of a router with
	// InjectedBugs.RejectLost.
	rejectLostRetryMs = 200
)

// proxiedRequest is a client's request at a router. It models what the router's process does for
// the router's state machine: it handles connections and streams.
type proxiedRequest struct {
	sim         *Simulation
	router      *node
	incarnation int
	id          uint64
	client      *clientRequest
	params      proxy.RequestParams
	// isFinished is true once the request has ended for the router's process: after the last output
	// of the state machine or the complete response, or after a disconnect or a crash.
	isFinished bool
	// isHeaderSent is true once the header of the response was sent to the client.
	isHeaderSent bool
	// hasKeptErrorResponse is true if a runner's error response is kept, to be forwarded if no
	// other attempt succeeds.
	hasKeptErrorResponse bool
	// lastChunk is the last chunk that was sent to the client. pendingChunks are the chunks in
	// flight from the runner.
	lastChunk     int
	pendingChunks []int
	// attempt is the latest attempt. isAttemptInFlight is true while an attempt is in flight.
	attempt           *attempt
	isAttemptInFlight bool
	// extraAttempts counts the attempts that the state machine did not request.
	extraAttempts int
}

// parseChunk parses the number of a chunk. Text that is not a number counts as 0.
func parseChunk(text string) int {
	number, _ := strconv.Atoi(text)
	return number
}

// runInRouter calls a function in the router's process: now, or once a frozen process resumes, or
// not at all if the process has ended.
func (p *proxiedRequest) runInRouter(do func()) {
	switch {
	case !p.router.isRunning(p.incarnation):
	case p.router.isFrozen:
		p.router.backlog = append(p.router.backlog, func() { p.runInRouter(do) })
	default:
		do()
	}
}

// handleOutput carries out an output of the router's state machine for this request.
func (p *proxiedRequest) handleOutput(output proxy.Output) {
	if p.isFinished {
		p.sim.Checker.report(RuleAnswer, p.sim.NowMs(), "%s has ended, but the router's state machine returned another output for it: %T", p.client.id, output)
		return
	}
	switch out := output.(type) {
	case proxy.Reject:
		p.reject(out)
	case proxy.AbortStream:
		p.finish()
		p.completeClient(clientAborted)
	case proxy.ForwardKeptResponse:
		p.forwardKeptResponse()
	case proxy.StartAttempt:
		p.startAttempt(out)
	}
}

// completeClient sends the outcome of the request to the client.
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
	p.client.deliver(p.router.name, func() { p.client.handleRejection(rejection.Kind, rejection.RetryMs) })
	if p.sim.Bugs.AnswerTwice {
		p.completeClient(clientAborted)
	}
}

func (p *proxiedRequest) forwardKeptResponse() {
	if !p.hasKeptErrorResponse {
		p.sim.Checker.report(RuleAnswer, p.sim.NowMs(), "%s: there is no kept error response to forward", p.client.id)
	}
	p.finish()
	p.completeClient(clientFailed)
}

// startAttempt lets the router's process write the request to a runner, unless the time limit for
// the write passes first.
func (p *proxiedRequest) startAttempt(spec proxy.StartAttempt) {
	sim := p.sim
	if p.isAttemptInFlight {
		sim.Checker.report(RuleAnswer, sim.NowMs(), "%s is sent to a runner while another attempt is in flight", p.client.id)
	}
	p.isAttemptInFlight = true
	spec = p.applyAttemptBugs(spec)
	write := func() { p.sendAttempt(spec) }
	tooLate := func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Expired}) }
	sim.writeToSocket(p.router, p.incarnation, spec.WriteByMs, write, tooLate)
}

// applyAttemptBugs changes an attempt according to the injected bugs.
func (p *proxiedRequest) applyAttemptBugs(spec proxy.StartAttempt) proxy.StartAttempt {
	sim := p.sim
	if sim.Bugs.RouteByFirstConfig && routeVersion(spec.Route.Name) > 1 && sim.random.Intn(4) == 0 {
		older := *spec.Route
		older.Name = versionRouteName(1)
		spec.Route = &older
	}
	if sim.Bugs.WrongService && sim.random.Intn(10) == 0 {
		for _, r := range sim.fleet.activeRunners("") {
			if r.entry.Service != spec.Route.Split[0].Service {
				spec.Address, spec.Params.Runner = r.entry.Address, r.entry.ID
			}
		}
	}
	return spec
}

// finish ends the request and its latest attempt for the router's process.
func (p *proxiedRequest) finish() {
	p.isFinished = true
	if p.attempt != nil {
		p.attempt.isCancelled, p.attempt.isFinished = true, true
	}
	delete(p.router.requests, p.id)
}

// sendAttempt writes the request to the runner that currently runs at the address, if there is one.
func (p *proxiedRequest) sendAttempt(spec proxy.StartAttempt) {
	if p.isFinished {
		return
	}
	sim := p.sim
	r := sim.fleet.runnerAt(spec.Address)
	if r == nil || !sim.connectivity.areConnected(p.router.name, spec.Address) {
		p.failToConnect(r == nil)
		return
	}
	a := &attempt{request: p, spec: spec, runner: r}
	p.attempt, p.pendingChunks = a, nil
	sim.Checker.recordSend(p)
	sim.transmit(p.router.name, spec.Address, func() {
		// The connection ends with the incarnation that accepted it.
		if r.hasEnded {
			a.breakConnection()
			return
		}
		a.handleArrival()
	}, nil)
	sim.after(spec.DeadlineMs-p.router.clockMs(sim.NowMs())+closeAfterDeadlineMs, func() {
		p.runInRouter(func() { p.closeConnection(a) })
	})
}

// failToConnect reports that nothing was sent. If no runner runs at the address, half of the
// connections are refused at once; all others time out.
func (p *proxiedRequest) failToConnect(hasNoRunner bool) {
	tookMs := int64(dialTimeoutMs)
	if hasNoRunner && p.sim.random.Intn(2) == 0 {
		tookMs = dialRefusedMs
	}
	p.sim.after(tookMs, func() {
		p.runInRouter(func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.NotSent}) })
	})
}

// closeConnection abandons an attempt whose response is not complete, after its deadline.
func (p *proxiedRequest) closeConnection(a *attempt) {
	if p.attempt != a || a.isFinished || p.isFinished {
		return
	}
	a.isFinished, a.isCancelled = true, true
	p.handleLostConnection(a)
}

// reportOutcome reports to the router's state machine how the attempt ended.
func (p *proxiedRequest) reportOutcome(ended proxy.AttemptEnded) {
	if p.isFinished {
		return
	}
	if p.attempt != nil {
		p.attempt.isFinished = true
	}
	p.isAttemptInFlight = false
	ended.ID, ended.Forwarded = p.id, p.isHeaderSent
	if p.isHeaderSent && p.lastChunk > 0 {
		ended.LastEventID = strconv.Itoa(p.lastChunk)
	}
	if ended.Outcome == proxy.Completed {
		p.finish()
	}
	p.sim.deliver(p.router, p.incarnation, ended)
}

// handleLostConnection handles the loss of the connection after the request was written and before
// the response was complete.
func (p *proxiedRequest) handleLostConnection(a *attempt) {
	bugs := p.sim.Bugs
	switch {
	case p.isHeaderSent && bugs.CompleteCutStreams:
		p.handleCompleteResponse()
	case p.isHeaderSent:
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.StreamBroken})
	case bugs.RejectLost:
		p.finish()
		p.sim.deliver(p.router, p.incarnation, proxy.ClientDisconnected{ID: p.id})
		p.client.handleRejection(errkind.NoRunner, rejectLostRetryMs)
	case bugs.ResendUnsafe:
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.NotSent})
	case bugs.RetryWithoutBudget && a.spec.Route.Kind == config.Safe && p.extraAttempts < maxExtraAttempts:
		p.extraAttempts++
		again := a.spec
		again.DeadlineMs, again.WriteByMs = again.DeadlineMs+1000, again.WriteByMs+2000
		p.sendAttempt(again)
	default:
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.ResponseLost})
	}
}

// handleServerError handles an error response of the runner. It is kept if the request may be
// retried, and forwarded otherwise.
func (p *proxiedRequest) handleServerError() {
	if p.attempt.spec.Route.Retryable() && !p.isHeaderSent {
		p.hasKeptErrorResponse = true
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.ServerError})
		return
	}
	p.completeClient(clientFailed)
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// handleCompleteResponse handles the complete response to a plain request, or the end of a stream.
func (p *proxiedRequest) handleCompleteResponse() {
	if p.isFinished {
		return
	}
	p.completeClient(clientAnswered)
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// forwardChunk forwards the next pending chunk of a stream to the client, unless the client has it
// from an earlier attempt.
func (p *proxiedRequest) forwardChunk(a *attempt) {
	if p.isFinished || p.attempt != a || len(p.pendingChunks) == 0 {
		return
	}
	chunk := p.pendingChunks[0]
	p.pendingChunks = p.pendingChunks[1:]
	if p.isHeaderSent && chunk <= p.lastChunk {
		return
	}
	p.isHeaderSent, p.lastChunk = true, chunk
	if p.sim.Bugs.SkipChunk && a.spec.Params.LastEventID != "" {
		p.lastChunk = chunk + 1
	}
	p.client.receiveChunk(p.lastChunk)
	if chunk >= chunksPerStream {
		p.handleCompleteResponse()
	}
}

// handleClientDisconnect ends the request because the client closed its connection.
func (p *proxiedRequest) handleClientDisconnect() {
	if p.isFinished {
		return
	}
	p.finish()
	p.sim.deliver(p.router, p.incarnation, proxy.ClientDisconnected{ID: p.id})
}

// handleRouterCrash ends the request because the router's process was killed.
func (p *proxiedRequest) handleRouterCrash() {
	p.finish()
	p.client.complete(clientDisconnected)
}

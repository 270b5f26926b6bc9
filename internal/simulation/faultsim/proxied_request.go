package faultsim

import (
	"strconv"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// proxiedRequest is a client's request on its way through a router: a model of what
// the router's shell does with it.
type proxiedRequest struct {
	sim         *Simulation
	router      *node
	incarnation int
	id          uint64
	client      *clientRequest
	attributes  proxy.RequestParams
	// finished says that the machine gave its last answer or was told that none is
	// wanted.
	finished bool
	// headSent says that the client has the head, and last its last piece; queue
	// are the pieces on their way.
	headSent, keptFailure bool
	lastChunk             int
	pendingChunks         []int
	attempt               *attempt
	// isSending says that a send is under way.
	isSending bool
	// extraSends counts sends that a broken shell makes by itself.
	extraSends int
}

func parseChunk(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// whenRouterRuns lets the shell's own threads stand still as well.
func (p *proxiedRequest) whenRouterRuns(do func()) {
	switch {
	case !p.router.up || p.router.incarnation != p.incarnation:
	case p.router.frozen:
		p.router.backlog = append(p.router.backlog, func() { p.whenRouterRuns(do) })
	default:
		do()
	}
}

// handleAnswer is the machine's answer.
func (p *proxiedRequest) handleAnswer(body any) {
	sim := p.sim
	if p.finished {
		sim.Checker.report("ANSWER", sim.NowMs(), "%s got another answer after its last: %T", p.client.id, body)
		return
	}
	switch said := body.(type) {
	case protocol.Rejection:
		if sim.Bugs.OmitRetryAfter {
			said.RetryMs = 0
		}
		if sim.Bugs.DenyKnown {
			said.Kind = errkind.UnknownPage
		}
		p.finish()
		p.client.deliver(p.router.name, func() { p.client.rejected(said.Kind, said.RetryMs) })
		if sim.Bugs.AnswerTwice {
			p.client.deliver(p.router.name, func() { p.client.complete("broken off") })
		}
	case proxy.AbortStream:
		p.finish()
		p.client.deliver(p.router.name, func() { p.client.complete("broken off") })
	case proxy.ForwardKept:
		if !p.keptFailure {
			sim.Checker.report("ANSWER", sim.NowMs(), "%s: there is no failed answer to pass on", p.client.id)
		}
		p.finish()
		p.client.deliver(p.router.name, func() { p.client.complete("failed") })
	case proxy.StartAttempt:
		if p.isSending {
			sim.Checker.report("ANSWER", sim.NowMs(), "%s is sent on while a send is under way", p.client.id)
		}
		p.isSending = true
		if sim.Bugs.RouteByFirstConfig && versionOf(said.Route.Name) > 1 && sim.random.Intn(4) == 0 {
			older := *said.Route
			older.Name = "mark@1"
			said.Route = &older
		}
		if sim.Bugs.WrongService && sim.random.Intn(10) == 0 {
			for _, r := range sim.fleet.activeRunners("") {
				if r.entry.Service != said.Route.Split[0].Service {
					said.Address, said.Params.Runner = r.entry.Address, r.entry.ID
				}
			}
		}
		sim.writeToSocket(p.router, p.incarnation, said.WriteByMs, func() { p.sendAttempt(said) }, func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Expired}) })
	}
}

// finish is the end of the request for the shell.
func (p *proxiedRequest) finish() {
	p.finished = true
	if p.attempt != nil {
		p.attempt.cancelled, p.attempt.finished = true, true
	}
	delete(p.router.requests, p.id)
}

const dialMs = 300

// sendAttempt writes the request to whoever has the address.
func (p *proxiedRequest) sendAttempt(s proxy.StartAttempt) {
	if p.finished {
		return
	}
	sim := p.sim
	r := sim.fleet.runnerAt(s.Address)
	if r == nil || !sim.isOpen(p.router.name, s.Address) || !sim.isOpen(s.Address, p.router.name) {
		tookMs := int64(dialMs)
		if r == nil && sim.random.Intn(2) == 0 {
			tookMs = 1
		}
		sim.after(tookMs, func() { p.whenRouterRuns(func() { p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.NotSent}) }) })
		return
	}
	j := &attempt{request: p, send: s, runner: r}
	p.attempt, p.pendingChunks = j, nil
	sim.Checker.recordSend(p, s)
	sim.transmit(p.router.name, s.Address, func() {
		// A connection belongs to the life that took it up.
		if r.ended {
			j.connectionBroken()
			return
		}
		j.receive()
	}, nil)
	// The shell gives up some time after the client's own end.
	sim.after(s.DeadlineMs-p.router.clock(sim.NowMs())+1000, func() {
		p.whenRouterRuns(func() {
			if p.attempt == j && !j.finished && !p.finished {
				j.finished, j.cancelled = true, true
				p.connectionLost(j)
			}
		})
	})
}

// reportOutcome tells the machine how the send ended.
func (p *proxiedRequest) reportOutcome(e proxy.AttemptEnded) {
	if p.finished {
		return
	}
	if p.attempt != nil {
		p.attempt.finished = true
	}
	p.isSending = false
	e.ID, e.Forwarded = p.id, p.headSent
	if p.headSent && p.lastChunk > 0 {
		e.LastEventID = strconv.Itoa(p.lastChunk)
	}
	if e.Outcome == proxy.Completed {
		p.finish()
	}
	p.sim.deliver(p.router, p.incarnation, e)
}

// connectionLost is a send that was written and brought no whole answer.
func (p *proxiedRequest) connectionLost(j *attempt) {
	sim := p.sim
	outcome := proxy.ResponseLost
	if p.headSent {
		outcome = proxy.StreamBroken
	}
	switch {
	case sim.Bugs.RejectLost && !p.headSent:
		p.finish()
		p.sim.deliver(p.router, p.incarnation, proxy.ClientDisconnected{ID: p.id})
		p.client.rejected(errkind.NoRunner, 200)
		return
	case sim.Bugs.ResendUnsafe && !p.headSent:
		outcome = proxy.NotSent
	case sim.Bugs.RetryWithoutBudget && !p.headSent && j.send.Route.Kind == config.Safe && p.extraSends < 5:
		p.extraSends++
		again := j.send
		again.DeadlineMs, again.WriteByMs = again.DeadlineMs+1000, again.WriteByMs+2000
		p.sendAttempt(again)
		return
	}
	p.reportOutcome(proxy.AttemptEnded{Outcome: outcome})
}

// serverError is a runner's own 500: kept where it may be tried elsewhere.
func (p *proxiedRequest) serverError() {
	if p.attempt.send.Route.Retryable() && !p.headSent {
		p.keptFailure = true
		p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.ServerError})
		return
	}
	p.client.deliver(p.router.name, func() { p.client.complete("failed") })
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// complete is a plain answer.
func (p *proxiedRequest) complete() {
	if p.finished {
		return
	}
	p.client.deliver(p.router.name, func() { p.client.complete("answered") })
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// forwardChunk passes the next piece of a stream on.
func (p *proxiedRequest) forwardChunk(j *attempt, last bool) {
	if p.finished || p.attempt != j || len(p.pendingChunks) == 0 {
		return
	}
	piece := p.pendingChunks[0]
	p.pendingChunks = p.pendingChunks[1:]
	if p.headSent && piece <= p.lastChunk {
		return
	}
	p.headSent, p.lastChunk = true, piece
	if p.sim.Bugs.SkipChunk && j.send.Params.LastEventID != "" {
		p.lastChunk = piece + 1
	}
	p.client.receiveChunk(p.lastChunk)
	if piece < chunksPerStream {
		return
	}
	p.client.deliver(p.router.name, func() { p.client.complete("answered") })
	p.reportOutcome(proxy.AttemptEnded{Outcome: proxy.Completed})
}

// clientGone is the client going away.
func (p *proxiedRequest) clientGone() {
	if p.finished {
		return
	}
	p.finish()
	p.sim.deliver(p.router, p.incarnation, proxy.ClientDisconnected{ID: p.id})
}

// routerCrashed is the router's process ending under it.
func (p *proxiedRequest) routerCrashed() {
	p.finish()
	p.client.complete("connection broke")
}

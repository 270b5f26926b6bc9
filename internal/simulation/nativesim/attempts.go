package nativesim

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/simulation/testbackend"
)

const (
	// streamChunks is the number of chunks of each streamed response.
	streamChunks = 5
	// A response that is not streamed, and each chunk of a stream, takes
	// minWorkMs to minWorkMs+workSpreadMs.
	minWorkMs    = 20
	workSpreadMs = 120
)

// attempt is one attempt of a router to run a request on a runner.
type attempt struct {
	world   *World
	request *clientRequest
	start   router.StartAttempt
	runner  *runner
	// runnerIncarnation is the incarnation of the runner that it was sent to.
	runnerIncarnation int
}

// startAttempt sends the request to a runner, if that is still permitted when
// the router's process writes.
func (r *clientRequest) startAttempt(start router.StartAttempt) {
	w := r.world
	r.attemptInFlight = true
	if w.Bugs.SendStaleRevision && w.Random.Intn(10) == 0 {
		start.Revision = 1
	}
	if w.Bugs.RunRejected && w.Random.Intn(20) == 0 {
		r.finish(testbackend.Outcome(errkind.NoRunner), true)
	}
	machine := r.router.node.machine.(*router.Machine)
	permitted := func() bool {
		return w.Bugs.SendStaleRevision || machine.MaySend(w.clockNow(r.router.node), start)
	}
	a := &attempt{world: w, request: r, start: start}
	w.writeSoon(socketWrite{
		from: r.router, permitted: permitted, write: a.send,
		expired: func() { a.end(router.Expired, 0) },
	})
}

// end reports to the router's state machine how the attempt ended. A revision
// other than 0 is the newest one known to the runner that rejected the request.
func (a *attempt) end(outcome router.Outcome, revision uint64) {
	r := a.request
	r.attemptInFlight = false
	if r.disconnected {
		a.world.deliver(r.router, router.ClientDisconnected{ID: r.submissionID})
		return
	}
	a.world.deliver(r.router, router.AttemptEnded{ID: r.submissionID, Outcome: outcome, Revision: revision})
}

// send writes the request to the runner.
func (a *attempt) send() {
	w, from := a.world, a.request.router.node.name
	a.runner = w.runners[a.start.Runner]
	// If the connection cannot be opened, the router knows that it wrote no byte.
	if a.runner == nil || !a.runner.up || !w.links.IsOpen(from, a.start.Runner) {
		w.events.After(1, func() { a.end(router.NotSent, 0) })
		return
	}
	a.runnerIncarnation = a.runner.incarnation
	w.Checker.RequestSent(w.events.NowMs(), from, a.start.Service, a.start.RequestID, a.start.Revision)
	w.transmit(from, a.start.Runner, a.arrive, a.loseResponseAtDeadline)
}

// loseResponse ends the attempt without a response.
func (a *attempt) loseResponse() {
	if a.world.Bugs.RetryLost {
		a.end(router.NotSent, 0)
		return
	}
	a.end(router.ResponseLost, 0)
}

// loseResponseAtDeadline ends the attempt without a response at its deadline.
func (a *attempt) loseResponseAtDeadline() {
	leftMs := a.start.DeadlineMs - a.world.clockNow(a.request.router.node)
	a.world.events.After(max(1, leftMs), a.loseResponse)
}

// runnerIsUp reports whether the incarnation of the runner that the request was
// sent to is still up.
func (a *attempt) runnerIsUp() bool {
	return a.runner.up && a.runner.incarnation == a.runnerIncarnation
}

// arrive handles the request's arrival at the runner.
func (a *attempt) arrive() {
	switch {
	case !a.runnerIsUp():
		a.loseResponse()
	case a.runner.blackholed:
		a.loseResponseAtDeadline()
	default:
		a.run()
	}
}

// run starts the request at the runner, or sends the runner's rejection back.
func (a *attempt) run() {
	w, from := a.world, a.request.router.node.name
	rejection := a.runner.backend.StartRequest(w.events.NowMs(), router.RunRequest{
		Request: a.start.RequestID, Service: a.start.Service, Model: a.start.Model, Adapter: a.start.Adapter,
		Revision: a.start.Revision, Incarnation: a.start.Incarnation,
		Idempotent: a.start.Idempotent, Streaming: a.start.Streaming,
	}, from)
	if rejection != nil {
		arrive := func() { a.end(outcomeOf(rejection), rejection.Revision) }
		w.transmit(a.start.Runner, from, arrive, a.loseResponseAtDeadline)
		return
	}
	a.produceChunk(1)
}

// outcomeOf returns the attempt's outcome for a runner's rejection, as the
// router's process determines it.
func outcomeOf(rejection *router.RunRejection) router.Outcome {
	switch errkind.Kind(rejection.Kind) {
	case errkind.NotHeld:
		return router.NotLoaded
	case errkind.StaleRevision:
		return router.StaleRevision
	case errkind.WrongIncarnation:
		return router.OtherRunner
	case errkind.DuplicateRequest:
		return router.Duplicate
	}
	return router.RunnerBusy
}

// produceChunk schedules the next chunk of a stream, or a response that is not
// streamed.
func (a *attempt) produceChunk(chunk int) {
	w := a.world
	w.events.After(minWorkMs+w.Random.Int63n(workSpreadMs), func() {
		if !a.runnerIsUp() {
			a.runnerConnectionLost()
			return
		}
		if a.runner.blackholed {
			a.loseResponseAtDeadline()
			return
		}
		last := !a.start.Streaming || chunk == streamChunks
		if last {
			a.runner.backend.FinishRequest()
		}
		arrive := func() { a.chunkArrived(chunk, last) }
		w.transmit(a.start.Runner, a.request.router.node.name, arrive, a.runnerConnectionLost)
		if !last {
			a.produceChunk(chunk + 1)
		}
	})
}

// chunkArrived handles the arrival of a chunk at the router. If last is set, the
// response is complete.
func (a *attempt) chunkArrived(chunk int, last bool) {
	r := a.request
	if !r.router.running() {
		return
	}
	r.chunksReceived = chunk
	if !last {
		return
	}
	a.end(router.Completed, 0)
	r.respondToClient(outcomeAnswered, false)
}

// runnerConnectionLost handles the loss of the connection to the runner during
// a response. Once the router has forwarded a part of a stream, it closes the
// client's stream without an end mark.
func (a *attempt) runnerConnectionLost() {
	r := a.request
	if r.chunksReceived == 0 {
		a.loseResponse()
		return
	}
	if a.world.Bugs.EndBrokenStreams {
		a.world.Checker.InvalidResponse(a.world.events.NowMs(), r.service, r.requestID, "a broken stream was completed without its end mark")
	}
	a.end(router.Completed, 0)
	r.connectionLost()
}

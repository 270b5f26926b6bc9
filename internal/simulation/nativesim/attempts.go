package nativesim

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/simulation/testbackend"
)

const (
	// streamPieces is the number of pieces of each streamed answer.
	streamPieces = 5
	// A plain answer, and each piece of a stream, takes minWorkMs to
	// minWorkMs+workSpreadMs.
	minWorkMs    = 20
	workSpreadMs = 120
)

// attempt is one sending of a request from its router to a runner.
type attempt struct {
	world   *World
	request *clientRequest
	start   router.StartAttempt
	runner  *runner
	// runnerIncarnation is the one that it was sent to.
	runnerIncarnation int
}

// startAttempt sends the request to a runner, if that is still permitted when
// the router's process writes.
func (r *clientRequest) startAttempt(start router.StartAttempt) {
	w := r.world
	r.attempting = true
	if w.Bugs.SendOldRevision && w.Random.Intn(10) == 0 {
		start.Revision = 1
	}
	if w.Bugs.RunDropped && w.Random.Intn(20) == 0 {
		r.finish(testbackend.Outcome(errkind.NoRunner), true)
	}
	machine := r.router.node.machine.(*router.Machine)
	permitted := func() bool {
		return w.Bugs.SendOldRevision || machine.MaySend(w.clockNow(r.router.node), start)
	}
	a := &attempt{world: w, request: r, start: start}
	w.writeSoon(socketWrite{
		from: r.router, permitted: permitted, write: a.send,
		expired: func() { a.end(router.Expired, 0) },
	})
}

// end reports to the router's state machine how the attempt ended. A revision other
// than 0 is the one that a runner that rejected it has seen.
func (a *attempt) end(outcome router.Outcome, revision uint64) {
	r := a.request
	r.attempting = false
	if r.disconnected {
		a.world.deliver(r.router, router.ClientDisconnected{ID: r.id})
		return
	}
	a.world.deliver(r.router, router.AttemptEnded{ID: r.id, Outcome: outcome, Revision: revision})
}

// send writes the request to the runner.
func (a *attempt) send() {
	w, from := a.world, a.request.router.node.name
	a.runner = w.runners[a.start.Runner]
	// A refused or unreachable connection is known before a byte is written.
	if a.runner == nil || !a.runner.up || !w.links.IsOpen(from, a.start.Runner) {
		w.events.After(1, func() { a.end(router.NotSent, 0) })
		return
	}
	a.runnerIncarnation = a.runner.incarnation
	w.Checker.RequestSent(w.events.NowMs(), from, a.start.Service, a.start.RequestID, a.start.Revision)
	w.transmit(from, a.start.Runner, a.arrive, a.loseAtDeadline)
}

// lose ends the attempt without an answer.
func (a *attempt) lose() {
	if a.world.Bugs.RetryLost {
		a.end(router.NotSent, 0)
		return
	}
	a.end(router.ResponseLost, 0)
}

// loseAtDeadline ends it without an answer once the router's time for it is up.
func (a *attempt) loseAtDeadline() {
	leftMs := a.start.DeadlineMs - a.world.clockNow(a.request.router.node)
	a.world.events.After(max(1, leftMs), a.lose)
}

// runnerIsUp reports whether the runner that it was sent to has not ended.
func (a *attempt) runnerIsUp() bool {
	return a.runner.up && a.runner.incarnation == a.runnerIncarnation
}

// arrive is the request's arrival at the runner.
func (a *attempt) arrive() {
	switch {
	case !a.runnerIsUp():
		a.lose()
	case a.runner.blackholed:
		a.loseAtDeadline()
	default:
		a.run()
	}
}

// run begins the work at the runner, or carries its rejection back.
func (a *attempt) run() {
	w, from := a.world, a.request.router.node.name
	rejection := a.runner.backend.StartRequest(w.events.NowMs(), router.RunRequest{
		Request: a.start.RequestID, Service: a.start.Service, Model: a.start.Model, Adapter: a.start.Adapter,
		Revision: a.start.Revision, Incarnation: a.start.Incarnation,
		Repeatable: a.start.Repeatable, Streaming: a.start.Streaming,
	}, from)
	if rejection != nil {
		back := func() { a.end(outcomeOf(rejection), rejection.Revision) }
		w.transmit(a.start.Runner, from, back, a.loseAtDeadline)
		return
	}
	a.workOn(1)
}

// outcomeOf translates a runner's rejection as the router's process does.
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

// workOn works on the next piece of a stream, or on the plain answer.
func (a *attempt) workOn(piece int) {
	w := a.world
	w.events.After(minWorkMs+w.Random.Int63n(workSpreadMs), func() {
		if !a.runnerIsUp() {
			a.breakOff()
			return
		}
		if a.runner.blackholed {
			a.loseAtDeadline()
			return
		}
		last := !a.start.Streaming || piece == streamPieces
		if last {
			a.runner.backend.FinishRequest()
		}
		arrive := func() { a.pieceArrived(piece, last) }
		w.transmit(a.start.Runner, a.request.router.node.name, arrive, a.breakOff)
		if !last {
			a.workOn(piece + 1)
		}
	})
}

// pieceArrived is the arrival of a piece, or of the whole answer, at the router.
func (a *attempt) pieceArrived(piece int, last bool) {
	r := a.request
	if !r.router.running() {
		return
	}
	r.pieces = piece
	if !last {
		return
	}
	a.end(router.Completed, 0)
	r.answer(outcomeAnswered, false)
}

// breakOff is the connection to the runner breaking while it works. Once a part
// of a stream has been relayed, the router closes the client's stream without
// an end mark.
func (a *attempt) breakOff() {
	r := a.request
	if r.pieces == 0 {
		a.lose()
		return
	}
	if a.world.Bugs.EndBrokenStreams {
		a.world.Checker.InvalidAnswer(a.world.events.NowMs(), r.service, r.name, "a stream looked finished without its end mark")
	}
	a.end(router.Completed, 0)
	r.streamBroke()
}

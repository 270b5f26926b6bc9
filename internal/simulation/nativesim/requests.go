package nativesim

import (
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// clientRequest is a sender's request at a router.
type clientRequest struct {
	id                uint64
	name              string
	service           string
	model             string
	world             *World
	router            *node
	routerIncarnation int
	done              bool
	pieces            int
	streaming         bool
	// probe is asked to see which description a router uses.
	probe bool
	// retries is how often the sender has come back with this id.
	retries int
	// duplicate is one of two sendings at once.
	duplicate bool
	// retryMs is what the drop said of when to come back.
	retryMs int64
	adapter string
	// disconnected is set once the sender went away; what it is told reaches no one.
	disconnected bool
	// attempting says that the shell is on its way to a runner and back.
	attempting bool
}

// routerAnswered is what the router's machine answers: a refusal, or a go.
func (a *clientRequest) routerAnswered(body any) {
	switch said := body.(type) {
	case protocol.Rejection:
		a.retryMs = said.RetryMs
		a.world.transmit(a.router.name, "senders", func() { a.finish(string(said.Kind), said.Kind.Response().NotExecuted) }, func() { a.finish("stream broke", false) })
		delete(a.router.pending, a.id)
	case router.StartAttempt:
		a.attempting = true
		if a.world.Bugs.SendOldRevision && a.world.Random.Intn(10) == 0 {
			said.Revision = 1
		}
		if a.world.Bugs.RunDropped && a.world.Random.Intn(20) == 0 {
			a.finish("no runner", true)
		}
		machine := a.router.machine.(*router.Machine)
		a.world.atSocketWrite(a.router, a.routerIncarnation, func() bool {
			return a.world.Bugs.SendOldRevision || machine.MaySend(a.router.clock(a.world.events.NowMs()), said)
		}, func() { a.forward(said) }, func() { a.attemptEnded(router.Expired, 0) })
	}
}

func (a *clientRequest) attemptEnded(outcome router.Outcome, revision uint64) {
	a.attempting = false
	if a.disconnected {
		a.world.deliver(a.router, a.routerIncarnation, router.ClientDisconnected{ID: a.id})
		return
	}
	a.world.deliver(a.router, a.routerIncarnation, router.AttemptEnded{ID: a.id, Outcome: outcome, Revision: revision})
}

// forward takes a go to the runner, and what comes of it back.
func (a *clientRequest) forward(to router.StartAttempt) {
	w := a.world
	r := w.runners[to.Runner]
	cut := !w.links.IsOpen(a.router.name, to.Runner)
	// A refused or unreachable stream is known before a byte is written.
	if r == nil || !r.up || cut {
		w.events.After(1, func() { a.attemptEnded(router.NotSent, 0) })
		return
	}
	lost := func() {
		if w.Bugs.RetryLost {
			a.attemptEnded(router.NotSent, 0)
			return
		}
		a.attemptEnded(router.ResponseLost, 0)
	}
	deadline := func() { w.events.After(max(1, to.DeadlineMs-a.router.clock(w.events.NowMs())), lost) }
	runnerLife := r.incarnation
	w.Checker.RequestSent(w.events.NowMs(), a.router.name, to.Service, to.RequestID, to.Revision)
	w.transmit(a.router.name, to.Runner, func() {
		if !r.up || r.incarnation != runnerLife {
			lost()
			return
		}
		if r.blackholed {
			deadline()
			return
		}
		drop := r.backend.StartRequest(w.events.NowMs(), router.RunRequest{
			Request: to.RequestID, Service: to.Service, Model: to.Model, Adapter: to.Adapter, Revision: to.Revision,
			Incarnation: to.Incarnation, Repeatable: to.Repeatable, Streaming: to.Streaming,
		}, a.router.name)
		if drop != nil {
			w.transmit(to.Runner, a.router.name, func() { a.attemptEnded(outcomeOf(drop), drop.Revision) }, deadline)
			return
		}
		a.streaming = to.Streaming
		a.execute(r, runnerLife, to, 1, lost, deadline)
	}, deadline)
}

func outcomeOf(drop *router.RunRejection) router.Outcome {
	switch errkind.Kind(drop.Kind) {
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

const streamPieces = 5

// execute is the running of a request: a piece at a time for a telling.
func (a *clientRequest) execute(r *runner, life int, to router.StartAttempt, piece int, lost, deadline func()) {
	w := a.world
	w.events.After(20+w.Random.Int63n(120), func() {
		broken := func() {
			if a.pieces > 0 {
				if w.Bugs.EndBrokenStreams {
					w.Checker.InvalidAnswer(w.events.NowMs(), a.service, a.name, "a telling looked finished without its end mark")
				}
				// The router closes the sender's stream without an end.
				a.attemptEnded(router.Completed, 0)
				a.streamBroke()
				return
			}
			lost()
		}
		if !r.up || r.incarnation != life {
			broken()
			return
		}
		if r.blackholed {
			deadline()
			return
		}
		last := !to.Streaming || piece == streamPieces
		if last {
			r.backend.FinishRequest()
		}
		w.transmit(to.Runner, a.router.name, func() {
			if !a.router.up || a.router.incarnation != a.routerIncarnation {
				return
			}
			a.pieces = piece
			if !last {
				return
			}
			a.attemptEnded(router.Completed, 0)
			delete(a.router.pending, a.id)
			w.transmit(a.router.name, "senders", func() { a.finish("answered", false) }, func() { a.finish("stream broke", false) })
		}, broken)
		if !last {
			a.execute(r, life, to, piece+1, lost, deadline)
		}
	})
}

// disconnect is the sender going away: its stream closes, and a go that is under
// way is broken off.
func (a *clientRequest) disconnect() {
	if a.done || a.router.pending[a.id] != a {
		return
	}
	a.disconnected = true
	a.finish("sender gone", false)
	delete(a.router.pending, a.id)
	if !a.attempting {
		a.world.deliver(a.router, a.routerIncarnation, router.ClientDisconnected{ID: a.id})
	}
}

// streamBroke is the sender's stream breaking.
func (a *clientRequest) streamBroke() {
	delete(a.router.pending, a.id)
	a.finish("stream broke", false)
}

func (a *clientRequest) finish(kind string, drop bool) {
	if a.done {
		return
	}
	a.done = true
	a.world.Checker.RequestEnded(a.world.events.NowMs(), a.service, a.name, kind, drop)
	if a.probe {
		return
	}
	a.world.clients.requestEnded(a.world, a.service, kind)
	if a.retries > 0 && a.retries <= maxClientRetries && !a.duplicate {
		a.world.clients.retryOutcomes[kind]++
	}
	a.scheduleRetry(kind, drop)
	if kind == "answered" && a.model != "" {
		a.world.clients.answersByModel[a.model]++
	}
}

func sortedIDs(under map[uint64]*clientRequest) []uint64 {
	ids := make([]uint64, 0, len(under))
	for id := range under {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

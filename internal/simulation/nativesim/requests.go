package nativesim

import (
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// asked is a sender's request at a router.
type asked struct {
	id      uint64
	name    string
	service string
	model   string
	w       *World
	n       *node
	life    int
	done    bool
	pieces  int
	telling bool
	// probe is asked to see which description a router uses.
	probe bool
	// again is how often the sender has come back with this id.
	again int
	// twin is one of two sendings at once.
	twin bool
	// retryMs is what the drop said of when to come back.
	retryMs int64
	adapter string
	// gone is set once the sender went away; what it is told reaches no one.
	gone bool
	// going says that the shell is on its way to a runner and back.
	going bool
}

// told is what the router's machine answers: a refusal, or a go.
func (a *asked) told(body any) {
	switch said := body.(type) {
	case protocol.Rejection:
		a.retryMs = said.RetryMs
		a.w.pass(a.n.name, "senders", func() { a.end(string(said.Kind), said.Kind.Reply().Drop) }, func() { a.end("stream broke", false) })
		delete(a.n.under, a.id)
	case router.Go:
		a.going = true
		if a.w.Breaks.SlipBack && a.w.Random.Intn(10) == 0 {
			said.Revision = 1
		}
		if a.w.Breaks.DropThenRun && a.w.Random.Intn(20) == 0 {
			a.end("no runner", true)
		}
		machine := a.n.machine.(*router.Machine)
		a.w.atSocket(a.n, a.life, func() bool { return a.w.Breaks.SlipBack || machine.MaySend(a.n.clock(a.w.events.NowMs()), said) }, func() { a.goTo(said) }, func() { a.ended(router.TooLate, 0) })
	}
}

func (a *asked) ended(outcome router.Outcome, revision uint64) {
	a.going = false
	if a.gone {
		a.w.put(a.n, a.life, router.Gone{ID: a.id})
		return
	}
	a.w.put(a.n, a.life, router.Ended{ID: a.id, Outcome: outcome, Revision: revision})
}

// goTo takes a go to the runner, and what comes of it back.
func (a *asked) goTo(to router.Go) {
	w := a.w
	r := w.runners[to.Runner]
	cut := w.cuts[[2]string{a.n.name, to.Runner}]
	// A refused or unreachable stream is known before a byte is written.
	if r == nil || !r.up || cut {
		w.events.After(1, func() { a.ended(router.NotSent, 0) })
		return
	}
	lost := func() {
		if w.Breaks.ResendLost {
			a.ended(router.NotSent, 0)
			return
		}
		a.ended(router.Lost, 0)
	}
	deadline := func() { w.events.After(max(1, to.DeadlineMs-a.n.clock(w.events.NowMs())), lost) }
	runnerLife := r.life
	w.Book.Sent(w.events.NowMs(), a.n.name, to.Service, to.Name, to.Revision)
	w.pass(a.n.name, to.Runner, func() {
		if !r.up || r.life != runnerLife {
			lost()
			return
		}
		if r.dark {
			deadline()
			return
		}
		drop := r.stand.Run(w.events.NowMs(), router.RunCall{
			Request: to.Name, Service: to.Service, Model: to.Model, Adapter: to.Adapter, Revision: to.Revision,
			Incarnation: to.Incarnation, Repeatable: to.Repeatable, Telling: to.Telling,
		}, a.n.name)
		if drop != nil {
			w.pass(to.Runner, a.n.name, func() { a.ended(outcomeOf(drop), drop.Revision) }, deadline)
			return
		}
		a.telling = to.Telling
		a.work(r, runnerLife, to, 1, lost, deadline)
	}, deadline)
}

func outcomeOf(drop *router.RunDrop) router.Outcome {
	switch errkind.Kind(drop.Kind) {
	case errkind.NotHeld:
		return router.NotHeld
	case errkind.StaleRevision:
		return router.Stale
	case errkind.OtherRunner:
		return router.Other
	case errkind.AlreadyTaken:
		return router.Repeated
	}
	return router.Busy
}

const tellingPieces = 5

// work is the running of a request: a piece at a time for a telling.
func (a *asked) work(r *runner, life int, to router.Go, piece int, lost, deadline func()) {
	w := a.w
	w.events.After(20+w.Random.Int63n(120), func() {
		broken := func() {
			if a.pieces > 0 {
				if w.Breaks.TellWrong {
					w.Book.Wrong(w.events.NowMs(), a.service, a.name, "a telling looked finished without its end mark")
				}
				// The router closes the sender's stream without an end.
				a.ended(router.Answered, 0)
				a.broke()
				return
			}
			lost()
		}
		if !r.up || r.life != life {
			broken()
			return
		}
		if r.dark {
			deadline()
			return
		}
		last := !to.Telling || piece == tellingPieces
		if last {
			r.stand.Done()
		}
		w.pass(to.Runner, a.n.name, func() {
			if !a.n.up || a.n.life != a.life {
				return
			}
			a.pieces = piece
			if !last {
				return
			}
			a.ended(router.Answered, 0)
			delete(a.n.under, a.id)
			w.pass(a.n.name, "senders", func() { a.end("answered", false) }, func() { a.end("stream broke", false) })
		}, broken)
		if !last {
			a.work(r, life, to, piece+1, lost, deadline)
		}
	})
}

// leave is the sender going away: its stream closes, and a go that is under
// way is broken off.
func (a *asked) leave() {
	if a.done || a.n.under[a.id] != a {
		return
	}
	a.gone = true
	a.end("sender gone", false)
	delete(a.n.under, a.id)
	if !a.going {
		a.w.put(a.n, a.life, router.Gone{ID: a.id})
	}
}

// broke is the sender's stream breaking.
func (a *asked) broke() {
	delete(a.n.under, a.id)
	a.end("stream broke", false)
}

func (a *asked) end(kind string, drop bool) {
	if a.done {
		return
	}
	a.done = true
	a.w.Book.Told(a.w.events.NowMs(), a.service, a.name, kind, drop)
	if a.probe {
		return
	}
	a.w.senders.ended(a.w, a.service, kind)
	if a.again > 0 && a.again <= comeBackMost && !a.twin {
		a.w.senders.backs[kind]++
	}
	a.comeBack(kind, drop)
	if kind == "answered" && a.model != "" {
		a.w.senders.servedOf[a.model]++
	}
}

func sortedIds(under map[uint64]*asked) []uint64 {
	ids := make([]uint64, 0, len(under))
	for id := range under {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

package faultsim

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/proxy"
)

const (
	pieces    = 6
	queueMost = 3
)

// job is one send of a request at a runner.
type job struct {
	p *passage
	s proxy.Send
	r *runner
	// began says that it runs, and so has run whatever comes.
	began, dropped, over bool
}

// arrive is the request reaching whoever lives at the address.
func (j *job) arrive() {
	w, r, p := j.p.w, j.r, j.p
	w.Book.arrived(p, j.s, r)
	if r.silent {
		return
	}
	if r.entry.ID != j.s.Go.Runner {
		j.back(func() { p.ended(proxy.Ended{Outcome: proxy.NotHeld, Other: true}) })
		return
	}
	there, wait := r.holds(p.asked.Model, p.asked.Adapter)
	switch {
	case wait || there && len(r.jobs) >= slots && len(r.queue) >= queueMost:
		j.back(func() { p.ended(proxy.Ended{Outcome: proxy.TurnedAway}) })
	case !there:
		j.back(func() { p.ended(proxy.Ended{Outcome: proxy.NotHeld}) })
	case len(r.jobs) >= slots:
		r.queue = append(r.queue, j)
	default:
		j.begin()
	}
}

// back carries something to the router, unless the link is cut: then its
// shell hears nothing until the time is over.
func (j *job) back(arrive func()) {
	p := j.p
	p.w.pass(j.s.Address, p.n.name, func() {
		p.atRouter(func() {
			if !j.over {
				arrive()
			}
		})
	}, nil)
}

// broken is the connection breaking under the job.
func (j *job) broken() {
	j.back(func() {
		j.over = true
		j.p.lost(j)
	})
}

func (j *job) begin() {
	w, r := j.p.w, j.r
	j.began = true
	r.jobs = append(r.jobs, j)
	w.Book.started(j.p, j.s, r)
	if !j.streams() {
		w.after(20+w.random.Int63n(100), j.finish)
		return
	}
	next := 1
	if j.s.Go.After != "" {
		next = pieceOf(j.s.Go.After) + 1
	}
	j.next(next)
}

func (j *job) streams() bool { return j.s.Route.Kind == config.Stream }

// stopped says that nothing more comes of it.
func (j *job) stopped() bool {
	if j.r.gone {
		return true
	}
	if j.dropped || j.r.silent {
		j.r.end(j)
		return true
	}
	return false
}

// finish ends a plain run.
func (j *job) finish() {
	if j.stopped() {
		return
	}
	w, f := j.p.w, &j.p.w.fleet
	j.r.end(j)
	switch draw := w.random.Float64(); {
	case draw < f.deafPart:
	case draw < f.deafPart+f.resetPart:
		j.broken()
	case draw < f.deafPart+f.resetPart+f.failPart:
		j.back(func() { j.p.failed() })
	default:
		j.back(func() { j.p.whole() })
	}
}

// next produces a piece of a stream.
func (j *job) next(piece int) {
	w, f := j.p.w, &j.p.w.fleet
	w.after(20+w.random.Int63n(60), func() {
		if j.stopped() {
			return
		}
		if draw := w.random.Float64(); draw < f.resetPart/pieces {
			j.r.end(j)
			j.broken()
			return
		}
		last := piece >= pieces
		if last {
			j.r.end(j)
		}
		// One connection keeps its order: a later piece never overtakes.
		p := j.p
		p.queue = append(p.queue, piece)
		j.back(func() { p.piece(j, last) })
		if !last {
			j.next(piece + 1)
		}
	})
}

package faultsim

import (
	"strconv"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// passage is a client's request on its way through a router: a model of what
// the router's shell does with it.
type passage struct {
	w     *World
	n     *node
	life  int
	id    uint64
	c     *request
	asked proxy.Asked
	// over says that the machine gave its last answer or was told that none is
	// wanted.
	over bool
	// passed says that the client has the head, and last its last piece; queue
	// are the pieces on their way.
	passed, kept bool
	last         int
	queue        []int
	job          *job
	// sent says that a send is under way.
	sent bool
	// again counts sends that a broken shell makes by itself.
	again int
}

func pieceOf(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// atRouter lets the shell's own threads stand still as well.
func (p *passage) atRouter(do func()) {
	switch {
	case !p.n.up || p.n.life != p.life:
	case p.n.frozen:
		p.n.backlog = append(p.n.backlog, func() { p.atRouter(do) })
	default:
		do()
	}
}

// told is the machine's answer.
func (p *passage) told(body any) {
	w := p.w
	if p.over {
		w.Book.breach("ANSWER", w.NowMs(), "%s got another answer after its last: %T", p.c.try, body)
		return
	}
	switch said := body.(type) {
	case protocol.Rejection:
		if w.Breaks.NoRetryTime {
			said.RetryMs = 0
		}
		if w.Breaks.DenyKnown {
			said.Kind = errkind.UnknownPage
		}
		p.finish()
		p.c.hear(p.n.name, func() { p.c.refused(said.Kind, said.RetryMs) })
		if w.Breaks.TwoAnswers {
			p.c.hear(p.n.name, func() { p.c.end("broken off") })
		}
	case proxy.Break:
		p.finish()
		p.c.hear(p.n.name, func() { p.c.end("broken off") })
	case proxy.Keep:
		if !p.kept {
			w.Book.breach("ANSWER", w.NowMs(), "%s: there is no failed answer to pass on", p.c.try)
		}
		p.finish()
		p.c.hear(p.n.name, func() { p.c.end("failed") })
	case proxy.Send:
		if p.sent {
			w.Book.breach("ANSWER", w.NowMs(), "%s is sent on while a send is under way", p.c.try)
		}
		p.sent = true
		if w.Breaks.OlderMap && versionOf(said.Route.Name) > 1 && w.random.Intn(4) == 0 {
			older := *said.Route
			older.Name = "mark@1"
			said.Route = &older
		}
		if w.Breaks.OtherService && w.random.Intn(10) == 0 {
			for _, r := range w.fleet.living("") {
				if r.entry.Service != said.Route.Split[0].Service {
					said.Address, said.Go.Runner = r.entry.Address, r.entry.ID
				}
			}
		}
		w.atSocket(p.n, p.life, said.UntilMs, func() { p.send(said) }, func() { p.ended(proxy.Ended{Outcome: proxy.TooLate}) })
	}
}

// finish is the end of the request for the shell.
func (p *passage) finish() {
	p.over = true
	if p.job != nil {
		p.job.dropped, p.job.over = true, true
	}
	delete(p.n.passages, p.id)
}

const dialMs = 300

// send writes the request to whoever has the address.
func (p *passage) send(s proxy.Send) {
	if p.over {
		return
	}
	w := p.w
	r := w.fleet.at(s.Address)
	if r == nil || !w.open(p.n.name, s.Address) || !w.open(s.Address, p.n.name) {
		tookMs := int64(dialMs)
		if r == nil && w.random.Intn(2) == 0 {
			tookMs = 1
		}
		w.after(tookMs, func() { p.atRouter(func() { p.ended(proxy.Ended{Outcome: proxy.NotSent}) }) })
		return
	}
	j := &job{p: p, s: s, r: r}
	p.job, p.queue = j, nil
	w.Book.sent(p, s)
	w.pass(p.n.name, s.Address, func() {
		// A connection belongs to the life that took it up.
		if r.gone {
			j.broken()
			return
		}
		j.arrive()
	}, nil)
	// The shell gives up some time after the client's own end.
	w.after(s.DeadlineMs-p.n.clock(w.NowMs())+1000, func() {
		p.atRouter(func() {
			if p.job == j && !j.over && !p.over {
				j.over, j.dropped = true, true
				p.lost(j)
			}
		})
	})
}

// ended tells the machine how the send ended.
func (p *passage) ended(e proxy.Ended) {
	if p.over {
		return
	}
	if p.job != nil {
		p.job.over = true
	}
	p.sent = false
	e.ID, e.Passed = p.id, p.passed
	if p.passed && p.last > 0 {
		e.After = strconv.Itoa(p.last)
	}
	if e.Outcome == proxy.Answered {
		p.finish()
	}
	p.w.put(p.n, p.life, e)
}

// lost is a send that was written and brought no whole answer.
func (p *passage) lost(j *job) {
	w := p.w
	outcome := proxy.Lost
	if p.passed {
		outcome = proxy.Cut
	}
	switch {
	case w.Breaks.RefuseLost && !p.passed:
		p.finish()
		p.w.put(p.n, p.life, proxy.Gone{ID: p.id})
		p.c.refused(errkind.NoRunner, 200)
		return
	case w.Breaks.ResendUnsafe && !p.passed:
		outcome = proxy.NotSent
	case w.Breaks.FreeTries && !p.passed && j.s.Route.Kind == config.Safe && p.again < 5:
		p.again++
		again := j.s
		again.DeadlineMs, again.UntilMs = again.DeadlineMs+1000, again.UntilMs+2000
		p.send(again)
		return
	}
	p.ended(proxy.Ended{Outcome: outcome})
}

// failed is a runner's own 500: kept where it may be tried elsewhere.
func (p *passage) failed() {
	if p.job.s.Route.Repeatable() && !p.passed {
		p.kept = true
		p.ended(proxy.Ended{Outcome: proxy.Failed})
		return
	}
	p.c.hear(p.n.name, func() { p.c.end("failed") })
	p.ended(proxy.Ended{Outcome: proxy.Answered})
}

// whole is a plain answer.
func (p *passage) whole() {
	if p.over {
		return
	}
	p.c.hear(p.n.name, func() { p.c.end("answered") })
	p.ended(proxy.Ended{Outcome: proxy.Answered})
}

// piece passes the next piece of a stream on.
func (p *passage) piece(j *job, last bool) {
	if p.over || p.job != j || len(p.queue) == 0 {
		return
	}
	piece := p.queue[0]
	p.queue = p.queue[1:]
	if p.passed && piece <= p.last {
		return
	}
	p.passed, p.last = true, piece
	if p.w.Breaks.SkipPiece && j.s.Go.After != "" {
		p.last = piece + 1
	}
	p.c.hearPiece(p.last)
	if piece < pieces {
		return
	}
	p.c.hear(p.n.name, func() { p.c.end("answered") })
	p.ended(proxy.Ended{Outcome: proxy.Answered})
}

// gone is the client going away.
func (p *passage) gone() {
	if p.over {
		return
	}
	p.finish()
	p.w.put(p.n, p.life, proxy.Gone{ID: p.id})
}

// broke is the router's process ending under it.
func (p *passage) broke() {
	p.finish()
	p.c.end("connection broke")
}

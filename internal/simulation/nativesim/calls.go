package nativesim

import "myrtlewinch/internal/protocol"

const outwardMs = 1000

// call carries a call of a daemon outward. As in the shell, what has not come
// back in time counts as lost, and its answer is not heard any more.
func (w *World) call(n *node, life int, call protocol.OutboundCall) {
	ended := false
	back := func(input any) {
		if !ended {
			ended = true
			w.put(n, life, input)
		}
	}
	giveUp := func(input any) { w.events.After(outwardMs, func() { back(input) }) }
	nothing := func() {}
	switch body := call.Body.(type) {
	case protocol.PlatformCall:
		giveUp(protocol.RunnerListResult{})
		w.pass(n.name, "platform", func() {
			list := w.platform.List()
			w.pass("platform", n.name, func() {
				// It is learned once it has come to a daemon that takes it.
				for _, listed := range list {
					if listed.Leaving && !ended && n.up && n.life == life && !n.frozen {
						w.Book.Learned(w.events.NowMs(), listed.Name, listed.Incarnation)
					}
				}
				back(protocol.RunnerListResult{Ok: true, Runners: list})
			}, nothing)
		}, nothing)
	case protocol.ReportCall:
		said := protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address, Number: body.Number}
		giveUp(said)
		w.reach(n.name, body.Runner, func(r *runner) {
			if !w.Breaks.NoFence {
				r.stand.Heed(body.Epoch)
			}
			said.Ok, said.Report = true, r.stand.Report(w.events.NowMs())
			if w.Breaks.NoFence {
				said.Report.Epoch = body.Epoch
			}
			if w.lieAboutRoom > 0 {
				said.Report.Room = w.lieAboutRoom
			}
			w.pass(body.Runner, n.name, func() { back(said) }, nothing)
		}, nothing)
	case protocol.OrderCall:
		said := protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address}
		// The shell checks the hold again right at the socket.
		w.atSocket(n, life, func() bool { return n.clock(w.events.NowMs()) < body.UntilMs }, func() {
			giveUp(said)
			w.reach(n.name, body.Runner, func(r *runner) {
				report, kind := r.stand.Order(w.events.NowMs(), body.Order)
				said.Ok, said.Report = kind == "", report
				w.pass(body.Runner, n.name, func() { back(said) }, nothing)
			}, nothing)
		}, func() { back(said) })
	}
}

// atSocket is the moment at which a shell writes: a little later than the
// machine decided, or much later if the process froze in between.
func (w *World) atSocket(n *node, life int, may func() bool, write, late func()) {
	w.events.After(w.Random.Int63n(2), func() { w.writeNow(n, life, may, write, late) })
}

func (w *World) writeNow(n *node, life int, may func() bool, write, late func()) {
	switch {
	case !n.up || n.life != life:
	case n.frozen:
		n.backlog = append(n.backlog, func() { w.writeNow(n, life, may, write, late) })
	case !w.Breaks.NoSocketCheck && !may():
		late()
	default:
		write()
	}
}

// reach brings something to a runner.
func (w *World) reach(from, name string, arrive func(r *runner), lost func()) {
	w.pass(from, name, func() {
		r := w.runners[name]
		if r == nil || !r.up || r.dark {
			lost()
			return
		}
		arrive(r)
	}, lost)
}

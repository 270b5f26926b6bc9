package nativesim

import "myrtlewinch/internal/protocol"

const outboundTimeoutMs = 1000

// startCall carries a call of a daemon outward. As in the shell, what has not come
// back in time counts as lost, and its answer is not heard any more.
func (w *World) startCall(n *node, life int, call protocol.OutboundCall) {
	ended := false
	back := func(input any) {
		if !ended {
			ended = true
			w.deliver(n, life, input)
		}
	}
	giveUp := func(input any) { w.events.After(outboundTimeoutMs, func() { back(input) }) }
	nothing := func() {}
	switch body := call.Body.(type) {
	case protocol.PlatformCall:
		giveUp(protocol.RunnerListResult{})
		w.transmit(n.name, "platform", func() {
			list := w.platform.List()
			w.transmit("platform", n.name, func() {
				// It is learned once it has come to a daemon that takes it.
				for _, listed := range list {
					if listed.Leaving && !ended && n.up && n.incarnation == life && !n.frozen {
						w.Checker.LeavingLearned(w.events.NowMs(), listed.Name, listed.Incarnation)
					}
				}
				back(protocol.RunnerListResult{Ok: true, Runners: list})
			}, nothing)
		}, nothing)
	case protocol.ReportCall:
		said := protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address, Number: body.Number}
		giveUp(said)
		w.reachRunner(n.name, body.Runner, func(r *runner) {
			if !w.Bugs.IgnoreFencing {
				r.backend.RaiseEpoch(body.Epoch)
			}
			said.Ok, said.Report = true, r.backend.Report(w.events.NowMs())
			if w.Bugs.IgnoreFencing {
				said.Report.Epoch = body.Epoch
			}
			if w.reportedCapacity > 0 {
				said.Report.Room = w.reportedCapacity
			}
			w.transmit(body.Runner, n.name, func() { back(said) }, nothing)
		}, nothing)
	case protocol.OrderCall:
		said := protocol.RunnerReportResult{Runner: body.Runner, Address: call.Address}
		// The shell checks the hold again right at the socket.
		w.atSocketWrite(n, life, func() bool { return n.clock(w.events.NowMs()) < body.UntilMs }, func() {
			giveUp(said)
			w.reachRunner(n.name, body.Runner, func(r *runner) {
				report, kind := r.backend.AcceptOrder(w.events.NowMs(), body.Order)
				said.Ok, said.Report = kind == "", report
				w.transmit(body.Runner, n.name, func() { back(said) }, nothing)
			}, nothing)
		}, func() { back(said) })
	}
}

// atSocketWrite is the moment at which a shell writes: a little later than the
// machine decided, or much later if the process froze in between.
func (w *World) atSocketWrite(n *node, life int, may func() bool, write, late func()) {
	w.events.After(w.Random.Int63n(2), func() { w.writeIfAllowed(n, life, may, write, late) })
}

func (w *World) writeIfAllowed(n *node, life int, may func() bool, write, late func()) {
	switch {
	case !n.up || n.incarnation != life:
	case n.frozen:
		n.backlog = append(n.backlog, func() { w.writeIfAllowed(n, life, may, write, late) })
	case !w.Bugs.SkipSocketCheck && !may():
		late()
	default:
		write()
	}
}

// reachRunner brings something to a runner.
func (w *World) reachRunner(from, name string, arrive func(r *runner), lost func()) {
	w.transmit(from, name, func() {
		r := w.runners[name]
		if r == nil || !r.up || r.blackholed {
			lost()
			return
		}
		arrive(r)
	}, lost)
}

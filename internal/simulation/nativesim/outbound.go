package nativesim

import (
	"fmt"

	"myrtlewinch/internal/protocol"
)

// outboundTimeoutMs is how long a daemon waits for a response to an outbound
// call.
const outboundTimeoutMs = 1000

// outboundCall is a daemon's call to a runner or the platform. As in a real
// process it ends once: a call without a response in time fails, and a later
// response is ignored.
type outboundCall struct {
	world *World
	from  nodeProcess
	ended bool
}

// end passes the result to the daemon, unless the call has ended.
func (c *outboundCall) end(result protocol.OutboundResult) {
	if !c.ended {
		c.ended = true
		c.world.deliver(c.from, result)
	}
}

// endLater ends the call with this result if there is no response in time.
func (c *outboundCall) endLater(result protocol.OutboundResult) {
	c.world.events.After(outboundTimeoutMs, func() { c.end(result) })
}

// startCall starts a daemon's outbound call.
func (w *World) startCall(from nodeProcess, call protocol.OutboundCall) {
	c := &outboundCall{world: w, from: from}
	switch body := call.Body.(type) {
	case protocol.NativeRunnerListCall:
		c.listRunners()
	case protocol.NativeReportCall:
		c.readReport(call.Address, body)
	case protocol.NativeOrderCall:
		c.sendOrder(call.Address, body)
	default:
		panic(fmt.Sprintf("nativesim: unknown type of outbound call: %T", body))
	}
}

// ignoreLoss is for transmissions whose loss is detected by a timeout.
func ignoreLoss() {}

func (c *outboundCall) listRunners() {
	w, from := c.world, c.from.node.name
	c.endLater(protocol.NativeRunnerListResult{})
	w.transmit(from, platformEndpoint, func() {
		list := w.platform.List()
		w.transmit(platformEndpoint, from, func() {
			c.recordLeaving(list)
			c.end(protocol.NativeRunnerListResult{Ok: true, Runners: list})
		}, ignoreLoss)
	}, ignoreLoss)
}

// recordLeaving reports the runners that a list marks as leaving to the checker.
// A list counts only if it reaches, in time, a daemon that is neither down nor
// frozen.
func (c *outboundCall) recordLeaving(list []protocol.ListedRunner) {
	if c.ended || !c.from.running() || c.from.node.frozen {
		return
	}
	for _, listed := range list {
		if listed.Leaving {
			c.world.Checker.LeavingLearned(c.world.events.NowMs(), listed.Name, listed.Incarnation)
		}
	}
}

func (c *outboundCall) readReport(address string, call protocol.NativeReportCall) {
	w, from := c.world, c.from.node.name
	result := protocol.NativeReportResult{Runner: call.Runner, Address: address, Number: call.Number}
	c.endLater(result)
	w.reachRunner(from, call.Runner, func(r *runner) {
		result.Ok, result.Report = true, w.reportOf(r, call.Epoch)
		w.transmit(call.Runner, from, func() { c.end(result) }, ignoreLoss)
	})
}

// reportOf returns a runner's report to the lease holder of an epoch.
func (w *World) reportOf(r *runner, epoch uint64) protocol.RunnerReport {
	if !w.Bugs.IgnoreFencing {
		r.backend.RaiseEpoch(epoch)
	}
	report := r.backend.Report(w.events.NowMs())
	if w.Bugs.IgnoreFencing {
		report.Epoch = epoch
	}
	if w.reportedCapacity > 0 {
		report.Room = w.reportedCapacity
	}
	return report
}

func (c *outboundCall) sendOrder(address string, call protocol.NativeOrderCall) {
	w, from := c.world, c.from.node
	result := protocol.NativeReportResult{Runner: call.Runner, Address: address}
	// The process checks the lease again just before it writes to the socket.
	holdsLease := func() bool { return w.clockNow(from) < call.UntilMs }
	write := func() {
		c.endLater(result)
		w.reachRunner(from.name, call.Runner, func(r *runner) {
			report, rejected := r.backend.AcceptOrder(w.events.NowMs(), call.Order)
			result.Ok, result.Report = rejected == "", report
			w.transmit(call.Runner, from.name, func() { c.end(result) }, ignoreLoss)
		})
	}
	w.writeSoon(socketWrite{from: c.from, permitted: holdsLease, write: write, expired: func() { c.end(result) }})
}

// reachRunner transmits a call to a runner. The runner handles it unless it is
// down or blackholed.
func (w *World) reachRunner(from, name string, arrive func(r *runner)) {
	w.transmit(from, name, func() {
		if r := w.runners[name]; r != nil && r.up && !r.blackholed {
			arrive(r)
		}
	}, ignoreLoss)
}

// socketWrite is a write of a process to a socket that happens only if it is
// still permitted at that moment.
type socketWrite struct {
	from      nodeProcess
	permitted func() bool
	write     func()
	// expired is called instead of write if it is no longer permitted.
	expired func()
}

// writeSoon performs the write shortly after the state machine decided on it, or
// much later if the process freezes in between.
func (w *World) writeSoon(s socketWrite) {
	w.events.After(w.Random.Int63n(2), func() { w.writeNow(s) })
}

func (w *World) writeNow(s socketWrite) {
	n := s.from.node
	switch {
	case !s.from.running():
	case n.frozen:
		n.backlog = append(n.backlog, func() { w.writeNow(s) })
	case !w.Bugs.SkipSocketCheck && !s.permitted():
		s.expired()
	default:
		s.write()
	}
}

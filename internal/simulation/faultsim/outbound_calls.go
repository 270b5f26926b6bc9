package faultsim

import (
	"myrtlewinch/internal/protocol"
)

const (
	// outboundTimeoutMs is after how long a daemon gives an outbound call up.
	outboundTimeoutMs = 1000
	// refusedMs is how long a runner's machine without a process takes to refuse
	// a connection.
	refusedMs = 2
	// repeatedOrderMs is after how long an order arrives again; see
	// InjectedBugs.IgnoreExpectedCount.
	repeatedOrderMs = 2500
)

// outboundCall is a call of a daemon to the platform's list or to a runner.
// Only the first result counts: an answer after the timeout is ignored.
type outboundCall struct {
	sim         *Simulation
	caller      *node
	incarnation int
	address     string
	finished    bool
}

// startOutboundCall carries out a call that a daemon asked for.
func (sim *Simulation) startOutboundCall(caller *node, incarnation int, call protocol.OutboundCall) {
	c := &outboundCall{sim: sim, caller: caller, incarnation: incarnation, address: call.Address}
	switch body := call.Body.(type) {
	case protocol.ListRunners:
		c.listRunners()
	case protocol.GetRunnerState:
		c.getRunnerState(body)
	case protocol.RunnerOrder:
		c.sendOrder(body)
	}
}

// complete gives the caller the result, unless it has one.
func (c *outboundCall) complete(result protocol.OutboundResult) {
	if !c.finished {
		c.finished = true
		c.sim.deliver(c.caller, c.incarnation, result)
	}
}

func (c *outboundCall) completeAfterTimeout(result protocol.OutboundResult) {
	c.sim.after(outboundTimeoutMs, func() { c.complete(result) })
}

func (c *outboundCall) listRunners() {
	sim, caller := c.sim, c.caller.name
	c.completeAfterTimeout(protocol.RunnerList{})
	sim.transmit(caller, listAddress, func() {
		if list, isAnswered := sim.fleet.list(); isAnswered {
			sim.transmit(listAddress, caller, func() { c.complete(list) }, nil)
		}
	}, nil)
}

func (c *outboundCall) getRunnerState(body protocol.GetRunnerState) {
	sim, caller := c.sim, c.caller.name
	result := protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
	c.completeAfterTimeout(result)
	sim.transmit(caller, c.address, func() {
		r := sim.fleet.runnerAt(c.address)
		if r == nil || r.isSilent {
			return
		}
		// Another incarnation at that address does not answer for this one.
		if result.Ok = r.entry.ID == body.Runner; result.Ok {
			result.State = r.reportedState(sim.NowMs())
		}
		sim.transmit(c.address, caller, func() { c.complete(result) }, nil)
	}, nil)
}

func (c *outboundCall) sendOrder(order protocol.RunnerOrder) {
	if c.sim.Bugs.ReuseFence {
		order.Fence = 1
	}
	write := func() { c.writeOrder(order) }
	c.sim.writeToSocket(c.caller, c.incarnation, order.UntilMs, write, func() { c.completeNotSent(order) })
}

func (c *outboundCall) completeNotSent(order protocol.RunnerOrder) {
	c.complete(orderResult(order, protocol.OutcomeNotSent))
}

func orderResult(order protocol.RunnerOrder, outcome protocol.OrderOutcome) protocol.RunnerOrderResult {
	return protocol.RunnerOrderResult{Runner: order.Runner, Number: order.Number, Outcome: outcome}
}

// writeOrder is the moment at which the order leaves the process.
func (c *outboundCall) writeOrder(order protocol.RunnerOrder) {
	sim := c.sim
	c.completeAfterTimeout(protocol.RunnerOrderResult{Runner: order.Runner, Number: order.Number})
	if sim.fleet.runnerAt(c.address) == nil {
		sim.after(refusedMs, func() { c.completeNotSent(order) })
		return
	}
	arrive := func() { c.orderArrives(order) }
	sim.transmit(c.caller.name, c.address, arrive, nil)
	if sim.Bugs.IgnoreExpectedCount {
		sim.after(repeatedOrderMs, arrive)
	}
}

func (c *outboundCall) orderArrives(order protocol.RunnerOrder) {
	sim := c.sim
	r := sim.fleet.runnerAt(c.address)
	if r == nil || r.isSilent {
		return
	}
	outcome := r.handleOrder(c.caller.name, order)
	// The answer may be lost; the order has taken effect all the same.
	if sim.fleet.lostAnswerShare > 0 && sim.random.Float64() < sim.fleet.lostAnswerShare {
		return
	}
	sim.transmit(c.address, c.caller.name, func() { c.complete(orderResult(order, outcome)) }, nil)
}

// writeToSocket is the moment at which a process writes what its machine
// decided: a little later, or much later if the process froze in between. The
// write is dropped when its time limit on the daemon's own clock has passed.
func (sim *Simulation) writeToSocket(n *node, incarnation int, untilMs int64, write, tooLate func()) {
	sim.after(sim.random.Int63n(2), func() { sim.writeUnlessFrozen(n, incarnation, untilMs, write, tooLate) })
}

func (sim *Simulation) writeUnlessFrozen(n *node, incarnation int, untilMs int64, write, tooLate func()) {
	switch {
	case !n.runs(incarnation):
	case n.isFrozen:
		n.backlog = append(n.backlog, func() { sim.writeUnlessFrozen(n, incarnation, untilMs, write, tooLate) })
	case n.clock(sim.NowMs()) >= untilMs:
		tooLate()
	default:
		write()
	}
}

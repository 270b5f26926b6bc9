package faultsim

import (
	"myrtlewinch/internal/protocol"
)

const (
	// outboundTimeoutMs is the timeout of a daemon's outbound calls.
	outboundTimeoutMs = 1000
	// orderRefusedMs is how long it takes until a host without a running runner refuses a
	// connection.
	orderRefusedMs = 2
	// duplicateOrderDelayMs is the time between two deliveries of an order with
	// InjectedBugs.IgnoreExpectedCount.
	duplicateOrderDelayMs = 2500
)

// outboundCall is a call of a daemon to the platform's runner list or to a runner. Only the first
// result counts: a response after the timeout is ignored.
type outboundCall struct {
	sim         *Simulation
	caller      *node
	incarnation int
	address     string
	finished    bool
}

// startOutboundCall carries out a call that a daemon's state machine requested.
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

// complete delivers the result to the caller, unless one was delivered already.
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
	sim.transmit(caller, runnerListAddress, func() {
		if list, isAnswered := sim.fleet.list(); isAnswered {
			sim.transmit(runnerListAddress, caller, func() { c.complete(list) }, nil)
		}
	}, nil)
}

func (c *outboundCall) getRunnerState(body protocol.GetRunnerState) {
	sim, caller := c.sim, c.caller.name
	result := protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
	c.completeAfterTimeout(result)
	sim.transmit(caller, c.address, func() {
		r := sim.fleet.runnerAt(c.address)
		if r == nil || r.isUnresponsive {
			return
		}
		// The call fails if another incarnation runs at the address.
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

// writeOrder sends an order to the runner at the address.
func (c *outboundCall) writeOrder(order protocol.RunnerOrder) {
	sim := c.sim
	c.completeAfterTimeout(protocol.RunnerOrderResult{Runner: order.Runner, Number: order.Number})
	if sim.fleet.runnerAt(c.address) == nil {
		sim.after(orderRefusedMs, func() { c.completeNotSent(order) })
		return
	}
	arrive := func() { c.handleOrderArrival(order) }
	sim.transmit(c.caller.name, c.address, arrive, nil)
	if sim.Bugs.IgnoreExpectedCount {
		sim.after(duplicateOrderDelayMs, arrive)
	}
}

func (c *outboundCall) handleOrderArrival(order protocol.RunnerOrder) {
	sim := c.sim
	r := sim.fleet.runnerAt(c.address)
	if r == nil || r.isUnresponsive {
		return
	}
	outcome := r.handleOrder(c.caller.name, order)
	// The response may be lost although the order has taken effect.
	if sim.fleet.lostResponseRate > 0 && sim.random.Float64() < sim.fleet.lostResponseRate {
		return
	}
	sim.transmit(c.address, c.caller.name, func() { c.complete(orderResult(order, outcome)) }, nil)
}

// writeToSocket lets a process write the output of its state machine: after a short delay, or once
// the process resumes if it is frozen by then. If the time limit untilMs on the daemon's own clock
// has passed at that time, it calls tooLate instead of write.
func (sim *Simulation) writeToSocket(n *node, incarnation int, untilMs int64, write, tooLate func()) {
	sim.after(sim.random.Int63n(2), func() { sim.writeUnlessFrozen(n, incarnation, untilMs, write, tooLate) })
}

func (sim *Simulation) writeUnlessFrozen(n *node, incarnation int, untilMs int64, write, tooLate func()) {
	switch {
	case !n.isRunning(incarnation):
	case n.isFrozen:
		n.backlog = append(n.backlog, func() { sim.writeUnlessFrozen(n, incarnation, untilMs, write, tooLate) })
	case n.clockMs(sim.NowMs()) >= untilMs:
		tooLate()
	default:
		write()
	}
}

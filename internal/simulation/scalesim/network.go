package scalesim

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// fail ends the run and stores the error, unless there was one before.
func (s *simulation) fail(err error) {
	if s.err == nil {
		s.err = err
	}
	s.events.Stop()
}

// tick sends a tick to a node now and at each interval from now on.
func (s *simulation) tick(n *node) {
	if n.machine == nil {
		return
	}
	s.step(n, protocol.Tick{})
	s.events.After(tickMs, func() { s.tick(n) })
}

// timed executes work and returns the processor time that the work used. The time for
// reading the clock is subtracted. While the site is measured, the result is also added
// to *sumNs.
func (s *simulation) timed(sumNs *int64, work func()) int64 {
	beganNs := s.clock()
	work()
	tookNs := max(0, s.clock()-beganNs-s.clockNs)
	if s.measuring {
		*sumNs += tookNs
	}
	return tookNs
}

// step passes an input to a node's state machine and executes its effects.
func (s *simulation) step(n *node, input protocol.Input) {
	sumNs := &n.usage.controlNs
	switch input.(type) {
	case proxy.Request, proxy.ResponseStarted, proxy.AttemptEnded:
		sumNs = &n.usage.servingNs
	}
	var effects protocol.Effects
	tookNs := s.timed(sumNs, func() { effects = n.machine.Step(s.events.NowMs(), input) })
	if s.measuring {
		n.longestStepNs = max(n.longestStepNs, tookNs)
	}
	for _, write := range effects.DiskWrites {
		s.events.After(oneWayMs, func() { s.step(n, protocol.DiskWriteDone{Number: write.Number, Ok: true}) })
	}
	for _, send := range effects.Sends {
		s.send(n, send)
	}
	for _, call := range effects.Calls {
		s.call(n, call)
	}
	for _, response := range effects.Responses {
		s.handleResponse(n, response)
	}
}

// send passes a message through the codec and delivers it to another node.
func (s *simulation) send(from *node, send protocol.Send) {
	to := s.nodes[send.Address]
	if to == nil {
		return
	}
	var size int
	var message protocol.Envelope
	var err error
	s.timed(&from.usage.wireNs, func() {
		size, err = s.codec.encode(protocol.Envelope{Site: siteName, From: from.self, To: send.To, Body: send.Body})
	})
	if err == nil {
		s.timed(&to.usage.wireNs, func() { message, err = s.codec.decode() })
	}
	if err != nil {
		s.fail(errors.Wrapf(err, "encoding and decoding a message of type %T", send.Body))
		return
	}
	if s.measuring {
		s.countMessage(from, to, send, int64(size))
	}
	s.events.After(oneWayMs, func() { s.step(to, message) })
}

// countMessage counts a message and the reply to its frame.
func (s *simulation) countMessage(from, to *node, send protocol.Send, size int64) {
	messageType := fmt.Sprintf("%T", send.Body)
	count := s.messages[messageType]
	s.messages[messageType] = MessageCount{count.Messages + 1, count.Bytes + size}
	ackBytes := int64(s.codec.ackBytes)
	from.usage.sent++
	to.usage.received++
	from.usage.sentBytes += size
	to.usage.receivedBytes += size
	to.usage.sentBytes += ackBytes
	from.usage.receivedBytes += ackBytes
	from.peers[send.Address], to.peers[from.self.Address] = true, true
}

// call executes a controller's call to a runner or the platform.
func (s *simulation) call(n *node, call protocol.OutboundCall) {
	count := func(calls *int64) {
		if s.measuring {
			*calls++
		}
	}
	switch body := call.Body.(type) {
	case protocol.ListRunners:
		count(&n.usage.runnerListReads)
		s.events.After(runnerListReadMs, func() { s.step(n, protocol.RunnerList{Ok: true, Runners: s.runnerList()}) })
	case protocol.GetRunnerState:
		count(&n.usage.polls)
		s.events.After(2*oneWayMs, func() { s.step(n, s.pollRunner(call.Address, body)) })
	case protocol.RunnerOrder:
		count(&n.usage.orders)
		s.events.After(oneWayMs, func() {
			result := protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number, Outcome: s.orderRunner(call.Address, body)}
			s.events.After(oneWayMs, func() { s.step(n, result) })
		})
	}
}

// pollRunner returns a runner's response to a poll.
func (s *simulation) pollRunner(address string, poll protocol.GetRunnerState) protocol.RunnerStateResult {
	result := protocol.RunnerStateResult{Runner: poll.Runner, Number: poll.Number}
	if r := s.runnersByAddress[address]; r != nil && r.entry.ID == poll.Runner {
		result.Ok, result.State, r.polledMs = true, r.state(), s.events.NowMs()
	}
	return result
}

// orderRunner submits an order to a runner and lets it execute the order.
func (s *simulation) orderRunner(address string, order protocol.RunnerOrder) protocol.OrderOutcome {
	r := s.runnersByAddress[address]
	if r == nil {
		return protocol.OutcomeRejected
	}
	outcome := r.memory.Accept(order, false)
	if outcome == protocol.OutcomeAccepted {
		tookMs, fromStore := r.orderDuration(order)
		if fromStore {
			s.storeLoads++
		}
		s.events.After(tookMs, func() { r.memory.Complete(order) })
	}
	return outcome
}

// runnerList returns the platform's list of all runners.
func (s *simulation) runnerList() []protocol.RunnerEntry {
	out := make([]protocol.RunnerEntry, 0, len(s.runners))
	for _, r := range s.runners {
		entry := r.entry
		entry.Models = r.memory.HeldModels()
		out = append(out, entry)
	}
	return out
}

// handleResponse handles a node's response to an operator or a client, and simulates
// an attempt that a router starts.
func (s *simulation) handleResponse(n *node, response protocol.Response) {
	switch body := response.Body.(type) {
	case controller.ConfigAccepted:
		s.configAccepted, s.version, s.acceptedMs = true, body.Version, s.events.NowMs()
		s.trackConfigLag()
	case proxy.Status:
		n.primary = body.Primary
	case proxy.StartAttempt:
		s.startAttempt(n, response.ID, body.Params.Runner)
	case proxy.Reject:
		if s.measuring {
			s.rejected++
		}
	}
}

// startAttempt simulates how a runner serves a request.
func (s *simulation) startAttempt(n *node, id uint64, runner string) {
	r := s.runnersByID[runner]
	if r == nil {
		return
	}
	r.activeRequests++
	s.events.After(firstEventMs, func() {
		head := proxy.ResponseHead{HasLoad: true, Running: r.activeRequests, Slots: slots}
		s.step(n, proxy.ResponseStarted{ID: id, Runner: runner, Head: head})
	})
	s.events.After(int64(s.size.ResponseMs), func() {
		r.activeRequests--
		s.step(n, proxy.AttemptEnded{ID: id, Outcome: proxy.Completed, Forwarded: true})
	})
}

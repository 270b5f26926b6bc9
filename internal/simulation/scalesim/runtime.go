package scalesim

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// fail ends the run; of several errors the first one counts.
func (s *Site) fail(err error) {
	if s.fault == nil {
		s.fault = err
	}
	s.events.Stop()
}

func (s *Site) tick(n *node) {
	if n.machine == nil {
		return
	}
	s.step(n, protocol.Tick{})
	s.events.After(tickMs, func() { s.tick(n) })
}

// timed adds what work costs, without the clock's own cost.
func (s *Site) timed(to *int64, work func()) int64 {
	beganNs := s.clock()
	work()
	tookNs := max(0, s.clock()-beganNs-s.clockNs)
	if s.counting {
		*to += tookNs
	}
	return tookNs
}

func (s *Site) step(n *node, input any) {
	to := &n.load.ControlNs
	switch input.(type) {
	case proxy.Request, proxy.ResponseStarted, proxy.AttemptEnded:
		to = &n.load.ServingNs
	}
	var out protocol.Effects
	tookNs := s.timed(to, func() { out = n.machine.Step(s.events.NowMs(), input) })
	if s.counting {
		n.stepNs = max(n.stepNs, tookNs)
	}
	for _, save := range out.DiskWrites {
		s.events.After(wayMs, func() { s.step(n, protocol.DiskWriteDone{Number: save.Number, Ok: true}) })
	}
	for _, send := range out.Sends {
		s.send(n, send)
	}
	for _, call := range out.Calls {
		s.call(n, call)
	}
	for _, answer := range out.Responses {
		s.answered(n, answer)
	}
}

// send brings a message over, through the codec.
func (s *Site) send(n *node, send protocol.Send) {
	to := s.nodes[send.Address]
	if to == nil {
		return
	}
	var size int
	var got protocol.Envelope
	var err error
	s.timed(&n.load.WireNs, func() {
		size, err = s.line.encode(protocol.Envelope{Site: siteName, From: n.place, To: send.To, Body: send.Body})
	})
	if err == nil {
		s.timed(&to.load.WireNs, func() { got, err = s.line.decode() })
	}
	if err != nil {
		s.fail(errors.Wrapf(err, "a message %T", send.Body))
		return
	}
	if s.counting {
		kind := fmt.Sprintf("%T", send.Body)
		k := s.kinds[kind]
		s.kinds[kind] = Kind{k.Messages + 1, k.Bytes + int64(size)}
		n.load.Sent++
		to.load.Got++
		n.load.SentBytes += int64(size)
		to.load.GotBytes += int64(size)
		to.load.SentBytes += int64(s.line.ackBytes)
		n.load.GotBytes += int64(s.line.ackBytes)
		n.lines[send.Address], to.lines[n.place.Address] = true, true
	}
	s.events.After(wayMs, func() { s.step(to, got) })
}

// call carries a call of a controller outward.
func (s *Site) call(n *node, call protocol.OutboundCall) {
	count := func(to *int64) {
		if s.counting {
			*to++
		}
	}
	switch body := call.Body.(type) {
	case protocol.ListRunners:
		count(&n.load.Lists)
		s.events.After(listLagMs, func() { s.step(n, protocol.RunnerList{Ok: true, Runners: s.list()}) })
	case protocol.GetRunnerState:
		count(&n.load.States)
		s.events.After(2*wayMs, func() {
			said := protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
			if r := s.byAddress[call.Address]; r != nil && r.entry.ID == body.Runner {
				said.Ok, said.State, r.toldMs = true, r.state(), s.events.NowMs()
			}
			s.step(n, said)
		})
	case protocol.RunnerOrder:
		count(&n.load.Orders)
		s.events.After(wayMs, func() {
			outcome := protocol.OutcomeRejected
			if r := s.byAddress[call.Address]; r != nil {
				outcome = r.command(s, body)
			}
			s.events.After(wayMs, func() {
				s.step(n, protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number, Outcome: outcome})
			})
		})
	}
}

func (s *Site) list() []protocol.RunnerEntry {
	out := make([]protocol.RunnerEntry, 0, len(s.runners))
	for _, r := range s.runners {
		e := r.entry
		e.Models = r.models()
		out = append(out, e)
	}
	return out
}

// answered plays the runner that a request was sent to.
func (s *Site) answered(n *node, answer protocol.Response) {
	switch body := answer.Body.(type) {
	case controller.ConfigAccepted:
		s.taken, s.version, s.handedMs = true, body.Version, s.events.NowMs()
		s.watch()
	case proxy.Status:
		n.primary = body.Primary
	case proxy.StartAttempt:
		r := s.byID[body.Params.Runner]
		if r == nil {
			return
		}
		r.active++
		s.events.After(firstMs, func() {
			s.step(n, proxy.ResponseStarted{ID: answer.ID, Runner: body.Params.Runner, Head: proxy.ResponseHead{HasLoad: true, Running: r.active, Slots: slots}})
		})
		s.events.After(int64(s.size.LastsMs), func() {
			r.active--
			s.step(n, proxy.AttemptEnded{ID: answer.ID, Outcome: proxy.Completed, Forwarded: true})
		})
	case proxy.Reject:
		if s.counting {
			s.dropped++
		}
	}
}

package faultsim

import (
	"myrtlewinch/internal/protocol"
)

// isOpen says whether something can go from one name to another.
func (sim *Simulation) isOpen(from, to string) bool { return !sim.cuts[[2]string{from, to}] }

// cut stops all messages between two groups; with oneWay only from the first.
func (sim *Simulation) cut(from, to []string, oneWay bool) {
	sim.logf("cut %v | %v, one way: %v", from, to, oneWay)
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			sim.cuts[[2]string{a, b}] = true
			if !oneWay {
				sim.cuts[[2]string{b, a}] = true
			}
			sim.noteControllerLink(a, b)
		}
	}
	sim.connectivity.observe()
}

// noteControllerLink notes that core machines were cut from each other or joined.
func (sim *Simulation) noteControllerLink(a, b string) {
	if x, y := sim.nodes[a], sim.nodes[b]; x != nil && y != nil && x.isController() && y.isController() {
		sim.connectivity.coreDisturbedMs = sim.NowMs()
	}
}

// heal ends all cuts and all loss.
func (sim *Simulation) heal() {
	sim.logf("the network heals")
	sim.connectivity.observe()
	for pair := range sim.cuts {
		sim.noteControllerLink(pair[0], pair[1])
	}
	sim.cuts = map[[2]string]bool{}
	sim.lossShare, sim.duplicateShare, sim.delayShare, sim.maxDelayMs = 0, 0, 0, 0
	sim.healedAtMs = sim.NowMs()
}

// maxExternalDelayMs bounds how late a request, an order or an answer comes: what was
// written can't be called back.
const maxExternalDelayMs = 300

// transmit carries something from one name to another, unless the link is cut.
func (sim *Simulation) transmit(from, to string, arrive, lost func()) {
	tookMs := 1 + sim.random.Int63n(3)
	if sim.random.Intn(50) == 0 {
		tookMs = 1 + sim.random.Int63n(40)
	}
	if sim.delayShare > 0 && sim.random.Float64() < sim.delayShare {
		most := sim.maxDelayMs
		if sim.nodes[from] == nil || sim.nodes[to] == nil {
			most = min(most, maxExternalDelayMs)
		}
		tookMs += sim.random.Int63n(most)
	}
	sim.after(tookMs, func() {
		switch {
		case sim.isOpen(from, to):
			arrive()
		case lost != nil:
			lost()
		}
	})
}

// sendMessage carries a message between daemons; it may be lost, come late or twice.
func (sim *Simulation) sendMessage(n *node, send protocol.Send) {
	var to *node
	for _, name := range sim.nodeNames() {
		if sim.nodes[name].address+":7" == send.Address {
			to = sim.nodes[name]
		}
	}
	times := 1
	if lookUp, is := send.Body.(protocol.IndexLookUp); is {
		sim.Checker.recordLookUp(n, lookUp)
		if sim.Bugs.DuplicateLookUp {
			sim.Checker.recordLookUp(n, lookUp)
			times++
		}
	}
	if word, is := send.Body.(protocol.ConfigUpdate); is {
		send.Body = sim.tamperUpdate(word)
	}
	if to == nil || sim.lossShare > 0 && sim.random.Float64() < sim.lossShare {
		return
	}
	if sim.duplicateShare > 0 && sim.random.Float64() < sim.duplicateShare {
		times++
	}
	e := protocol.Envelope{Site: site, From: n.identity(), To: send.To, Body: send.Body}
	for range times {
		sim.transmit(n.name, to.name, func() { sim.deliver(to, to.incarnation, e) }, nil)
	}
}

// tamperUpdate is a word to routers as a broken system would give it.
func (sim *Simulation) tamperUpdate(word protocol.ConfigUpdate) protocol.ConfigUpdate {
	if sim.Bugs.HideDraining {
		word.Leaving = nil
	}
	if sim.Bugs.WithholdConfig && word.Version > 1 {
		word.Version, word.Text = 1, ""
	}
	return word
}

const callTimeout = 1000

// outboundCall carries a call of a daemon outward. As in the shell, what has not come
// back in time counts as lost, and its answer is not heard any more.
func (sim *Simulation) outboundCall(n *node, life int, call protocol.OutboundCall) {
	ended := false
	back := func(input any) {
		if !ended {
			ended = true
			sim.deliver(n, life, input)
		}
	}
	giveUp := func(input any) { sim.after(callTimeout, func() { back(input) }) }
	switch body := call.Body.(type) {
	case protocol.ListRunners:
		giveUp(protocol.RunnerList{})
		sim.transmit(n.name, "list", func() {
			if said, ok := sim.fleet.list(sim); ok {
				sim.transmit("list", n.name, func() { back(said) }, nil)
			}
		}, nil)
	case protocol.GetRunnerState:
		said := protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
		giveUp(said)
		sim.transmit(n.name, call.Address, func() {
			r := sim.fleet.runnerAt(call.Address)
			if r == nil || r.silent {
				return
			}
			// Another life at that address is no answer of this one.
			if said.Ok = r.entry.ID == body.Runner; said.Ok {
				said.State = r.reportedState(sim.NowMs())
			}
			sim.transmit(call.Address, n.name, func() { back(said) }, nil)
		}, nil)
	case protocol.RunnerOrder:
		said := protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number}
		if sim.Bugs.ReuseFence {
			body.Fence = 1
		}
		write := func() {
			giveUp(said)
			if r := sim.fleet.runnerAt(call.Address); r == nil {
				sim.after(2, func() { said.Outcome = protocol.OutcomeNotSent; back(said) })
				return
			}
			arrive := func() {
				r := sim.fleet.runnerAt(call.Address)
				if r == nil || r.silent {
					return
				}
				outcome := r.handleOrder(sim, n.name, body)
				// An answer may be lost; the order was taken all the same.
				if sim.fleet.lostAnswerShare > 0 && sim.random.Float64() < sim.fleet.lostAnswerShare {
					return
				}
				sim.transmit(call.Address, n.name, func() { said.Outcome = outcome; back(said) }, nil)
			}
			sim.transmit(n.name, call.Address, arrive, nil)
			if sim.Bugs.IgnoreExpectedCount {
				sim.after(2500, arrive)
			}
		}
		sim.writeToSocket(n, life, body.UntilMs, write, func() { said.Outcome = protocol.OutcomeNotSent; back(said) })
	}
}

// writeToSocket is the moment at which a shell writes: a little later than the
// machine decided, or much later if the process froze in between.
func (sim *Simulation) writeToSocket(n *node, life int, untilMs int64, write, late func()) {
	sim.after(sim.random.Int63n(2), func() { sim.writeUnlessFrozen(n, life, untilMs, write, late) })
}

func (sim *Simulation) writeUnlessFrozen(n *node, life int, untilMs int64, write, late func()) {
	switch {
	case !n.up || n.incarnation != life:
	case n.frozen:
		n.backlog = append(n.backlog, func() { sim.writeUnlessFrozen(n, life, untilMs, write, late) })
	case n.clock(sim.NowMs()) >= untilMs:
		late()
	default:
		write()
	}
}

package faultsim

import (
	"myrtlewinch/internal/protocol"
)

// open says whether something can go from one name to another.
func (w *World) open(from, to string) bool { return !w.cuts[[2]string{from, to}] }

// cut stops all messages between two groups; with oneWay only from the first.
func (w *World) cut(from, to []string, oneWay bool) {
	w.note("cut %v | %v, one way: %v", from, to, oneWay)
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			w.cuts[[2]string{a, b}] = true
			if !oneWay {
				w.cuts[[2]string{b, a}] = true
			}
			w.cutCore(a, b)
		}
	}
	w.touch.look()
}

// cutCore notes that core machines were cut from each other or joined.
func (w *World) cutCore(a, b string) {
	if x, y := w.nodes[a], w.nodes[b]; x != nil && y != nil && x.core() && y.core() {
		w.touch.coreMs = w.NowMs()
	}
}

// heal ends all cuts and all loss.
func (w *World) heal() {
	w.note("the network heals")
	w.touch.look()
	for pair := range w.cuts {
		w.cutCore(pair[0], pair[1])
	}
	w.cuts = map[[2]string]bool{}
	w.lossPart, w.twicePart, w.latePart, w.lateMs = 0, 0, 0, 0
	w.healedMs = w.NowMs()
}

// lateMost bounds how late a request, an order or an answer comes: what was
// written can't be called back.
const lateMost = 300

// pass carries something from one name to another, unless the link is cut.
func (w *World) pass(from, to string, arrive, lost func()) {
	tookMs := 1 + w.random.Int63n(3)
	if w.random.Intn(50) == 0 {
		tookMs = 1 + w.random.Int63n(40)
	}
	if w.latePart > 0 && w.random.Float64() < w.latePart {
		most := w.lateMs
		if w.nodes[from] == nil || w.nodes[to] == nil {
			most = min(most, lateMost)
		}
		tookMs += w.random.Int63n(most)
	}
	w.after(tookMs, func() {
		switch {
		case w.open(from, to):
			arrive()
		case lost != nil:
			lost()
		}
	})
}

// send carries a message between daemons; it may be lost, come late or twice.
func (w *World) send(n *node, send protocol.Send) {
	var to *node
	for _, name := range w.names() {
		if w.nodes[name].address+":7" == send.Address {
			to = w.nodes[name]
		}
	}
	times := 1
	if lookUp, is := send.Body.(protocol.IndexLookUp); is {
		w.Book.lookUp(n, lookUp)
		if w.Breaks.DoubleLookUp {
			w.Book.lookUp(n, lookUp)
			times++
		}
	}
	if word, is := send.Body.(protocol.ConfigUpdate); is {
		send.Body = w.spoilt(word)
	}
	if to == nil || w.lossPart > 0 && w.random.Float64() < w.lossPart {
		return
	}
	if w.twicePart > 0 && w.random.Float64() < w.twicePart {
		times++
	}
	e := protocol.Envelope{Site: site, From: n.place(), To: send.To, Body: send.Body}
	for range times {
		w.pass(n.name, to.name, func() { w.put(to, to.life, e) }, nil)
	}
}

// spoilt is a word to routers as a broken system would give it.
func (w *World) spoilt(word protocol.ConfigUpdate) protocol.ConfigUpdate {
	if w.Breaks.KeepLeaving {
		word.Leaving = nil
	}
	if w.Breaks.StaleMap && word.Version > 1 {
		word.Version, word.Text = 1, ""
	}
	return word
}

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
	giveUp := func(input any) { w.after(outwardMs, func() { back(input) }) }
	switch body := call.Body.(type) {
	case protocol.ListRunners:
		giveUp(protocol.RunnerList{})
		w.pass(n.name, "list", func() {
			if said, ok := w.fleet.list(w); ok {
				w.pass("list", n.name, func() { back(said) }, nil)
			}
		}, nil)
	case protocol.GetRunnerState:
		said := protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
		giveUp(said)
		w.pass(n.name, call.Address, func() {
			r := w.fleet.at(call.Address)
			if r == nil || r.silent {
				return
			}
			// Another life at that address is no answer of this one.
			if said.Ok = r.entry.ID == body.Runner; said.Ok {
				said.State = r.told(w.NowMs())
			}
			w.pass(call.Address, n.name, func() { back(said) }, nil)
		}, nil)
	case protocol.RunnerOrder:
		said := protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number}
		if w.Breaks.SameFence {
			body.Fence = 1
		}
		write := func() {
			giveUp(said)
			if r := w.fleet.at(call.Address); r == nil {
				w.after(2, func() { said.Outcome = protocol.OutcomeNotSent; back(said) })
				return
			}
			arrive := func() {
				r := w.fleet.at(call.Address)
				if r == nil || r.silent {
					return
				}
				outcome := r.command(w, n.name, body)
				// An answer may be lost; the order was taken all the same.
				if w.fleet.deafPart > 0 && w.random.Float64() < w.fleet.deafPart {
					return
				}
				w.pass(call.Address, n.name, func() { said.Outcome = outcome; back(said) }, nil)
			}
			w.pass(n.name, call.Address, arrive, nil)
			if w.Breaks.NoExpected {
				w.after(2500, arrive)
			}
		}
		w.atSocket(n, life, body.UntilMs, write, func() { said.Outcome = protocol.OutcomeNotSent; back(said) })
	}
}

// atSocket is the moment at which a shell writes: a little later than the
// machine decided, or much later if the process froze in between.
func (w *World) atSocket(n *node, life int, untilMs int64, write, late func()) {
	w.after(w.random.Int63n(2), func() { w.writeNow(n, life, untilMs, write, late) })
}

func (w *World) writeNow(n *node, life int, untilMs int64, write, late func()) {
	switch {
	case !n.up || n.life != life:
	case n.frozen:
		n.backlog = append(n.backlog, func() { w.writeNow(n, life, untilMs, write, late) })
	case n.clock(w.NowMs()) >= untilMs:
		late()
	default:
		write()
	}
}

package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// callerMs is how long an operator waits for an answer, callerEnd how long
	// it goes on with one order.
	callerMs  = 1000
	callerEnd = 20_000
	// redirectsMost is how many redirects a call follows.
	redirectsMost = 2
)

// operators hand maps over and read them back.
type operators struct {
	ids   uint64
	calls map[uint64]*attempt
	// version counts what was given out; newest is the newest accepted, handed
	// the newest that was handed over, and base what operators think in force.
	version, newest, handed, base uint64
	texts                         map[uint64]string
	under                         []*handing
	// doubt says that some order got no clear answer.
	doubt    bool
	outcomes []string
	history  history
	// lostPart of the answers get lost; heldPart of the calls are held up on
	// their way and arrive long after the operator has gone on.
	lostPart, heldPart float64
}

func newOperators() operators {
	return operators{calls: map[uint64]*attempt{}, texts: map[uint64]string{}, history: newHistory()}
}

// handing is one order of an operator until its end.
type handing struct {
	builtOn, version uint64
	text             string
	part, proper     bool
	sentMs           int64
	pauseMs          int64
	done             bool
	// read says that it only reads the map in force, which got then holds.
	read bool
	got  *controller.Text
	// isRival says that another order may have the same version, so that the
	// rules by version don't hold for it.
	isRival bool
	// isOnce says that the operator makes one call and gives up.
	isOnce bool
}

// attempt is one call of it.
type attempt struct {
	h         *handing
	n         *node
	over      bool
	sentMs    int64
	redirects int
	// record is that of the order, and nil for a read-back.
	record *orderRecord
}

// next takes the number of the next map; they rise by uneven steps.
func (o *operators) next(w *World) uint64 {
	o.version += 1 + uint64(w.random.Intn(3))
	return o.version
}

// replace hands a whole map over, change one of named items.
func (w *World) replaceMap(at *node) *handing {
	o := &w.operators
	version := o.next(w)
	return w.hand(at, &handing{builtOn: o.base, version: version, text: string(written(w.newMap(version))), proper: o.base == o.newest})
}

func (w *World) changeMap(at *node) *handing {
	o := &w.operators
	if o.base == 0 {
		return w.replaceMap(at)
	}
	version := o.next(w)
	return w.hand(at, &handing{builtOn: o.base, version: version, text: string(newChange(o.base, version)), part: true, proper: o.base == o.newest})
}

// faultyMap hands over a map that can't be.
func (w *World) faultyMap(at *node) {
	o := &w.operators
	version := o.next(w)
	text := string(written(w.newMap(version)))
	switch w.random.Intn(3) {
	case 0:
		text = strings.Replace(text, `"Service":"plain"`, `"Service":"nowhere"`, 1)
	case 1:
		text = strings.Replace(text, `"GiveUpMs":3000`, `"GiveUpMs":0`, 1)
	default:
		text = text[:len(text)/2]
	}
	w.hand(at, &handing{builtOn: o.base, version: version, text: text})
}

func (w *World) someCore() *node {
	names := w.names(protocol.Controller)
	return w.nodes[names[w.random.Intn(len(names))]]
}

func (w *World) hand(at *node, h *handing) *handing {
	o := &w.operators
	h.sentMs, h.pauseMs = w.NowMs(), 100
	// Of several at once one wins, and nobody knows which.
	o.under = slices.DeleteFunc(append(o.under, h), func(h *handing) bool { return h.done })
	if len(o.under) > 1 {
		for _, h := range o.under {
			h.proper = false
		}
	}
	o.handed = max(o.handed, h.version)
	o.texts[h.version] = h.text
	// The text that a change leads to, and which of two texts of one version was
	// taken, is for the check of the history to say.
	if h.part || h.isRival {
		o.texts[h.version] = ""
	}
	w.note("operator hands version %d on top of %d to %s, part: %v", h.version, h.builtOn, at.name, h.part)
	w.callCore(at, h)
	if h.proper && !o.doubt {
		w.after(w.Bounds.AckMs, func() {
			h.proper = h.proper && !o.doubt
			calm := w.touch.settled(h.sentMs) && w.NowMs()-w.touch.linksMs >= w.Bounds.AckMs+w.Bounds.InTouchMs
			if h.proper && !h.done && calm {
				w.Book.breach("ACK", w.NowMs(), "version %d is not acknowledged in time", h.version)
			}
		})
	}
	return h
}

// callCore makes one call, and another elsewhere where it brings nothing.
func (w *World) callCore(at *node, h *handing) { w.callAfter(at, h, 0) }

// callAfter makes one call that follows some redirects.
func (w *World) callAfter(at *node, h *handing, redirects int) {
	o := &w.operators
	if h.done {
		return
	}
	if w.NowMs()-h.sentMs > callerEnd {
		o.end(w, h, "no clear answer")
		return
	}
	if at == nil || at.removed {
		at = w.someCore()
	}
	o.ids++
	a := &attempt{h: h, n: at, sentMs: w.NowMs(), redirects: redirects}
	if !h.read {
		a.record = o.history.sent(w.NowMs(), orderKey{h.builtOn, h.part, h.text}, h.version)
	}
	o.calls[o.ids] = a
	id := o.ids
	if w.Breaks.EagerAnswer && !h.read {
		o.record(w, a, controller.Taken{Version: h.version})
		o.take(w, h)
	}
	arrive := func() {
		if at.up {
			if h.read {
				w.put(at, at.life, controller.Read{ID: id})
			} else {
				w.put(at, at.life, controller.HandOver{ID: id, BuiltOn: h.builtOn, Text: h.text, Part: h.part})
			}
		} else {
			w.after(5, func() { o.again(w, a, nil) })
		}
	}
	w.pass("operator", at.name, func() { w.after(o.heldMs(w), arrive) }, nil)
	w.after(callerMs, func() { o.again(w, a, nil) })
}

// heldMost bounds how long a call is held up on its way.
const heldMost = 8000

// heldMs is how long a call is held up on its way.
func (o *operators) heldMs(w *World) int64 {
	if o.heldPart == 0 || w.random.Float64() >= o.heldPart {
		return 0
	}
	return w.random.Int63n(heldMost)
}

// again goes to another daemon after a pause that grows.
func (o *operators) again(w *World, a *attempt, to *node) {
	if a.over || a.h.done {
		return
	}
	a.over = true
	if a.h.isOnce {
		o.end(w, a.h, "no clear answer")
		return
	}
	if to != nil && a.redirects < redirectsMost {
		w.after(1, func() { w.callAfter(to, a.h, a.redirects+1) })
		return
	}
	pauseMs := a.h.pauseMs
	a.h.pauseMs = min(1000, 2*pauseMs)
	w.after(pauseMs, func() { w.callCore(nil, a.h) })
}

// broke ends the calls at a daemon that died.
func (o *operators) broke(w *World, n *node) {
	for id, a := range o.calls {
		if a.n == n {
			delete(o.calls, id)
		}
	}
}

// answered takes the answer of a controller; it may get lost on its way.
func (o *operators) answered(w *World, n *node, answer protocol.Answer) {
	a := o.calls[answer.ID]
	if a == nil {
		return
	}
	delete(o.calls, answer.ID)
	if o.lostPart > 0 && w.random.Float64() < o.lostPart {
		return
	}
	w.pass(n.name, "operator", func() {
		// What is told too late for the operator must be right all the same.
		o.record(w, a, answer.Body)
		if !a.h.done {
			o.hear(w, a, answer.Body)
		}
	}, nil)
}

// record notes a clear answer in the history.
func (o *operators) record(w *World, a *attempt, body any) {
	answer := clearAnswer{sentMs: a.sentMs, atMs: w.NowMs()}
	switch said := body.(type) {
	case controller.Text:
		o.history.read(a.sentMs, w.NowMs(), said.Version, said.Text)
		return
	case controller.Taken:
		answer.outcome = outcomeAccepted
	case protocol.Rejection:
		switch said.Kind {
		case errkind.StaleBase:
			answer.outcome, answer.current = outcomeStale, said.Revision
		case errkind.FaultyDescription:
			answer.outcome = outcomeFaulty
		default:
			return
		}
	default:
		return
	}
	a.record.answers = append(a.record.answers, answer)
}

func (o *operators) hear(w *World, a *attempt, body any) {
	h := a.h
	switch said := body.(type) {
	case controller.Taken:
		if said.Version != h.version {
			w.Book.breach("CONFIG", w.NowMs(), "version %d is acknowledged as %d", h.version, said.Version)
		}
		o.take(w, h)
	case controller.Text:
		h.done = true
		h.got = &said
	case protocol.Rejection:
		switch said.Kind {
		case errkind.NotPrimary:
			var to *node
			for _, name := range w.names(protocol.Controller) {
				if w.nodes[name].address+":80" == said.Primary && w.nodes[name] != a.n {
					to = w.nodes[name]
				}
			}
			o.again(w, a, to)
		case errkind.StaleBase, errkind.FaultyDescription:
			if h.proper && !o.doubt && h.builtOn == o.newest {
				w.Book.breach("CONFIG", w.NowMs(), "version %d, proper, is refused: %s %v", h.version, said.Kind, said.Faults)
			}
			if said.Kind == errkind.StaleBase {
				o.base = max(o.base, said.Revision)
			}
			if !h.isRival {
				w.Book.notTaken(h.version, string(said.Kind))
			}
			o.end(w, h, string(said.Kind))
		default:
			o.again(w, a, nil)
		}
	}
}

func (o *operators) take(w *World, h *handing) {
	if h.done {
		return
	}
	if !h.isRival {
		w.Book.taken(h.version, h.builtOn)
	}
	o.newest = max(o.newest, h.version)
	o.base = max(o.base, h.version)
	o.end(w, h, "taken")
}

func (o *operators) end(w *World, h *handing, how string) {
	if h.done {
		return
	}
	h.done = true
	if h.read {
		return
	}
	o.doubt = o.doubt || how == "no clear answer"
	o.outcomes = append(o.outcomes, fmt.Sprintf("%d: %s", h.version, how))
	w.note("operator: version %d: %s", h.version, how)
}

// readBack reads the map in force, from a daemon or from any.
func (w *World) readBack(at *node) *handing {
	h := &handing{read: true, sentMs: w.NowMs(), pauseMs: 100}
	w.callCore(at, h)
	return h
}

// CheckMaps reads the map back: what was accepted must be there, as it was
// sent, and what was refused must not.
func (w *World) CheckMaps() {
	o := &w.operators
	for range 3 {
		h := w.readBack(nil)
		for range 60 {
			if w.Run(100); h.done {
				break
			}
		}
		h.done = true
		if h.got == nil {
			w.Book.breach("CONFIG", w.NowMs(), "the map can't be read back")
			return
		}
		if h.got.Version < o.newest {
			w.Book.breach("CONFIG", w.NowMs(), "version %d is read back and %d was accepted", h.got.Version, o.newest)
		}
		if why, not := w.Book.ineffect[h.got.Version]; not {
			w.Book.breach("CONFIG", w.NowMs(), "version %d is read back and was answered with %q", h.got.Version, why)
		}
		if text := o.texts[h.got.Version]; text != "" && text != h.got.Text {
			w.Book.breach("CONFIG", w.NowMs(), "version %d is read back with another text", h.got.Version)
		}
	}
}

// CheckHistory checks all that operators sent and were told as one register
// with compare-and-set.
func (w *World) CheckHistory() {
	for _, what := range w.operators.history.check() {
		w.Book.breach("REGISTER", w.NowMs(), "%s", what)
	}
}

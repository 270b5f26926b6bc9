package nativesim

import (
	"fmt"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// operator hands descriptions over and takes down what it was told.
type operator struct {
	count    uint64
	asked    map[uint64]*handing
	accepted map[uint64]string
	// texts are the whole ones that were handed over, by mark.
	texts    map[string]string
	outcomes map[string]int
	// founding is how the last founding ended.
	founding any
	// lastNumber is the newest revision that was told as accepted.
	lastNumber uint64
}

type handing struct {
	text string
	at   string
	then func(body any)
}

const operatorIds = 1 << 40

func (o *operator) init() {
	o.count = operatorIds
	o.asked, o.accepted, o.outcomes, o.texts = map[uint64]*handing{}, map[uint64]string{}, map[string]int{}, map[string]string{}
}

func (o *operator) answered(w *World, n *node, answer protocol.Answer) {
	h := o.asked[answer.ID]
	delete(o.asked, answer.ID)
	w.pass(n.name, "operator", func() { h.then(answer.Body) }, func() { o.outcomes["no answer"]++ })
}

// Found founds the site with its first three controllers.
func (w *World) Found() { w.foundWith(w.names(protocol.Controller)[1]) }

// foundWith founds it with a backup; told is how the last founding ended.
func (w *World) foundWith(backup string) {
	names := w.names(protocol.Controller)
	w.tell(names[0], "", func(id uint64) any {
		return consensus.Bootstrap{ID: id, Witnesses: names[:3], Backup: backup}
	}, func(body any) {
		w.note("founding: %+v", body)
		w.operator.founding = body
	})
}

// Recover goes on from a daemon's copy with live controllers, as an operator
// does after having been shown what that would be.
func (w *World) Recover(name string, witnesses []string, backup string) {
	said := w.status(w.nodes[name])
	w.operator.founding = nil
	w.tell(name, "", func(id uint64) any {
		return consensus.Bootstrap{
			ID: id, Witnesses: witnesses, Backup: backup, Recover: true,
			Change: said.Position.Number, Revision: said.Revision,
		}
	}, func(body any) {
		w.note("recovery: %+v", body)
		w.operator.founding = body
	})
}

func (w *World) tell(name, text string, input func(id uint64) any, then func(body any)) {
	n := w.nodes[name]
	if n == nil {
		w.note("operator: no primary to be found")
		return
	}
	w.operator.count++
	id := w.operator.count
	w.operator.asked[id] = &handing{text: text, at: name, then: then}
	w.pass("operator", name, func() {
		if n.up {
			w.put(n, n.life, input(id))
		}
	}, nil)
}

// HandOver hands a text over to a controller. What comes of it is noted.
func (w *World) HandOver(name string, base uint64, text string) { w.handOver(name, base, text, false) }

// HandOverPart hands a change of named parts over.
func (w *World) HandOverPart(name string, base uint64, text string) {
	w.handOver(name, base, text, true)
}

func (w *World) handOver(name string, base uint64, text string, part bool) {
	mark := markOf(text)
	if !part {
		w.operator.texts[mark] = text
	}
	if mark != "" {
		w.Book.Handed(mark)
		w.senders.marks = append(w.senders.marks, mark)
	}
	w.tell(name, text, func(id uint64) any {
		return consensus.HandOver{ID: id, Base: base, Text: text, Part: part}
	}, func(body any) {
		if w.Breaks.LieToOperator {
			body = w.opposite(body)
		}
		switch said := body.(type) {
		case consensus.Accepted:
			w.note("operator: revision %d accepted, %s", said.Revision, mark)
			w.operator.outcomes["accepted"]++
			w.Book.Accepted(w.events.NowMs(), said.Revision)
			w.Book.InForce(w.events.NowMs(), mark, said.Revision)
			w.allow(text, part)
			if !part {
				w.operator.accepted[said.Revision] = text
			}
			w.operator.lastNumber = max(w.operator.lastNumber, said.Revision)
		case protocol.Rejection:
			w.note("operator: %s, %s", said.Kind, mark)
			w.operator.outcomes[string(said.Kind)]++
			if said.Kind.Reply().Drop {
				w.Book.NoEffect(w.events.NowMs(), mark)
			}
		}
	})
}

// allow tells the rules what an accepted text allows.
func (w *World) allow(text string, part bool) {
	if part {
		return
	}
	if d, faults := description.Read([]byte(text), w.Site.Site); len(faults) == 0 && d.Store.LoadsPer10s != w.Site.Store.LoadsPer10s {
		rooms := map[string]int64{}
		for _, r := range d.Runners {
			rooms[r.Name] = r.Room
		}
		w.Book.Allow(w.events.NowMs(), d.Store.LoadsPer10s, rooms)
	}
}

// opposite is the wrong answer to a handing over.
func (w *World) opposite(body any) any {
	switch body.(type) {
	case consensus.Accepted:
		return protocol.Rejection{Kind: errkind.NotTaken}
	case protocol.Rejection:
		return consensus.Accepted{Revision: 2}
	}
	return body
}

// Primary names a controller that speaks for the site, if there is one.
func (w *World) Primary() string {
	for _, name := range w.names(protocol.Controller) {
		if n := w.nodes[name]; n.up && !n.frozen && w.status(n).Active {
			return name
		}
	}
	return ""
}

// status looks at a controller without anything else happening.
func (w *World) status(n *node) consensus.Status {
	effects := n.machine.Step(n.clock(w.events.NowMs()), consensus.Look{ID: 1, Page: "status"})
	var status consensus.Status
	rest := effects.Answers[:0]
	for _, answer := range effects.Answers {
		if s, ok := answer.Body.(consensus.Status); ok {
			status = s
			continue
		}
		rest = append(rest, answer)
	}
	effects.Answers = rest
	w.perform(n, effects)
	return status
}

// CheckDescriptions compares what is in force with what operators were told.
func (w *World) CheckDescriptions() {
	name := w.Primary()
	if name == "" {
		w.Book.Lost(w.events.NowMs(), "no controller speaks for the site")
		return
	}
	n := w.nodes[name]
	effects := n.machine.Step(n.clock(w.events.NowMs()), consensus.Look{ID: 1, Page: "description"})
	for _, answer := range effects.Answers {
		said, ok := answer.Body.(consensus.Described)
		if !ok {
			continue
		}
		sums := map[uint64]string{}
		for _, past := range said.Past {
			sums[past.Number] = past.Sum
		}
		w.checkMarks(said, sums)
		for number, text := range w.operator.accepted {
			if sums[number] != protocol.Sum(text) {
				w.Book.Lost(w.events.NowMs(), fmt.Sprintf("revision %d was accepted and is %q now", number, sums[number]))
			}
		}
	}
}

// checkMarks looks whether what was once in effect, or accepted, is still a
// part of the history, and whether the newest is in force.
func (w *World) checkMarks(said consensus.Described, sums map[uint64]string) {
	for mark, seen := range w.Book.Marks() {
		number := seen.Revision
		if number == 0 || len(said.Past) == 0 || number < said.Past[0].Number {
			continue
		}
		if text, whole := w.operator.texts[mark]; whole && sums[number] != protocol.Sum(text) {
			w.Book.Lost(w.events.NowMs(), fmt.Sprintf("%s was in effect as revision %d, which is %q now", mark, number, sums[number]))
		}
		if number == said.Revision.Number && markOf(said.Revision.Text) != mark {
			w.Book.Lost(w.events.NowMs(), fmt.Sprintf("%s was in effect as revision %d, which is another text now", mark, number))
		}
	}
	if last := w.operator.lastNumber; said.Revision.Number < last {
		w.Book.Lost(w.events.NowMs(), fmt.Sprintf("revision %d was accepted and %d is in force", last, said.Revision.Number))
	}
}

// Drops tallies what operators were told.
func (w *World) Drops(kind errkind.Kind) int { return w.operator.outcomes[string(kind)] }

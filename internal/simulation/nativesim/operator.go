package nativesim

import (
	"fmt"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// operator hands descriptions over and takes down what it was told.
type operator struct {
	submissions uint64
	pending     map[uint64]*submission
	accepted    map[uint64]string
	// texts are the whole ones that were handed over, by mark.
	texts    map[string]string
	outcomes map[string]int
	// bootstrapResult is how the last founding ended.
	bootstrapResult any
	// newestAccepted is the newest revision that was told as accepted.
	newestAccepted uint64
}

type submission struct {
	text string
	at   string
	then func(body any)
}

const firstOperatorID = 1 << 40

func (o *operator) init() {
	o.submissions = firstOperatorID
	o.pending, o.accepted, o.outcomes, o.texts = map[uint64]*submission{}, map[uint64]string{}, map[string]int{}, map[string]string{}
}

func (o *operator) answered(w *World, n *node, answer protocol.Response) {
	h := o.pending[answer.ID]
	delete(o.pending, answer.ID)
	w.transmit(n.name, "operator", func() { h.then(answer.Body) }, func() { o.outcomes["no answer"]++ })
}

// Bootstrap founds the site with its first three controllers.
func (w *World) Bootstrap() { w.bootstrapWith(w.nodeNames(protocol.RoleController)[1]) }

// bootstrapWith founds it with a backup; told is how the last founding ended.
func (w *World) bootstrapWith(backup string) {
	names := w.nodeNames(protocol.RoleController)
	w.askController(names[0], "", func(id uint64) any {
		return consensus.Bootstrap{ID: id, Witnesses: names[:3], Backup: backup}
	}, func(body any) {
		w.tracef("founding: %+v", body)
		w.operator.bootstrapResult = body
	})
}

// Recover goes on from a daemon's copy with live controllers, as an operator
// does after having been shown what that would be.
func (w *World) Recover(name string, witnesses []string, backup string) {
	said := w.status(w.nodes[name])
	w.operator.bootstrapResult = nil
	w.askController(name, "", func(id uint64) any {
		return consensus.Bootstrap{
			ID: id, Witnesses: witnesses, Backup: backup, Recover: true,
			Change: said.Position.Number, Revision: said.Revision,
		}
	}, func(body any) {
		w.tracef("recovery: %+v", body)
		w.operator.bootstrapResult = body
	})
}

func (w *World) askController(name, text string, input func(id uint64) any, then func(body any)) {
	n := w.nodes[name]
	if n == nil {
		w.tracef("operator: no primary to be found")
		return
	}
	w.operator.submissions++
	id := w.operator.submissions
	w.operator.pending[id] = &submission{text: text, at: name, then: then}
	w.transmit("operator", name, func() {
		if n.up {
			w.deliver(n, n.incarnation, input(id))
		}
	}, nil)
}

// SubmitDescription hands a text over to a controller. What comes of it is noted.
func (w *World) SubmitDescription(name string, base uint64, text string) {
	w.submit(name, base, text, false)
}

// SubmitPart hands a change of named parts over.
func (w *World) SubmitPart(name string, base uint64, text string) {
	w.submit(name, base, text, true)
}

func (w *World) submit(name string, base uint64, text string, part bool) {
	mark := markerOf(text)
	if !part {
		w.operator.texts[mark] = text
	}
	if mark != "" {
		w.Checker.DescriptionSubmitted(mark)
		w.clients.markers = append(w.clients.markers, mark)
	}
	w.askController(name, text, func(id uint64) any {
		return controller.HandOver{ID: id, Base: base, Text: text, Part: part}
	}, func(body any) {
		if w.Bugs.InvertOutcomes {
			body = w.opposite(body)
		}
		switch said := body.(type) {
		case controller.Accepted:
			w.tracef("operator: revision %d accepted, %s", said.Revision, mark)
			w.operator.outcomes["accepted"]++
			w.Checker.RevisionAccepted(w.events.NowMs(), said.Revision)
			w.Checker.DescriptionAccepted(w.events.NowMs(), mark, said.Revision)
			w.recordLimits(text, part)
			if !part {
				w.operator.accepted[said.Revision] = text
			}
			w.operator.newestAccepted = max(w.operator.newestAccepted, said.Revision)
		case protocol.Rejection:
			w.tracef("operator: %s, %s", said.Kind, mark)
			w.operator.outcomes[string(said.Kind)]++
			if said.Kind.Response().NotExecuted {
				w.Checker.DescriptionRejected(w.events.NowMs(), mark)
			}
		}
	})
}

// recordLimits tells the rules what an accepted text allows.
func (w *World) recordLimits(text string, part bool) {
	if part {
		return
	}
	if d, faults := description.Read([]byte(text), w.Description.Site); len(faults) == 0 && d.Store.LoadsPer10s != w.Description.Store.LoadsPer10s {
		rooms := map[string]int64{}
		for _, r := range d.Runners {
			rooms[r.Name] = r.Room
		}
		w.Checker.LimitsAccepted(w.events.NowMs(), d.Store.LoadsPer10s, rooms)
	}
}

// opposite is the wrong answer to a handing over.
func (w *World) opposite(body any) any {
	switch body.(type) {
	case controller.Accepted:
		return protocol.Rejection{Kind: errkind.NotAccepted}
	case protocol.Rejection:
		return controller.Accepted{Revision: 2}
	}
	return body
}

// Primary names a controller that speaks for the site, if there is one.
func (w *World) Primary() string {
	for _, name := range w.nodeNames(protocol.RoleController) {
		if n := w.nodes[name]; n.up && !n.frozen && w.status(n).Active {
			return name
		}
	}
	return ""
}

// status looks at a controller without anything else happening.
func (w *World) status(n *node) controller.Status {
	effects := n.machine.Step(n.clock(w.events.NowMs()), controller.Look{ID: 1, Page: "status"})
	var status controller.Status
	rest := effects.Responses[:0]
	for _, answer := range effects.Responses {
		if s, ok := answer.Body.(controller.Status); ok {
			status = s
			continue
		}
		rest = append(rest, answer)
	}
	effects.Responses = rest
	w.applyEffects(n, effects)
	return status
}

// CheckDescriptions compares what is in force with what operators were told.
func (w *World) CheckDescriptions() {
	name := w.Primary()
	if name == "" {
		w.Checker.DescriptionLost(w.events.NowMs(), "no controller speaks for the site")
		return
	}
	n := w.nodes[name]
	effects := n.machine.Step(n.clock(w.events.NowMs()), controller.Look{ID: 1, Page: "description"})
	for _, answer := range effects.Responses {
		said, ok := answer.Body.(controller.Described)
		if !ok {
			continue
		}
		sums := map[uint64]string{}
		for _, past := range said.Past {
			sums[past.Number] = past.Sum
		}
		w.checkMarkers(said, sums)
		for number, text := range w.operator.accepted {
			if sums[number] != protocol.Digest(text) {
				w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf("revision %d was accepted and is %q now", number, sums[number]))
			}
		}
	}
}

// checkMarkers looks whether what was once in effect, or accepted, is still a
// part of the history, and whether the newest is in force.
func (w *World) checkMarkers(said controller.Described, sums map[uint64]string) {
	for mark, seen := range w.Checker.Markers() {
		number := seen.Revision
		if number == 0 || len(said.Past) == 0 || number < said.Past[0].Number {
			continue
		}
		if text, whole := w.operator.texts[mark]; whole && sums[number] != protocol.Digest(text) {
			w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf("%s was in effect as revision %d, which is %q now", mark, number, sums[number]))
		}
		if number == said.Revision.Number && markerOf(said.Revision.Text) != mark {
			w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf("%s was in effect as revision %d, which is another text now", mark, number))
		}
	}
	if last := w.operator.newestAccepted; said.Revision.Number < last {
		w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf("revision %d was accepted and %d is in force", last, said.Revision.Number))
	}
}

// OperatorOutcomes tallies what operators were told.
func (w *World) OperatorOutcomes(kind errkind.Kind) int { return w.operator.outcomes[string(kind)] }

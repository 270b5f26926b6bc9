package nativesim

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// firstOperatorID begins the ids of operators' requests, above all those of
// clients.
const firstOperatorID = 1 << 40

// The outcomes of submissions besides error kinds.
const (
	submissionAccepted   = "accepted"
	submissionUnanswered = "no answer"
)

// operator bootstraps the site, submits descriptions and keeps the answers that it got.
type operator struct {
	lastID uint64
	// pending are the functions that wait for a controller's answer, by id.
	pending map[uint64]func(body protocol.Reply)
	// accepted are the whole descriptions that were accepted, by revision.
	accepted map[uint64]string
	// texts are the whole descriptions that were submitted, by marker service.
	texts map[string]string
	// outcomes counts how submissions ended.
	outcomes map[string]int
	// bootstrapResult is how the last bootstrap or recovery ended: a
	// consensus.BootstrapResult or a protocol.Rejection, or nil before that.
	bootstrapResult protocol.Reply
	// newestAccepted is the newest revision that was reported as accepted.
	newestAccepted uint64
}

func newOperator() operator {
	return operator{
		lastID:   firstOperatorID,
		pending:  map[uint64]func(body protocol.Reply){},
		accepted: map[uint64]string{},
		texts:    map[string]string{},
		outcomes: map[string]int{},
	}
}

// ask sends an input with a new id to a controller, and its answer to then.
func (w *World) ask(name string, input func(id uint64) protocol.Input, then func(body protocol.Reply)) {
	n := w.nodes[name]
	if n == nil {
		w.tracef("operator: no primary to be found")
		return
	}
	w.operator.lastID++
	id := w.operator.lastID
	w.operator.pending[id] = then
	w.transmit(operatorEndpoint, name, func() {
		if n.up {
			w.deliver(n.process(), input(id))
		}
	}, nil)
}

// operatorAnswered carries a controller's answer to the operator.
func (w *World) operatorAnswered(n *node, response protocol.Response) {
	then := w.operator.pending[response.ID]
	delete(w.operator.pending, response.ID)
	arrive := func() { then(response.Body) }
	w.transmit(n.name, operatorEndpoint, arrive, func() { w.operator.outcomes[submissionUnanswered]++ })
}

// Bootstrap founds the site with its first three controllers.
func (w *World) Bootstrap() { w.bootstrapWith(w.nodeNames(protocol.RoleController)[1]) }

// bootstrapWith founds the site with a backup.
func (w *World) bootstrapWith(backup string) {
	names := w.nodeNames(protocol.RoleController)
	input := func(id uint64) protocol.Input {
		return consensus.Bootstrap{ID: id, Witnesses: names[:seedCount], Backup: backup}
	}
	w.ask(names[0], input, func(body protocol.Reply) {
		w.tracef("bootstrap: %+v", body)
		w.operator.bootstrapResult = body
	})
}

// Recover continues from a controller's replica with controllers that are left,
// as an operator does after having seen what that replica holds.
func (w *World) Recover(name string, witnesses []string, backup string) {
	status := w.status(w.nodes[name])
	w.recoverAt(name, consensus.Bootstrap{
		Witnesses: witnesses, Backup: backup, Recover: true,
		Change: status.Position.Number, Revision: status.Revision,
	})
}

// recoverAt asks a controller for a recovery.
func (w *World) recoverAt(name string, recovery consensus.Bootstrap) {
	w.operator.bootstrapResult = nil
	input := func(id uint64) protocol.Input {
		recovery.ID = id
		return recovery
	}
	w.ask(name, input, func(body protocol.Reply) {
		w.tracef("recovery: %+v", body)
		w.operator.bootstrapResult = body
	})
}

// SubmitDescription submits a whole description, which replaces the revision
// base, to a controller.
func (w *World) SubmitDescription(name string, base uint64, text string) {
	w.operator.texts[markerOf(text)] = text
	w.submit(name, controller.SubmitDescription{Base: base, Text: text})
}

// SubmitPart submits a change of named parts of the description.
func (w *World) SubmitPart(name string, base uint64, text string) {
	w.submit(name, controller.SubmitDescription{Base: base, Text: text, Partial: true})
}

func (w *World) submit(name string, submission controller.SubmitDescription) {
	if marker := markerOf(submission.Text); marker != "" {
		w.Checker.DescriptionSubmitted(marker)
		w.clients.markers = append(w.clients.markers, marker)
	}
	input := func(id uint64) protocol.Input {
		submission.ID = id
		return submission
	}
	w.ask(name, input, func(body protocol.Reply) {
		if w.Bugs.InvertOutcomes {
			body = inverted(body)
		}
		switch answer := body.(type) {
		case controller.DescriptionAccepted:
			w.submissionAccepted(submission, answer.Revision)
		case protocol.Rejection:
			w.submissionRejected(submission, answer.Kind)
		}
	})
}

func (w *World) submissionAccepted(submission controller.SubmitDescription, revision uint64) {
	nowMs, marker := w.events.NowMs(), markerOf(submission.Text)
	w.tracef("operator: revision %d accepted, %s", revision, marker)
	w.operator.outcomes[submissionAccepted]++
	w.Checker.RevisionAccepted(nowMs, revision)
	w.Checker.DescriptionAccepted(nowMs, marker, revision)
	if !submission.Partial {
		w.recordLimits(submission.Text)
		w.operator.accepted[revision] = submission.Text
	}
	w.operator.newestAccepted = max(w.operator.newestAccepted, revision)
}

func (w *World) submissionRejected(submission controller.SubmitDescription, kind errkind.Kind) {
	marker := markerOf(submission.Text)
	w.tracef("operator: %s, %s", kind, marker)
	w.operator.outcomes[string(kind)]++
	if kind.Response().NotExecuted {
		w.Checker.DescriptionRejected(w.events.NowMs(), marker)
	}
}

// recordLimits reports to the checker what an accepted description allows, if that
// differs from the first one.
func (w *World) recordLimits(text string) {
	d, faults := description.Read([]byte(text), w.Description.Site)
	if len(faults) > 0 || d.Store.LoadsPer10s == w.Description.Store.LoadsPer10s {
		return
	}
	capacities := map[string]int64{}
	for _, r := range d.Runners {
		capacities[r.Name] = r.Room
	}
	w.Checker.LimitsAccepted(w.events.NowMs(), d.Store.LoadsPer10s, capacities)
}

// inverted is the opposite of a controller's answer to a submission.
func inverted(body protocol.Reply) protocol.Reply {
	switch body.(type) {
	case controller.DescriptionAccepted:
		return protocol.Rejection{Kind: errkind.NotAccepted}
	case protocol.Rejection:
		return controller.DescriptionAccepted{Revision: 2}
	}
	return body
}

// submitNext submits the next description, based on the newest revision that is
// known: mostly a whole one, at times a part, or one with a fault.
func (w *World) submitNext() {
	w.submissions++
	name := w.Primary()
	if name == "" || w.Random.Intn(8) == 0 {
		name = w.randomNode(protocol.RoleController)
	}
	base := w.operator.newestAccepted
	if n := w.nodes[name]; n.up && !n.frozen {
		base = w.status(n).Revision
	}
	switch w.Random.Intn(8) {
	case 0:
		w.SubmitDescription(name, base, w.Faulty(w.submissions))
	case 1, 2:
		w.SubmitPart(name, base, w.Part(w.submissions))
	default:
		w.SubmitDescription(name, base, w.Variant(w.submissions))
	}
}

// Primary names the active controller, if there is one.
func (w *World) Primary() string {
	for _, name := range w.nodeNames(protocol.RoleController) {
		if n := w.nodes[name]; n.up && !n.frozen && w.status(n).Active {
			return name
		}
	}
	return ""
}

// backup names the controller that has a replica besides the primary.
func (w *World) backup() string {
	primary := w.Primary()
	if primary == "" {
		return ""
	}
	replica, _ := w.status(w.nodes[primary]).Record.OtherReplica(primary)
	return replica.Name
}

// status reads a controller's status. What else its state machine decides in
// the same step is carried out.
func (w *World) status(n *node) controller.Status {
	effects := n.machine.Step(w.clockNow(n), controller.StatusRequest{ID: 1})
	var status controller.Status
	rest := effects.Responses[:0]
	for _, response := range effects.Responses {
		if s, ok := response.Body.(controller.Status); ok {
			status = s
			continue
		}
		rest = append(rest, response)
	}
	effects.Responses = rest
	w.applyEffects(n, effects)
	return status
}

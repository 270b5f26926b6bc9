package nativesim

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// firstOperatorID is where the ids of operators' requests start. It is above all
// ids of clients' requests.
const firstOperatorID = 1 << 40

// The outcomes of submissions besides the error kinds.
const (
	submissionAccepted   = "accepted"
	submissionNoResponse = "no answer"
)

// operator bootstraps the site, submits descriptions and records the responses.
type operator struct {
	lastID uint64
	// pending holds the functions that handle the controllers' responses, by id.
	pending map[uint64]func(body protocol.Reply)
	// accepted holds the accepted complete descriptions by revision.
	accepted map[uint64]string
	// texts holds the submitted complete descriptions by marker service.
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

// sendToController sends an input with a new id to a controller, and passes its
// response to onReply.
func (w *World) sendToController(name string, input func(id uint64) protocol.Input, onReply func(body protocol.Reply)) {
	n := w.nodes[name]
	if n == nil {
		w.tracef("operator: there is no primary")
		return
	}
	w.operator.lastID++
	id := w.operator.lastID
	w.operator.pending[id] = onReply
	w.transmit(operatorEndpoint, name, func() {
		if n.up {
			w.deliver(n.process(), input(id))
		}
	}, nil)
}

// respondToOperator transmits a controller's response to the operator.
func (w *World) respondToOperator(n *node, response protocol.Response) {
	onReply := w.operator.pending[response.ID]
	delete(w.operator.pending, response.ID)
	arrive := func() { onReply(response.Body) }
	w.transmit(n.name, operatorEndpoint, arrive, func() { w.operator.outcomes[submissionNoResponse]++ })
}

// Bootstrap bootstraps the site with its first three controllers as witnesses.
func (w *World) Bootstrap() { w.bootstrapWith(w.nodeNames(protocol.RoleController)[1]) }

// bootstrapWith bootstraps the site with the given follower.
func (w *World) bootstrapWith(follower string) {
	names := w.nodeNames(protocol.RoleController)
	input := func(id uint64) protocol.Input {
		return consensus.Bootstrap{ID: id, Witnesses: names[:seedCount], Backup: follower}
	}
	w.sendToController(names[0], input, func(body protocol.Reply) {
		w.tracef("bootstrap: %+v", body)
		w.operator.bootstrapResult = body
	})
}

// Recover recovers the site from a controller's replica, with the given witnesses
// and follower. As an operator does, it first reads the position and revision of
// that replica.
func (w *World) Recover(name string, witnesses []string, follower string) {
	status := w.status(w.nodes[name])
	w.recoverAt(name, consensus.Bootstrap{
		Witnesses: witnesses, Backup: follower, Recover: true,
		Change: status.Position.Number, Revision: status.Revision,
	})
}

// recoverAt sends a recovery to a controller.
func (w *World) recoverAt(name string, recovery consensus.Bootstrap) {
	w.operator.bootstrapResult = nil
	input := func(id uint64) protocol.Input {
		recovery.ID = id
		return recovery
	}
	w.sendToController(name, input, func(body protocol.Reply) {
		w.tracef("recovery: %+v", body)
		w.operator.bootstrapResult = body
	})
}

// SubmitDescription submits a complete description, based on the revision base,
// to a controller.
func (w *World) SubmitDescription(name string, base uint64, text string) {
	w.operator.texts[markerOf(text)] = text
	w.submit(name, controller.SubmitDescription{Base: base, Text: text})
}

// SubmitPart submits a partial change of the description.
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
	w.sendToController(name, input, func(body protocol.Reply) {
		if w.Bugs.InvertOutcomes {
			body = inverted(body)
		}
		switch reply := body.(type) {
		case controller.DescriptionAccepted:
			w.recordAcceptance(submission, reply.Revision)
		case protocol.Rejection:
			w.recordRejection(submission, reply.Kind)
		}
	})
}

func (w *World) recordAcceptance(submission controller.SubmitDescription, revision uint64) {
	nowMs, marker := w.events.NowMs(), markerOf(submission.Text)
	w.tracef("operator: revision %d accepted, marker service %s", revision, marker)
	w.operator.outcomes[submissionAccepted]++
	w.Checker.RevisionAccepted(nowMs, revision)
	w.Checker.DescriptionAccepted(nowMs, marker, revision)
	if !submission.Partial {
		w.recordLimits(submission.Text)
		w.operator.accepted[revision] = submission.Text
	}
	w.operator.newestAccepted = max(w.operator.newestAccepted, revision)
}

func (w *World) recordRejection(submission controller.SubmitDescription, kind errkind.Kind) {
	marker := markerOf(submission.Text)
	w.tracef("operator: description rejected with %s, marker service %s", kind, marker)
	w.operator.outcomes[string(kind)]++
	if kind.Response().NotExecuted {
		w.Checker.DescriptionRejected(w.events.NowMs(), marker)
	}
}

// recordLimits reports the limits of an accepted description to the checker if
// its limit of loads differs from the limit of the first description.
func (w *World) recordLimits(text string) {
	d, faults := description.Read([]byte(text), w.Description.Site)
	if len(faults) > 0 || d.Store.LoadsPer10s == w.Description.Store.LoadsPer10s {
		return
	}
	capacities := map[string]int64{}
	for _, r := range d.Runners {
		capacities[r.Name] = r.Capacity
	}
	w.Checker.LimitsAccepted(w.events.NowMs(), d.Store.LoadsPer10s, capacities)
}

// inverted returns the opposite of a controller's response to a submission.
func inverted(body protocol.Reply) protocol.Reply {
	switch body.(type) {
	case controller.DescriptionAccepted:
		return protocol.Rejection{Kind: errkind.NotAccepted}
	case protocol.Rejection:
		return controller.DescriptionAccepted{Revision: 2}
	}
	return body
}

// submitNext submits the next description, mostly to the primary. It is based on
// the revision that the controller has, or on the newest accepted one if the
// controller is down or frozen. Most are complete, some are partial or not valid.
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
		w.SubmitDescription(name, base, w.InvalidVariant(w.submissions))
	case 1, 2:
		w.SubmitPart(name, base, w.PartialVariant(w.submissions))
	default:
		w.SubmitDescription(name, base, w.Variant(w.submissions))
	}
}

// Primary returns the name of the active controller, or "".
func (w *World) Primary() string {
	for _, name := range w.nodeNames(protocol.RoleController) {
		if n := w.nodes[name]; n.up && !n.frozen && w.status(n).Active {
			return name
		}
	}
	return ""
}

// follower returns the name of the controller that has a replica besides the
// primary, or "".
func (w *World) follower() string {
	primary := w.Primary()
	if primary == "" {
		return ""
	}
	replica, _ := w.status(w.nodes[primary]).Record.OtherReplica(primary)
	return replica.Name
}

// status returns a controller's status. The other effects of the same step of
// its state machine are applied.
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

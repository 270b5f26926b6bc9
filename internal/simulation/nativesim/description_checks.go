package nativesim

import (
	"fmt"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/protocol"
)

// descriptionLost reports to the checker that an accepted description was lost.
func (w *World) descriptionLost(format string, args ...any) {
	w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf(format, args...))
}

// CheckDescriptions compares the descriptions that the primary has with the
// responses that operators got.
func (w *World) CheckDescriptions() {
	name := w.Primary()
	if name == "" {
		w.descriptionLost("no controller is active")
		return
	}
	n := w.nodes[name]
	effects := n.machine.Step(w.clockNow(n), controller.DescriptionRequest{ID: 1})
	for _, response := range effects.Responses {
		if described, ok := response.Body.(controller.DescriptionReply); ok {
			w.checkHistory(described)
		}
	}
}

// checkHistory checks that each accepted description, and each that was in
// effect, is in the history, and that the active revision is no older than the
// newest accepted one.
func (w *World) checkHistory(described controller.DescriptionReply) {
	digests := map[uint64]string{}
	for _, past := range described.History {
		digests[past.Number] = past.Sum
	}
	w.checkMarkers(described, digests)
	if newest := w.operator.newestAccepted; described.Revision.Number < newest {
		w.descriptionLost("revision %d was accepted, but revision %d is active", newest, described.Revision.Number)
	}
	for revision, text := range w.operator.accepted {
		if digests[revision] != protocol.Digest(text) {
			w.descriptionLost("revision %d was accepted, but its digest in the history is %q", revision, digests[revision])
		}
	}
}

// checkMarkers checks the descriptions whose marker service was used.
func (w *World) checkMarkers(described controller.DescriptionReply, digests map[uint64]string) {
	for marker, seen := range w.Checker.Markers() {
		revision := seen.Revision
		if revision == 0 || len(described.History) == 0 || revision < described.History[0].Number {
			continue
		}
		text, isComplete := w.operator.texts[marker]
		if isComplete && digests[revision] != protocol.Digest(text) {
			w.descriptionLost("%s was in effect as revision %d, whose digest in the history is %q", marker, revision, digests[revision])
		}
		if revision == described.Revision.Number && markerOf(described.Revision.Text) != marker {
			w.descriptionLost("%s was in effect as revision %d, which has another text now", marker, revision)
		}
	}
}

// checkAccepted checks that a revision, or a newer one, was accepted. It is called
// where the faults leave the site able to accept descriptions.
func (w *World) checkAccepted(revision uint64) {
	if w.operator.newestAccepted < revision {
		w.descriptionLost("revision %d was not accepted: outcomes %v", revision, w.operator.outcomes)
	}
}

// checkSuperseded checks that a replaced daemon is superseded, and that its
// successor is not.
func (w *World) checkSuperseded(old, successor string) {
	oldSuperseded, successorSuperseded := w.isSuperseded(old), w.isSuperseded(successor)
	if !oldSuperseded || successorSuperseded {
		w.descriptionLost("%s superseded: %v, %s superseded: %v", old, oldSuperseded, successor, successorSuperseded)
	}
}

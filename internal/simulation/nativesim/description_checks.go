package nativesim

import (
	"fmt"

	"myrtlewinch/internal/native/controller"
	"myrtlewinch/internal/protocol"
)

// descriptionLost reports that an accepted description is not there any more.
func (w *World) descriptionLost(format string, args ...any) {
	w.Checker.DescriptionLost(w.events.NowMs(), fmt.Sprintf(format, args...))
}

// CheckDescriptions compares what is in force with what operators were told.
func (w *World) CheckDescriptions() {
	name := w.Primary()
	if name == "" {
		w.descriptionLost("no controller speaks for the site")
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
// effect, is in the history, and that the newest one is in force.
func (w *World) checkHistory(described controller.DescriptionReply) {
	digests := map[uint64]string{}
	for _, past := range described.History {
		digests[past.Number] = past.Sum
	}
	w.checkMarkers(described, digests)
	if newest := w.operator.newestAccepted; described.Revision.Number < newest {
		w.descriptionLost("revision %d was accepted and %d is in force", newest, described.Revision.Number)
	}
	for revision, text := range w.operator.accepted {
		if digests[revision] != protocol.Digest(text) {
			w.descriptionLost("revision %d was accepted and is %q now", revision, digests[revision])
		}
	}
}

// checkMarkers checks the descriptions whose marker service ran.
func (w *World) checkMarkers(described controller.DescriptionReply, digests map[uint64]string) {
	for marker, seen := range w.Checker.Markers() {
		revision := seen.Revision
		if revision == 0 || len(described.History) == 0 || revision < described.History[0].Number {
			continue
		}
		text, isWhole := w.operator.texts[marker]
		if isWhole && digests[revision] != protocol.Digest(text) {
			w.descriptionLost("%s was in effect as revision %d, which is %q now", marker, revision, digests[revision])
		}
		if revision == described.Revision.Number && markerOf(described.Revision.Text) != marker {
			w.descriptionLost("%s was in effect as revision %d, which is another text now", marker, revision)
		}
	}
}

// checkAccepted checks that a revision that could be accepted was.
func (w *World) checkAccepted(revision uint64) {
	if w.operator.newestAccepted < revision {
		w.descriptionLost("revision %d could be taken and was not: %v", revision, w.operator.outcomes)
	}
}

// checkRetired checks that a replaced daemon retired and its successor did not.
func (w *World) checkRetired(old, successor string) {
	oldRetired, successorRetired := w.retired(old), w.retired(successor)
	if !oldRetired || successorRetired {
		w.descriptionLost("%s retired: %v, %s retired: %v", old, oldRetired, successor, successorRetired)
	}
}

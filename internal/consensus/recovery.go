package consensus

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// epochStep puts a recovery's epoch far above any that may have been recorded
// where this daemon could not see it.
const epochStep = 1000

// recoverFrom goes on from this daemon's copy after both disks of the pair
// were lost: an operator's explicit act, which must name what it goes on from.
// Three live controllers must agree, blank or not; none may have a later copy.
func (m *Machine) recoverFrom(f Bootstrap) {
	drop := func(kind errkind.Kind, detail string) { m.answer(f.ID, protocol.Rejection{Kind: kind, Detail: detail}) }
	at := m.state.Position
	switch {
	case at.Number == 0:
		drop(errkind.NotBootstrapped, "this controller has no copy to go on from")
		return
	case m.broken:
		drop(errkind.NotAccepted, "this controller's disk failed")
		return
	case m.election.founding != nil:
		drop(errkind.NotAccepted, "a recovery is under way")
		return
	case m.isPrimary() || m.entitled(m.record) || m.mayStand():
		drop(errkind.NotAccepted, "this disk is one of the pair: it takes over by itself")
		return
	}
	for _, seat := range m.record.Replicas {
		if place, known := m.roster.Node(seat.Name); known && place.Incarnation == seat.Incarnation && m.roster.Live(m.nowMs, seat.Name) {
			drop(errkind.NotAccepted, "a disk of the pair is there: "+seat.Name+" takes over by itself")
			return
		}
	}
	shown := fmt.Sprintf("this would go on from change %d of epoch %d, with revision %d", at.Number, at.Epoch, m.state.Revision.Number)
	if f.Change != at.Number || f.Revision != m.state.Revision.Number {
		drop(errkind.StaleBase, shown+"; give change and revision to do it")
		return
	}
	first, fault := m.firstRecord(f)
	if fault != "" {
		drop(errkind.BadRequest, fault)
		return
	}
	first.Epoch = max(m.record.Epoch, m.witness.Record.Epoch, at.Epoch) + epochStep
	// A disk of the lost pair that returns has another chain; it may not come
	// back, and a blank one under its name is none of it.
	first.Gone = m.record.Gone
	for _, seat := range m.record.Replicas {
		lost := protocol.EpochRecord{Gone: first.Gone}
		first.Gone = lost.GoneWith(seat)
	}
	m.note("recovering: %s", shown)
	m.election.first, m.election.founding = first, &f
	m.askPromises(true)
}

// otherRecovery ends a recovery where a witness has a later copy, and goes
// above any epoch that one knows.
func (m *Machine) otherRecovery(from protocol.Node, said protocol.PrepareReply) bool {
	s := &m.election
	if said.Record.Epoch >= s.first.Epoch {
		s.first.Epoch = said.Record.Epoch + epochStep
	}
	at := m.state.Position
	if said.At.Epoch < at.Epoch || said.At.Epoch == at.Epoch && said.At.Number <= at.Number {
		return false
	}
	id := s.founding.ID
	s.founding = nil
	m.retreat(0)
	m.answer(id, protocol.Rejection{Kind: errkind.NotAccepted, Detail: fmt.Sprintf("%s has a later copy, up to change %d of epoch %d: recover from it", from.Name, said.At.Number, said.At.Epoch)})
	return true
}

// beginWith is what a new primary writes first.
func (m *Machine) beginWith() []ledger.Command {
	if f := m.election.founding; f != nil && f.Recover {
		return []ledger.Command{beginCommand, ledger.Restart{Epoch: m.record.Epoch}}
	}
	return []ledger.Command{beginCommand}
}

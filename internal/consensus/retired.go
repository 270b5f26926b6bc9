package consensus

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// heeds says whether a message of a core daemon counts. A name has one disk:
// the one that a recorded epoch names. One that was replaced is told so, and a
// blank one waits until the recorded one is silent.
func (m *Machine) heeds(e protocol.Envelope) bool {
	seat := protocol.MemberID{Name: e.From.Name, Incarnation: e.From.Incarnation}
	if slices.Contains(m.record.Gone, seat) {
		m.count(errkind.WrongDaemon)
		m.send(e.From, protocol.Retire{Record: m.record})
		return false
	}
	named, ok := m.record.Member(seat.Name)
	if !ok || named == seat {
		return true
	}
	if place, known := m.roster.Node(seat.Name); known && place.Incarnation == named.Incarnation && m.roster.Live(m.nowMs, seat.Name) {
		m.count(errkind.WrongDaemon)
		return false
	}
	return true
}

// heedRetire takes the word only with a record that says so and is not older.
func (m *Machine) heedRetire(record protocol.EpochRecord) {
	if record.Epoch >= m.record.Epoch && slices.Contains(record.Gone, m.ownSeat()) {
		m.retire()
	}
}

// retire ends this daemon's part in the site for good, also over restarts.
func (m *Machine) retire() {
	if m.retired {
		return
	}
	m.note("retired: another disk has this daemon's name; stop this one")
	if m.isPrimary() {
		m.losePrimacy("this disk was replaced")
	}
	m.retired = true
	if !m.broken {
		m.save(storage.Write{Set: map[string]string{retiredKey: "for good"}}, nil)
	}
}

// stepRetired answers who looks, and refuses all else.
func (m *Machine) stepRetired(input any) {
	switch in := input.(type) {
	case Bootstrap:
		m.answer(in.ID, protocol.Rejection{Kind: errkind.AlreadyBootstrapped, Detail: "this daemon is retired"})
	default:
		if m.set.Hooks != nil {
			m.set.Hooks.InputWhileRetired(input)
		}
	}
}

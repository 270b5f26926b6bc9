package consensus

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// awayMs is how long a witness is silent before another daemon takes its seat.
const awayMs = 30_000

// silentMs is how long the peer of a seat has not answered this primacy.
func (m *Machine) silentMs(seat protocol.MemberID) int64 {
	c := m.replication.peers[seat.Name]
	if seat == m.ownSeat() {
		return 0
	}
	if c == nil {
		return m.nowMs - m.replication.beganMs
	}
	return m.nowMs - max(c.heardMs, m.replication.beganMs)
}

// nextWitness gives the seat to change next, one at a time: a witness that
// came back with a blank disk takes its own place, and for one that stays away
// a live peer that holds every change does. The old set's majority must
// agree like the new one's, so each later candidate learns of the change from
// some witness of whatever set it knows.
func (m *Machine) nextWitness() (int, protocol.MemberID, bool) {
	for i, seat := range m.record.Witnesses {
		if c := m.replication.peers[seat.Name]; c != nil && c.incarnation != seat.Incarnation && m.nowMs-c.heardMs <= m.waits.ElectionTimeoutMs {
			m.note("taking in the new witness disk of %s", seat.Name)
			return i, protocol.MemberID{Name: seat.Name, Incarnation: c.incarnation}, true
		}
	}
	if i, seat, ok := m.furtherWitness(); ok {
		return i, seat, true
	}
	away := m.away()
	if seat, leaves := m.leavingWitness(); leaves {
		away = append(away, seat)
	}
	if len(away) == 0 {
		m.replication.away = ""
		return 0, protocol.MemberID{}, false
	}
	if seat, ok := m.outsider(); ok {
		m.note("%s takes the place of witness %s, which stays away or leaves", seat.Name, away[0].Name)
		return slices.Index(m.record.Witnesses, away[0]), seat, true
	}
	if m.replication.away != away[0].Name {
		m.replication.away = away[0].Name
		m.note("witness %s stays away and no other core machine can take its place; the next loss stops control", away[0].Name)
	}
	return 0, protocol.MemberID{}, false
}

// away lists the witnesses that have been silent for long.
func (m *Machine) away() []protocol.MemberID {
	var away []protocol.MemberID
	if !m.isPrimary() {
		return nil
	}
	for _, seat := range m.record.Witnesses {
		if m.silentMs(seat) > m.set.WitnessTimeoutMs {
			away = append(away, seat)
		}
	}
	return away
}

// leavingWitness gives a witness whose daemon is stopping as planned.
func (m *Machine) leavingWitness() (protocol.MemberID, bool) {
	for _, seat := range m.record.Witnesses {
		if m.replication.leaves(seat) || seat == m.ownSeat() && m.leaving.wanted {
			return seat, true
		}
	}
	return protocol.MemberID{}, false
}

// outsider gives a live core peer that holds every change and sits nowhere.
func (m *Machine) outsider() (protocol.MemberID, bool) {
	for _, place := range m.roster.NodesOf(protocol.RoleController) {
		seat := protocol.MemberID{Name: place.Name, Incarnation: place.Incarnation}
		sits := slices.ContainsFunc(m.record.Witnesses, func(w protocol.MemberID) bool { return w.Name == seat.Name })
		if !sits && m.replication.keepsUp(m.nowMs, seat) && !m.replication.leaves(seat) && m.replication.peers[seat.Name].acked >= m.replication.committed {
			return seat, true
		}
	}
	return protocol.MemberID{}, false
}

// furtherWitness adds a seat where the losses to be borne want more witnesses
// than a site was founded with.
func (m *Machine) furtherWitness() (int, protocol.MemberID, bool) {
	have, want := len(m.record.Witnesses), 2*m.set.MaxLosses+1
	if have >= want {
		return 0, protocol.MemberID{}, false
	}
	seat, ok := m.outsider()
	if !ok {
		return 0, protocol.MemberID{}, false
	}
	m.note("%s becomes a further witness", seat.Name)
	return have, seat, true
}

package consensus

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// tendRecord recruits a new backup for a lost one and takes a blank witness in.
func (m *Machine) tendRecord() {
	s := &m.election
	if s.proposal != nil || m.nowMs >= s.leaseUntilMs {
		return
	}
	next := m.record
	next.Epoch++
	next.Before = m.record.Witnesses
	// The copies go first: without them nothing is written.
	if copies, gone, ok := m.nextCopies(); ok {
		next.Replicas, next.Gone = copies, gone
		m.keep(next, false)
		return
	}
	// Once a new witness set is recorded, the one before need not agree any more.
	if !slices.Equal(m.record.Before, m.record.Witnesses) {
		m.keep(next, false)
		return
	}
	if i, seat, ok := m.nextWitness(); ok {
		next.Witnesses = slices.Clone(m.record.Witnesses)
		if i == len(next.Witnesses) {
			next.Witnesses = append(next.Witnesses, seat)
		} else {
			if old := next.Witnesses[i]; old.Name == seat.Name {
				next.Gone = m.record.GoneWith(old)
			}
			next.Witnesses[i] = seat
		}
		m.keep(next, false)
	}
}

// nextCopies gives the copies that the next record should name, and the disks
// whose names have passed to another, if the copies should change: by one
// member at a time. Of a lost or leaving copy nothing is given up before
// another has taken its place; only what is over the number that must be is.
func (m *Machine) nextCopies() (copies, gone []protocol.MemberID, changes bool) {
	var bad, extra protocol.MemberID
	for _, seat := range m.record.Replicas {
		switch {
		case seat == m.ownSeat():
		case m.staysCopy(seat):
			extra = seat
		default:
			bad = seat
		}
	}
	// A new primary takes recorded copies for good until their time to answer is
	// over, so that none is recruited needlessly; but none is given up because of
	// one that has not answered.
	want, good, proven := m.set.MaxLosses+1, m.countCopies(m.staysCopy), m.countCopies(m.provenCopy)
	without := func(lost protocol.MemberID) []protocol.MemberID {
		return slices.DeleteFunc(slices.Clone(m.record.Replicas), func(seat protocol.MemberID) bool { return seat == lost })
	}
	switch {
	case proven >= want && bad != protocol.MemberID{}:
		m.note("%s is a copy no longer; enough others are", bad.Name)
		return without(bad), m.record.Gone, true
	case proven > want && extra != protocol.MemberID{}:
		m.note("%s is a copy no longer; more are kept than must be", extra.Name)
		return without(extra), m.record.Gone, true
	case good >= want:
		return nil, nil, false
	}
	spare, found := m.recruit(bad)
	if !found {
		return nil, nil, false
	}
	gone = m.record.Gone
	// A disk that came back blank under the name takes over the name.
	if old, ok := m.record.Member(spare.Name); ok && old != spare {
		gone = m.record.GoneWith(old)
	}
	m.note("recruiting %s as a copy", spare.Name)
	return append(without(bad), spare), gone, true
}

// nextPrimary is the copy that a primary which stops on purpose asks to take over.
func (m *Machine) nextPrimary() (protocol.MemberID, bool) {
	for _, seat := range m.record.Replicas {
		if seat != m.ownSeat() && m.staysCopy(seat) {
			return seat, true
		}
	}
	return m.record.OtherReplica(m.set.Self.Name)
}

// recruit picks a follower that holds every change that was answered, in
// another zone if it can. What is answered from then on needs it as well, so
// it need not have what is still on its way.
func (m *Machine) recruit(lost protocol.MemberID) (protocol.MemberID, bool) {
	var best protocol.MemberID
	found, other := false, false
	for _, place := range m.roster.NodesOf(protocol.RoleController) {
		seat := protocol.MemberID{Name: place.Name, Incarnation: place.Incarnation}
		c := m.replication.peers[place.Name]
		if seat == lost || m.record.HasReplica(seat) || c == nil || c.acked < m.replication.committed {
			continue
		}
		if !m.replication.keepsUp(m.nowMs, seat) || m.replication.leaves(seat) {
			continue
		}
		elsewhere := place.Zone != m.set.Self.Zone
		if !found || elsewhere && !other {
			best, found, other = seat, true, elsewhere
		}
	}
	return best, found
}

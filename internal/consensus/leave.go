package consensus

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// LeaveResult answers a Leave: nothing in the site waits for this daemon.
type LeaveResult struct {
	// HandedOver says that its copy and its vote are with others, as far as
	// there are any; otherwise the time for it ran out.
	HandedOver bool
}

// departure is a planned stop. The members of a record that is in force may
// not just go: one that goes for good counts no longer as lost, so as many
// further disks may be lost right after. Its copy and its vote are handed to
// others by recorded changes first.
type departure struct {
	wanted bool
	// done says that the answer was given.
	done    bool
	id      uint64
	untilMs int64
}

// leavingMs is how much longer than others a daemon that is stopping waits
// before it takes over from a primary that is gone.
const leavingMs = 500

// leaveMs is the usual time that a planned stop may take.
const leaveMs = 4000

// beginDeparture begins a planned stop.
func (m *Machine) beginDeparture(in Leave) {
	if m.leaving.wanted {
		return
	}
	m.leaving = departure{wanted: true, id: in.ID, untilMs: m.nowMs + m.set.LeaveTimeoutMs}
	if m.set.StopWithoutHandover {
		m.stepDown("planned stop")
		m.depart("planned stop")
		return
	}
	if place, ok := m.roster.Node(m.record.Primary); ok && !m.isPrimary() {
		m.tellFollowed(place)
	}
	m.tickDeparture()
}

// tickDeparture ends a planned stop once nothing is left to hand over, or when
// its time has run out.
func (m *Machine) tickDeparture() {
	if !m.leaving.wanted || m.leaving.done {
		return
	}
	if m.active() && m.election.proposal == nil && m.mayLeave(m.ownSeat()) {
		m.stepDown("planned stop")
		m.depart("nothing is left to hand over")
		return
	}
	if m.nowMs < m.leaving.untilMs {
		return
	}
	m.note("the planned stop could not hand everything over in time")
	m.stepDown("planned stop")
	m.leaving.done = true
	m.answer(m.leaving.id, LeaveResult{})
}

func (m *Machine) depart(why string) {
	if m.leaving.done {
		return
	}
	m.note("free to stop: %s", why)
	m.leaving.done = true
	m.answer(m.leaving.id, LeaveResult{HandedOver: true})
}

// mayLeave says, at the primary, whether a member has nothing left that some
// other daemon could take over. A successor that still catches up is waited for.
func (m *Machine) mayLeave(seat protocol.MemberID) bool {
	return m.election.proposal == nil && !m.copyIsAwaited(seat) && !m.voteIsAwaited(seat) && m.copiesKnowRecord(seat)
}

// copiesKnowRecord says whether all other copies that stay know the record that
// names them. One that does not would not take over, and might be the only one
// left once the member is gone.
func (m *Machine) copiesKnowRecord(but protocol.MemberID) bool {
	return !slices.ContainsFunc(m.record.Replicas, func(seat protocol.MemberID) bool {
		return seat != but && seat != m.ownSeat() && m.staysCopy(seat) && m.replication.peers[seat.Name].epoch != m.record.Epoch
	})
}

// copyIsAwaited says whether another daemon is to hold the copy of a member
// that leaves. The primary's own stays recorded until the next one drops it.
func (m *Machine) copyIsAwaited(seat protocol.MemberID) bool {
	enough := m.countCopies(func(other protocol.MemberID) bool { return other != seat && m.provenCopy(other) }) > m.set.MaxLosses
	if seat == m.ownSeat() {
		return !enough && m.successor(m.record.Replicas)
	}
	return m.record.HasReplica(seat) && (enough || m.successor(m.record.Replicas))
}

// voteIsAwaited says whether the vote of a member that leaves is to pass to
// another daemon. While it passes, the set of before still counts.
func (m *Machine) voteIsAwaited(seat protocol.MemberID) bool {
	if !slices.Contains(m.record.Voters(), seat) {
		return false
	}
	return !slices.Equal(m.record.Before, m.record.Witnesses) || m.successor(m.record.Witnesses)
}

// successor says whether a live daemon that is not leaving stands outside the
// members.
func (m *Machine) successor(members []protocol.MemberID) bool {
	for _, place := range m.roster.NodesOf(protocol.RoleController) {
		seat := protocol.MemberID{Name: place.Name, Incarnation: place.Incarnation}
		sits := slices.ContainsFunc(members, func(member protocol.MemberID) bool { return member.Name == seat.Name })
		if !sits && m.replication.live(m.nowMs, seat) && !m.replication.leaves(seat) {
			return true
		}
	}
	return false
}

// countCopies counts the recorded copies of which something holds.
func (m *Machine) countCopies(holds func(protocol.MemberID) bool) int {
	count := 0
	for _, seat := range m.record.Replicas {
		if holds(seat) {
			count++
		}
	}
	return count
}

// staysCopy says, at the primary, whether a recorded copy can be relied on.
func (m *Machine) staysCopy(seat protocol.MemberID) bool {
	if seat == m.ownSeat() {
		return !m.leaving.wanted
	}
	return m.replication.keepsUp(m.nowMs, seat) && !m.replication.leaves(seat)
}

// provenCopy says whether a recorded copy can be relied on and has answered
// this primary.
func (m *Machine) provenCopy(seat protocol.MemberID) bool {
	f := m.replication.peers[seat.Name]
	return m.staysCopy(seat) && (seat == m.ownSeat() || f.answered)
}

// leaves says whether the disk's daemon is stopping as planned.
func (c *replication) leaves(seat protocol.MemberID) bool {
	f := c.peers[seat.Name]
	return f != nil && f.incarnation == seat.Incarnation && f.leaving
}

package consensus

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
		m.acknowledge(place)
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

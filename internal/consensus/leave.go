package consensus

// LeaveResult answers a Leave: nothing in the site waits for this daemon.
type LeaveResult struct {
	// HandedOver says that its copy and its vote are with others, as far as
	// there are any; otherwise the time for it ran out.
	HandedOver bool
}

// plannedStop is a planned stop. The members of a record that is in force may
// not just go: one that goes for good counts no longer as lost, so as many
// further disks may be lost right after. Its copy and its vote are handed to
// others by recorded changes first.
type plannedStop struct {
	begun bool
	// done says that the answer was given.
	done    bool
	id      uint64
	untilMs int64
}

// beginLeave begins a planned stop.
func (m *Machine) beginLeave(in Leave) {
	if m.leaving.begun {
		return
	}
	m.leaving = plannedStop{begun: true, id: in.ID, untilMs: m.nowMs + m.set.LeaveTimeoutMs}
	if m.set.StopWithoutHandover {
		m.stepDown("planned stop")
		m.endLeave("planned stop")
		return
	}
	if place, ok := m.detector.Node(m.record().Primary); ok && !m.isPrimary() {
		m.acknowledge(place)
	}
	m.tickLeave()
}

// tickLeave ends a planned stop once nothing is left to hand over, or when
// its time has run out.
func (m *Machine) tickLeave() {
	if !m.leaving.begun || m.leaving.done {
		return
	}
	if m.serves() && m.mayLeave(m.self()) {
		m.stepDown("planned stop")
		m.endLeave("nothing is left to hand over")
		return
	}
	if m.nowMs < m.leaving.untilMs {
		return
	}
	m.logf("the planned stop could not hand everything over in time")
	m.stepDown("planned stop")
	m.leaving.done = true
	m.respond(m.leaving.id, LeaveResult{})
}

func (m *Machine) endLeave(why string) {
	if m.leaving.done {
		return
	}
	m.logf("free to stop: %s", why)
	m.leaving.done = true
	m.respond(m.leaving.id, LeaveResult{HandedOver: true})
}

package consensus

// LeaveResult is the reply to a Leave: the daemon may stop.
type LeaveResult struct {
	// HandedOver is true if other daemons have this daemon's replica and vote, as far as
	// another can have them, or if no handover is configured. It is false if the handover timed out.
	HandedOver bool
}

// ReplyBody marks LeaveResult as a protocol.Reply.
func (LeaveResult) ReplyBody() {}

// plannedShutdown is a shutdown of this daemon that a Leave announced. A member that stopped
// permanently without a planned shutdown would count as one of the MaxLosses lost disks. So
// the primary first changes the epoch record to give its replica and its vote to other
// daemons.
type plannedShutdown struct {
	begun bool
	// answered is true once the Leave input with this id was answered.
	answered bool
	id       uint64
	// deadlineMs is the time by which the Leave must be answered.
	deadlineMs int64
}

// beginLeave begins a planned shutdown.
func (m *Machine) beginLeave(in Leave) {
	if m.leaving.begun {
		return
	}
	m.leaving = plannedShutdown{begun: true, id: in.ID, deadlineMs: m.nowMs + m.settings.LeaveTimeoutMs}
	if m.settings.StopWithoutHandover {
		m.stepDown("planned shutdown")
		m.endLeave("no handover is configured")
		return
	}
	if primary, ok := m.detector.Node(m.record().Primary); ok && !m.isPrimary() {
		m.acknowledge(primary)
	}
	m.tickLeave()
}

// tickLeave answers the Leave once nothing is left to hand over, or at the deadline.
func (m *Machine) tickLeave() {
	if !m.leaving.begun || m.leaving.answered {
		return
	}
	if m.serves() && m.mayLeave(m.self()) {
		m.stepDown("planned shutdown")
		m.endLeave("nothing is left to hand over")
		return
	}
	if m.nowMs < m.leaving.deadlineMs {
		return
	}
	m.logf("the planned shutdown timed out before this daemon's replica and vote were handed over")
	m.stepDown("planned shutdown")
	m.leaving.answered = true
	m.respond(m.leaving.id, LeaveResult{})
}

// endLeave answers the Leave: the daemon may stop, for the given reason.
func (m *Machine) endLeave(reason string) {
	if m.leaving.answered {
		return
	}
	m.logf("ready to stop: %s", reason)
	m.leaving.answered = true
	m.respond(m.leaving.id, LeaveResult{HandedOver: true})
}

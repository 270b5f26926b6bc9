package consensus

import (
	"myrtlewinch/internal/election"
	"myrtlewinch/internal/membership"
	"myrtlewinch/internal/protocol"
)

// members is what the primary decides on the next record by.
func (m *Machine) members() *membership.View {
	return &membership.View{
		NowMs: m.nowMs, Self: m.set.Self, Leaving: m.leaving.begun, Record: m.record(),
		Controllers: m.detector.NodesOf(protocol.RoleController), Primary: &m.primary, MaxLosses: m.set.MaxLosses,
		LiveMs: m.set.Timing.ElectionTimeoutMs, WitnessTimeoutMs: m.set.WitnessTimeoutMs,
	}
}

// planRecord records a change of the members where they need one.
func (m *Machine) planRecord() {
	if m.election.Proposal != nil || !m.election.HasLease(m.nowMs) {
		return
	}
	plan := m.planner.Next(m.members())
	if plan.LogLine != "" {
		m.logf("%s", plan.LogLine)
	}
	if plan.Change {
		m.elect(func(e *election.Machine, env *election.Environment) { e.Propose(env, plan.Record) })
	}
}

// mayLeave says, at the primary, whether a member has nothing left that some
// other daemon could take over.
func (m *Machine) mayLeave(id protocol.MemberID) bool {
	return m.election.Proposal == nil && m.members().MayLeave(id)
}

// silentWitnesses lists, at the primary, the witnesses that have been silent for
// long.
func (m *Machine) silentWitnesses() []protocol.MemberID {
	if !m.isPrimary() {
		return nil
	}
	return m.members().SilentWitnesses()
}

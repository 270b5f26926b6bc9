package consensus

import (
	"myrtlewinch/internal/election"
	"myrtlewinch/internal/membership"
	"myrtlewinch/internal/protocol"
)

// members returns the primary's view of the members, from which the next
// record is planned.
func (m *Machine) members() *membership.View {
	return &membership.View{
		NowMs: m.nowMs, Self: m.settings.Self, Leaving: m.leaving.begun, Record: m.record(),
		Controllers: m.detector.NodesOf(protocol.RoleController), Primary: &m.primary, MaxLosses: m.settings.MaxLosses,
		LiveMs: m.settings.Timing.ElectionTimeoutMs, WitnessTimeoutMs: m.settings.WitnessTimeoutMs,
	}
}

// planRecord proposes the next record if the members need a change. One
// record is proposed at a time.
func (m *Machine) planRecord() {
	if m.election.Proposal != nil || !m.election.HasLease(m.nowMs) {
		return
	}
	plan := m.planner.Next(m.members())
	if plan.LogLine != "" {
		m.logf("%s", plan.LogLine)
	}
	if plan.Change {
		m.runElection(func(e *election.Machine, env *election.Environment) { e.Propose(env, plan.Record) })
	}
}

// mayLeave reports, at the primary, whether a member that is shutting down as planned has
// no replica or vote left that another daemon could have instead.
func (m *Machine) mayLeave(id protocol.MemberID) bool {
	return m.election.Proposal == nil && m.members().MayLeave(id)
}

// unresponsiveWitnesses returns, at the primary, the witnesses that were unresponsive for
// longer than the witness timeout.
func (m *Machine) unresponsiveWitnesses() []protocol.MemberID {
	if !m.isPrimary() {
		return nil
	}
	return m.members().UnresponsiveWitnesses()
}

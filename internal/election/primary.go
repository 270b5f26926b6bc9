package election

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// extendLease extends the lease. The lease counts from when the requests that a majority
// granted were sent, so that it expires here before it expires at any of those witnesses.
func (m *Machine) extendLease() {
	sent := make([]int64, 0, len(m.grants))
	for _, sentMs := range m.grants {
		sent = append(sent, sentMs)
	}
	slices.Sort(sent)
	for _, sentMs := range slices.Backward(sent) {
		grantedSince := func(voter protocol.MemberID) bool {
			grantedMs, granted := m.grants[voter]
			return granted && grantedMs >= sentMs
		}
		if m.Record.Majority(grantedSince) {
			m.LeaseUntilMs = max(m.LeaseUntilMs, sentMs+m.config.Timing.LeaseMs)
			return
		}
	}
}

func (m *Machine) becomePrimary(env *Environment, record protocol.EpochRecord) {
	m.AdoptRecord(env, record, m.Ballot)
	m.Role, m.Established, m.LeaseUntilMs = Primary, false, 0
	m.extendLease()
	m.renewedMs = env.NowMs
	// The previous primary may have sent orders to runners until now.
	m.OrdersFromMs = env.NowMs + m.config.Timing.OrderDelayMs
	m.output(BecamePrimary{Recovered: m.isRecovering()})
}

// Establish is called once all replicas hold this primary's first change. From then on
// it serves; if a recovery made it the primary, it serves only after a delay. It returns the
// bootstrap or recovery that made this daemon the primary, or nil.
func (m *Machine) Establish(nowMs int64) *Bootstrap {
	m.Established, m.serveFromMs = true, 0
	if m.isRecovering() {
		m.serveFromMs = nowMs + m.config.Timing.ServeDelayAfterRecoveryMs
	}
	bootstrap := m.bootstrap
	m.bootstrap = nil
	return bootstrap
}

// losePrimacy makes this daemon a follower. It sends no message.
func (m *Machine) losePrimacy(env *Environment, reason string) {
	m.logf("no longer primary: %s", reason)
	m.Role, m.Established, m.Proposal, m.LeaseUntilMs = Follower, false, nil, 0
	m.retryFromMs = env.NowMs + m.config.Timing.RenewMs
	m.PrimaryAliveMs = env.NowMs
	m.output(LostPrimacy{})
	m.failBootstrap(errkind.AcceptanceUnknown, "the record may have been accepted; check the status")
}

// StepDown ends the primacy on purpose and releases the lease, so that the next
// primary need not wait until it expires. The successor, if the name is not empty,
// is notified last.
func (m *Machine) StepDown(env *Environment, reason, successor string) {
	if !m.IsPrimary() {
		return
	}
	record := m.Record
	m.losePrimacy(env, reason)
	m.retryFromMs = env.NowMs + 2*m.config.Timing.LeaseMs
	m.releaseLeases(env, record)
	if successor != "" {
		m.sendTo(env, successor, protocol.TransferPrimary{Record: record})
	}
}

// releaseLeases releases the leases that the witnesses of a record granted
// under the current ballot.
func (m *Machine) releaseLeases(env *Environment, record protocol.EpochRecord) {
	for _, voter := range record.Voters() {
		m.sendTo(env, voter.Name, protocol.ReleaseLease{Epoch: record.Epoch, Ballot: m.Ballot})
	}
}

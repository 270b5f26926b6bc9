package election

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// beginPreVote asks the other controllers and the primary's watchers whether they have
// lost contact with the primary as well. So a single daemon that has lost contact doesn't
// start a failover.
func (m *Machine) beginPreVote(env *Environment) {
	m.Role, m.roleSinceMs, m.primaryAliveAtPeer = PreVote, env.NowMs, false
	asked := env.Nodes.NodesOf(protocol.RoleController)
	for _, node := range env.Nodes.Watchers(m.Record.Primary) {
		if !slices.Contains(asked, node) && node.Name != m.config.Self.Name {
			asked = append(asked, node)
		}
	}
	for _, node := range asked {
		if node.Name != m.Record.Primary {
			m.send(node, protocol.PrimaryQuery{Epoch: m.Record.Epoch})
		}
	}
}

func (m *Machine) tickPreVote(env *Environment) {
	preVoteMs := m.config.Timing.PreVoteMs
	if env.NowMs-m.roleSinceMs < preVoteMs {
		return
	}
	if m.primaryAliveAtPeer {
		// The peers may lose contact shortly after this daemon, so the next pre-vote
		// follows without a backoff.
		m.logf("peers are still in contact with the primary; no failover")
		m.endAttempt(env, preVoteMs)
		return
	}
	m.prepare(env, false)
}

// HandlePrimaryQuery replies how long ago the primary last showed that it was alive. Only
// its messages as primary count, not that its process runs: it may have lost its
// disk or stepped down.
func (m *Machine) HandlePrimaryQuery(env *Environment, from protocol.Node, query protocol.PrimaryQuery) {
	heardMs := env.NowMs - m.PrimaryAliveMs
	if m.IsPrimary() {
		heardMs = 0
	}
	m.send(from, protocol.PrimaryReply{Epoch: query.Epoch, HeardMs: heardMs, Record: m.Record})
}

// HandlePrimaryReply applies a peer's reply. A candidate that learns of a newer record
// adopts it and repeats the pre-vote. Peers send their record because the daemons that know
// the newest record may not be its replicas. Then only daemons that don't know this record
// yet can become primary.
func (m *Machine) HandlePrimaryReply(env *Environment, reply protocol.PrimaryReply) {
	if m.LearnRecord(env, reply.Record) {
		if m.Role == PreVote {
			m.endAttempt(env, 0)
		}
		return
	}
	inContact := reply.Epoch == m.Record.Epoch && reply.HeardMs < m.config.Timing.TimeoutMs
	if m.Role == PreVote && inContact {
		m.primaryAliveAtPeer = true
	}
}

// HandleTransfer starts an election at once after the primary has stepped down and named
// this daemon as its successor. The primary's record may be new to this daemon.
func (m *Machine) HandleTransfer(env *Environment, from protocol.Node, transfer protocol.TransferPrimary) {
	if transfer.Record.Primary == from.Name && !m.IsPrimary() {
		m.AdoptRecord(env, transfer.Record, protocol.Ballot{})
	}
	current := transfer.Record.Epoch == m.Record.Epoch && from.Name == m.Record.Primary
	if current && m.mayBecomePrimary(env, m.Record) && m.Role == Follower {
		m.prepare(env, false)
	}
}

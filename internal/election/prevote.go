package election

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// beginPreVote keeps one bad view from starting a take-over: the other
// controllers and the primary's watchers must miss it, too.
func (m *Machine) beginPreVote(env *Environment) {
	m.Role, m.roleSinceMs, m.opposed = PreVote, env.NowMs, false
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
	if m.opposed {
		// They may miss it a moment later, and each moment counts.
		m.logf("peers still hear the primary; no take-over")
		m.retreat(env, preVoteMs)
		return
	}
	m.prepare(env, false)
}

// HandlePrimaryQuery says when the primary was heard. What counts is the primary's
// own messages, not that its daemon lives: it may have lost its disk or stepped
// down.
func (m *Machine) HandlePrimaryQuery(env *Environment, from protocol.Node, query protocol.PrimaryQuery) {
	heardMs := env.NowMs - m.HeardMs
	if m.IsPrimary() {
		heardMs = 0
	}
	m.send(from, protocol.PrimaryReply{Epoch: query.Epoch, HeardMs: heardMs, Record: m.Record})
}

// HandlePrimaryReply takes what a peer knows. A candidate by an older record goes
// by the newer one from then on, and asks anew: those who know the newest record
// may be no replicas by it, and then only those who don't know it can take over.
func (m *Machine) HandlePrimaryReply(env *Environment, reply protocol.PrimaryReply) {
	if m.LearnRecord(env, reply.Record) {
		if m.Role == PreVote {
			m.retreat(env, 0)
		}
		return
	}
	heard := reply.Epoch == m.Record.Epoch && reply.HeardMs < m.config.Timing.TimeoutMs
	if m.Role == PreVote && heard {
		m.opposed = true
	}
}

// HandleTransfer takes over from a primary that stepped down. Its record may not
// have been known here yet.
func (m *Machine) HandleTransfer(env *Environment, from protocol.Node, transfer protocol.TransferPrimary) {
	if transfer.Record.Primary == from.Name && !m.IsPrimary() {
		m.AdoptRecord(env, transfer.Record, protocol.Ballot{})
	}
	current := transfer.Record.Epoch == m.Record.Epoch && from.Name == m.Record.Primary
	if current && m.mayLead(env, m.Record) && m.Role == Follower {
		m.prepare(env, false)
	}
}

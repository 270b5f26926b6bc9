package consensus

import (
	"slices"

	"myrtlewinch/internal/election"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// handleEnvelope handles a message of another daemon or of this daemon itself.
func (m *Machine) handleEnvelope(e protocol.Envelope) {
	if e.Site != m.settings.Site {
		m.count(errkind.WrongSite)
		return
	}
	// This daemon may have an address that was another daemon's before.
	if e.To != "" && e.To != m.settings.Self.Name {
		m.count(errkind.WrongDaemon)
		return
	}
	if e.From.Part == protocol.RoleController && !m.checkSenderDisk(e.From) {
		return
	}
	m.detector.Observe(m.nowMs, e.From)
	if !m.settings.Application.HandleMessage(host{m}, e) {
		m.handleMessage(e)
	}
}

// checkSenderDisk reports whether to handle a message of a controller with this disk. A
// superseded disk is notified and its message is ignored. Otherwise the message is handled
// if the active record names this disk, or no disk, for the daemon's name. Any other disk is
// ignored until the recorded disk is unresponsive.
func (m *Machine) checkSenderDisk(from protocol.Node) bool {
	id, record := memberID(from), m.record()
	if slices.Contains(record.Gone, id) {
		m.count(errkind.WrongDaemon)
		m.send(from, protocol.Retire{Record: record})
		return false
	}
	recorded, named := record.Member(id.Name)
	if !named || recorded == id {
		return true
	}
	node, known := m.detector.Node(id.Name)
	if known && node.Incarnation == recorded.Incarnation && m.detector.Live(m.nowMs, id.Name) {
		m.count(errkind.WrongDaemon)
		return false
	}
	return true
}

func (m *Machine) handleMessage(e protocol.Envelope) {
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
	case protocol.PeersRequest:
		m.send(e.From, protocol.PeersReply{Peers: m.nodesFor(e.From), Record: m.record()})
	case protocol.PeersReply:
		m.handlePeersReply(body)
	case protocol.HeartbeatReports:
		for _, report := range body.Seen {
			m.detector.ObserveReport(m.nowMs, report)
		}
	case protocol.Prepare:
		m.handlePrepare(e, body)
	case protocol.Accept:
		m.handleAccept(e, body)
	case protocol.RenewLease:
		m.handleRenewLease(e, body)
	case protocol.ReleaseLease:
		m.witness.acceptor.Release(e.From.Name, body)
	case protocol.Append:
		m.handleAppend(e.From, body)
	case protocol.Snapshot:
		m.handleSnapshot(e.From, body)
	case protocol.AppendReply:
		m.handleAppendReply(e.From, body)
	default:
		m.handleElectionMessage(e)
	}
}

func (m *Machine) handleElectionMessage(e protocol.Envelope) {
	m.runElection(func(machine *election.Machine, env *election.Environment) {
		switch body := e.Body.(type) {
		case protocol.PrepareReply:
			machine.HandlePrepareReply(env, e.From, body)
		case protocol.AcceptReply:
			machine.HandleAcceptReply(env, e.From, body)
		case protocol.PrimaryQuery:
			machine.HandlePrimaryQuery(env, e.From, body)
		case protocol.PrimaryReply:
			machine.HandlePrimaryReply(env, body)
		case protocol.TransferPrimary:
			machine.HandleTransfer(env, e.From, body)
		case protocol.Retire:
			machine.HandleRetire(env, body)
		default:
			m.count(errkind.Malformed)
		}
	})
}

// nodesFor returns the nodes to send to another daemon. Routers that need only the
// controllers get no others, because all routers ask at once while there is no primary.
func (m *Machine) nodesFor(to protocol.Node) []protocol.Node {
	if m.settings.PeersForRouters || to.Part != protocol.RoleRouter {
		return m.detector.Nodes()
	}
	return append(m.detector.NodesOf(protocol.RoleController), m.settings.Self)
}

var retiredRejection = protocol.Rejection{Kind: errkind.AlreadyBootstrapped, Detail: "this daemon is superseded: another disk has its name"}

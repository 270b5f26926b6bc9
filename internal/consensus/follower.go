package consensus

import (
	"myrtlewinch/internal/election"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
	"myrtlewinch/internal/storage"
)

// acceptPrimary adopts the record of a primary's message. It returns false, and
// the message must be ignored, if the newest known record does not name the
// sender as the primary.
func (m *Machine) acceptPrimary(from protocol.Node, record protocol.EpochRecord, ballot protocol.Ballot) bool {
	accepted := false
	m.runElection(func(e *election.Machine, env *election.Environment) {
		accepted = e.AcceptPrimary(env, from, record, ballot)
	})
	if !accepted {
		m.count(errkind.StaleEpoch)
	}
	return accepted
}

// notePrimaryAlive notes that the primary is alive. A message whose echo of this daemon's
// clock is older than the election timeout was delayed in transit and doesn't show that the
// primary is alive.
func (m *Machine) notePrimaryAlive(echo protocol.ClockEcho) {
	if echo.StartMs == m.startMs && m.nowMs-echo.SentMs > m.settings.Timing.ElectionTimeoutMs {
		m.count(errkind.StaleMessage)
		return
	}
	m.runElection((*election.Machine).NotePrimaryAlive)
}

// handleAppend applies an append of the primary and acknowledges it.
func (m *Machine) handleAppend(from protocol.Node, message protocol.Append) {
	isPrimaryOfEpoch := m.isPrimary() && message.Record.Epoch == m.record().Epoch
	if isPrimaryOfEpoch || !m.acceptPrimary(from, message.Record, message.Ballot) {
		return
	}
	// Each change names the position that it follows, so the changes of a stale
	// message can still be applied. The rest of the message is outdated.
	if m.follower.CheckStale(message.Record.Epoch, message.Sequence) {
		m.count(errkind.StaleMessage)
	} else {
		m.notePrimaryAlive(message.Contact)
		m.applyHeader(message)
	}
	if !m.applyChanges(from, message.Changes) {
		m.acknowledge(from)
	}
}

// applyHeader applies the parts of a primary's message other than the changes.
func (m *Machine) applyHeader(message protocol.Append) {
	if len(message.Peers) > 0 {
		m.follower.NodesDigest = 0
		if m.detector.AddNodes(m.nowMs, message.Peers) {
			m.follower.NodesDigest = message.PeersSum
		}
	}
	m.hints = message.Soft
	if m.settings.Hooks != nil {
		m.settings.Hooks.HintsReceived(message.Soft)
	}
	m.follower.NoteContact(m.nowMs, m.startMs, message.Contact)
	if message.MayLeave && m.leaving.begun {
		m.endLeave("nothing is left to hand over")
	}
}

// applyChanges applies the changes that directly follow what this disk received, and
// reports whether there were any. The application is notified once for all of
// them, because it may have to parse a large configuration again.
func (m *Machine) applyChanges(from protocol.Node, changes []protocol.Change) bool {
	applied := false
	for _, change := range changes {
		if !m.follower.CanApply(change) || m.disk.failed {
			continue
		}
		if err := m.state.Load(change.Rows); err != nil {
			m.logf("decoding a change failed: %v", err)
			m.count(errkind.Malformed)
			break
		}
		applied = true
		m.writeRows(storage.Write{Set: change.Rows}, change.At, func() { m.acknowledge(from) })
	}
	if applied {
		m.settings.Application.StateChanged(host{m})
	}
	return applied
}

// handleSnapshot replaces this daemon's state with the primary's.
func (m *Machine) handleSnapshot(from protocol.Node, snapshot protocol.Snapshot) {
	if m.isPrimary() || m.disk.failed || !m.acceptPrimary(from, snapshot.Record, protocol.Ballot{}) {
		return
	}
	if !m.follower.IsNewer(snapshot.At) {
		m.count(errkind.StaleMessage)
		m.acknowledge(from)
		return
	}
	if !m.follower.CheckStale(snapshot.Record.Epoch, snapshot.Sequence) {
		m.notePrimaryAlive(snapshot.Contact)
	}
	state := m.settings.newState()
	if err := state.Load(snapshot.Rows); err != nil {
		m.logf("decoding a snapshot failed: %v", err)
		m.count(errkind.Malformed)
		return
	}
	m.state = state
	m.settings.Application.StateChanged(host{m})
	m.logf("received a snapshot at change %d", snapshot.At.Number)
	write := storage.Write{ClearPrefix: statetable.Prefix, Set: snapshot.Rows}
	m.writeRows(write, snapshot.At, func() { m.acknowledge(from) })
}

// acknowledge sends the primary the position of this disk. A daemon whose disk
// failed sends nothing, so that the primary replaces it.
func (m *Machine) acknowledge(to protocol.Node) {
	if m.disk.failed {
		return
	}
	m.send(to, protocol.AppendReply{
		Epoch: m.record().Epoch, At: m.follower.Durable, WitnessBlank: m.witness.acceptor.Blank(), PeersSum: m.follower.NodesDigest,
		Contact: protocol.ClockEcho{SentMs: m.nowMs, StartMs: m.startMs}, Leaving: m.leaving.begun,
		Taken: m.follower.Received, Heard: m.follower.NewestSequence(),
	})
}

// hasQuorumContact implements Host.QuorumContact. At the primary the result depends on the
// primary's own lease. At a follower it depends on the primary's echo of the follower's
// clock.
func (m *Machine) hasQuorumContact() bool {
	if m.isPrimary() {
		return m.serves()
	}
	return m.follower.HasContact(m.nowMs, m.settings.Timing.LeaseMs)
}

package consensus

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/replication"
	"myrtlewinch/internal/statetable"
	"myrtlewinch/internal/storage"
)

// replicationTiming returns the timeouts of package replication.
func (t Timing) replicationTiming() replication.Timing {
	return replication.Timing{LiveMs: t.ElectionTimeoutMs, RetryMs: t.AppendRetryMs, DiskStallMs: t.DiskStallMs}
}

func (m *Machine) beginReplication() {
	m.primary.Begin(m.nowMs, m.state.Position, m.record().Replicas, m.settings.ReplicaGraceMs)
	m.primary.AppendsSentMs = m.nowMs - m.settings.Timing.AppendIntervalMs
}

// submit queues commands for the next change. done is called with true once all
// replicas hold it, or with false if this daemon loses the primacy before that.
func (m *Machine) submit(done func(ok bool), commands ...statetable.Command) {
	m.primary.Enqueue(commands, done)
	m.writeNext()
}

// writeNext makes one change of all queued commands, unless the previous change is still
// being written to this disk. The change is written to this disk and sent to the
// followers at the same time.
func (m *Machine) writeNext() {
	if !m.primary.MayWrite() || !m.isPrimary() || m.disk.failed {
		return
	}
	at := protocol.Position{Epoch: m.record().Epoch, Number: m.state.Position.Number + 1}
	change := protocol.Change{Before: m.state.Position, At: at}
	change.Rows = m.state.Apply(at, m.primary.TakeQueue(at.Number))
	m.settings.Application.StateChanged(host{m})
	m.primary.BeginWrite(m.nowMs, change)
	m.writeRows(storage.Write{Set: change.Rows}, at, func() {
		if m.isPrimary() {
			m.primary.EndWrite()
			m.commit()
			m.writeNext()
		}
	})
	m.sendAppends()
}

// writeRows writes rows of the state to this disk and calls done once they
// are synced. Writes end in the order of the calls.
func (m *Machine) writeRows(write storage.Write, at protocol.Position, done func()) {
	m.follower.Received = at
	m.save(write, func(ok bool) {
		if ok {
			m.follower.Durable = at
			done()
		}
	})
}

// commit acknowledges the writes that all replicas now hold.
func (m *Machine) commit() {
	if !m.isPrimary() || !m.election.HasLease(m.nowMs) {
		return
	}
	// With fewer replicas the change might not survive MaxLosses lost disks.
	if len(m.record().Replicas) < m.minReplicas {
		return
	}
	replicaSets := [][]protocol.MemberID{m.record().Replicas}
	// While a new record is being proposed, either it or the current one may turn out to
	// be the active record, so the replicas of both count.
	if m.election.Proposal != nil {
		replicaSets = append(replicaSets, m.election.Proposal.Replicas)
	}
	if m.primary.Commit(m.follower.Durable.Number, m.settings.Self.Name, replicaSets...) {
		m.primary.NotifyCommitted()
	}
}

func (m *Machine) tickReplication() {
	if !m.isPrimary() || m.nowMs-m.primary.AppendsSentMs < m.settings.Timing.AppendIntervalMs {
		return
	}
	// A stalled disk at the primary blocks all writes of the site, so another replica
	// must become primary.
	if m.primary.DiskStalls(m.nowMs) {
		m.stepDown("the disk stalled")
		return
	}
	m.primary.AppendsSentMs = m.nowMs
	if m.settings.Hooks != nil {
		m.hints = m.settings.Hooks.Hints()
	}
	m.sendAppends()
}

func (m *Machine) sendAppends() {
	for _, node := range m.detector.NodesOf(protocol.RoleController) {
		m.sendAppend(node)
	}
}

// sendAppend sends a follower the changes that it lacks, or a snapshot. An Append without
// changes serves as the primary's heartbeat.
func (m *Machine) sendAppend(to protocol.Node) {
	follower := m.primary.Follower(to)
	if m.primary.SnapshotDue(m.nowMs, follower) {
		m.send(to, m.primary.Snapshot(m.nowMs, follower, m.record(), m.state.Position, m.state.Snapshot()))
		return
	}
	id := protocol.MemberID{Name: to.Name, Incarnation: follower.Incarnation}
	message := protocol.Append{
		Record: m.record(), Ballot: m.election.Ballot, Last: m.state.Position, Soft: m.hints, PeersSum: m.detector.Digest(),
		MayLeave: follower.Leaving && m.mayLeave(id),
	}
	// Without a lease there may be another primary by now, so the follower must not get
	// an echo, which would show contact with a majority.
	if m.election.HasLease(m.nowMs) {
		message.Contact = follower.Clock
	}
	if follower.NodesDigest != message.PeersSum {
		message.Peers = m.detector.Nodes()
	}
	m.primary.AddChanges(m.nowMs, follower, &message)
	m.send(to, message)
}

// handleAppendReply handles a follower's acknowledgement. The acknowledgement of a follower
// that knows only the previous record also counts: the newest record may still be in transit
// to the follower.
func (m *Machine) handleAppendReply(from protocol.Node, reply protocol.AppendReply) {
	knowsRecord := reply.Epoch == m.record().Epoch || reply.Epoch == m.record().Epoch-1
	if !m.isPrimary() || !knowsRecord {
		return
	}
	switch m.primary.HandleReply(m.nowMs, from, reply, m.state.Position.Number) {
	case replication.ReplyStale:
		m.count(errkind.StaleMessage)
	case replication.ReplyCounted:
		m.commit()
	case replication.ReplyNotInLog:
	}
}

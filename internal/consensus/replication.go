package consensus

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/replication"
	"myrtlewinch/internal/statetable"
	"myrtlewinch/internal/storage"
)

// replicationTiming gives the time-outs of package replication.
func (t Timing) replicationTiming() replication.Timing {
	return replication.Timing{LiveMs: t.ElectionTimeoutMs, RetryMs: t.AppendRetryMs, DiskStallMs: t.DiskStallMs}
}

func (m *Machine) beginReplication() {
	m.primary.Begin(m.nowMs, m.state.Position, m.record().Replicas, m.set.ReplicaGraceMs)
	m.primary.SentMs = m.nowMs - m.set.Timing.AppendIntervalMs
}

// submit hands commands over; done is called once all replicas have them, or with
// false when that can't be known any more.
func (m *Machine) submit(done func(ok bool), commands ...statetable.Command) {
	m.primary.Enqueue(commands, done)
	m.writeNext()
}

// writeNext writes what waits as one change, once the change before is on this
// disk, and sends it to the followers meanwhile.
func (m *Machine) writeNext() {
	if !m.primary.MayWrite() || !m.isPrimary() || m.disk.failed {
		return
	}
	at := protocol.Position{Epoch: m.record().Epoch, Number: m.state.Position.Number + 1}
	change := protocol.Change{Before: m.state.Position, At: at}
	change.Rows = m.state.Apply(at, m.primary.TakeQueue(at.Number))
	m.set.Application.StateChanged(host{m})
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

// writeRows writes rows of the state to this disk. Writes end in the order in
// which they were asked for.
func (m *Machine) writeRows(write storage.Write, at protocol.Position, done func()) {
	m.follower.Received = at
	m.save(write, func(ok bool) {
		if ok {
			m.follower.Durable = at
			done()
		}
	})
}

// commit answers the writes that all replicas now hold.
func (m *Machine) commit() {
	if !m.isPrimary() || !m.election.HasLease(m.nowMs) {
		return
	}
	// As many disks may be lost at once as there are further replicas.
	if len(m.record().Replicas) < m.minReplicas {
		return
	}
	replicaSets := [][]protocol.MemberID{m.record().Replicas}
	// While a new record is on its way, either may turn out to be in force.
	if m.election.Proposal != nil {
		replicaSets = append(replicaSets, m.election.Proposal.Replicas)
	}
	if m.primary.Commit(m.follower.Durable.Number, m.set.Self.Name, replicaSets...) {
		m.primary.AnswerCommitted()
	}
}

func (m *Machine) tickReplication() {
	if !m.isPrimary() || m.nowMs-m.primary.SentMs < m.set.Timing.AppendIntervalMs {
		return
	}
	// A stalled disk would hold up the whole site; another replica's will not.
	if m.primary.DiskStalls(m.nowMs) {
		m.stepDown("the disk stalls")
		return
	}
	m.primary.SentMs = m.nowMs
	if m.set.Hooks != nil {
		m.hints = m.set.Hooks.Hints()
	}
	m.sendAppends()
}

func (m *Machine) sendAppends() {
	for _, node := range m.detector.NodesOf(protocol.RoleController) {
		m.sendAppend(node)
	}
}

// sendAppend sends a follower what it lacks, or else the news that the primary
// lives.
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
	// Without the lease a majority may stand behind another primary by now.
	if m.election.HasLease(m.nowMs) {
		message.Contact = follower.Clock
	}
	if follower.NodesDigest != message.PeersSum {
		message.Peers = m.detector.Nodes()
	}
	m.primary.AddChanges(m.nowMs, follower, &message)
	m.send(to, message)
}

// handleAppendReply takes a follower's acknowledgement. One that knows the record
// before only may not have received the newest yet.
func (m *Machine) handleAppendReply(from protocol.Node, reply protocol.AppendReply) {
	knowsRecord := reply.Epoch == m.record().Epoch || reply.Epoch == m.record().Epoch-1
	if !m.isPrimary() || !knowsRecord {
		return
	}
	switch m.primary.HandleReply(m.nowMs, from, reply, m.state.Position.Number) {
	case replication.ReplyOvertaken:
		m.count(errkind.Overtaken)
	case replication.ReplyCounted:
		m.commit()
	case replication.ReplyOffLog:
	}
}

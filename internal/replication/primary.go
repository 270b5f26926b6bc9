package replication

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Primary is the primary's part of replication. End discards the log, the writes
// and the followers' progress, and keeps Committed and Sequence.
type Primary struct {
	timing Timing
	// Tracker holds the followers' progress. It is empty while this daemon is
	// not the primary.
	Tracker Tracker
	Log     Log
	// Committed is the number of the last change that all replicas hold. When this daemon
	// becomes the primary it is the last change on this disk, because the previous
	// primary may have acknowledged any of those.
	Committed uint64
	// Sequence numbers the messages of this primary to followers.
	Sequence uint64
	// AppendsSentMs is when appends were last sent to all followers.
	AppendsSentMs int64
	// BeganMs is when this daemon became the primary.
	BeganMs int64
	// queue holds writes that wait until the previous change is on this disk. pending holds
	// writes that wait until they are committed.
	queue   []queuedWrite
	pending []pendingWrite
	// writing is true while a change is being written to this disk, since writeBeganMs.
	writing      bool
	writeBeganMs int64
}

type queuedWrite struct {
	commands []statetable.Command
	done     func(ok bool)
}

type pendingWrite struct {
	number uint64
	done   func(ok bool)
}

// NewPrimary returns the Primary of a daemon that has not been primary yet.
func NewPrimary(timing Timing) Primary { return Primary{timing: timing} }

// Begin is called when this daemon has become the primary; at is the position of its
// state. Each replica of the active record has graceMs from now to acknowledge something
// before it counts as lost. The wait is bounded because the disk of the previous primary
// may never return.
func (p *Primary) Begin(nowMs int64, at protocol.Position, replicas []protocol.MemberID, graceMs int64) {
	p.Tracker = NewTracker(p.timing)
	p.Log = NewLog(at)
	p.Committed = at.Number
	p.Sequence = 0
	p.BeganMs = nowMs
	p.writing = false
	for _, id := range replicas {
		p.Tracker.Set(id.Name, Progress{Incarnation: id.Incarnation, LastReplyMs: nowMs - p.timing.LiveMs + graceMs})
	}
}

// End is called when this daemon is no longer the primary. For each queued or pending
// write, done is called with false because its outcome is unknown.
func (p *Primary) End() {
	pending, queue := p.pending, p.queue
	p.pending, p.queue = nil, nil
	p.Tracker.followers = nil
	p.Log.Clear()
	p.writing = false
	for _, write := range pending {
		write.done(false)
	}
	for _, write := range queue {
		write.done(false)
	}
}

// Enqueue adds a write. Its commands are applied with the next change. done is called
// with true once that is committed, or with false if End is called before.
func (p *Primary) Enqueue(commands []statetable.Command, done func(ok bool)) {
	p.queue = append(p.queue, queuedWrite{commands, done})
}

// MayWrite reports whether writes are queued and no change is being written to this disk.
func (p *Primary) MayWrite() bool { return !p.writing && len(p.queue) > 0 }

// TakeQueue empties the queue and returns the commands of all its writes. The writes are
// pending until the change with the given number is committed.
func (p *Primary) TakeQueue(number uint64) []statetable.Command {
	var commands []statetable.Command
	for _, write := range p.queue {
		commands = append(commands, write.commands...)
		p.pending = append(p.pending, pendingWrite{number, write.done})
	}
	p.queue = nil
	return commands
}

// BeginWrite appends a change to the log and notes that it is being written to this disk.
func (p *Primary) BeginWrite(nowMs int64, change protocol.Change) {
	p.Log.Append(change)
	p.writing, p.writeBeganMs = true, nowMs
}

// EndWrite notes that the write of the change to this disk has ended.
func (p *Primary) EndWrite() { p.writing = false }

// DiskStalls reports whether a write to this disk takes longer than Timing.DiskStallMs.
func (p *Primary) DiskStalls(nowMs int64) bool {
	return p.writing && nowMs-p.writeBeganMs > p.timing.DiskStallMs
}

// Commit raises Committed to the last change that all members of the replica sets hold.
// This disk, of the daemon named self, holds the changes up to durable. If the progress
// of a member is unknown, Commit does nothing and returns false.
func (p *Primary) Commit(durable uint64, self string, replicaSets ...[]protocol.MemberID) bool {
	common, known := durable, true
	for _, replicas := range replicaSets {
		if common, known = p.Tracker.CommonAcknowledged(replicas, self, common); !known {
			return false
		}
	}
	p.Committed = max(p.Committed, common)
	return true
}

// NotifyCommitted calls the done callback of each write that is committed, in order. A
// callback may enqueue further writes.
func (p *Primary) NotifyCommitted() {
	for len(p.pending) > 0 && p.pending[0].number <= p.Committed {
		next := p.pending[0]
		p.pending = p.pending[1:]
		next.done(true)
	}
}

// Follower returns the progress of a node and creates it if there is none.
func (p *Primary) Follower(node protocol.Node) *Progress {
	progress := p.Tracker.ByName(node.Name)
	if progress == nil {
		p.Tracker.Set(node.Name, Progress{Incarnation: node.Incarnation})
		progress = p.Tracker.ByName(node.Name)
	}
	return progress
}

// SnapshotDue reports whether a snapshot must be sent now. An unacknowledged snapshot is
// sent again only after the retry time; meanwhile the follower gets appends without
// changes.
func (p *Primary) SnapshotDue(nowMs int64, follower *Progress) bool {
	return follower.NeedsSnapshot && follower.retryDue(nowMs, p.timing.RetryMs)
}

// Snapshot returns the message that replaces a follower's whole state.
func (p *Primary) Snapshot(nowMs int64, follower *Progress, record protocol.EpochRecord, at protocol.Position, rows map[string]string) protocol.Snapshot {
	follower.SentMs, follower.Sent = nowMs, at.Number
	p.Sequence++
	return protocol.Snapshot{Sequence: p.Sequence, Contact: follower.Clock, Record: record, At: at, Rows: rows}
}

// AddChanges sets the message's sequence number and adds the changes that must be sent to
// the follower.
func (p *Primary) AddChanges(nowMs int64, follower *Progress, message *protocol.Append) {
	// The retry time counts from the last acknowledged change, not from the
	// last one sent: otherwise a steady stream of changes would postpone the
	// retry forever.
	unacknowledged := !follower.NeedsSnapshot && follower.Acknowledged < follower.Sent
	if unacknowledged && follower.retryDue(nowMs, p.timing.RetryMs) {
		follower.Sent, follower.SentMs = follower.Acknowledged, nowMs
	}
	p.Sequence++
	message.Sequence = p.Sequence
	if follower.NeedsSnapshot {
		return
	}
	message.Changes = p.Log.After(follower.Sent)
	if len(message.Changes) == 0 {
		return
	}
	if follower.Sent == follower.Acknowledged {
		follower.SentMs = nowMs
	}
	follower.Sent, follower.SentSequence = message.Last.Number, p.Sequence
}

// ReplyResult is the effect of an acknowledgement.
type ReplyResult int

const (
	// ReplyCounted: the follower's progress was updated, so more may be
	// committed now.
	ReplyCounted ReplyResult = iota
	// ReplyStale: the acknowledgement was ignored because the follower has already
	// acknowledged more. What a disk holds never shrinks.
	ReplyStale
	// ReplyNotInLog: the log doesn't contain the follower's position, so the follower
	// gets a snapshot.
	ReplyNotInLog
)

// HandleReply applies a follower's acknowledgement; last is the number of the
// primary's newest change.
func (p *Primary) HandleReply(nowMs int64, from protocol.Node, reply protocol.AppendReply, last uint64) ReplyResult {
	follower := p.Follower(from)
	if follower.Incarnation != from.Incarnation {
		p.Tracker.Set(from.Name, Progress{Incarnation: from.Incarnation})
		follower = p.Tracker.ByName(from.Name)
	}
	if reply.At.Less(follower.Durable) {
		return ReplyStale
	}
	follower.Durable, follower.HasAcknowledged, follower.RecordEpoch = reply.At, true, reply.Epoch
	follower.LastReplyMs, follower.NodesDigest = nowMs, reply.PeersSum
	follower.Clock, follower.Leaving = reply.Contact, reply.Leaving
	if !p.Log.Contains(reply.At) {
		p.requireSnapshot(nowMs, follower, last)
		return ReplyNotInLog
	}
	follower.NeedsSnapshot = false
	if reply.At.Number > follower.Acknowledged {
		follower.SentMs = nowMs
	}
	follower.acknowledge(nowMs, reply.At.Number, last)
	follower.Sent = max(follower.Sent, follower.Acknowledged)
	follower.resendGap(reply)
	return ReplyCounted
}

// requireSnapshot makes SnapshotDue true at once for a follower whose position
// the log doesn't contain.
func (p *Primary) requireSnapshot(nowMs int64, follower *Progress, last uint64) {
	follower.acknowledge(nowMs, 0, last)
	if !follower.NeedsSnapshot {
		follower.NeedsSnapshot = true
		follower.SentMs = nowMs - p.timing.RetryMs
	}
}

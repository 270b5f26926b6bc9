package replication

import "myrtlewinch/internal/protocol"

// Progress is what the primary knows of one follower. The zero value, with the
// incarnation set, is a follower that has not acknowledged anything yet.
type Progress struct {
	// Incarnation is the incarnation of the follower's disk.
	Incarnation string
	// LastReplyMs is when the last acknowledgement arrived, by the primary's clock.
	LastReplyMs int64
	// Durable is the last position that the follower reported to be on its disk,
	// whether or not the primary's log contains it.
	Durable protocol.Position
	// Acknowledged is the number of the last change of the primary's log that the
	// follower's disk holds; 0 if it needs a snapshot.
	Acknowledged uint64
	// SentSequence is the sequence number of the message that last carried changes.
	SentSequence uint64
	// Sent is the number of the last change that was sent.
	Sent uint64
	// SentMs is when the unacknowledged changes or the snapshot were sent, or when the
	// follower last acknowledged further changes. The retry time counts from it.
	SentMs int64
	// NeedsSnapshot is true if the log doesn't contain the follower's position.
	NeedsSnapshot bool
	// NodesDigest identifies the list of nodes that the follower has.
	NodesDigest uint64
	// BehindSinceMs is the start of the current period in which the follower has lacked
	// changes without acknowledging any. It is 0 while the follower lacks none.
	BehindSinceMs int64
	// Clock is the follower's clock as last received, to be echoed to it.
	Clock protocol.ClockEcho
	// HasAcknowledged is true if the follower has acknowledged something since this
	// primary was elected.
	HasAcknowledged bool
	// RecordEpoch is the epoch of the record that the follower knows.
	RecordEpoch uint64
	// Leaving is true if the follower's daemon announced a planned shutdown in its
	// last acknowledgement.
	Leaving bool
}

// acknowledge notes the last change that the follower holds and updates BehindSinceMs.
func (p *Progress) acknowledge(nowMs int64, acknowledged, last uint64) {
	if acknowledged > p.Acknowledged || acknowledged >= last {
		p.BehindSinceMs = 0
	}
	p.Acknowledged = acknowledged
	if acknowledged < last && p.BehindSinceMs == 0 {
		p.BehindSinceMs = nowMs
	}
}

// resendGap resets Sent if the follower received the last message with changes, or a later
// one, but lacks some of the changes. They are then sent again at once.
func (p *Progress) resendGap(reply protocol.AppendReply) {
	if reply.Heard >= p.SentSequence && reply.Taken.Number < p.Sent {
		p.Sent = max(p.Acknowledged, reply.Taken.Number)
	}
}

// retryDue reports whether retryMs have passed since SentMs.
func (p *Progress) retryDue(nowMs, retryMs int64) bool { return nowMs-p.SentMs >= retryMs }

// Tracker holds the progress of all followers, by the names of their daemons.
type Tracker struct {
	timing    Timing
	followers map[string]*Progress
}

// NewTracker returns a tracker without followers.
func NewTracker(timing Timing) Tracker {
	return Tracker{timing: timing, followers: map[string]*Progress{}}
}

// Set replaces a follower's progress.
func (t *Tracker) Set(name string, progress Progress) { t.followers[name] = &progress }

// ByName returns the progress of the daemon with the name, whichever disk it has, or
// nil.
func (t *Tracker) ByName(name string) *Progress { return t.followers[name] }

// ByID returns the progress of the daemon if it still has the disk that the id
// names, or nil.
func (t *Tracker) ByID(id protocol.MemberID) *Progress {
	progress := t.followers[id.Name]
	if progress == nil || progress.Incarnation != id.Incarnation {
		return nil
	}
	return progress
}

// Live reports whether the disk acknowledged something within Timing.LiveMs.
func (t *Tracker) Live(nowMs int64, id protocol.MemberID) bool {
	progress := t.ByID(id)
	return progress != nil && nowMs-progress.LastReplyMs <= t.timing.LiveMs
}

// KeepsUp reports whether the disk is alive and not stalled. The daemon of a stalled
// disk still acknowledges appends, but as a replica it would block every write of the
// site.
func (t *Tracker) KeepsUp(nowMs int64, id protocol.MemberID) bool {
	if !t.Live(nowMs, id) {
		return false
	}
	behindSinceMs := t.ByID(id).BehindSinceMs
	return behindSinceMs == 0 || nowMs-behindSinceMs <= t.timing.DiskStallMs
}

// Leaving reports whether the daemon of this disk is shutting down as planned.
func (t *Tracker) Leaving(id protocol.MemberID) bool {
	progress := t.ByID(id)
	return progress != nil && progress.Leaving
}

// CommonAcknowledged returns the number of the last change, up to limit, that all members
// hold. It ignores the member whose name is without. If the progress of another member is
// missing, it is unknown what that member holds, and CommonAcknowledged returns false.
func (t *Tracker) CommonAcknowledged(members []protocol.MemberID, without string, limit uint64) (uint64, bool) {
	for _, id := range members {
		if id.Name == without {
			continue
		}
		progress := t.ByID(id)
		if progress == nil {
			return 0, false
		}
		limit = min(limit, progress.Acknowledged)
	}
	return limit, true
}

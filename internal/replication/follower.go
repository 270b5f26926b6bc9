package replication

import "myrtlewinch/internal/protocol"

// Follower is how far this daemon's own disk has followed the primary, and what
// it received from primaries beside changes. A primary keeps it, too: Durable and
// Received are of its own disk.
type Follower struct {
	// Durable is what this disk holds; Received is what it holds once all writes
	// that were asked of it have ended.
	Durable, Received protocol.Position
	// NodesDigest names the list of nodes that was received from the primary; 0
	// while it was not fully taken.
	NodesDigest uint64
	// newest orders the messages of primaries, however they were delayed.
	newest messageOrder
	// ContactMs is this daemon's own time at which a majority is known to have
	// stood behind the primary.
	ContactMs int64
}

// messageOrder is the place of a primary's message among those of all primaries.
type messageOrder struct {
	epoch, sequence uint64
}

// NewFollower returns the part of a daemon whose disk holds the state up to the
// position.
func NewFollower(at protocol.Position) Follower { return Follower{Durable: at, Received: at} }

// Overtaken says whether a later message of a primary was received before this
// one. It notes the message otherwise.
func (f *Follower) Overtaken(epoch, sequence uint64) bool {
	if epoch < f.newest.epoch || epoch == f.newest.epoch && sequence <= f.newest.sequence {
		return true
	}
	f.newest = messageOrder{epoch, sequence}
	return false
}

// NewestSequence is the sequence number of the newest message of a primary.
func (f *Follower) NewestSequence() uint64 { return f.newest.sequence }

// GoesOn says whether a change goes on from what was received.
func (f *Follower) GoesOn(change protocol.Change) bool { return change.Before == f.Received }

// IsNewer says whether a snapshot is further than what was received. Positions
// grow along every lawful history, so one that is not further can only be late,
// and would take back what this disk has acknowledged.
func (f *Follower) IsNewer(at protocol.Position) bool { return f.Received.Less(at) }

// NoteContact takes the echo of this daemon's own clock. The echo of another life
// of the process, which began at another startMs, says nothing here.
func (f *Follower) NoteContact(nowMs, startMs int64, echo protocol.ClockEcho) {
	if echo.StartMs != startMs || echo.SentMs > nowMs {
		return
	}
	f.ContactMs = max(f.ContactMs, echo.SentMs)
}

// HasContact says whether a majority stood behind the primary within the last
// lease.
func (f *Follower) HasContact(nowMs, leaseMs int64) bool {
	return f.ContactMs > 0 && nowMs < f.ContactMs+leaseMs
}

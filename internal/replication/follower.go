package replication

import "myrtlewinch/internal/protocol"

// Follower holds the position of this daemon's own disk, and what it received from
// primaries in addition to changes. A primary also uses Durable and Received, for its
// own disk.
type Follower struct {
	// Durable is the position that is synced on this disk. Received is the
	// position that it will have once all writes passed to the disk have ended.
	Durable, Received protocol.Position
	// NodesDigest identifies the list of nodes that was received from the
	// primary; 0 if the failure detector did not accept all of it.
	NodesDigest uint64
	// newestMessage is the newest message received from any primary.
	newestMessage messageOrder
	// ContactMs is the last time, by this daemon's own clock, at which the primary is
	// known to have held its lease, and so to have been in contact with a majority.
	ContactMs int64
}

// messageOrder orders the messages of all primaries: by epoch, then by sequence.
type messageOrder struct {
	epoch, sequence uint64
}

// NewFollower returns the Follower of a daemon whose disk holds the state up to the
// position.
func NewFollower(at protocol.Position) Follower { return Follower{Durable: at, Received: at} }

// CheckStale reports whether this message of a primary, or a newer one, was received
// before. If not, it notes this message as the newest.
func (f *Follower) CheckStale(epoch, sequence uint64) bool {
	if epoch < f.newestMessage.epoch || epoch == f.newestMessage.epoch && sequence <= f.newestMessage.sequence {
		return true
	}
	f.newestMessage = messageOrder{epoch, sequence}
	return false
}

// NewestSequence returns the sequence number of the newest message of a primary.
func (f *Follower) NewestSequence() uint64 { return f.newestMessage.sequence }

// CanApply reports whether a change directly follows what was received, so that it
// can be applied.
func (f *Follower) CanApply(change protocol.Change) bool { return change.Before == f.Received }

// IsNewer reports whether the position of a snapshot is after Received. Positions
// only grow, so any other snapshot was delayed in transit. Applying it would undo changes
// that this disk has acknowledged.
func (f *Follower) IsNewer(at protocol.Position) bool { return f.Received.Less(at) }

// NoteContact updates ContactMs from a primary's echo of this daemon's own clock. An echo
// for an earlier process of this daemon, which has another startMs, is ignored, because
// that process had another clock.
func (f *Follower) NoteContact(nowMs, startMs int64, echo protocol.ClockEcho) {
	if echo.StartMs != startMs || echo.SentMs > nowMs {
		return
	}
	f.ContactMs = max(f.ContactMs, echo.SentMs)
}

// HasContact reports whether the primary is known to have held its lease within
// the last leaseMs.
func (f *Follower) HasContact(nowMs, leaseMs int64) bool {
	return f.ContactMs > 0 && nowMs < f.ContactMs+leaseMs
}

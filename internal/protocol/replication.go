package protocol

// Position is a position in the log, such as that of the last change of a replica.
type Position struct {
	// Epoch is the epoch of the primary that made the change.
	Epoch uint64 `json:"epoch"`
	// Number is the sequence number of the change.
	Number uint64 `json:"number"`
}

// Less orders positions. Each primary begins with a change of its own epoch, so within
// one log positions only increase.
func (p Position) Less(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Number < other.Number
}

// Change is one change of the control state.
type Change struct {
	// Before is the position of the preceding change. At is the position of this change.
	Before Position
	At     Position
	// Rows has the new values by key; an empty value removes the row.
	Rows map[string]string
}

// Hints is state that the primary sends its followers without storing it, so that they
// can answer look-ups. They base no decisions on it. Only the native interface uses it.
type Hints struct {
	// Burdens is the load of runners by name.
	Burdens map[string]int64
	// Dark lists the unresponsive runners by name.
	Dark []string
	// Turns holds, by model and adapter, the estimated time in milliseconds until an item
	// that was requested but that no runner holds is loaded.
	Turns map[string]int64
}

// Append sends changes to a follower. Without changes it is the primary's heartbeat to
// its followers. AppendReply answers it.
type Append struct {
	Record EpochRecord
	// Ballot is the ballot under which Record was accepted.
	Ballot Ballot
	// Last is the position of the primary's last change.
	Last    Position
	Changes []Change
	// Soft is the state that is sent without being stored.
	Soft Hints
	// Peers is left out if the follower's PeersSum shows that it has the list, so that a
	// heartbeat costs the same at a site of any size.
	Peers    []Node
	PeersSum uint64
	// Sequence numbers the primary's Append and Snapshot messages within an epoch. A
	// follower rejects a message that arrives after one with a higher number.
	Sequence uint64
	// Contact echoes the follower's clock while the primary holds its lease.
	Contact ClockEcho
	// MayLeave permits a follower in planned shutdown to stop: neither its replica nor its
	// vote has to be transferred to another daemon any more.
	MayLeave bool
}

// ClockEcho is a time of a follower's clock, in milliseconds, as the primary last
// received it. The primary echoes it only while it holds its lease. So it proves to the
// follower that the primary had the support of a majority at that time or later.
type ClockEcho struct {
	SentMs int64
	// StartMs distinguishes the processes of one daemon, because each has its own clock.
	StartMs int64
}

// Snapshot replaces a follower's whole state. AppendReply answers it.
type Snapshot struct {
	// Sequence and Contact have the same meaning as in Append.
	Sequence uint64
	Contact  ClockEcho
	Record   EpochRecord
	// At is the position of Rows.
	At   Position
	Rows map[string]string
}

// AppendReply is the reply to an Append or a Snapshot. It is sent once their content is
// synced.
type AppendReply struct {
	Epoch uint64
	// At is the follower's durable position.
	At Position
	// Taken is the follower's position, synced or not, after it received the primary's
	// message with the sequence number Heard. If the primary had sent changes beyond
	// Taken by then, it knows that a message was lost.
	Taken Position
	Heard uint64
	// WitnessBlank has the meaning of PrepareReply.Blank for the witness of this daemon. It
	// is meant for adding a blank or replaced witness again; the primary does not read it.
	WitnessBlank bool
	// PeersSum is the hash of the list of peers that the follower has.
	PeersSum uint64
	// Contact is the follower's clock when it sent the reply.
	Contact ClockEcho
	// Leaving is true if the follower is in planned shutdown: its replica and its vote are
	// to be transferred to other daemons.
	Leaving bool
}

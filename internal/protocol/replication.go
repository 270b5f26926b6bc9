package protocol

// Position is the last change that a replica holds.
type Position struct {
	// Epoch is that of the primary that made the change.
	Epoch uint64 `json:"epoch"`
	// Number counts the changes of the site.
	Number uint64 `json:"number"`
}

// Less orders positions. Each primary begins with a change of its own epoch, so
// within any history positions only grow.
func (p Position) Less(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Number < other.Number
}

// Change is one change of the control state.
type Change struct {
	// Before is the position that the change follows, At its own.
	Before Position
	At     Position
	// Rows holds new values by key; an empty value removes the row.
	Rows map[string]string
}

// Hints is what the primary sends its followers without storing it, so that
// they can answer look-ups. They make no decisions from it. Only the own
// interface uses it.
type Hints struct {
	// Burdens holds the load of runners by name.
	Burdens map[string]int64
	// Dark names the runners that don't answer.
	Dark []string
	// Turns holds, by model and adapter, in how many ms one that is asked for
	// and loaded nowhere may be loaded.
	Turns map[string]int64
}

// Append brings changes to a follower. With none it is the primary's heartbeat
// to its followers. AppendReply answers it.
type Append struct {
	Record EpochRecord
	// Ballot is the one under which Record was accepted.
	Ballot Ballot
	// Last is the primary's position.
	Last    Position
	Changes []Change
	Soft    Hints
	// Peers is left out where the follower showed by its PeersSum that it has
	// the list, so that a heartbeat costs the same at a site of any size.
	Peers    []Node
	PeersSum uint64
	// Sequence counts the primary's Append and Snapshot messages within an
	// epoch. A follower refuses one that a later one has overtaken.
	Sequence uint64
	// Contact echoes the follower's clock while the primary's lease runs.
	Contact ClockEcho
	// MayLeave permits a follower that is leaving to stop: no replica and no
	// vote of it has still to pass to another daemon.
	MayLeave bool
}

// ClockEcho is a time of a follower's clock, in ms, as the primary last received
// it. The primary returns it only while its lease runs, so it shows the follower
// that at that time or later a majority stood behind the primary.
type ClockEcho struct {
	SentMs int64
	// StartMs tells the processes of one daemon apart, since each has a clock of
	// its own.
	StartMs int64
}

// Snapshot replaces a follower's whole state. AppendReply answers it.
type Snapshot struct {
	// Sequence and Contact are as in Append.
	Sequence uint64
	Contact  ClockEcho
	Record   EpochRecord
	// At is the position of Rows.
	At   Position
	Rows map[string]string
}

// AppendReply answers an Append or a Snapshot once its content is synced.
type AppendReply struct {
	Epoch uint64
	// At is the follower's durable position.
	At Position
	// Taken is the follower's position, synced or not, when it had received the
	// primary's message with the sequence Heard. A primary that had sent more by
	// then knows that a message was lost.
	Taken Position
	Heard uint64
	// WitnessBlank says that the witness of this daemon has accepted nothing,
	// so that a blank or replaced one can be added again.
	WitnessBlank bool
	// PeersSum is the digest of the list of peers that the follower has.
	PeersSum uint64
	// Contact is the follower's clock now.
	Contact ClockEcho
	// Leaving says that the follower is stopping as planned: its replica and its
	// vote are to be handed over.
	Leaving bool
}

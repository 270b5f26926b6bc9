package protocol

import (
	"crypto/sha256"
	"encoding/hex"
)

// Envelope carries one message between two daemons of a site.
type Envelope struct {
	Site string
	From Node
	To   string
	Body Message
}

// Heartbeat goes to the few watchers that the sender's place on the ring
// names. Serving says that the sender is the primary and its lease runs: that
// a daemon lives does not mean that it still serves.
type Heartbeat struct {
	Epoch   uint64
	Serving bool
}

// PeersRequest asks a seed, or a peer, for the peers it knows.
type PeersRequest struct{}

// PeersReply answers a Hello.
type PeersReply struct {
	Peers  []Node
	Record EpochRecord
}

// HeartbeatReports is what a watcher tells the primary.
type HeartbeatReports struct{ Seen []HeartbeatReport }

// HeartbeatReport says how long ago a peer's heartbeat came.
type HeartbeatReport struct {
	Place Node
	AgoMs int64
}

// Prepare asks a witness to take part in no lower ballot.
type Prepare struct {
	Ballot Ballot
	// Found is set only by an operator's explicit founding, Recover only by
	// the explicit act that goes on from a surviving copy.
	Found, Recover bool
	// AllSeeds says that every seed is asked, so that also a disk may agree which
	// can't show that it was there at the first start.
	AllSeeds bool
}

// PrepareReply answers a Promise.
type PrepareReply struct {
	Ballot  Ballot
	Granted bool
	Blank   bool
	Highest Ballot
	Record  EpochRecord
	Kept    Ballot
	WaitMs  int64
	// NotInitialDisk says that the disk can't vote for a first record: it was not
	// there at the first start of the site, or did not live to note it.
	NotFirstDisk bool
	// At is what this daemon's own copy of the state goes up to.
	At Position
}

// Accept asks a witness to store a record.
type Accept struct {
	Ballot Ballot
	Record EpochRecord
	Found  bool
	// EchoMs is the sender's own time, for counting the lease it begins.
	EchoMs int64
}

// AcceptReply answers a Keep or a Renew.
type AcceptReply struct {
	Ballot  Ballot
	Epoch   uint64
	Granted bool
	Highest Ballot
	Record  EpochRecord
	EchoMs  int64
}

// RenewLease asks a witness to prolong the primary's hold.
type RenewLease struct {
	Ballot Ballot
	Record EpochRecord
	EchoMs int64
}

// ReleaseLease gives back what a witness granted: on a planned stop, or when a
// candidate gives way to another. Ballot names under which it was granted, so
// that a late one ends no later grant.
type ReleaseLease struct {
	Epoch  uint64
	Ballot Ballot
}

// TransferPrimary tells a copy to take over now. It may not have been told of the last
// record yet.
type TransferPrimary struct{ Record EpochRecord }

// PrimaryQuery asks a peer whether it too misses the primary.
type PrimaryQuery struct{ Epoch uint64 }

// PrimaryReply answers an Opinion.
type PrimaryReply struct {
	Epoch   uint64
	HeardMs int64
	// Record is the complete epoch record that the sender knows; a router sends
	// none. Whoever asked may be the only one entitled by it.
	Record EpochRecord
}

// Position is the last change a disk holds.
type Position struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less orders positions along every chain of changes: a later primary begins
// with a change of its own epoch, so no lawful history takes a disk back.
func (p Position) Less(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Number < other.Number
}

// Change is one synced step of the control state.
type Change struct {
	Before Position
	At     Position
	Rows   map[string]string
}

// Hints is what the primary knows that is not worth a disk: it is only hints.
type Hints struct {
	Burdens map[string]int64
	Dark    []string
	// Turns says in how many ms what is asked for and held nowhere may be held.
	Turns map[string]int64
}

// Append carries changes, or with none the primary's word that it is alive.
type Append struct {
	Record  EpochRecord
	Ballot  Ballot
	Last    Position
	Changes []Change
	Soft    Hints
	// Peers is left out where the follower told PeersSum itself, so that the
	// word costs the same however large the site is.
	Peers    []Node
	PeersSum uint64
	// Sequence counts the primary's messages of this kind and its snapshots within
	// an epoch; a follower refuses one that was overtaken.
	Sequence uint64
	// Contact echoes the follower's own clock while the primary's lease runs.
	Contact ClockEcho
	// MayLeave tells a follower that is leaving that nothing waits for it: it
	// holds neither a copy nor a vote that another daemon could take over.
	MayLeave bool
}

// ClockEcho is a moment of a follower's own clock, in ms, as the primary last
// heard it. It returns to the follower only while the primary's lease runs, so
// it shows that at that moment or later a majority stood behind the primary.
// StartMs names the life of the process, since another life has another clock.
type ClockEcho struct {
	SentMs, StartMs int64
}

// Snapshot replaces a follower's whole state.
type Snapshot struct {
	Sequence uint64
	// Contact is that of Follow.
	Contact ClockEcho
	Record  EpochRecord
	At      Position
	Rows    map[string]string
}

// Digest names a text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// AppendReply answers a Follow or a Snapshot, once what it brought is synced.
type AppendReply struct {
	Epoch uint64
	At    Position
	// Taken is what the sender took, synced or not, once it had heard the
	// primary's message Heard. A primary that sent more by then knows of a gap.
	Taken Position
	Heard uint64
	// Witness tells what this daemon's witness is, so that a blank or
	// replaced one can be taken in.
	WitnessBlank bool
	// PeersSum names the list of peers that it took.
	PeersSum uint64
	// Contact is the sender's clock now.
	Contact ClockEcho
	// Leaving says that the sender is stopping as planned: its copy and its vote
	// are to be handed to others.
	Leaving bool
}

// RouterPoll is a router's constant question to the primary.
type RouterPoll struct {
	EchoMs   int64
	Revision uint64
	// Held is the sum of the next revision's text that the router
	// acknowledges, or empty.
	Held string
	// GivenMs is for how long renewals that this router gave to peers may
	// still run.
	GivenMs int64
	// Waiting lists keys that requests wait for here, so that a controller
	// that died takes no one's wait with it. It is no look-up: it is sent at
	// the same pace whatever the requests are.
	Waiting []LookUp
	// Number is what this epoch's primary gave this very process, or nought. A
	// late question of a process that is gone can't know one.
	Number uint64
}

// ExtendLease asks a peer router to renew the lease on a revision, while the
// primary is silent.
type ExtendLease struct {
	EchoMs   int64
	Revision uint64
}

// ExtendLeaseReply grants it.
type ExtendLeaseReply struct {
	EchoMs   int64
	For      string
	Revision uint64
}

// RouterUpdate answers an Ask.
type RouterUpdate struct {
	EchoMs int64
	// For is the incarnation of the router that asked: the echo means
	// nothing to another.
	For      string
	Epoch    uint64
	Revision uint64
	Sum      string
	// Number registers the router that asked; Retired says that a later one
	// of its name is registered.
	Number  uint64
	Retired bool
	// Pending names the offer of a revision that is being taken, or empty.
	Pending string
	// Renew says that this word prolongs the router's hold on Revision.
	Renew bool
	// Text is the description in force, or the pending one, where the Ask
	// showed that the router lacks it.
	Text        string
	PendingText string
	Leaving     []LeavingRunner
	Peers       []Node
}

// LeavingRunner says that a runner's incarnation is leaving; it never comes back.
type LeavingRunner struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
}

// Retire tells a daemon that its name has passed to another for good.
type Retire struct{ Record EpochRecord }

// PollRequest tells a router to ask now.
type PollRequest struct{ Epoch uint64 }

// LookUp is the one look-up that each request sends.
type LookUp struct {
	ID      uint64
	Service string
	Model   string
	Adapter string
}

// Holder is a runner that a choice table offers.
type Holder struct {
	Runner      string
	Incarnation string
	Address     string
	Zone        string
	Burden      int64
}

// LookUpReply answers a LookUp, or tells a router of a change it waits for.
type LookUpReply struct {
	ID      uint64
	Key     string
	At      Position
	AgeMs   int64
	Holders []Holder
	Loading bool
	// TurnMs is in how many ms the item may be held, where it is held nowhere
	// and that could be worked out.
	TurnMs int64
	// Behind says that the controller has no state to answer from.
	Behind bool
}

// DemandReport tells the primary what look-ups a follower answered.
type DemandReport struct{ Counts map[string]int64 }

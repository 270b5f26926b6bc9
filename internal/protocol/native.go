package protocol

// The messages of this file are between routers and controllers of the own
// interface.

// RouterPoll is sent by each router to the primary at a constant rate.
// RouterUpdate answers it.
type RouterPoll struct {
	// EchoMs is the router's clock, which the answer returns.
	EchoMs int64
	// Revision is the revision of the description that the router uses.
	Revision uint64
	// Held is the digest of the pending revision's text that the router
	// acknowledges, or empty.
	Held string
	// GivenMs is for how long leases may still run that this router extended for
	// peers.
	GivenMs int64
	// Waiting lists keys that requests wait for at this router, so that none
	// waits in vain after a controller died. It is no look-up: the rate of polls
	// does not depend on requests.
	Waiting []LookUp
	// Number is what the primary of this epoch assigned to this process, or 0. A
	// delayed poll of a process that is gone can't know one.
	Number uint64
}

// RouterUpdate answers a RouterPoll.
type RouterUpdate struct {
	EchoMs int64
	// For is the incarnation of the router that polled. The echo means nothing
	// to any other process.
	For   string
	Epoch uint64
	// Revision and Sum name the description in force.
	Revision uint64
	Sum      string
	// Number is assigned to the process that polled; Retired says that a later
	// process has its name.
	Number  uint64
	Retired bool
	// Pending is the digest of the revision that is being accepted, or empty.
	Pending string
	// Renew says that this message extends the router's lease on Revision.
	Renew bool
	// Text is the description in force, and PendingText the pending one, where
	// the poll showed that the router lacks it.
	Text        string
	PendingText string
	Leaving     []LeavingRunner
	Peers       []Node
}

// LeavingRunner is an incarnation of a runner that is leaving. It never returns.
type LeavingRunner struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
}

// PollRequest asks a router to poll at once.
type PollRequest struct{ Epoch uint64 }

// ExtendLease asks a peer router to extend the lease on a revision while the
// primary is not reached. ExtendLeaseReply answers it.
type ExtendLease struct {
	EchoMs   int64
	Revision uint64
}

// ExtendLeaseReply grants an ExtendLease.
type ExtendLeaseReply struct {
	EchoMs int64
	// For is the incarnation of the router that asked.
	For      string
	Revision uint64
}

// LookUp asks a controller for the runners that can serve a request. Each request
// sends one. LookUpReply answers it.
type LookUp struct {
	ID      uint64
	Service string
	Model   string
	Adapter string
}

// Holder is a runner that can serve a request.
type Holder struct {
	Runner      string
	Incarnation string
	Address     string
	Zone        string
	// Burden is its load as it last reported.
	Burden int64
}

// LookUpReply answers a LookUp, or notifies a router of a change that a request
// waits for.
type LookUpReply struct {
	// ID is that of the LookUp, 0 in a notification.
	ID  uint64
	Key string
	// At is the position of the state that this is read from, AgeMs its age.
	At      Position
	AgeMs   int64
	Holders []Holder
	// Loading says that a load is in progress.
	Loading bool
	// TurnMs is in how many ms what is loaded nowhere may be loaded, where that
	// can be estimated.
	TurnMs int64
	// Behind says that the controller has no state to answer from.
	Behind bool
}

// DemandReport sends the primary how many look-ups a follower answered, by key.
type DemandReport struct{ Counts map[string]int64 }

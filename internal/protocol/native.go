package protocol

// The messages of this file are sent between routers and controllers of the native
// interface.

// RouterPoll is sent by each router to the primary at a constant rate.
// RouterUpdate answers it.
type RouterPoll struct {
	// EchoMs is the router's clock, which the reply echoes.
	EchoMs int64
	// Revision is the revision of the description that the router uses.
	Revision uint64
	// Held is the digest of the pending revision's text that the router
	// acknowledges, or empty.
	Held string
	// GivenMs is the longest remaining time of the leases that this router extended for
	// its peers.
	GivenMs int64
	// Waiting lists keys for which requests wait at this router, so that no request waits
	// in vain after a controller failed. It does not count as a look-up: the rate of polls
	// does not depend on requests.
	Waiting []LookUp
	// Number is the number that the primary of this epoch assigned to this process, or 0.
	// A delayed poll of a process that ended before the assignment cannot contain one.
	Number uint64
}

// RouterUpdate answers a RouterPoll.
type RouterUpdate struct {
	EchoMs int64
	// For is the incarnation of the router that polled. EchoMs is meaningless to any
	// other process.
	For   string
	Epoch uint64
	// Revision and Sum identify the active description.
	Revision uint64
	Sum      string
	// Number is assigned to the process that polled. Retired is true if a later process with
	// the same name has superseded that process.
	Number  uint64
	Retired bool
	// Pending is the digest of the revision that is being accepted, or empty.
	Pending string
	// Renew is true if this message extends the router's lease on Revision.
	Renew bool
	// Text is the active description, and PendingText the pending one. Each is set only
	// if the poll showed that the router lacks it.
	Text        string
	PendingText string
	Leaving     []LeavingRunner
	Peers       []Node
}

// LeavingRunner is the incarnation of a draining runner. It never returns to service.
type LeavingRunner struct {
	Runner      string `json:"runner"`
	Incarnation string `json:"incarnation"`
}

// PollRequest asks a router to poll immediately.
type PollRequest struct{ Epoch uint64 }

// ExtendLease asks a peer router to extend the lease on a revision while the primary is
// unreachable. ExtendLeaseReply answers it.
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

// LookUp asks a controller for the runners that can serve a request. A router sends one
// for each request. LookUpReply answers it.
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
	// Burden is the load that the runner last reported.
	Burden int64
}

// LookUpReply is the reply to a LookUp, or notifies a router of a change for which a
// request waits.
type LookUpReply struct {
	// ID is the ID of the LookUp, 0 in a notification.
	ID  uint64
	Key string
	// At is the position of the state from which the reply was read. AgeMs is the age of
	// that state.
	At      Position
	AgeMs   int64
	Holders []Holder
	// Loading is true if a load is in progress.
	Loading bool
	// TurnMs is the estimated time in milliseconds until an item that no runner holds is
	// loaded; 0 if there is no estimate.
	TurnMs int64
	// Behind is true if the controller has no state to reply from.
	Behind bool
}

// DemandReport tells the primary how many look-ups a follower answered, by key.
type DemandReport struct{ Counts map[string]int64 }

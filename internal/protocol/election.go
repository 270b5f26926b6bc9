package protocol

// Prepare is the first phase of an election: a candidate asks a witness not to
// accept any lower ballot. PrepareReply answers it.
type Prepare struct {
	Ballot Ballot
	// Found says that the site is being bootstrapped, at its first start or
	// by an operator's command.
	Found bool
	// Recover says that an operator's command recovers the site from a
	// surviving copy of its state.
	Recover bool
	// AllSeeds says that every seed is asked. A witness may then agree to a
	// bootstrap although it can't show that its disk took part in the first
	// start.
	AllSeeds bool
}

// PrepareReply answers a Prepare.
type PrepareReply struct {
	// Ballot is that of the Prepare.
	Ballot  Ballot
	Granted bool
	// Blank says that the witness has never accepted a record.
	Blank bool
	// Highest is the highest ballot that the witness has agreed to; with it a
	// rejected candidate knows which ballot may succeed.
	Highest Ballot
	// Record is what the witness accepted last, and Kept the ballot of that.
	Record EpochRecord
	Kept   Ballot
	// WaitMs is how long a lease that the witness granted may still run.
	WaitMs int64
	// NotFirstDisk says that the disk can't vote for a first record: it was not
	// there at the first start of the site, or stopped before it could note it.
	NotFirstDisk bool
	// At is the position of the witness's own replica.
	At Position
}

// Accept is the second phase of an election, or a change of the record by the
// primary: it asks a witness to store a record. AcceptReply answers it.
type Accept struct {
	Ballot Ballot
	Record EpochRecord
	// Found is that of the Prepare.
	Found bool
	// EchoMs is the sender's clock; the lease that is granted counts from it.
	EchoMs int64
}

// AcceptReply answers an Accept or a RenewLease.
type AcceptReply struct {
	// Ballot is that of the request, Epoch that of the request's record.
	Ballot  Ballot
	Epoch   uint64
	Granted bool
	// Highest is the highest ballot that the witness has agreed to, and Record
	// what it accepted last.
	Highest Ballot
	Record  EpochRecord
	// EchoMs is that of the request.
	EchoMs int64
}

// RenewLease asks a witness to extend the primary's lease. AcceptReply answers it.
type RenewLease struct {
	Ballot Ballot
	Record EpochRecord
	// EchoMs is the sender's clock; the extended lease counts from it.
	EchoMs int64
}

// ReleaseLease gives a lease back: at a planned stop, or where a candidate gives
// way to another.
type ReleaseLease struct {
	Epoch uint64
	// Ballot is the one under which the lease was granted, so that a late
	// message ends no later lease.
	Ballot Ballot
}

// TransferPrimary asks a replica to become primary at once. The sender has
// stepped down. The receiver may not know the latest record yet.
type TransferPrimary struct{ Record EpochRecord }

// PrimaryQuery asks a peer whether it has lost contact with the primary as well.
// PrimaryReply answers it.
type PrimaryQuery struct{ Epoch uint64 }

// PrimaryReply answers a PrimaryQuery.
type PrimaryReply struct {
	Epoch uint64
	// HeardMs is how long ago, in ms, a message showed the sender that the
	// primary was alive.
	HeardMs int64
	// Record is the latest that the sender knows; a router sends none. The one
	// who asked may be the only daemon that the record entitles.
	Record EpochRecord
}

package protocol

// Prepare is the first phase of an election: a candidate asks a witness to promise not
// to accept any lower ballot. PrepareReply answers it.
type Prepare struct {
	Ballot Ballot
	// Found is true if the site is being bootstrapped, at its first start or by an
	// operator's command.
	Found bool
	// Recover is true if an operator's command recovers the site from a surviving
	// replica.
	Recover bool
	// AllSeeds is true if the Prepare goes to every seed. A witness may then promise
	// for a bootstrap even if it has no proof that its disk took part in the first
	// start.
	AllSeeds bool
}

// PrepareReply answers a Prepare.
type PrepareReply struct {
	// Ballot is the ballot of the Prepare.
	Ballot  Ballot
	Granted bool
	// Blank is true unless the record that the witness accepted last names its disk as a
	// witness. So it is also true if the witness has never accepted a record.
	Blank bool
	// Highest is the highest ballot that the witness has promised. It tells a rejected
	// candidate which ballot it has to exceed.
	Highest Ballot
	// Record is the record that the witness accepted last. Kept is the ballot of that
	// record.
	Record EpochRecord
	Kept   Ballot
	// WaitMs is the remaining time of a lease that the witness has granted.
	WaitMs int64
	// NotFirstDisk is true if the witness cannot vote for the first record: its disk was
	// not part of the site's first start, or the daemon stopped before it recorded that.
	NotFirstDisk bool
	// At is the position of the replica on the witness's own disk.
	At Position
}

// Accept asks a witness to store a record: in the second phase of an election, or when
// the primary changes the record. AcceptReply answers it.
type Accept struct {
	Ballot Ballot
	Record EpochRecord
	// Found has the value it had in the Prepare.
	Found bool
	// EchoMs is the sender's clock; the granted lease is measured from it.
	EchoMs int64
}

// AcceptReply answers an Accept or a RenewLease.
type AcceptReply struct {
	// Ballot is the ballot of the request. Epoch is the epoch of the request's record.
	Ballot  Ballot
	Epoch   uint64
	Granted bool
	// Highest is the highest ballot that the witness has promised. Record is the record that
	// the witness accepted last.
	Highest Ballot
	Record  EpochRecord
	// EchoMs is echoed from the request.
	EchoMs int64
}

// RenewLease asks a witness to extend the primary's lease. AcceptReply answers it.
type RenewLease struct {
	Ballot Ballot
	Record EpochRecord
	// EchoMs is the sender's clock; the extended lease is measured from it.
	EchoMs int64
}

// ReleaseLease ends a lease before it expires: at a planned shutdown, or when a candidate
// yields to another.
type ReleaseLease struct {
	Epoch uint64
	// Ballot is the ballot under which the lease was granted, so that a delayed message does
	// not end a later lease.
	Ballot Ballot
}

// TransferPrimary asks a replica to become primary immediately. The sender has stepped
// down. Record is included because the receiver may not know the latest one yet.
type TransferPrimary struct{ Record EpochRecord }

// PrimaryQuery asks a peer whether it has lost contact with the primary as well.
// PrimaryReply answers it.
type PrimaryQuery struct{ Epoch uint64 }

// PrimaryReply answers a PrimaryQuery.
type PrimaryReply struct {
	Epoch uint64
	// HeardMs is how many milliseconds ago the sender last received a message that
	// showed the primary to be alive; 0 if the sender is the primary.
	HeardMs int64
	// Record is the latest record that the sender knows. A router sends no record. It is
	// included because the asking daemon may be the only one that can become primary under
	// it.
	Record EpochRecord
}

// Package witness is the acceptor of elections: it promises ballots, stores the
// record of the newest epoch, and grants the primary's lease. Its whole state is one
// durable row. A witness that has never been named by a record is blank.
package witness

import (
	"encoding/json"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Key is that of the witness's row on the disk.
const Key = "witness"

// State is the durable state of a witness. Its JSON keys are stored on disks, so
// they must not change.
type State struct {
	// Promised is the highest ballot that was promised or accepted. Nothing is
	// accepted under a lower one.
	Promised protocol.Ballot `json:"promised"`
	// Accepted is the ballot under which Record was stored last.
	Accepted protocol.Ballot `json:"kept"`
	// Record is the newest record that this witness stored. It may not be stored at
	// a majority.
	Record protocol.EpochRecord `json:"record"`
	// Bootstrap is no longer set. It is kept where an earlier release stored
	// it.
	Bootstrap bool `json:"founding,omitempty"`
}

// Acceptor decides what one disk promises and stores. Its caller saves the state,
// where it changed, before the answer leaves.
type Acceptor struct {
	State
	self protocol.MemberID
	// leaseMs is how long after a renewal no other candidate gets a promise.
	leaseMs int64
	// holder is the name of the candidate that holds the lease until leaseUntilMs; it
	// is empty where the holder is not known.
	holder       string
	leaseUntilMs int64
}

// New makes an acceptor from the row that its disk holds, which is empty for a new
// disk. A lease lasts leaseMs, at all witnesses and the primary alike.
func New(self protocol.MemberID, saved string, nowMs, leaseMs int64) (*Acceptor, error) {
	a := &Acceptor{self: self, leaseMs: leaseMs}
	if saved == "" {
		return a, nil
	}
	err := json.Unmarshal([]byte(saved), &a.State)
	// A lease granted before the restart may still run. Only the candidate whose
	// record was stored last can hold it, since a renewal is of a stored record; so
	// all others wait it out, and that one need not.
	a.leaseUntilMs = nowMs + a.leaseMs
	// Where a promise came after the record, it is not known who may hold a lease:
	// then no candidate gets a promise until it has run out.
	if a.Accepted == a.Promised {
		a.holder = a.Accepted.Name
	}
	return a, err
}

// Blank says that the stored record, if any, doesn't name this disk as a witness.
func (a *Acceptor) Blank() bool {
	return !slices.Contains(a.Record.Witnesses, a.self)
}

// Encode returns the row to be saved.
func (a *Acceptor) Encode() string {
	text, _ := json.Marshal(a.State)
	return string(text)
}

// Prepare answers a candidate that asks for a promise. Changed says that the state
// must be saved.
func (a *Acceptor) Prepare(nowMs int64, from string, request protocol.Prepare) (reply protocol.PrepareReply, changed bool) {
	reply = protocol.PrepareReply{Ballot: request.Ballot, Highest: a.Promised, Record: a.Record, Kept: a.Accepted, Blank: a.Blank()}
	// A blank disk promises only for a bootstrap or a recovery.
	if a.Blank() && !(request.Found && a.Record.Epoch == 0) && !request.Recover {
		return reply, false
	}
	// An unexpired lease excludes every other candidate.
	if nowMs < a.leaseUntilMs && a.holder != from {
		reply.WaitMs = a.leaseUntilMs - nowMs
		return reply, false
	}
	if request.Ballot.Less(a.Promised) {
		return reply, false
	}
	changed = a.Promised != request.Ballot
	a.Promised = request.Ballot
	reply.Granted = true
	reply.Highest = a.Promised
	return reply, changed
}

// Accept stores a record under a ballot, unless a higher one was promised, and
// grants the candidate a lease.
func (a *Acceptor) Accept(nowMs int64, request protocol.Accept) (reply protocol.AcceptReply, changed bool) {
	reply = protocol.AcceptReply{Ballot: request.Ballot, Epoch: request.Record.Epoch, Highest: a.Promised, Record: a.Record, EchoMs: request.EchoMs}
	// A blank disk stores a record only if the record names it as a witness.
	if a.Blank() && !slices.Contains(request.Record.Witnesses, a.self) {
		return reply, false
	}
	if request.Ballot.Less(a.Promised) {
		return reply, false
	}
	before := a.State
	a.Promised = request.Ballot
	// A higher record shows that this lower one was complete already.
	if request.Record.Epoch >= a.Record.Epoch {
		a.Record = request.Record
		a.Accepted = request.Ballot
	}
	// The lease is the candidate's own, also while it completes another's record.
	a.grantLease(nowMs, request.Ballot.Name)
	reply.Granted = true
	reply.Highest = a.Promised
	reply.Record = a.Record
	return reply, before.Promised != a.Promised || before.Accepted != a.Accepted || before.Record.Epoch != a.Record.Epoch
}

// Renew renews the primary's lease. A witness that missed the record stores it from
// the renewal, since only a complete record is renewed.
func (a *Acceptor) Renew(nowMs int64, request protocol.RenewLease) (reply protocol.AcceptReply, changed bool) {
	reply = protocol.AcceptReply{Ballot: request.Ballot, Epoch: request.Record.Epoch, Highest: a.Promised, Record: a.Record, EchoMs: request.EchoMs}
	if a.Blank() || request.Ballot.Less(a.Promised) || request.Record.Epoch < a.Record.Epoch {
		return reply, false
	}
	// A lease is granted only under what is on the disk: after a restart it must be
	// known whose it may be.
	if request.Record.Epoch > a.Record.Epoch || request.Ballot != a.Accepted {
		return a.Accept(nowMs, protocol.Accept{Ballot: request.Ballot, Record: request.Record, EchoMs: request.EchoMs})
	}
	a.grantLease(nowMs, request.Ballot.Name)
	reply.Granted = true
	return reply, false
}

// Release ends the lease on its holder's request. A late request, of an earlier
// record or ballot, ends no later lease.
func (a *Acceptor) Release(from string, request protocol.ReleaseLease) {
	if request.Epoch == a.Record.Epoch && request.Ballot == a.Accepted && from == a.holder {
		a.leaseUntilMs = 0
		a.holder = ""
	}
}

func (a *Acceptor) grantLease(nowMs int64, holder string) {
	a.holder = holder
	a.leaseUntilMs = nowMs + a.leaseMs
}

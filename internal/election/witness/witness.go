// Package witness is the acceptor of ballots in elections: it promises ballots, accepts
// the record of the newest epoch, and grants the primary's lease. Its whole state is one
// durable row. A witness is blank if the record that it accepted, if any, doesn't name its
// disk as a witness.
package witness

import (
	"encoding/json"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Key is the key of the witness's row on the disk.
const Key = "witness"

// State is the durable state of a witness. Its JSON keys are stored on disks, so
// they must not change.
type State struct {
	// Promised is the highest ballot that was promised or accepted. Nothing is accepted
	// under a lower ballot.
	Promised protocol.Ballot `json:"promised"`
	// Accepted is the ballot under which Record was last accepted.
	Accepted protocol.Ballot `json:"kept"`
	// Record is the newest record that this witness accepted. A majority may not have
	// accepted it.
	Record protocol.EpochRecord `json:"record"`
	// Bootstrap is no longer set. It is kept if an earlier release stored it.
	Bootstrap bool `json:"founding,omitempty"`
}

// Acceptor decides what one disk promises and accepts. Its caller must save a changed
// state before it sends the reply.
type Acceptor struct {
	State
	self protocol.MemberID
	// leaseMs is how long after a renewal no other candidate gets a promise.
	leaseMs int64
	// holder is the name of the candidate that holds the lease until leaseUntilMs; it is
	// empty if there is no lease or its holder is not known.
	holder       string
	leaseUntilMs int64
}

// New returns an acceptor with the state that saved encodes. saved is the witness's row on
// the disk and is empty for a new disk. A lease lasts leaseMs, at all witnesses and at the
// primary.
func New(self protocol.MemberID, saved string, nowMs, leaseMs int64) (*Acceptor, error) {
	a := &Acceptor{self: self, leaseMs: leaseMs}
	if saved == "" {
		return a, nil
	}
	err := json.Unmarshal([]byte(saved), &a.State)
	// A lease granted before the restart may not have expired. Only the candidate under
	// whose ballot the record was last accepted can hold it, because a lease is renewed
	// only under the accepted ballot. So that candidate need not wait, and all others must.
	a.leaseUntilMs = nowMs + a.leaseMs
	// If a promise followed the accepted record, it is unknown who may hold a lease. Then
	// no candidate gets a promise until the lease must have expired.
	if a.Accepted == a.Promised {
		a.holder = a.Accepted.Name
	}
	return a, err
}

// Blank reports whether the accepted record, if any, doesn't name this disk as a witness.
func (a *Acceptor) Blank() bool {
	return !slices.Contains(a.Record.Witnesses, a.self)
}

// Encode returns the row to be saved.
func (a *Acceptor) Encode() string {
	text, _ := json.Marshal(a.State)
	return string(text)
}

// Prepare handles a candidate's request for a promise. If changed is true, the state must
// be saved before the reply is sent.
func (a *Acceptor) Prepare(nowMs int64, from string, request protocol.Prepare) (reply protocol.PrepareReply, changed bool) {
	reply = protocol.PrepareReply{Ballot: request.Ballot, Highest: a.Promised, Record: a.Record, Kept: a.Accepted, Blank: a.Blank()}
	// A blank disk promises only for a recovery, or for a bootstrap if it has accepted no
	// record.
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

// Accept accepts a record under a ballot, unless a higher ballot was promised, and grants
// the candidate a lease.
func (a *Acceptor) Accept(nowMs int64, request protocol.Accept) (reply protocol.AcceptReply, changed bool) {
	reply = protocol.AcceptReply{Ballot: request.Ballot, Epoch: request.Record.Epoch, Highest: a.Promised, Record: a.Record, EchoMs: request.EchoMs}
	// A blank disk accepts only a record that names it as a witness.
	if a.Blank() && !slices.Contains(request.Record.Witnesses, a.self) {
		return reply, false
	}
	if request.Ballot.Less(a.Promised) {
		return reply, false
	}
	before := a.State
	a.Promised = request.Ballot
	// A record of a lower epoch is not stored, because the existence of a higher epoch
	// shows that it was chosen already.
	if request.Record.Epoch >= a.Record.Epoch {
		a.Record = request.Record
		a.Accepted = request.Ballot
	}
	// The lease belongs to the candidate, also if it proposes another candidate's record
	// again.
	a.grantLease(nowMs, request.Ballot.Name)
	reply.Granted = true
	reply.Highest = a.Promised
	reply.Record = a.Record
	return reply, before.Promised != a.Promised || before.Accepted != a.Accepted || before.Record.Epoch != a.Record.Epoch
}

// Renew renews the primary's lease. A witness that missed the record accepts it from
// the renewal, because leases are renewed only under a chosen record.
func (a *Acceptor) Renew(nowMs int64, request protocol.RenewLease) (reply protocol.AcceptReply, changed bool) {
	reply = protocol.AcceptReply{Ballot: request.Ballot, Epoch: request.Record.Epoch, Highest: a.Promised, Record: a.Record, EchoMs: request.EchoMs}
	if a.Blank() || request.Ballot.Less(a.Promised) || request.Record.Epoch < a.Record.Epoch {
		return reply, false
	}
	// A lease is granted only under the ballot and record on the disk, so that after a
	// restart the possible holder is known.
	if request.Record.Epoch > a.Record.Epoch || request.Ballot != a.Accepted {
		return a.Accept(nowMs, protocol.Accept{Ballot: request.Ballot, Record: request.Record, EchoMs: request.EchoMs})
	}
	a.grantLease(nowMs, request.Ballot.Name)
	reply.Granted = true
	return reply, false
}

// Release ends the lease on its holder's request. A stale request, of an earlier
// record or ballot, doesn't end a later lease.
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

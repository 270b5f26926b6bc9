// Package witness keeps epochs, and nothing else, on one durable record.
package witness

import (
	"encoding/json"

	"myrtlewinch/internal/protocol"
)

// Key is where the record lies on the disk.
const Key = "witness"

// State is the durable record of one witness.
type State struct {
	Promised  protocol.Ballot      `json:"promised"`
	Accepted  protocol.Ballot      `json:"kept"`
	Record    protocol.EpochRecord `json:"record"`
	Bootstrap bool                 `json:"founding,omitempty"`
}

// Acceptor decides what one disk promises and keeps. Its caller saves the
// memory, where it changed, before the answer leaves.
type Acceptor struct {
	State
	self protocol.MemberID
	// leaseMs is how long no other may become primary after a renewal.
	leaseMs      int64
	startMs      int64
	holder       string
	leaseUntilMs int64
}

// New makes a witness from what its disk holds. A lease lasts leaseMs, at all
// witnesses and the primary alike.
func New(self protocol.MemberID, saved string, nowMs, leaseMs int64) (*Acceptor, error) {
	w := &Acceptor{self: self, startMs: nowMs, leaseMs: leaseMs}
	if saved == "" {
		return w, nil
	}
	err := json.Unmarshal([]byte(saved), &w.State)
	// A hold given before the restart may still run. Only the one whose record
	// was kept last can have been given it, since a renewal is of a kept record;
	// so all others wait it out, and that one need not.
	w.leaseUntilMs = nowMs + w.leaseMs
	// Where a promise came after the record, to whom a lease was given may be
	// forgotten: then no one gets a vote until it is out.
	if w.Accepted == w.Promised {
		w.holder = w.Accepted.Name
	}
	return w, err
}

// Blank says that this disk was never taken into a recorded epoch.
func (w *Acceptor) Blank() bool {
	for _, seat := range w.Record.Witnesses {
		if seat == w.self {
			return false
		}
	}
	return true
}

// Encode is the memory as it is saved.
func (w *Acceptor) Encode() string {
	text, _ := json.Marshal(w.State)
	return string(text)
}

// Prepare answers a candidate. Changed says that the memory must be saved.
func (w *Acceptor) Prepare(nowMs int64, from string, ask protocol.Prepare) (answer protocol.PrepareReply, changed bool) {
	answer = protocol.PrepareReply{Ballot: ask.Ballot, Highest: w.Promised, Record: w.Record, Kept: w.Accepted, Blank: w.Blank()}
	// A blank disk votes only in an explicit act of the operator's.
	if w.Blank() && !(ask.Found && w.Record.Epoch == 0) && !ask.Recover {
		return answer, false
	}
	// The hold that was given keeps every other out while it runs.
	if nowMs < w.leaseUntilMs && w.holder != from {
		answer.WaitMs = w.leaseUntilMs - nowMs
		return answer, false
	}
	if ask.Ballot.Less(w.Promised) {
		return answer, false
	}
	changed = w.Promised != ask.Ballot
	w.Promised = ask.Ballot
	answer.Granted = true
	answer.Highest = w.Promised
	return answer, changed
}

// Accept stores a record.
func (w *Acceptor) Accept(nowMs int64, ask protocol.Accept) (answer protocol.AcceptReply, changed bool) {
	answer = protocol.AcceptReply{Ballot: ask.Ballot, Epoch: ask.Record.Epoch, Highest: w.Promised, Record: w.Record, EchoMs: ask.EchoMs}
	taken := false
	for _, seat := range ask.Record.Witnesses {
		taken = taken || seat == w.self
	}
	// A blank disk is taken in only by a record that names it.
	if w.Blank() && !taken {
		return answer, false
	}
	if ask.Ballot.Less(w.Promised) {
		return answer, false
	}
	before := w.State
	w.Promised = ask.Ballot
	// A higher record shows that this lower one was complete already.
	if ask.Record.Epoch >= w.Record.Epoch {
		w.Record = ask.Record
		w.Accepted = ask.Ballot
	}
	// The hold is the candidate's own, also while it completes another's record.
	w.grantLease(nowMs, ask.Ballot.Name)
	answer.Granted = true
	answer.Highest = w.Promised
	answer.Record = w.Record
	return answer, before.Promised != w.Promised || before.Accepted != w.Accepted || before.Record.Epoch != w.Record.Epoch
}

// Renew prolongs the primary's hold. A witness that missed the record takes
// it from the renewal, since only a complete record is renewed.
func (w *Acceptor) Renew(nowMs int64, ask protocol.RenewLease) (answer protocol.AcceptReply, changed bool) {
	answer = protocol.AcceptReply{Ballot: ask.Ballot, Epoch: ask.Record.Epoch, Highest: w.Promised, Record: w.Record, EchoMs: ask.EchoMs}
	if w.Blank() || ask.Ballot.Less(w.Promised) || ask.Record.Epoch < w.Record.Epoch {
		return answer, false
	}
	// A hold is given only under what is on the disk: after a restart it must
	// be known whose it may be.
	if ask.Record.Epoch > w.Record.Epoch || ask.Ballot != w.Accepted {
		return w.Accept(nowMs, protocol.Accept{Ballot: ask.Ballot, Record: ask.Record, EchoMs: ask.EchoMs})
	}
	w.grantLease(nowMs, ask.Ballot.Name)
	answer.Granted = true
	return answer, false
}

// Release ends the lease on purpose.
func (w *Acceptor) Release(from string, ask protocol.ReleaseLease) {
	if ask.Epoch == w.Record.Epoch && ask.Ballot == w.Accepted && from == w.holder {
		w.leaseUntilMs = 0
		w.holder = ""
	}
}

func (w *Acceptor) grantLease(nowMs int64, holder string) {
	w.holder = holder
	w.leaseUntilMs = nowMs + w.leaseMs
}

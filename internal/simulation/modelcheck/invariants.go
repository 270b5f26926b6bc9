package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// Invariant is the name of an invariant.
type Invariant string

// The invariants.
const (
	// OnePrimary: at any moment at most one member may act as the primary.
	OnePrimary Invariant = "one primary"
	// AcknowledgedWritesKept: the state of each primary holds all acknowledged writes.
	AcknowledgedWritesKept Invariant = "acknowledged stays"
	// WitnessMonotonic: the ballot that a witness promised and the epoch that it
	// accepted never decrease on its disk.
	WitnessMonotonic Invariant = "witness forward"
	// PositionMonotonic: the durable position of a replica never decreases.
	PositionMonotonic Invariant = "position forward"
	// OneRecordPerEpoch: at most one record is ever chosen for an epoch.
	OneRecordPerEpoch Invariant = "one record an epoch"
	// BallotUsedOnce: no two lives of a process use the same ballot.
	BallotUsedOnce Invariant = "one life a ballot"
	// Recovers: a primary acknowledges a write within Scope.CatchUpMs after the end of
	// the last fault.
	Recovers Invariant = "recovers"
)

// Violation is an invariant that does not hold in a state.
type Violation struct {
	Invariant Invariant
	AtMs      int64
	Message   string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: at %d ms: %s", v.Invariant, v.AtMs-startMs, v.Message)
}

// acceptedBallot identifies one ballot for one record.
type acceptedBallot struct {
	epoch uint64
	// recordHash is the hash of the record.
	recordHash uint64
	ballot     protocol.Ballot
}

// invariants checks the invariants, and keeps the history that the checks need.
type invariants struct {
	// violation is the first violation found, or nil.
	violation *Violation
	// disks holds the last durable state that was seen of each disk.
	disks map[protocol.MemberID]*diskState
	// acceptedBy lists the disks that ever accepted a record under a ballot.
	acceptedBy map[acceptedBallot][]protocol.MemberID
	// chosenRecords holds, by epoch, the hash of the record that a majority
	// accepted.
	chosenRecords map[uint64]uint64
	// ballotUsers holds, by ballot, the incarnation of the process that used it.
	ballotUsers map[protocol.Ballot]int
	// acknowledgedWrites is sorted.
	acknowledgedWrites []int
	// cachedHash is the hash of the fields above except violation, or 0 after a change.
	cachedHash uint64
}

func newInvariants() invariants {
	return invariants{
		disks: map[protocol.MemberID]*diskState{}, acceptedBy: map[acceptedBallot][]protocol.MemberID{},
		chosenRecords: map[uint64]uint64{}, ballotUsers: map[protocol.Ballot]int{},
	}
}

func (v *invariants) hash() uint64 {
	if v.cachedHash == 0 {
		v.cachedHash = hashOf(v.disks, v.acceptedBy, v.chosenRecords, v.ballotUsers, v.acknowledgedWrites)
	}
	return v.cachedHash
}

// recordViolation records a violation if it is the first.
func (v *invariants) recordViolation(invariant Invariant, atMs int64, format string, args ...any) {
	if v.violation == nil {
		v.violation = &Violation{Invariant: invariant, AtMs: atMs, Message: fmt.Sprintf(format, args...)}
	}
}

func (v *invariants) recordAcknowledged(number int) {
	if v.isAcknowledged(number) {
		return
	}
	v.cachedHash = 0
	v.acknowledgedWrites = append(v.acknowledgedWrites, number)
	slices.Sort(v.acknowledgedWrites)
}

func (v *invariants) isAcknowledged(number int) bool {
	return slices.Contains(v.acknowledgedWrites, number)
}

// recordStart reads a disk at the first start from it. A later start does not
// read it again, so that a disk that lost durable data is noticed.
func (v *invariants) recordStart(m *member) {
	if v.disks[m.id()] != nil {
		return
	}
	v.cachedHash = 0
	state := &diskState{}
	state.apply(storage.Write{Set: m.disk})
	v.disks[m.id()] = state
}

// checkDurable checks a write that has just become durable.
func (v *invariants) checkDurable(m *member, write storage.Write, atMs int64) {
	v.cachedHash = 0
	id := m.id()
	now := v.disks[id]
	before := *now
	now.apply(write)
	v.checkWitness(id, before, *now, atMs)
	if isBefore(now.position, before.position) {
		v.recordViolation(PositionMonotonic, atMs, "%s: the position went back from %v to %v", id.Name, before.position, now.position)
	}
	if now.record.Epoch > before.record.Epoch {
		v.checkChosen(now.record, atMs)
	}
	isNewBallot := now.witness.Accepted != before.witness.Accepted
	isNewEpoch := now.witness.Record.Epoch != before.witness.Record.Epoch
	if isNewBallot || isNewEpoch {
		v.recordAccepted(id, now.witness.Record, now.witness.Accepted, atMs)
	}
}

func (v *invariants) checkWitness(id protocol.MemberID, before, now diskState, atMs int64) {
	if now.witness.Promised.Less(before.witness.Promised) {
		v.recordViolation(WitnessMonotonic, atMs, "%s promised %v, then %v", id.Name, before.witness.Promised, now.witness.Promised)
	}
	if now.witness.Record.Epoch < before.witness.Record.Epoch {
		v.recordViolation(WitnessMonotonic, atMs, "%s accepted epoch %d, then %d", id.Name, before.witness.Record.Epoch, now.witness.Record.Epoch)
	}
}

// recordAccepted records that a disk accepted a record. A record that a majority of
// its voters accepted under one ballot is chosen.
func (v *invariants) recordAccepted(id protocol.MemberID, record protocol.EpochRecord, ballot protocol.Ballot, atMs int64) {
	key := acceptedBallot{record.Epoch, hashOf(record), ballot}
	if !slices.Contains(v.acceptedBy[key], id) {
		v.acceptedBy[key] = append(v.acceptedBy[key], id)
	}
	hasAccepted := func(voter protocol.MemberID) bool { return slices.Contains(v.acceptedBy[key], voter) }
	if record.Majority(hasAccepted) {
		v.checkChosen(record, atMs)
	}
}

// checkChosen checks that no other record was chosen for the epoch, and stores the
// record's hash.
func (v *invariants) checkChosen(record protocol.EpochRecord, atMs int64) {
	hash := hashOf(record)
	if known, isKnown := v.chosenRecords[record.Epoch]; isKnown && known != hash {
		v.recordViolation(OneRecordPerEpoch, atMs, "two records of epoch %d were chosen, the second is %+v", record.Epoch, record)
	}
	v.chosenRecords[record.Epoch] = hash
}

// checkBallot checks a request for a promise that a candidate sends. What a process proposed under
// a ballot is lost with the process, so its next life must not use that ballot.
func (v *invariants) checkBallot(candidate *member, ballot protocol.Ballot, atMs int64) {
	user, isKnown := v.ballotUsers[ballot]
	if isKnown && user != candidate.incarnation {
		v.recordViolation(BallotUsedOnce, atMs, "%s uses the ballot %v of an earlier life", candidate.node.Name, ballot)
	}
	if !isKnown {
		v.cachedHash = 0
		v.ballotUsers[ballot] = candidate.incarnation
	}
}

// checkPrimaries checks after a step that there is at most one primary, and that it
// has all acknowledged writes.
func (v *invariants) checkPrimaries(c *cluster) {
	var primaries []string
	for _, m := range c.members {
		if c.isPrimary(m) {
			primaries = append(primaries, m.node.Name)
			v.checkAcknowledged(m, c.nowMs)
		}
	}
	if len(primaries) > 1 {
		v.recordViolation(OnePrimary, c.nowMs, "%s are primaries at the same time", strings.Join(primaries, " and "))
	}
}

// checkAcknowledged checks that a primary has all acknowledged writes.
func (v *invariants) checkAcknowledged(primary *member, nowMs int64) {
	for _, number := range v.acknowledgedWrites {
		if primary.application.host.Row(rowKey(number)) == "" {
			v.recordViolation(AcknowledgedWritesKept, nowMs, "primary %s lacks the acknowledged write %d", primary.node.Name, number)
		}
	}
}

package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// Invariant names an invariant.
type Invariant string

// The invariants.
const (
	// OnePrimary: at any moment at most one member may act as the primary.
	OnePrimary Invariant = "one primary"
	// AcknowledgedStays: acknowledged writes are in the state of each primary.
	AcknowledgedStays Invariant = "acknowledged stays"
	// WitnessForward: the ballot that a witness promised and the epoch that it
	// accepted never go back on its disk.
	WitnessForward Invariant = "witness forward"
	// PositionForward: the durable position of a replica never goes back.
	PositionForward Invariant = "position forward"
	// OneRecord: of one epoch at most one record is ever chosen.
	OneRecord Invariant = "one record an epoch"
	// Recovers: within the bound after a fault a primary acknowledges a write.
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

// acceptedBallot identifies one attempt to have one record accepted.
type acceptedBallot struct {
	epoch uint64
	// recordHash is the hash of the record.
	recordHash uint64
	ballot     protocol.Ballot
}

// invariants checks the invariants, and remembers what that needs.
type invariants struct {
	// violation is the first one.
	violation *Violation
	// disks holds what each disk has held.
	disks map[protocol.MemberID]*diskState
	// acceptedBy are the disks that ever accepted a record under a ballot.
	acceptedBy map[acceptedBallot][]protocol.MemberID
	// chosenRecords holds, by epoch, the hash of the record that a majority
	// accepted.
	chosenRecords map[uint64]uint64
	// acknowledgedWrites are in order.
	acknowledgedWrites []int
	// cachedHash is the hash of all this, or 0 after a change.
	cachedHash uint64
}

func newInvariants() invariants {
	return invariants{
		disks: map[protocol.MemberID]*diskState{}, acceptedBy: map[acceptedBallot][]protocol.MemberID{},
		chosenRecords: map[uint64]uint64{},
	}
}

func (v *invariants) hash() uint64 {
	if v.cachedHash == 0 {
		v.cachedHash = hashOf(v.disks, v.acceptedBy, v.chosenRecords, v.acknowledgedWrites)
	}
	return v.cachedHash
}

// violate records a violation, unless there is one.
func (v *invariants) violate(invariant Invariant, atMs int64, format string, args ...any) {
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
// read it again: a disk that loses what was durable must be noticed.
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
		v.violate(PositionForward, atMs, "%s went from change %v back to %v", id.Name, before.position, now.position)
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
		v.violate(WitnessForward, atMs, "%s promised %v, then %v", id.Name, before.witness.Promised, now.witness.Promised)
	}
	if now.witness.Record.Epoch < before.witness.Record.Epoch {
		v.violate(WitnessForward, atMs, "%s accepted epoch %d, then %d", id.Name, before.witness.Record.Epoch, now.witness.Record.Epoch)
	}
}

// recordAccepted notes that a disk accepted a record; a record that a majority
// of its voters accepted under one ballot is chosen.
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

// checkChosen notes the chosen record of an epoch.
func (v *invariants) checkChosen(record protocol.EpochRecord, atMs int64) {
	hash := hashOf(record)
	if known, isKnown := v.chosenRecords[record.Epoch]; isKnown && known != hash {
		v.violate(OneRecord, atMs, "two records of epoch %d are chosen, the later is %+v", record.Epoch, record)
	}
	v.chosenRecords[record.Epoch] = hash
}

// checkPrimaries checks all members after a step.
func (v *invariants) checkPrimaries(c *cluster) {
	var primaries []string
	for _, m := range c.members {
		if c.isPrimary(m) {
			primaries = append(primaries, m.node.Name)
			v.checkAcknowledged(m, c.nowMs)
		}
	}
	if len(primaries) > 1 {
		v.violate(OnePrimary, c.nowMs, "%s are primaries", strings.Join(primaries, " and "))
	}
}

// checkAcknowledged checks that a primary has all acknowledged writes.
func (v *invariants) checkAcknowledged(primary *member, nowMs int64) {
	for _, number := range v.acknowledgedWrites {
		if primary.application.host.Row(rowKey(number)) == "" {
			v.violate(AcknowledgedStays, nowMs, "%s serves without write %d, which was acknowledged", primary.node.Name, number)
		}
	}
}

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
	// OnePrimary: no two members may speak for the site at one moment.
	OnePrimary Invariant = "one primary"
	// AcknowledgedStays: what was acknowledged is in the state of each primary.
	AcknowledgedStays Invariant = "acknowledged stays"
	// WitnessForward: what a witness promised and kept never goes back.
	WitnessForward Invariant = "witness forward"
	// PositionForward: the durable position of a replica never goes back.
	PositionForward Invariant = "position forward"
	// OneRecord: of one epoch at most one record is ever complete.
	OneRecord Invariant = "one record an epoch"
	// Recovers: a primary serves, and acknowledges, within the bound.
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

// acceptedBallot names one attempt to keep one record.
type acceptedBallot struct {
	epoch  uint64
	record uint64
	ballot protocol.Ballot
}

// invariants remembers what the invariants need.
type invariants struct {
	violation *Violation
	// disks holds what each incarnation's disk holds.
	disks map[protocol.MemberID]*diskState
	// acceptedBy are the disks that ever kept a record under a ballot.
	acceptedBy map[acceptedBallot][]protocol.MemberID
	// chosenRecords names the record of each epoch that a majority kept.
	chosenRecords      map[uint64]uint64
	acknowledgedWrites []int
	// cachedHash is the hash of all this, or nought after a change.
	cachedHash uint64
}

func newInvariants() invariants {
	return invariants{disks: map[protocol.MemberID]*diskState{}, acceptedBy: map[acceptedBallot][]protocol.MemberID{}, chosenRecords: map[uint64]uint64{}}
}

func (c *invariants) hash() uint64 {
	if c.cachedHash == 0 {
		c.cachedHash = hashOf(c.disks, c.acceptedBy, c.chosenRecords, c.acknowledgedWrites)
	}
	return c.cachedHash
}

func (c *invariants) violate(check Invariant, atMs int64, format string, args ...any) {
	if c.violation == nil {
		c.violation = &Violation{Invariant: check, AtMs: atMs, Message: fmt.Sprintf(format, args...)}
	}
}

func (c *invariants) recordAcknowledged(number int) {
	if !slices.Contains(c.acknowledgedWrites, number) {
		c.cachedHash = 0
		c.acknowledgedWrites = append(c.acknowledgedWrites, number)
		slices.Sort(c.acknowledgedWrites)
	}
}

// recordStart notes what a disk holds at the first start from it. What it holds at
// a later one is not taken over: a disk that forgets is to be found out.
func (c *invariants) recordStart(m *member) {
	if c.disks[m.id()] == nil {
		c.cachedHash = 0
		c.disks[m.id()] = &diskState{}
		c.disks[m.id()].apply(storage.Write{Set: m.disk})
	}
}

// checkDurable looks at a write that has just become durable.
func (c *invariants) checkDurable(m *member, w storage.Write, atMs int64) {
	c.cachedHash = 0
	id := m.id()
	now := c.disks[id]
	before := *now
	now.apply(w)
	c.checkWitness(id, before, *now, atMs)
	if positionLess(now.position, before.position) {
		c.violate(PositionForward, atMs, "%s went from change %v back to %v", id.Name, before.position, now.position)
	}
	if now.record.Epoch > before.record.Epoch {
		c.checkChosen(now.record, atMs)
	}
	if now.witness.Accepted != before.witness.Accepted || now.witness.Record.Epoch != before.witness.Record.Epoch {
		c.recordAccepted(id, now.witness.Record, now.witness.Accepted, atMs)
	}
}

func (c *invariants) checkWitness(id protocol.MemberID, before, now diskState, atMs int64) {
	if now.witness.Promised.Less(before.witness.Promised) {
		c.violate(WitnessForward, atMs, "%s promised %v, then %v", id.Name, before.witness.Promised, now.witness.Promised)
	}
	if now.witness.Record.Epoch < before.witness.Record.Epoch {
		c.violate(WitnessForward, atMs, "%s kept epoch %d, then %d", id.Name, before.witness.Record.Epoch, now.witness.Record.Epoch)
	}
}

// recordAccepted counts a disk that kept a record.
func (c *invariants) recordAccepted(id protocol.MemberID, record protocol.EpochRecord, ballot protocol.Ballot, atMs int64) {
	key := acceptedBallot{record.Epoch, hashOf(record), ballot}
	if !slices.Contains(c.acceptedBy[key], id) {
		c.acceptedBy[key] = append(c.acceptedBy[key], id)
	}
	if record.Majority(func(voter protocol.MemberID) bool { return slices.Contains(c.acceptedBy[key], voter) }) {
		c.checkChosen(record, atMs)
	}
}

// checkChosen notes a complete record.
func (c *invariants) checkChosen(record protocol.EpochRecord, atMs int64) {
	sum := hashOf(record)
	if other, known := c.chosenRecords[record.Epoch]; known && other != sum {
		c.violate(OneRecord, atMs, "two records of epoch %d are complete, the later is %+v", record.Epoch, record)
	}
	c.chosenRecords[record.Epoch] = sum
}

// checkPrimaries looks at all members after a step.
func (c *invariants) checkPrimaries(cluster *cluster) {
	var active []string
	for _, m := range cluster.members {
		if !cluster.active(m) {
			continue
		}
		active = append(active, m.node.Name)
		for _, number := range c.acknowledgedWrites {
			if m.application.host.Row(rowKey(number)) == "" {
				c.violate(AcknowledgedStays, cluster.nowMs, "%s serves without write %d, which was acknowledged", m.node.Name, number)
			}
		}
	}
	if len(active) > 1 {
		c.violate(OnePrimary, cluster.nowMs, "%s are active", strings.Join(active, " and "))
	}
}

func positionLess(a, b protocol.Position) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Number < b.Number
}

func (c *invariants) isAcknowledged(number int) bool {
	return slices.Contains(c.acknowledgedWrites, number)
}

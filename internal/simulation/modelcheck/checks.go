package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// Check names an invariant.
type Check string

// The invariants.
const (
	// OnePrimary: no two members may speak for the site at one moment.
	OnePrimary Check = "one primary"
	// AcknowledgedStays: what was acknowledged is in the state of each primary.
	AcknowledgedStays Check = "acknowledged stays"
	// WitnessForward: what a witness promised and kept never goes back.
	WitnessForward Check = "witness forward"
	// PositionForward: the durable position of a replica never goes back.
	PositionForward Check = "position forward"
	// OneRecord: of one epoch at most one record is ever complete.
	OneRecord Check = "one record an epoch"
	// Recovers: a primary serves, and acknowledges, within the bound.
	Recovers Check = "recovers"
)

// Violation is an invariant that does not hold in a state.
type Violation struct {
	Check Check
	AtMs  int64
	What  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: at %d ms: %s", v.Check, v.AtMs-startMs, v.What)
}

// ballotOf names one attempt to keep one record.
type ballotOf struct {
	epoch  uint64
	record uint64
	ballot protocol.Ballot
}

// checks remembers what the invariants need.
type checks struct {
	violation *Violation
	// disks holds what each incarnation's disk holds.
	disks map[protocol.MemberID]*kept
	// keepers are the disks that ever kept a record under a ballot.
	keepers map[ballotOf][]protocol.MemberID
	// complete names the record of each epoch that a majority kept.
	complete map[uint64]uint64
	acked    []int
	// memo is the hash of all this, or nought after a change.
	memo uint64
}

func newChecks() checks {
	return checks{disks: map[protocol.MemberID]*kept{}, keepers: map[ballotOf][]protocol.MemberID{}, complete: map[uint64]uint64{}}
}

func (c *checks) sum() uint64 {
	if c.memo == 0 {
		c.memo = hashOf(c.disks, c.keepers, c.complete, c.acked)
	}
	return c.memo
}

func (c *checks) violated(check Check, atMs int64, format string, args ...any) {
	if c.violation == nil {
		c.violation = &Violation{Check: check, AtMs: atMs, What: fmt.Sprintf(format, args...)}
	}
}

func (c *checks) acknowledged(number int) {
	if !slices.Contains(c.acked, number) {
		c.memo = 0
		c.acked = append(c.acked, number)
		slices.Sort(c.acked)
	}
}

// started notes what a disk holds at the first start from it. What it holds at
// a later one is not taken over: a disk that forgets is to be found out.
func (c *checks) started(m *member) {
	if c.disks[m.seat()] == nil {
		c.memo = 0
		c.disks[m.seat()] = &kept{}
		c.disks[m.seat()].read(storage.Write{Sets: m.keys})
	}
}

// durable looks at a write that has just become durable.
func (c *checks) durable(m *member, w storage.Write, atMs int64) {
	c.memo = 0
	seat := m.seat()
	now := c.disks[seat]
	before := *now
	now.read(w)
	c.witnessForward(seat, before, *now, atMs)
	if positionLess(now.position, before.position) {
		c.violated(PositionForward, atMs, "%s went from change %v back to %v", seat.Name, before.position, now.position)
	}
	if now.record.Epoch > before.record.Epoch {
		c.completed(now.record, atMs)
	}
	if now.witness.Kept != before.witness.Kept || now.witness.Record.Epoch != before.witness.Record.Epoch {
		c.keptBy(seat, now.witness.Record, now.witness.Kept, atMs)
	}
}

func (c *checks) witnessForward(seat protocol.MemberID, before, now kept, atMs int64) {
	if now.witness.Promised.Less(before.witness.Promised) {
		c.violated(WitnessForward, atMs, "%s promised %v, then %v", seat.Name, before.witness.Promised, now.witness.Promised)
	}
	if now.witness.Record.Epoch < before.witness.Record.Epoch {
		c.violated(WitnessForward, atMs, "%s kept epoch %d, then %d", seat.Name, before.witness.Record.Epoch, now.witness.Record.Epoch)
	}
}

// keptBy counts a disk that kept a record.
func (c *checks) keptBy(seat protocol.MemberID, record protocol.EpochRecord, ballot protocol.Ballot, atMs int64) {
	key := ballotOf{record.Epoch, hashOf(record), ballot}
	if !slices.Contains(c.keepers[key], seat) {
		c.keepers[key] = append(c.keepers[key], seat)
	}
	if record.Majority(func(voter protocol.MemberID) bool { return slices.Contains(c.keepers[key], voter) }) {
		c.completed(record, atMs)
	}
}

// completed notes a complete record.
func (c *checks) completed(record protocol.EpochRecord, atMs int64) {
	sum := hashOf(record)
	if other, known := c.complete[record.Epoch]; known && other != sum {
		c.violated(OneRecord, atMs, "two records of epoch %d are complete, the later is %+v", record.Epoch, record)
	}
	c.complete[record.Epoch] = sum
}

// observe looks at all members after a step.
func (c *checks) observe(cluster *cluster) {
	var active []string
	for _, m := range cluster.members {
		if !cluster.active(m) {
			continue
		}
		active = append(active, m.place.Name)
		for _, number := range c.acked {
			if m.tenant.host.Row(rowKey(number)) == "" {
				c.violated(AcknowledgedStays, cluster.nowMs, "%s serves without write %d, which was acknowledged", m.place.Name, number)
			}
		}
	}
	if len(active) > 1 {
		c.violated(OnePrimary, cluster.nowMs, "%s are active", strings.Join(active, " and "))
	}
}

func positionLess(a, b protocol.Position) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Number < b.Number
}

func (c *checks) isAcknowledged(number int) bool { return slices.Contains(c.acked, number) }

package membership

import (
	"iter"
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/replication"
)

// View is what the primary knows of the members when it plans the next record.
type View struct {
	NowMs int64
	// Self is the primary. Leaving is true if its own daemon is shutting down as planned.
	Self    protocol.Node
	Leaving bool
	Record  protocol.EpochRecord
	// Controllers are the other known controllers, in order of name.
	Controllers []protocol.Node
	// Primary holds the progress of the followers.
	Primary *replication.Primary
	// MaxLosses is how many disks may be lost at once.
	MaxLosses int
	// LiveMs is how long after its last acknowledgement a member counts as alive.
	// WitnessTimeoutMs is how long a witness may be unresponsive before it is replaced.
	LiveMs, WitnessTimeoutMs int64
}

func (v *View) self() protocol.MemberID { return memberID(v.Self) }

func memberID(node protocol.Node) protocol.MemberID {
	return protocol.MemberID{Name: node.Name, Incarnation: node.Incarnation}
}

// availableControllers yields the other controllers that are alive and not shutting down
// as planned.
func (v *View) availableControllers() iter.Seq2[protocol.MemberID, protocol.Node] {
	return func(yield func(protocol.MemberID, protocol.Node) bool) {
		for _, node := range v.Controllers {
			id := memberID(node)
			isAvailable := v.Primary.Tracker.Live(v.NowMs, id) && !v.Primary.Tracker.Leaving(id)
			if isAvailable && !yield(id, node) {
				return
			}
		}
	}
}

// caughtUp reports whether the disk acknowledges changes and holds every committed one. It
// need not hold pending changes: once it is a replica, they are committed only when it
// holds them as well.
func (v *View) caughtUp(id protocol.MemberID) bool {
	tracker := &v.Primary.Tracker
	return tracker.KeepsUp(v.NowMs, id) && tracker.ByID(id).Acknowledged >= v.Primary.Committed
}

// reliableReplica reports whether a replica is alive, not stalled and not leaving. For the
// primary's own replica only the last of these conditions is checked.
func (v *View) reliableReplica(id protocol.MemberID) bool {
	if id == v.self() {
		return !v.Leaving
	}
	return v.Primary.Tracker.KeepsUp(v.NowMs, id) && !v.Primary.Tracker.Leaving(id)
}

// confirmedReplica reports whether a replica is reliable and has acknowledged something to
// this primary.
func (v *View) confirmedReplica(id protocol.MemberID) bool {
	return v.reliableReplica(id) && (id == v.self() || v.Primary.Tracker.ByID(id).HasAcknowledged)
}

func (v *View) countReplicas(holds func(protocol.MemberID) bool) int {
	count := 0
	for _, id := range v.Record.Replicas {
		if holds(id) {
			count++
		}
	}
	return count
}

// wantedReplicas returns how many replicas there should be.
func (v *View) wantedReplicas() int { return v.MaxLosses + 1 }

// wantedWitnesses returns how many witnesses there should be, so that a majority is left
// after MaxLosses losses.
func (v *View) wantedWitnesses() int { return 2*v.MaxLosses + 1 }

// witnessSetChanging reports whether the set of witnesses before the last change must
// still agree.
func (v *View) witnessSetChanging() bool { return !slices.Equal(v.Record.Before, v.Record.Witnesses) }

func hasName(members []protocol.MemberID, name string) bool {
	return slices.ContainsFunc(members, func(id protocol.MemberID) bool { return id.Name == name })
}

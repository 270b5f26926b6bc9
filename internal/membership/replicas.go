package membership

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// replicaChange is a change of the replicas by one member.
type replicaChange struct {
	replicas []protocol.MemberID
	// gone is the list of superseded disks for the next record.
	gone    []protocol.MemberID
	logLine string
}

// nextReplicas returns the change that the replicas need, if any: one member at a
// time. An unreliable replica is removed together with the addition of its replacement, or
// if enough others remain. Replicas beyond the wanted number are removed without a
// replacement.
func (v *View) nextReplicas() (replicaChange, bool) {
	unreliable, surplus := v.removalCandidates()
	// A new primary counts the recorded replicas as reliable for
	// consensus.Settings.ReplicaGraceMs, even if they acknowledge nothing, so that it
	// doesn't replace a replica that is merely slow. A replica is removed only if enough
	// others have actually acknowledged something (confirmed), not just because they count
	// as reliable.
	wanted, reliable, confirmed := v.wantedReplicas(), v.countReplicas(v.reliableReplica), v.countReplicas(v.confirmedReplica)
	switch {
	case confirmed >= wanted && unreliable != protocol.MemberID{}:
		return v.removeReplica(unreliable, logLinef("removing replica %s, which is unresponsive, stalled or leaving; enough others remain", unreliable.Name)), true
	case confirmed > wanted && surplus != protocol.MemberID{}:
		return v.removeReplica(surplus, logLinef("removing surplus replica %s", surplus.Name)), true
	case reliable >= wanted:
		return replicaChange{}, false
	}
	added, found := v.replicaCandidate(unreliable)
	if !found {
		return replicaChange{}, false
	}
	gone := v.Record.Gone
	// The daemon of a member has returned with another disk, which supersedes the
	// recorded one.
	if previous, ok := v.Record.Member(added.Name); ok && previous != added {
		gone = v.Record.GoneWith(previous)
	}
	logLine := logLinef("adding %s as a replica", added.Name)
	return replicaChange{append(v.replicasWithout(unreliable), added), gone, logLine}, true
}

// removalCandidates returns two candidates for removal: the last replica in the
// record that is unreliable, and the last reliable one other than the primary's own. Each
// is zero if there is none.
func (v *View) removalCandidates() (unreliable, surplus protocol.MemberID) {
	for _, id := range v.Record.Replicas {
		switch {
		case id == v.self():
		case v.reliableReplica(id):
			surplus = id
		default:
			unreliable = id
		}
	}
	return unreliable, surplus
}

func (v *View) removeReplica(removed protocol.MemberID, logLine string) replicaChange {
	return replicaChange{v.replicasWithout(removed), v.Record.Gone, logLine}
}

func (v *View) replicasWithout(removed protocol.MemberID) []protocol.MemberID {
	isRemoved := func(id protocol.MemberID) bool { return id == removed }
	return slices.DeleteFunc(slices.Clone(v.Record.Replicas), isRemoved)
}

// replicaCandidate returns a caught-up daemon that is not a replica, preferably in another
// zone than the primary's. It never returns the disk that it would replace.
func (v *View) replicaCandidate(replaced protocol.MemberID) (protocol.MemberID, bool) {
	var best protocol.MemberID
	found, bestInOtherZone := false, false
	for id, node := range v.availableControllers() {
		if id == replaced || v.Record.HasReplica(id) || !v.caughtUp(id) {
			continue
		}
		inOtherZone := node.Zone != v.Self.Zone
		if !found || inOtherZone && !bestInOtherZone {
			best, found, bestInOtherZone = id, true, inOtherZone
		}
	}
	return best, found
}

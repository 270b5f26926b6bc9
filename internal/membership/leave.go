package membership

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// MayLeave reports whether a member that is shutting down as planned has no replica or
// vote left that another daemon could have instead. It has to wait for a successor that
// is still catching up. The caller makes sure that no record is being proposed.
func (v *View) MayLeave(id protocol.MemberID) bool {
	return !v.replicaNeedsHandover(id) && !v.voteNeedsHandover(id) && v.replicasKnowRecord(id)
}

// Successor returns the replica that a primary which steps down asks to become primary: a
// reliable replica if there is one, or else any other replica. It returns false if there is
// no other replica.
func (v *View) Successor() (protocol.MemberID, bool) {
	for _, id := range v.Record.Replicas {
		if id != v.self() && v.reliableReplica(id) {
			return id, true
		}
	}
	return v.Record.OtherReplica(v.Self.Name)
}

// replicasKnowRecord reports whether all other reliable replicas know the active record. A
// replica that doesn't know the record would not become primary under it, and might be the
// only replica left once the member has stopped.
func (v *View) replicasKnowRecord(leaving protocol.MemberID) bool {
	return !slices.ContainsFunc(v.Record.Replicas, func(id protocol.MemberID) bool {
		if id == leaving || id == v.self() || !v.reliableReplica(id) {
			return false
		}
		return v.Primary.Tracker.ByID(id).RecordEpoch != v.Record.Epoch
	})
}

// replicaNeedsHandover reports whether a leaving member still has to wait until the record
// no longer names it as a replica, because another has replaced it or enough others remain.
// The primary only waits for enough others: its own replica stays in the record until the
// next primary removes it.
func (v *View) replicaNeedsHandover(leaving protocol.MemberID) bool {
	others := v.countReplicas(func(id protocol.MemberID) bool { return id != leaving && v.confirmedReplica(id) })
	enough := others >= v.wantedReplicas()
	if leaving == v.self() {
		return !enough && v.hasSuccessorFor(v.Record.Replicas)
	}
	return v.Record.HasReplica(leaving) && (enough || v.hasSuccessorFor(v.Record.Replicas))
}

// voteNeedsHandover reports whether a leaving member still has to wait until another daemon
// has its vote. While the set of witnesses changes, the previous set still counts.
func (v *View) voteNeedsHandover(leaving protocol.MemberID) bool {
	if !slices.Contains(v.Record.Voters(), leaving) {
		return false
	}
	return v.witnessSetChanging() || v.hasSuccessorFor(v.Record.Witnesses)
}

// hasSuccessorFor reports whether an available daemon is none of the members, and so could
// replace one of them.
func (v *View) hasSuccessorFor(members []protocol.MemberID) bool {
	for id := range v.availableControllers() {
		if !hasName(members, id.Name) {
			return true
		}
	}
	return false
}

package protocol

import "slices"

// Ballot is the proposal number of an election.
type Ballot struct {
	Round uint64 `json:"round"`
	// Name is the candidate's name, so that no two candidates share a ballot.
	Name string `json:"name"`
}

// Less orders ballots by round, then by name.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Name < other.Name
}

// MemberID identifies one disk by the daemon's name and the incarnation of its data
// folder.
type MemberID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// EpochRecord is the value that witnesses accept for an epoch: the primary, and the disks
// that are replicas and witnesses. Its JSON form is stored.
type EpochRecord struct {
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Replicas are the disks that have every acknowledged write.
	Replicas []MemberID `json:"pair"`
	// Witnesses are the voters, and Before the witnesses of the preceding record. A change
	// of the record needs a majority of Witnesses and, if they differ, also of Before.
	Witnesses []MemberID `json:"witnesses"`
	Before    []MemberID `json:"before"`
	// Gone are superseded disks, whose names now belong to other disks, the latest last.
	// They are never added again.
	Gone []MemberID `json:"gone,omitempty"`
}

// maxGone bounds the list Gone.
const maxGone = 16

// GoneWith returns Gone with one more disk appended.
func (r EpochRecord) GoneWith(member MemberID) []MemberID {
	gone := append(slices.Clone(r.Gone), member)
	return gone[max(0, len(gone)-maxGone):]
}

// Member returns the disk that the record lists for a daemon, if there is one.
func (r EpochRecord) Member(name string) (MemberID, bool) {
	for _, member := range append(slices.Clone(r.Replicas), r.Witnesses...) {
		if member.Name == name {
			return member, true
		}
	}
	return MemberID{}, false
}

// HasReplica reports whether the disk is one of the replicas.
func (r EpochRecord) HasReplica(member MemberID) bool { return slices.Contains(r.Replicas, member) }

// OtherReplica returns the first replica that belongs to another daemon.
func (r EpochRecord) OtherReplica(name string) (MemberID, bool) {
	for _, member := range r.Replicas {
		if member.Name != name {
			return member, true
		}
	}
	return MemberID{}, false
}

// Voters returns every disk whose vote may be needed for a change of the record.
func (r EpochRecord) Voters() []MemberID {
	voters := slices.Clone(r.Witnesses)
	for _, member := range r.Before {
		if !slices.Contains(voters, member) {
			voters = append(voters, member)
		}
	}
	return voters
}

// Majority reports whether the disks that agree are a majority of Witnesses and a majority
// of Before.
func (r EpochRecord) Majority(agrees func(MemberID) bool) bool {
	return isMajority(r.Witnesses, agrees) && isMajority(r.Before, agrees)
}

func isMajority(set []MemberID, agrees func(MemberID) bool) bool {
	count := 0
	for _, member := range set {
		if agrees(member) {
			count++
		}
	}
	return 2*count > len(set)
}

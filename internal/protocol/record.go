package protocol

import "slices"

// Ballot is a proposal number of an election.
type Ballot struct {
	Round uint64 `json:"round"`
	// Name is the candidate's, so that no two candidates share a ballot.
	Name string `json:"name"`
}

// Less orders ballots by round, then by name.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Name < other.Name
}

// MemberID names one disk: a daemon's name with the incarnation of its data
// folder.
type MemberID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// EpochRecord is what witnesses accept for an epoch: who is the primary, and
// whose disks hold replicas and votes. Its JSON form is stored.
type EpochRecord struct {
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Replicas are the disks that hold every acknowledged write.
	Replicas []MemberID `json:"pair"`
	// Witnesses are the voters. A change of the record needs a majority of them
	// and, where they were changed, a majority of those before.
	Witnesses []MemberID `json:"witnesses"`
	Before    []MemberID `json:"before"`
	// Gone are disks whose names passed to another disk, the latest last. They
	// never return.
	Gone []MemberID `json:"gone,omitempty"`
}

// maxGone is how many disks Gone remembers.
const maxGone = 16

// GoneWith returns Gone with one more disk.
func (r EpochRecord) GoneWith(member MemberID) []MemberID {
	gone := append(slices.Clone(r.Gone), member)
	return gone[max(0, len(gone)-maxGone):]
}

// Member returns the disk that the record names for a daemon, if it names one.
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

// OtherReplica returns the first replica of another daemon.
func (r EpochRecord) OtherReplica(name string) (MemberID, bool) {
	for _, member := range r.Replicas {
		if member.Name != name {
			return member, true
		}
	}
	return MemberID{}, false
}

// Voters returns every disk whose vote a change of the record may need.
func (r EpochRecord) Voters() []MemberID {
	voters := slices.Clone(r.Witnesses)
	for _, member := range r.Before {
		if !slices.Contains(voters, member) {
			voters = append(voters, member)
		}
	}
	return voters
}

// Majority reports whether those who agree are a majority of the witnesses and of
// those before them.
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

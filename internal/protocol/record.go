package protocol

import "slices"

// Ballot orders the candidates for an epoch.
type Ballot struct {
	Round uint64 `json:"round"`
	Name  string `json:"name"`
}

// Less orders ballots by round, then name.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Name < other.Name
}

// MemberID is one disk: a daemon's name with the incarnation of its disk.
type MemberID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// EpochRecord is what witnesses keep of an epoch.
type EpochRecord struct {
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Replicas names the two disks that hold every answered write.
	Replicas  []MemberID `json:"pair"`
	Witnesses []MemberID `json:"witnesses"`
	// Before is the witness set that had to agree to this record.
	Before []MemberID `json:"before"`
	// Gone are the disks whose names passed to another disk, the latest last.
	// They never come back.
	Gone []MemberID `json:"gone,omitempty"`
}

const goneMost = 16

// GoneWith gives the list of the gone with one more.
func (r EpochRecord) GoneWith(seat MemberID) []MemberID {
	gone := append(slices.Clone(r.Gone), seat)
	return gone[max(0, len(gone)-goneMost):]
}

// Member gives the disk that the record names for a daemon, if it does.
func (r EpochRecord) Member(name string) (MemberID, bool) {
	for _, seat := range append(slices.Clone(r.Replicas), r.Witnesses...) {
		if seat.Name == name {
			return seat, true
		}
	}
	return MemberID{}, false
}

// HasReplica says whether the disk is one of the pair.
func (r EpochRecord) HasReplica(seat MemberID) bool { return slices.Contains(r.Replicas, seat) }

// OtherReplica gives the other disk of the pair.
func (r EpochRecord) OtherReplica(name string) (MemberID, bool) {
	for _, seat := range r.Replicas {
		if seat.Name != name {
			return seat, true
		}
	}
	return MemberID{}, false
}

// Voters is every disk whose word a change of the record may need.
func (r EpochRecord) Voters() []MemberID {
	voters := slices.Clone(r.Witnesses)
	for _, seat := range r.Before {
		if !slices.Contains(voters, seat) {
			voters = append(voters, seat)
		}
	}
	return voters
}

// Majority says whether those who agree are a majority of both sets.
func (r EpochRecord) Majority(agrees func(MemberID) bool) bool {
	return most(r.Witnesses, agrees) && most(r.Before, agrees)
}

func most(set []MemberID, agrees func(MemberID) bool) bool {
	count := 0
	for _, seat := range set {
		if agrees(seat) {
			count++
		}
	}
	return 2*count > len(set)
}

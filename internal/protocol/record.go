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

// Seat is one disk: a daemon's name with the incarnation of its disk.
type Seat struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// Record is what witnesses keep of an epoch.
type Record struct {
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Replicas names the two disks that hold every answered write.
	Replicas  []Seat `json:"pair"`
	Witnesses []Seat `json:"witnesses"`
	// Before is the witness set that had to agree to this record.
	Before []Seat `json:"before"`
	// Gone are the disks whose names passed to another disk, the latest last.
	// They never come back.
	Gone []Seat `json:"gone,omitempty"`
}

const goneMost = 16

// Replaced gives the list of the gone with one more.
func (r Record) Replaced(seat Seat) []Seat {
	gone := append(slices.Clone(r.Gone), seat)
	return gone[max(0, len(gone)-goneMost):]
}

// Names gives the disk that the record names for a daemon, if it does.
func (r Record) Names(name string) (Seat, bool) {
	for _, seat := range append(slices.Clone(r.Replicas), r.Witnesses...) {
		if seat.Name == name {
			return seat, true
		}
	}
	return Seat{}, false
}

// HasReplica says whether the disk is one of the pair.
func (r Record) HasReplica(seat Seat) bool { return slices.Contains(r.Replicas, seat) }

// Peer gives the other disk of the pair.
func (r Record) Peer(name string) (Seat, bool) {
	for _, seat := range r.Replicas {
		if seat.Name != name {
			return seat, true
		}
	}
	return Seat{}, false
}

// Voters is every disk whose word a change of the record may need.
func (r Record) Voters() []Seat {
	voters := slices.Clone(r.Witnesses)
	for _, seat := range r.Before {
		if !slices.Contains(voters, seat) {
			voters = append(voters, seat)
		}
	}
	return voters
}

// Majority says whether those who agree are a majority of both sets.
func (r Record) Majority(agrees func(Seat) bool) bool {
	return most(r.Witnesses, agrees) && most(r.Before, agrees)
}

func most(set []Seat, agrees func(Seat) bool) bool {
	count := 0
	for _, seat := range set {
		if agrees(seat) {
			count++
		}
	}
	return 2*count > len(set)
}

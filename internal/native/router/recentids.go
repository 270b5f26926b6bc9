package router

// maxRecentIDs is the number of request ids that are remembered.
const maxRecentIDs = 65_536

// recentIDs keeps the ids of the last requests in a ring buffer.
type recentIDs struct {
	// numbers holds, by remembered id, the number under which it was added.
	numbers map[string]uint64
	ring    []recentID
	// count is the number of ids that were added so far.
	count uint64
}

type recentID struct {
	id     string
	number uint64
}

func newRecentIDs() recentIDs { return recentIDs{numbers: map[string]uint64{}} }

// has reports whether an id is remembered.
func (r *recentIDs) has(id string) bool { return r.numbers[id] > 0 }

// add adds an id, in place of the oldest one if the ring is full.
func (r *recentIDs) add(id string) {
	r.count++
	added := recentID{id, r.count}
	r.numbers[id] = r.count
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, added)
		return
	}
	slot := int((r.count - 1) % maxRecentIDs)
	// An id that was forgotten and added again is in the ring twice. Only its later place is
	// valid.
	if oldest := r.ring[slot]; r.numbers[oldest.id] == oldest.number {
		delete(r.numbers, oldest.id)
	}
	r.ring[slot] = added
}

// remove removes the id of a request that was not executed and may be sent again.
func (r *recentIDs) remove(id string) { delete(r.numbers, id) }

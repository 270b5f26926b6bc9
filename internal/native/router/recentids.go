package router

// maxRecentIDs is the number of request ids that are remembered.
const maxRecentIDs = 65_536

// recentIDs remembers the ids of the last requests in a ring.
type recentIDs struct {
	// numbers are the numbers under which the remembered ids were added.
	numbers map[string]uint64
	ring    []recentID
	// count is how many ids have ever been added.
	count uint64
}

type recentID struct {
	id     string
	number uint64
}

func newRecentIDs() recentIDs { return recentIDs{numbers: map[string]uint64{}} }

// has reports whether an id is remembered.
func (r *recentIDs) has(id string) bool { return r.numbers[id] > 0 }

// add remembers an id, in place of the oldest one if the ring is full.
func (r *recentIDs) add(id string) {
	r.count++
	added := recentID{id, r.count}
	r.numbers[id] = r.count
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, added)
		return
	}
	slot := int((r.count - 1) % maxRecentIDs)
	// An id that was forgotten and added again is in the ring twice; only the
	// later place counts.
	if oldest := r.ring[slot]; r.numbers[oldest.id] == oldest.number {
		delete(r.numbers, oldest.id)
	}
	r.ring[slot] = added
}

// forget removes the id of a request that has not run and may be sent again.
func (r *recentIDs) forget(id string) { delete(r.numbers, id) }

package router

// recentIDs remembers the ids that were taken lately, in a bounded ring.
type recentIDs struct {
	known map[string]uint64
	ring  []recentID
	count uint64
}

type recentID struct {
	id     string
	number uint64
}

func newRecentIDs() recentIDs { return recentIDs{known: map[string]uint64{}} }

func (t *recentIDs) has(id string) bool { return t.known[id] > 0 }

func (t *recentIDs) add(id string) {
	t.count++
	slot := recentID{id, t.count}
	t.known[id] = t.count
	if len(t.ring) < maxRecentIDs {
		t.ring = append(t.ring, slot)
		return
	}
	at := int((t.count - 1) % maxRecentIDs)
	// An id that was forgotten and taken anew lies in the ring twice.
	if old := t.ring[at]; t.known[old.id] == old.number {
		delete(t.known, old.id)
	}
	t.ring[at] = slot
}

// forget frees the id of a request that was dropped: it has not run, so it
// may be sent again.
func (t *recentIDs) forget(id string) { delete(t.known, id) }

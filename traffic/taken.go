package traffic

// takenIds remembers the ids that were taken lately, in a bounded ring.
type takenIds struct {
	known map[string]uint64
	ring  []takenId
	count uint64
}

type takenId struct {
	id     string
	number uint64
}

func newTakenIds() takenIds { return takenIds{known: map[string]uint64{}} }

func (t *takenIds) has(id string) bool { return t.known[id] > 0 }

func (t *takenIds) add(id string) {
	t.count++
	slot := takenId{id, t.count}
	t.known[id] = t.count
	if len(t.ring) < takenMost {
		t.ring = append(t.ring, slot)
		return
	}
	at := int((t.count - 1) % takenMost)
	// An id that was forgotten and taken anew lies in the ring twice.
	if old := t.ring[at]; t.known[old.id] == old.number {
		delete(t.known, old.id)
	}
	t.ring[at] = slot
}

// forget frees the id of a request that was dropped: it has not run, so it
// may be sent again.
func (t *takenIds) forget(id string) { delete(t.known, id) }

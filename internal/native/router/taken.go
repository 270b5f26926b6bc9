package router

// takenIDs remembers the ids that were taken lately, in a bounded ring.
type takenIDs struct {
	known map[string]uint64
	ring  []takenID
	count uint64
}

type takenID struct {
	id     string
	number uint64
}

func newTakenIDs() takenIDs { return takenIDs{known: map[string]uint64{}} }

func (t *takenIDs) has(id string) bool { return t.known[id] > 0 }

func (t *takenIDs) add(id string) {
	t.count++
	slot := takenID{id, t.count}
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
func (t *takenIDs) forget(id string) { delete(t.known, id) }

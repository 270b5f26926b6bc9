package proxy

import "slices"

// enqueue adds a request to the queue.
func (m *Machine) enqueue(r *request) { m.queue = append(m.queue, r) }

// dequeue removes a request from the queue, if it is there.
func (m *Machine) dequeue(r *request) {
	if r.service != nil && r.waitsForSlot {
		r.waitsForSlot = false
		m.slotWaiters[r.key.service]--
	}
	if i := slices.Index(m.queue, r); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// markSlotWait notes that a request waits for want of a place.
func (m *Machine) markSlotWait(r *request) {
	if !r.waitsForSlot {
		r.waitsForSlot = true
		m.slotWaiters[r.key.service]++
	}
}

// dispatchQueue gives every waiting request its turn: the most urgent first, and of
// those the eldest.
func (m *Machine) dispatchQueue() {
	if len(m.queue) == 0 {
		return
	}
	waiting := slices.Clone(m.queue)
	slices.SortStableFunc(waiting, func(a, b *request) int {
		if d := a.priority() - b.priority(); d != 0 {
			return d
		}
		return int(a.arrivedMs - b.arrivedMs)
	})
	for _, r := range waiting {
		m.dispatch(r)
	}
}

// priority is the request's priority, 0 first; 0 as well before its route is known.
func (r *request) priority() int {
	if r.route == nil {
		return 0
	}
	return r.route.Priority
}

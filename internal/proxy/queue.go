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

// markSlotWait records that a queued request waits because all its runners are full.
func (m *Machine) markSlotWait(r *request) {
	if !r.waitsForSlot {
		r.waitsForSlot = true
		m.slotWaiters[r.key.service]++
	}
}

// dispatchQueue tries to dispatch every queued request, the most urgent first,
// and among equals the oldest first.
func (m *Machine) dispatchQueue() {
	if len(m.queue) == 0 {
		return
	}
	// Dispatching changes the queue.
	queued := slices.Clone(m.queue)
	slices.SortStableFunc(queued, func(a, b *request) int {
		if d := a.priority() - b.priority(); d != 0 {
			return d
		}
		return int(a.arrivedMs - b.arrivedMs)
	})
	for _, r := range queued {
		m.dispatch(r)
	}
}

// priority returns the priority of the request's route, 0 first. It is 0 while the route
// is not known.
func (r *request) priority() int {
	if r.route == nil {
		return 0
	}
	return r.route.Priority
}

package proxy

import "slices"

// wait adds a request to the queue.
func (m *Machine) wait(r *request) { m.waiting = append(m.waiting, r) }

// unwait removes a request from the queue, if it is there.
func (m *Machine) unwait(r *request) {
	if r.service != nil && r.crowds {
		r.crowds = false
		m.crowded[r.key.service]--
	}
	if i := slices.Index(m.waiting, r); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
}

// crowd notes that a request waits for want of a place.
func (m *Machine) crowd(r *request) {
	if !r.crowds {
		r.crowds = true
		m.crowded[r.key.service]++
	}
}

// wake gives every waiting request its turn: the most urgent first, and of
// those the eldest.
func (m *Machine) wake() {
	if len(m.waiting) == 0 {
		return
	}
	waiting := slices.Clone(m.waiting)
	slices.SortStableFunc(waiting, func(a, b *request) int {
		if d := a.rank() - b.rank(); d != 0 {
			return d
		}
		return int(a.cameMs - b.cameMs)
	})
	for _, r := range waiting {
		m.turn(r)
	}
}

// rank is the request's priority, 0 first; 0 as well before its route is known.
func (r *request) rank() int {
	if r.route == nil {
		return 0
	}
	return r.route.Priority
}

// Package ringbuffer holds the bounded rings that join the threads of a process.
package ringbuffer

import "sync"

// firstSlots is the room a ring begins with: a process has a ring for each
// peer, and most of them never hold more than a few.
const firstSlots = 16

// Buffer is a bounded first-in first-out between threads. A full ring refuses
// and never blocks who puts; its room grows with need, up to the bound.
type Buffer[T any] struct {
	mu      sync.Mutex
	filled  sync.Cond
	slots   []T
	most    int
	head    int
	count   int
	closed  bool
	dropped uint64
}

// New makes a ring that holds so many at most.
func New[T any](most int) *Buffer[T] {
	r := &Buffer[T]{slots: make([]T, min(most, firstSlots)), most: most}
	r.filled.L = &r.mu
	return r
}

// Push adds one, or says that there is no place.
func (r *Buffer[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == r.most {
		r.dropped++
		return false
	}
	if r.count == len(r.slots) {
		r.grow()
	}
	r.slots[(r.head+r.count)%len(r.slots)] = item
	r.count++
	r.filled.Signal()
	return true
}

func (r *Buffer[T]) grow() {
	slots := make([]T, min(r.most, 2*len(r.slots)))
	n := copy(slots, r.slots[r.head:])
	copy(slots[n:], r.slots[:r.head])
	r.slots, r.head = slots, 0
}

// Pop waits for the next one; false means closed and empty.
func (r *Buffer[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.filled.Wait()
	}
	var none T
	if r.count == 0 {
		return none, false
	}
	item := r.slots[r.head]
	r.slots[r.head] = none
	r.head = (r.head + 1) % len(r.slots)
	r.count--
	return item, true
}

// Close lets takers drain the ring and then end.
func (r *Buffer[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.filled.Broadcast()
}

// Stats says how many wait and how many were refused so far.
func (r *Buffer[T]) Stats() (count int, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count, r.dropped
}

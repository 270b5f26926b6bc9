// Package ringbuffer implements bounded queues between the goroutines of a process.
package ringbuffer

import "sync"

// initialSlots is the initial capacity of a buffer. A process has a buffer for each peer,
// and most of them never hold more than a few items.
const initialSlots = 16

// Buffer is a bounded first-in first-out queue, safe for concurrent use. A full buffer
// rejects items, so that Push never blocks. The buffer grows as needed, up to the bound.
type Buffer[T any] struct {
	mu sync.Mutex
	// notEmpty is signalled when an item is added or the buffer is closed.
	notEmpty sync.Cond
	// slots holds count items. The first item is at head, and the items wrap around at the
	// end of slots.
	slots       []T
	head, count int
	maxItems    int
	closed      bool
	rejected    uint64
}

// New returns a buffer for at most maxItems items.
func New[T any](maxItems int) *Buffer[T] {
	b := &Buffer[T]{slots: make([]T, min(maxItems, initialSlots)), maxItems: maxItems}
	b.notEmpty.L = &b.mu
	return b
}

// Push adds an item. It returns false if the buffer is full or closed.
func (b *Buffer[T]) Push(item T) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.count == b.maxItems {
		b.rejected++
		return false
	}
	if b.count == len(b.slots) {
		b.grow()
	}
	b.slots[(b.head+b.count)%len(b.slots)] = item
	b.count++
	b.notEmpty.Signal()
	return true
}

// grow doubles the capacity, up to the bound.
func (b *Buffer[T]) grow() {
	slots := make([]T, min(b.maxItems, 2*len(b.slots)))
	copied := copy(slots, b.slots[b.head:])
	copy(slots[copied:], b.slots[:b.head])
	b.slots, b.head = slots, 0
}

// Pop removes and returns the oldest item. It waits while the buffer is empty, and returns
// false once the buffer is closed and empty.
func (b *Buffer[T]) Pop() (T, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.count == 0 && !b.closed {
		b.notEmpty.Wait()
	}
	var zero T
	if b.count == 0 {
		return zero, false
	}
	item := b.slots[b.head]
	b.slots[b.head] = zero
	b.head = (b.head + 1) % len(b.slots)
	b.count--
	return item, true
}

// Close makes the buffer reject further items. Those in it can still be removed.
func (b *Buffer[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.notEmpty.Broadcast()
}

// Stats returns how many items are in the buffer and how many were rejected so far.
func (b *Buffer[T]) Stats() (waiting int, rejected uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count, b.rejected
}

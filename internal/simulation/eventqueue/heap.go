package eventqueue

// event is a function that runs at a virtual time.
type event struct {
	atMs     int64
	sequence uint64
	run      func()
}

// before reports whether an event runs before another.
func (e event) before(other event) bool {
	if e.atMs != other.atMs {
		return e.atMs < other.atMs
	}
	return e.sequence < other.sequence
}

// eventHeap is a min-heap of events. It implements heap.Interface.
type eventHeap []event

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h eventHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements sort.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface. It clears the slot, so that the array does not
// keep alive what the event refers to.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}

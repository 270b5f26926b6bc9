// Package eventqueue is the core of a discrete-event simulation: a virtual
// clock and the queue of the events that are scheduled on it. The virtual time
// does not depend on a real clock, so a simulation has the same result on every
// machine.
package eventqueue

import "container/heap"

// Queue is a virtual clock with its scheduled events. Events run in the order
// of their times. Events with the same time run in the order in which they were
// scheduled. The zero Queue is empty and its clock shows 0.
//
// A Queue is not safe for concurrent use. Events may schedule further events.
type Queue struct {
	nowMs int64
	// scheduled counts all events so far. It orders the events with the same
	// time.
	scheduled uint64
	pending   eventHeap
	stopped   bool
}

// New returns an empty queue whose clock shows startMs.
func New(startMs int64) *Queue { return &Queue{nowMs: startMs} }

// NowMs returns the virtual time. While an event runs it is the time of that event.
func (q *Queue) NowMs() int64 { return q.nowMs }

// Len returns the number of events that have not run yet.
func (q *Queue) Len() int { return len(q.pending) }

// At schedules an event at a time. If the time is in the past, the event is
// scheduled for now.
func (q *Queue) At(atMs int64, run func()) {
	q.scheduled++
	heap.Push(&q.pending, event{atMs: max(atMs, q.nowMs), sequence: q.scheduled, run: run})
}

// After schedules an event after a delay. A negative delay counts as 0.
func (q *Queue) After(delayMs int64, run func()) { q.At(q.nowMs+delayMs, run) }

// RunUntil runs all events up to and including endMs, also events that are
// scheduled while it runs, and then sets the clock to endMs. If an event calls
// Stop, RunUntil returns early, with the clock at the time of that event. The
// clock never goes back: if endMs is in the past, nothing happens.
func (q *Queue) RunUntil(endMs int64) {
	q.stopped = false
	for len(q.pending) > 0 && q.pending[0].atMs <= endMs {
		next := heap.Pop(&q.pending).(event)
		q.nowMs = next.atMs
		next.run()
		if q.stopped {
			return
		}
	}
	q.nowMs = max(q.nowMs, endMs)
}

// RunFor calls RunUntil with the time that is spanMs from now.
func (q *Queue) RunFor(spanMs int64) { q.RunUntil(q.nowMs + spanMs) }

// Stop makes the running RunUntil return after the current event. The other
// events stay scheduled.
func (q *Queue) Stop() { q.stopped = true }

// Clear removes all events and the references to their functions.
func (q *Queue) Clear() { q.pending = nil }

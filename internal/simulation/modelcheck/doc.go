// Package modelcheck is a model checker that runs the real state machines of
// package consensus with every placement of a bounded number of faults.
//
// A cluster of machines runs in virtual time on an event queue. The default
// schedule delivers every message and completes every write in order. A
// schedule deviates from it at numbered events: a message is dropped, delayed
// or delivered twice, a write fails or is slow, a member crashes, freezes, is
// partitioned or stops as planned. The explorer runs every schedule with up to a
// bounded number of deviations, breadth first, so that the first violation
// found has the fewest deviations.
//
// Machines hold closures and cannot be copied, so each schedule is replayed from
// the beginning. A state is not explored again if it was reached before with at least
// as many deviations and at least as many events left. States are compared by a
// hash of all fields of all machines, the disks, the messages in flight and the state
// that the invariant checks keep.
package modelcheck

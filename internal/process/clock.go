// Package process runs a state machine as a process: it brings inputs to the
// machine on one goroutine and carries out the effects that the machine returns
// (messages, disk writes, calls over HTTP, responses, log lines, counters).
package process

import "time"

// Clock counts milliseconds since shortly before the process started. It goes on
// while the machine is suspended, so that a lease does not outlive its time by a
// suspension.
type Clock struct {
	startMs int64
	readMs  func() int64
}

// NewClock starts a clock. It begins at one hour, so that a time long ago is
// distinguished from zero, which means never.
func NewClock() Clock { return newClock(bootMs) }

func newClock(readMs func() int64) Clock {
	return Clock{startMs: readMs() - time.Hour.Milliseconds(), readMs: readMs}
}

// NowMs reads the clock.
func (c Clock) NowMs() int64 { return c.readMs() - c.startMs }

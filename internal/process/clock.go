// Package process is the shell round a state machine: it brings inputs to it
// on one thread and carries its effects out.
package process

import "time"

// Clock counts milliseconds since the process began. It goes on while the
// machine is suspended, so that a hold does not outlive its time by a nap.
type Clock struct {
	startMs int64
	readMs  func() int64
}

// NewClock starts a clock. It begins above zero, so that "long ago" can be
// told from "never".
func NewClock() Clock { return newClock(bootMs) }

func newClock(readMs func() int64) Clock {
	return Clock{readMs() - time.Hour.Milliseconds(), readMs}
}

// NowMs reads the clock.
func (c Clock) NowMs() int64 { return c.readMs() - c.startMs }

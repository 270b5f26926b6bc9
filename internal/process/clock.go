// Package process runs a state machine as a process. It passes inputs to the machine on
// one goroutine and carries out the effects that the machine returns: messages, disk
// writes, HTTP calls, responses, log lines and counters.
package process

import "time"

// Clock counts milliseconds from one hour before the process started. It continues while
// the host is suspended, because otherwise a suspension would extend a lease beyond its
// end.
type Clock struct {
	startMs int64
	readMs  func() int64
}

// NewClock returns a clock that starts at one hour, so that times before the start of the
// process stay distinct from zero, which means never.
func NewClock() Clock { return newClock(bootMs) }

func newClock(readMs func() int64) Clock {
	return Clock{startMs: readMs() - time.Hour.Milliseconds(), readMs: readMs}
}

// NowMs returns the current time of the clock.
func (c Clock) NowMs() int64 { return c.readMs() - c.startMs }

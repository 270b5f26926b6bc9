// Package daemon is the shell round a state machine: it brings inputs to it
// on one thread and carries its effects out.
package daemon

import "time"

// Clock counts monotonic milliseconds since the process began.
type Clock struct{ start time.Time }

// NewClock starts a clock. It begins above zero, so that "long ago" can be
// told from "never".
func NewClock() Clock { return Clock{time.Now().Add(-time.Hour)} }

// NowMs reads the clock.
func (c Clock) NowMs() int64 { return time.Since(c.start).Milliseconds() }

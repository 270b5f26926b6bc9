//go:build !linux

package process

import "time"

var startTime = time.Now()

// bootMs is Go's monotonic time, which may stop while the machine is suspended;
// docs/limits.md says so.
func bootMs() int64 { return time.Since(startTime).Milliseconds() }

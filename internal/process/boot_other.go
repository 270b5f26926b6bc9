//go:build !linux

package process

import "time"

var startTime = time.Now()

// bootMs returns Go's monotonic time, which may stop while the host is suspended (see
// docs/limits.md).
func bootMs() int64 { return time.Since(startTime).Milliseconds() }

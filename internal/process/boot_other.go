//go:build !linux

package process

import "time"

var begun = time.Now()

// bootMs is Go's monotonic time, which may stand still while the machine is
// suspended; docs/limits.md says so.
func bootMs() int64 { return time.Since(begun).Milliseconds() }

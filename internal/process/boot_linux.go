package process

import "golang.org/x/sys/unix"

// bootMs returns the time since the host booted, including the time it was suspended. Go's
// own monotonic clock stops during suspension.
func bootMs() int64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every kernel that Go supports has this clock, and leases cannot be timed
		// without it.
		panic("process: reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return at.Nano() / 1_000_000
}

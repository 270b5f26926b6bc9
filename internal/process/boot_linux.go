package process

import "golang.org/x/sys/unix"

// bootMs is the time since the machine booted, including suspensions. Go's own
// monotonic time stops during those.
func bootMs() int64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every kernel that Go supports has this clock, and leases can't be
		// kept without it.
		panic("process: the boot clock can't be read: " + err.Error())
	}
	return at.Nano() / 1_000_000
}

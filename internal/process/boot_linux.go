package process

import "golang.org/x/sys/unix"

// bootMs reads the time since the machine booted, suspended time included.
// Go's own monotonic time stands still meanwhile.
func bootMs() int64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// It is there on every kernel that Go runs on; a hold can't be
		// counted without it.
		panic("process: the boot clock can't be read: " + err.Error())
	}
	return at.Nano() / 1_000_000
}

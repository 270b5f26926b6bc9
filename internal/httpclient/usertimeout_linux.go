package httpclient

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes a connection fail if sent bytes stay unacknowledged for
// userTimeoutMs.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without this option the kernel only detects the failure later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
	})
}

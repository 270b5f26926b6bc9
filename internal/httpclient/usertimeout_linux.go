package httpclient

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout lets a connection fail once the other side has acknowledged
// nothing for userTimeoutMs.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without the option only notices later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
	})
}

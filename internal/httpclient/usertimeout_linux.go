package httpclient

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout lets a connection break once the other side is silent for too
// long.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system that does not know the option only notices later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, silentMs)
	})
}

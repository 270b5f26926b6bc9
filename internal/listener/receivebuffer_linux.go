package listener

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitReceiveBuffer returns a function that sets the receive buffer of a listening socket,
// which its connections inherit.
func limitReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// If it fails, the system's limit applies.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
	}
}

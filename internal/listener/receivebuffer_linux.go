package listener

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitReceiveBuffer sets the receive buffer of a listening socket, which its connections
// inherit.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// If it fails, the system's limit applies.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

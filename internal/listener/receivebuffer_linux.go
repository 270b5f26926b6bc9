package listener

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitReceiveBuffer returns a function that sets the receive buffer of a listening socket,
// which its connections inherit.
func limitReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Linux doubles the size, and all of that may hold bytes. If it fails, the
			// system's limit applies.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2)
		})
	}
}

// limitBacklog limits the connections that wait until they are accepted. Package net asks for
// as many as the system allows.
func limitBacklog(opened net.Listener, backlog int) {
	tcp, ok := opened.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// If it fails, the system's limit applies.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
}

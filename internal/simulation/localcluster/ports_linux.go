package localcluster

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// reservedPort reserves a port of the loopback interface for one daemon, even while
// the daemon is down. A port that is bound without a listener refuses connections,
// like the port of a dead daemon. The kernel assigns it to no other socket, neither to
// a listener on any free port nor to an outgoing connection. The daemon can listen on
// it while it is reserved, because both sockets set SO_REUSEADDR.
type reservedPort struct {
	socket  int
	address string
}

// reservePort reserves any free port.
func reservePort() (*reservedPort, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	p := &reservedPort{socket: socket}
	if err := p.bind(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

// bind binds the socket to a free port and stores its address.
func (p *reservedPort) bind() error {
	if err := syscall.SetsockoptInt(p.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(p.socket, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(p.socket)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	p.address = fmt.Sprintf("%s:%d", net.IP(loopback[:]), bound.(*syscall.SockaddrInet4).Port)
	return nil
}

// release ends the reservation.
func (p *reservedPort) release() { _ = syscall.Close(p.socket) }

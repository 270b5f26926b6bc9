//go:build !linux

package localcluster

import "net"

// reservedPort is a port that was free. On this operating system it is not reserved:
// another socket can get it while its daemon is down.
type reservedPort struct{ address string }

// reservePort returns any free port.
func reservePort() (*reservedPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &reservedPort{address: listener.Addr().String()}, listener.Close()
}

// release does nothing, because the port is not reserved.
func (p *reservedPort) release() {}

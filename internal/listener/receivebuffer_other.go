//go:build !linux

package listener

import (
	"net"
	"syscall"
)

// limitReceiveBuffer returns no function where the size of receive buffers is not set.
func limitReceiveBuffer(int) func(network, address string, raw syscall.RawConn) error { return nil }

// limitBacklog does nothing where the backlog is not set.
func limitBacklog(net.Listener, int) {}

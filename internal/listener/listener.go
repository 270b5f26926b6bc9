// Package listener opens the listening sockets of daemons.
package listener

import (
	"context"
	"net"
)

// Limits of the bytes that have arrived on a connection and are not read yet. They count as
// memory of the process, and without a limit the system lets them grow to several megabytes a
// connection. A connection can send at least half of that in each round trip.
const (
	// ClientBufferBytes is for the connections of clients and operators.
	ClientBufferBytes = 64 << 10
	// PeerBufferBytes is for those of other daemons, which send snapshots between regions.
	PeerBufferBytes = 128 << 10
)

// Limits of the backlog, which is the number of connections that may wait until they are
// accepted. Their bytes count as memory as well, while the process is suspended or busy. What
// does not fit is dropped by the system, and its client tries again after a second or more.
const (
	// backlogPerMb is for each megabyte of the process's memory, so that the connections that
	// wait at a port hold at most an eighth of it.
	backlogPerMb = 1
	minBacklog   = 64
	// maxBacklog is the usual limit of the system.
	maxBacklog = 4096
	// defaultMemoryMb is the memory of a process whose settings do not limit it.
	defaultMemoryMb = 256
)

// backlogOf returns the backlog of each port of a process with this memory; 0 means the default.
func backlogOf(memoryMb int) int {
	if memoryMb <= 0 {
		memoryMb = defaultMemoryMb
	}
	return min(maxBacklog, max(minBacklog, memoryMb*backlogPerMb))
}

// Listen listens on an address of the form IP:port, in a process with this memory; 0 means the
// default.
func Listen(address string, bufferBytes, memoryMb int) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer(bufferBytes)}
	opened, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	limitBacklog(opened, backlogOf(memoryMb))
	return opened, nil
}

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
	// backlog is the number of connections that may wait until they are accepted. Their bytes
	// count as well, while the process is suspended or busy.
	backlog = 64
)

// Listen listens on an address of the form IP:port.
func Listen(address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer(bufferBytes)}
	opened, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	limitBacklog(opened)
	return opened, nil
}

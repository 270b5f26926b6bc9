// Package listener opens the listening sockets of daemons.
package listener

import (
	"context"
	"net"
)

// Sizes of the buffer that is requested for the bytes that have arrived on a connection and
// are not read yet. They count as memory of the process, and without a limit the system lets
// them grow to several megabytes a connection. A connection can send about that much in each
// round trip.
const (
	// ClientBufferBytes is for the connections of clients and operators.
	ClientBufferBytes = 64 << 10
	// PeerBufferBytes is for those of other daemons, which send snapshots between regions.
	PeerBufferBytes = 128 << 10
)

// Listen listens on an address of the form IP:port.
func Listen(address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer(bufferBytes)}
	return config.Listen(context.Background(), "tcp", address)
}

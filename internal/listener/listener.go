// Package listener opens the listening sockets of daemons.
package listener

import (
	"context"
	"net"
)

// receiveBufferBytes is the size of the buffer that is requested for the bytes that have
// arrived on a connection and are not read yet. They count as memory of the process, and
// without a limit the system lets them grow to several megabytes a connection.
const receiveBufferBytes = 32 << 10

// Listen listens on an address of the form IP:port.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	return config.Listen(context.Background(), "tcp", address)
}

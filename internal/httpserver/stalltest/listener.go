// Package stalltest lets tests block the reader of a connection immediately after a read, as
// may happen on a busy host.
package stalltest

import (
	"bytes"
	"net"
)

// headEnd is the end of the head of a request.
var headEnd = []byte("\r\n\r\n")

// Listener accepts connections whose reads can be blocked.
type Listener struct {
	net.Listener
	// HeadRead receives a value for each read that returned the end of a request head. The
	// reader then waits for a value from Resume. Reads that return only an earlier part of
	// a head do not count: http.Server starts reading the next request before it has
	// finished the current one.
	HeadRead, Resume chan struct{}
}

// New returns a Listener that wraps another listener.
func New(listener net.Listener) *Listener {
	return &Listener{listener, make(chan struct{}), make(chan struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, listener: l}, nil
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
}

// Read reads. After the end of a request head it waits for a value from Resume.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.HasSuffix(p[:n], headEnd) {
		c.listener.HeadRead <- struct{}{}
		<-c.listener.Resume
	}
	return n, err
}

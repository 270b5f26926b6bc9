// Package stalltest lets tests hold up the reader of a connection right after a read,
// as a busy processor holds it up.
package stalltest

import (
	"bytes"
	"net"
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// Listener hands out connections whose reads stall.
type Listener struct {
	net.Listener
	// Read gets one value for each read that brought the end of a head. The
	// reader then waits for a value of Resume. The bytes before may come in
	// several reads: the standard server looks for a next request while it still
	// finishes the one before.
	Read, Resume chan struct{}
}

// New makes a stalling listener of another.
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

// Read reads, and after the end of a head waits until the test lets it go on.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.HasSuffix(p[:n], headEnd) {
		c.listener.Read <- struct{}{}
		<-c.listener.Resume
	}
	return n, err
}

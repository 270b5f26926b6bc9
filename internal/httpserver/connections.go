// Package httpserver has what this project's HTTP servers share: connections whose
// read deadlines follow limits that may change, and that are closed between two
// requests only, by the goroutine that reads from them. The standard server takes a
// connection for idle until the whole next head is parsed; closed from outside then,
// a request would be lost that was read already.
package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits limit what a connection may take.
type Limits struct {
	// Idle is how long it may wait for its next request, Head how long the rest
	// of a head may take after its first byte.
	Idle, Head time.Duration
	// First is how long a new one may wait for its first request; if it is 0,
	// that is Idle too.
	First time.Duration
}

// Connections are the open connections of a server. They may be used from several
// goroutines.
type Connections struct {
	limits func() Limits

	mu      sync.Mutex
	open    map[*Conn]struct{}
	closing bool
}

// NewConnections makes the connections of a server. The limits are asked for again
// and again, from the goroutines of all connections.
func NewConnections(limits func() Limits) *Connections {
	return &Connections{limits: limits, open: map[*Conn]struct{}{}}
}

// Attach makes a server keep track of its connections here. It must be called
// before the server serves, and the server must serve Listen's listener.
func (s *Connections) Attach(server *http.Server) {
	server.ConnState = trackState
	server.ConnContext = withConn
}

// Listen returns a listener that hands out the connections of another.
func (s *Connections) Listen(listener net.Listener) net.Listener { return tracked{listener, s} }

// tracked hands out a listener's connections as Conns.
type tracked struct {
	net.Listener
	connections *Connections
}

// Accept waits for the next connection.
func (l tracked) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.add(accepted), nil
}

// add makes a Conn of an accepted connection.
func (s *Connections) add(accepted net.Conn) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := &Conn{Conn: accepted, connections: s, acceptedAt: now, since: now, closing: s.closing}
	s.open[c] = struct{}{}
	return c
}

// remove forgets a connection that was closed.
func (s *Connections) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// CloseIdle makes each connection close before its next request: those that wait
// for one now, and the others when they would. One that was accepted and has had no
// request yet may still bring its first. The server's responses should say that
// their connections close from before that on.
func (s *Connections) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.open {
		c.closeWhenIdle()
	}
}

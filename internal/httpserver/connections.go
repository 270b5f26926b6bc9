// Package httpserver implements connections for HTTP servers. Their read deadlines follow
// limits that may change. They are closed only between two requests, by the goroutine that
// reads from them. http.Server considers a connection idle until the whole head of the next
// request is parsed; if it closed the connection then, it would lose a request that was
// already read.
//
// The memory of connections, heads and bodies is taken from the process's memory.Account
// before it is used. What does not fit is rejected, or replaces what has waited longest.
package httpserver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/listener"
	"myrtlewinch/internal/memory"
)

// connectionBytes is the memory of a connection: its goroutine, the buffers of net/http, and
// the bytes that have arrived and are not read yet.
const connectionBytes = 24<<10 + listener.ClientBufferBytes

// Limits are the limits of a connection.
type Limits struct {
	// IdleTimeout is how long a connection may wait for its next request, and for the next
	// bytes of a body. HeadTimeout is how long the rest of a request head may take after its
	// first byte.
	IdleTimeout, HeadTimeout time.Duration
	// FirstRequestTimeout is how long a new connection may wait for its first request; 0
	// means IdleTimeout.
	FirstRequestTimeout time.Duration
	// HeadBytes is the largest size of a request head; 0 means that only http.Server limits
	// it.
	HeadBytes int64
	// BodyBytes is the largest size of a request body; 0 means that it is not known. As much
	// of the body of a rejected request is read and ignored.
	BodyBytes int64
}

// Options are the options of Connections.
type Options struct {
	// Limits returns the current limits. The goroutines of all connections call it whenever
	// they need one, so that changes take effect.
	Limits func() Limits
	// Account is the process's account of memory.
	Account *memory.Account
	// MaxConnections is the largest number of connections, including those that are being
	// rejected, in addition to the limit of the account.
	MaxConnections int
	// WriteRejection writes an error response. retryMs is the time after which the client
	// should try again, or 0. If it is nil, the native interface's format is used.
	WriteRejection func(w http.ResponseWriter, kind errkind.Kind, retryMs int64)
	// Count adds one to a named counter. It may be nil.
	Count func(name string)
}

// Connections are the open connections of a server. It is safe for concurrent use.
type Connections struct {
	options Options
	// rejecting counts the connections that are being rejected, at most maxRejecting().
	rejecting atomic.Int64
	// encoding is held while a document is encoded whose memory has not been taken yet.
	encoding sync.Mutex

	mu   sync.Mutex
	open map[*Conn]struct{}
	// waiting lists the connections without a complete request, the one that has waited
	// longest first.
	waiting list.List
	closing bool
}

// NewConnections returns an empty set of connections for a server.
func NewConnections(options Options) *Connections {
	if options.WriteRejection == nil {
		options.WriteRejection = func(w http.ResponseWriter, kind errkind.Kind, retryMs int64) {
			errkind.ErrorBody{Kind: kind, RetryMs: retryMs}.Write(w)
		}
	}
	if options.Count == nil {
		options.Count = func(string) {}
	}
	return &Connections{options: options, open: map[*Conn]struct{}{}}
}

func (s *Connections) limits() Limits { return s.options.Limits() }

// Attach sets the callbacks of a server that track its connections, and wraps its handler. It
// must be called before the server serves, and the server must serve the listener that Listen
// returns.
func (s *Connections) Attach(server *http.Server) {
	server.ConnState = trackState
	server.ConnContext = withConn
	server.Handler = handlerOf(server.Handler)
}

// Listen wraps a listener so that the connections it accepts are tracked.
func (s *Connections) Listen(listener net.Listener) net.Listener { return trackedListener{listener, s} }

// trackedListener is a listener whose connections are Conns.
type trackedListener struct {
	net.Listener
	connections *Connections
}

// Accept waits for the next connection for which there is room.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.connections.add(accepted); c != nil {
			return c, nil
		}
		l.connections.rejectConnection(accepted)
	}
}

// add wraps an accepted connection and adds it to the set. If there is no room, it closes
// the connections that have waited longest for a request. If that is not enough, because all
// others have requests in progress, it ends a request whose client does not send its body or
// read its response, and returns nil: there may be room for the client's next try.
func (s *Connections) add(accepted net.Conn) *Conn {
	for !s.hasRoom() {
		if !s.evictLongestWaiting() {
			s.evictBlocked()
			return nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := &Conn{Conn: accepted, connections: s, acceptedAt: now, since: now, closing: s.closing}
	s.open[c] = struct{}{}
	c.element = s.waiting.PushBack(c)
	return c
}

// hasRoom takes the memory for a further connection if there is room.
func (s *Connections) hasRoom() bool {
	s.mu.Lock()
	count := len(s.open)
	s.mu.Unlock()
	return int64(count) < int64(s.options.MaxConnections)-s.maxRejecting() && s.options.Account.Take(memory.Connections, connectionBytes)
}

// evictLongestWaiting closes the connection that has waited longest for a complete request.
// It returns false if there is none.
func (s *Connections) evictLongestWaiting() bool {
	s.mu.Lock()
	front := s.waiting.Front()
	if front == nil {
		s.mu.Unlock()
		return false
	}
	c := front.Value.(*Conn)
	s.unlistLocked(c)
	s.mu.Unlock()
	if c.evict() {
		s.options.Count(countConnectionsEvicted)
	}
	return true
}

// evictBlocked closes the connection whose client has not read its response for the longest
// time. If there is none, it ends the oldest request that is being read.
func (s *Connections) evictBlocked() {
	if c := s.longestBlocked(); c != nil {
		s.options.Count(countResponsesEvicted)
		_ = c.Conn.Close()
		return
	}
	s.options.Account.EvictOldest()
}

// longestBlocked returns the connection with the oldest blocked write, or nil.
func (s *Connections) longestBlocked() (oldest *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, longest := time.Now(), time.Duration(0)
	for c := range s.open {
		if blocked := c.blockedFor(now); blocked > longest {
			oldest, longest = c, blocked
		}
	}
	return oldest
}

// setWaiting records whether a connection waits for a complete request. A connection that
// begins to wait is the last one that is evicted.
func (s *Connections) setWaiting(c *Conn, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlistLocked(c)
	if _, isOpen := s.open[c]; waits && isOpen {
		c.element = s.waiting.PushBack(c)
	}
}

// unlistLocked removes a connection from waiting. The caller holds mu.
func (s *Connections) unlistLocked(c *Conn) {
	if c.element != nil {
		s.waiting.Remove(c.element)
		c.element = nil
	}
}

// remove removes a closed connection from the set.
func (s *Connections) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlistLocked(c)
	if _, isOpen := s.open[c]; isOpen {
		delete(s.open, c)
		s.options.Account.Release(memory.Connections, connectionBytes)
	}
}

// CloseIdle closes each connection before its next request: immediately if it is idle, and
// otherwise once it becomes idle. A connection that has had no request yet may still send
// its first. Before calling this, the server should start to send "Connection: close" with
// its responses.
func (s *Connections) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.open {
		c.closeWhenIdle()
	}
}

package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/config"
)

const (
	// Limits of clients' connections if the configuration sets none.
	defaultIdle        = 20 * time.Second
	defaultHeadTimeout = 5 * time.Second
	defaultHeadBytes   = 64 << 10
	// headBytesCeiling limits a head whatever the configuration says.
	headBytesCeiling = 256 << 10
	// timeoutSlack is added to the time-outs of the configuration: a new one may
	// arrive here later than at the clients, and a request may be on its way.
	timeoutSlack = 2 * time.Second
	// maxTimeout keeps the numbers of a configuration in the range of a timer.
	maxTimeout = 24 * time.Hour
	// finalReadTimeout is for one more read after the deadline, which finds
	// what arrived while the process stood still.
	finalReadTimeout = 10 * time.Millisecond
)

// clientLimits limit what a client's connection may take.
type clientLimits struct {
	// idle is how long it may wait for the next request, headTimeout how long
	// the rest of a head may take after its first byte.
	idle, headTimeout time.Duration
	// headBytes is the largest size of a request's head.
	headBytes int64
}

// clientLimitsOf returns the limits of a configuration, which may be nil.
func clientLimitsOf(configuration *config.Configuration) clientLimits {
	limits := clientLimits{defaultIdle, defaultHeadTimeout, defaultHeadBytes}
	if configuration == nil {
		return limits
	}
	if ms := configuration.Limits.IdleTimeoutMs; ms > 0 {
		limits.idle = timeoutOf(ms)
	}
	if ms := configuration.Limits.HeaderTimeoutMs; ms > 0 {
		limits.headTimeout = timeoutOf(ms)
	}
	if bytes := configuration.Limits.MaxHeaderBytes; bytes > 0 {
		limits.headBytes = min(bytes, headBytesCeiling)
	}
	return limits
}

// timeoutOf returns the time-out for a number of a configuration.
func timeoutOf(ms int64) time.Duration {
	return time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond + timeoutSlack
}

// headBytes returns the size of a request's head. Headers that the standard
// server has removed are not counted, so it is never more than was sent.
func headBytes(r *http.Request) int64 {
	const space, colon, lineEnd = 1, 2, 2
	count := len(r.Method) + space + len(r.RequestURI) + space + len(r.Proto) + lineEnd + lineEnd
	if r.Host != "" {
		count += len("Host") + colon + len(r.Host) + lineEnd
	}
	for name, values := range r.Header {
		for _, value := range values {
			count += len(name) + colon + len(value) + lineEnd
		}
	}
	return int64(count)
}

// clientListener accepts clients' connections that follow the limits in use.
type clientListener struct {
	net.Listener
	// limits is called from the goroutines of all connections.
	limits func() clientLimits
	// connections are those that are open.
	connections *clientConns
}

// Accept waits for the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.connections.add(accepted, l.limits), nil
}

// clientConns are the open connections of clients. It may be used from several
// goroutines.
type clientConns struct {
	mu      sync.Mutex
	open    map[*clientConn]struct{}
	leaving bool
}

func newClientConns() *clientConns { return &clientConns{open: map[*clientConn]struct{}{}} }

// add makes a client's connection of an accepted one.
func (s *clientConns) add(accepted net.Conn, limits func() clientLimits) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := &clientConn{Conn: accepted, limits: limits, connections: s, acceptedAt: now, since: now, leaving: s.leaving}
	s.open[c] = struct{}{}
	return c
}

// remove forgets a connection that was closed.
func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// closeIdle makes each connection close before its next request, those that wait
// for one now and those that will; one that was accepted and has had no request
// yet may still bring its first.
func (s *clientConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.open {
		c.leave()
	}
}

// connPhase is what is being read from a client's connection.
type connPhase int

const (
	// connIdle waits for the first byte of a request.
	connIdle connPhase = iota
	// connReadingHead has received a part of a head.
	connReadingHead
	// connActive has received a complete head; the handler sets the deadlines.
	connActive
)

// clientConn sets read deadlines that follow changes of the configuration, which
// those of the standard server cannot. It is closed as idle only by the goroutine
// that reads from it, so that no request is lost that was read already: the
// standard server takes a connection for idle until the whole next head is parsed.
type clientConn struct {
	net.Conn
	limits      func() clientLimits
	connections *clientConns
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// closed is set by Close, from any goroutine.
	closed atomic.Bool

	// mu protects what follows, and is held while a read deadline is set.
	mu    sync.Mutex
	phase connPhase
	// since is when the phase began.
	since time.Time
	// served says that there was a request; leaving that there is to be no other.
	served, leaving bool
}

// clientConnKey is the key of a request's clientConn in its context.
type clientConnKey struct{}

// withClientConn is the standard server's callback that makes the context of a
// connection's requests.
func withClientConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, connection)
}

// clientConnOf returns the connection of a request, or nil.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return c
}

// trackClientConn is the standard server's callback for state changes of a
// connection.
func trackClientConn(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateActive:
		c.setActive()
	}
}

// setIdle notes that the connection waits for its next request.
func (c *clientConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.served = connIdle, time.Now(), true
}

// setActive notes that a request has been read. The deadline of its head, or one
// that leave has set meanwhile, does not hold for the rest.
func (c *clientConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = connActive
	_ = c.SetReadDeadline(time.Time{})
}

// leave ends the wait for a further request, now or whenever it begins.
func (c *clientConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.phase == connIdle && c.served {
		_ = c.SetReadDeadline(time.Now())
	}
}

// Close closes the connection. The standard server calls it when the goroutine
// that serves the connection ends, and for connections that it takes for idle.
func (c *clientConn) Close() error {
	c.closed.Store(true)
	c.connections.remove(c)
	return c.Conn.Close()
}

// Read reads within the limit of the phase.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.currentPhase() == connActive {
		return c.Conn.Read(p)
	}
	n, err := c.readInTime(p)
	if n > 0 {
		c.headBegan()
	}
	return n, err
}

func (c *clientConn) currentPhase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// headBegan notes that a part of a head has been read.
func (c *clientConn) headBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle {
		c.phase, c.since = connReadingHead, time.Now()
	}
}

// readInTime reads until the deadline, which a new configuration or leave may
// move: a later one is used at once, an earlier one of a configuration only from
// the next read on, since the client may not know of it yet. After the deadline it
// takes what has arrived all the same.
func (c *clientConn) readInTime(p []byte) (int, error) {
	for {
		until, err := c.setDeadline()
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.deadline().After(until) {
			continue
		}
		if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
			return 0, err
		}
		return c.Conn.Read(p)
	}
}

// setDeadline sets the read deadline of the phase and returns it.
func (c *clientConn) setDeadline() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.lockedDeadline()
	return until, c.Conn.SetReadDeadline(until)
}

// deadline returns the read deadline of the phase.
func (c *clientConn) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lockedDeadline()
}

// lockedDeadline is deadline for callers that hold the lock.
func (c *clientConn) lockedDeadline() time.Time {
	switch {
	case c.phase == connReadingHead:
		return c.since.Add(c.limits().headTimeout)
	case c.leaving && c.served:
		return c.since
	}
	return c.since.Add(c.limits().idle)
}

// CloseWrite closes the connection for writing, so that a client can read the
// last response although not all that it sent was read.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

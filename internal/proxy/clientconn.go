package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
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
}

// Accept waits for the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: accepted, limits: l.limits, acceptedAt: time.Now()}
	c.setIdle()
	return c, nil
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
// those of the standard server cannot. All but the reads during a request
// happen in the one goroutine that serves the connection.
type clientConn struct {
	net.Conn
	limits func() clientLimits
	phase  connPhase
	// since is when the phase began.
	since time.Time
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// closed is set by Close, from any goroutine.
	closed atomic.Bool
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
		c.phase = connActive
	}
}

// setIdle notes that the connection waits for its next request.
func (c *clientConn) setIdle() {
	c.phase, c.since = connIdle, time.Now()
}

// Close closes the connection. The standard server calls it when the goroutine
// that serves the connection ends, and for connections that it takes for idle.
func (c *clientConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Read reads within the limit of the phase.
func (c *clientConn) Read(p []byte) (int, error) {
	switch c.phase {
	case connIdle:
		n, err := c.readUntil(p, func() time.Time { return c.since.Add(c.limits().idle) })
		if n > 0 {
			c.phase, c.since = connReadingHead, time.Now()
		}
		return n, err
	case connReadingHead:
		return c.readUntil(p, func() time.Time { return c.since.Add(c.limits().headTimeout) })
	default:
		return c.Conn.Read(p)
	}
}

// readUntil reads until a deadline, which a new configuration may move: a later
// one is used at once, an earlier one only from the next read on, since the
// client may not know of it yet.
func (c *clientConn) readUntil(p []byte, deadline func() time.Time) (int, error) {
	for {
		until := deadline()
		if err := c.Conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if deadline().After(until) {
			continue
		}
		if err := c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
			return 0, err
		}
		return c.Conn.Read(p)
	}
}

// CloseWrite closes the connection for writing, so that a client can read the
// last response although not all that it sent was read.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

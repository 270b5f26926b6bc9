package proxy

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/config"
)

const (
	// Limits of clients' connections where the map says nothing.
	defaultIdle        = 20 * time.Second
	defaultHeadTimeout = 5 * time.Second
	defaultHeadBytes   = 64 << 10
	// headBytesCeiling bounds a head whatever the map says.
	headBytesCeiling = 256 << 10
	// timeoutSlack is for how much longer than the map says a connection is
	// waited for. A map may be this late here, and a request may be on its way.
	timeoutSlack = 2 * time.Second
	// maxTimeout keeps any number of a map inside what a timer can hold.
	maxTimeout = 24 * time.Hour
	// finalReadTimeout is how long a connection whose time is over is read once more:
	// a process that stood still finds there what came meanwhile.
	finalReadTimeout = 10 * time.Millisecond
)

// clientLimits are what a client's connection may take.
type clientLimits struct {
	// idle is how long it may rest, headWait how long the rest of a head may
	// take after its first byte.
	idle, headWait time.Duration
	headBytes      int64
}

// clientLimitsOf reads the limits of a map, which may be nil.
func clientLimitsOf(document *config.Configuration) clientLimits {
	limits := clientLimits{defaultIdle, defaultHeadTimeout, defaultHeadBytes}
	if document == nil {
		return limits
	}
	if ms := document.Limits.IdleTimeoutMs; ms > 0 {
		limits.idle = timeoutOf(ms)
	}
	if ms := document.Limits.HeaderTimeoutMs; ms > 0 {
		limits.headWait = timeoutOf(ms)
	}
	if bytes := document.Limits.MaxHeaderBytes; bytes > 0 {
		limits.headBytes = min(bytes, headBytesCeiling)
	}
	return limits
}

func timeoutOf(ms int64) time.Duration {
	return time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond + timeoutSlack
}

// headBytes counts the head of a request. What the standard server has taken
// out of it is left out, so it never counts more than was sent.
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

// clientListener accepts connections whose waits follow the limits in use.
type clientListener struct {
	net.Listener
	limits func() clientLimits
}

// Accept waits for the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: accepted, limits: l.limits}
	c.rest()
	return c, nil
}

// connPhase says what is being read from a client's connection.
type connPhase int

const (
	// connResting waits for the first byte of a request.
	connResting connPhase = iota
	// connReadingHead has a part of a head.
	connReadingHead
	// connActive has a whole head; the handler sets the deadlines.
	connActive
)

// clientConn sets the deadlines that the standard server would take from fields
// that can't change while it serves. All but the reads during a request happen
// in the one goroutine that serves the connection.
type clientConn struct {
	net.Conn
	limits func() clientLimits
	phase  connPhase
	since  time.Time
}

// trackClientConn is told by the standard server what a connection does.
func trackClientConn(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.rest()
	case http.StateActive:
		c.phase = connActive
	}
}

func (c *clientConn) rest() {
	c.phase, c.since = connResting, time.Now()
}

// Read reads within the limit of what is being read.
func (c *clientConn) Read(p []byte) (int, error) {
	switch c.phase {
	case connResting:
		n, err := c.readUntil(p, func() time.Time { return c.since.Add(c.limits().idle) })
		if n > 0 {
			c.phase, c.since = connReadingHead, time.Now()
		}
		return n, err
	case connReadingHead:
		return c.readUntil(p, func() time.Time { return c.since.Add(c.limits().headWait) })
	default:
		return c.Conn.Read(p)
	}
}

// readUntil reads until a deadline. One that comes to lie later meanwhile holds
// at once; one that comes to lie sooner only from the next read on, since a
// client that rests may not know of it yet.
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

// CloseWrite ends the writing, so that a client can read the last answer
// although not all that it sent was read.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

package httpserver

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// finalReadTimeout is for one more read after the deadline, which finds what
// arrived while the process stood still.
const finalReadTimeout = 10 * time.Millisecond

// phase is what is being read from a connection.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseReadingHead has received a part of a head.
	phaseReadingHead
	// phaseActive has received a complete head; the handler sets the deadlines.
	phaseActive
)

// Conn is a connection of a server. Its read deadlines follow changes of the limits,
// which those of the standard server cannot.
type Conn struct {
	net.Conn
	connections *Connections
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// closed is set by Close, from any goroutine.
	closed atomic.Bool

	// mu protects what follows, and is held while a read deadline is set.
	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// served says that there was a request; closing that there is to be no other.
	served, closing bool
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// withConn is the standard server's callback that makes the context of a
// connection's requests.
func withConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// ConnOf returns the connection of a request, or nil if it is not a Conn.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// trackState is the standard server's callback for state changes of a
// connection.
func trackState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*Conn)
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

// AcceptedAt returns when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// IsClosed reports whether this process has closed the connection.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// setIdle notes that the connection waits for its next request.
func (c *Conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.served = phaseIdle, time.Now(), true
}

// setActive notes that a request has been read. The deadline of its head, or one
// that closeWhenIdle has set meanwhile, does not hold for the rest.
func (c *Conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseActive
	_ = c.SetReadDeadline(time.Time{})
}

// closeWhenIdle ends the wait for a further request, now or whenever it begins.
func (c *Conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.phase == phaseIdle && c.served {
		_ = c.SetReadDeadline(time.Now())
	}
}

// Close closes the connection. The standard server calls it when the goroutine
// that serves the connection ends, and for connections that it takes for idle.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.connections.remove(c)
	return c.Conn.Close()
}

// Read reads within the limit of the phase.
func (c *Conn) Read(p []byte) (int, error) {
	if c.currentPhase() == phaseActive {
		return c.Conn.Read(p)
	}
	n, err := c.readInTime(p)
	if n > 0 {
		c.headBegan()
	}
	return n, err
}

func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// headBegan notes that a part of a head has been read.
func (c *Conn) headBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase, c.since = phaseReadingHead, time.Now()
	}
}

// readInTime reads until the deadline, which changed limits or closeWhenIdle
// may move: a later one is used at once, an earlier one of the limits only from
// the next read on, since the client may not know of it yet. After the deadline it
// takes what has arrived all the same.
func (c *Conn) readInTime(p []byte) (int, error) {
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
func (c *Conn) setDeadline() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.lockedDeadline()
	return until, c.Conn.SetReadDeadline(until)
}

// deadline returns the read deadline of the phase.
func (c *Conn) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lockedDeadline()
}

// lockedDeadline is deadline for callers that hold the lock.
func (c *Conn) lockedDeadline() time.Time {
	limits := c.connections.limits()
	switch {
	case c.phase == phaseReadingHead:
		return c.since.Add(limits.Head)
	case !c.served && limits.First > 0:
		return c.since.Add(limits.First)
	case c.closing && c.served:
		return c.since
	}
	return c.since.Add(limits.Idle)
}

// CloseWrite closes the connection for writing, so that a client can read the
// last response although not all that it sent was read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// finalReadTimeout bounds one more read after the deadline, which returns bytes that
	// arrived while the process was stalled.
	finalReadTimeout = 10 * time.Millisecond
	// writeTimeout bounds the write of writePieceBytes to a client that does not read, unless
	// the handler sets a write deadline.
	writeTimeout    = 30 * time.Second
	writePieceBytes = 64 << 10
	// blockedWriteAge is how long a write may wait for its client while others wait for a
	// connection.
	blockedWriteAge = 2 * time.Second
)

// errEvicted ends the reads of a connection that was closed to make room for others.
var errEvicted = &net.OpError{Op: "read", Err: errors.New("the connection was closed to make room for others")}

// phase is the state of a connection between and during requests.
type phase int

const (
	// phaseIdle means that the first byte of a request is awaited.
	phaseIdle phase = iota
	// phaseReadingHead means that a part of a request head has been received.
	phaseReadingHead
	// phaseActive means that a complete head has been received; the handler sets the
	// deadlines.
	phaseActive
)

// Conn is a connection of a server. Changes of the limits apply to its read deadlines, which
// is not possible with the timeouts of http.Server.
type Conn struct {
	net.Conn
	connections *Connections
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// closed is set by Close, which any goroutine may call.
	closed atomic.Bool
	// writeSince is when the write in progress began, or nil.
	writeSince atomic.Pointer[time.Time]
	// hasWriteDeadline is true while the handler limits the time of writes.
	hasWriteDeadline atomic.Bool
	// element is the connection's place in connections.waiting, protected by connections.mu.
	element *list.Element

	// mu protects the fields below, and is held while a read deadline is set.
	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// served is true after the first request. closing is true if no further request is to be
	// read, evicted if the connection was closed to make room for others.
	served, closing, evicted bool
	// head is the size of the head that is being read or whose request is in progress.
	head headSize
	// body is the state of the body of the request in progress.
	body bodyState
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// withConn is the ConnContext callback of http.Server. It adds the connection to the context
// of its requests.
func withConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// ConnOf returns the connection of a request, or nil if it is not a Conn.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// trackState is the ConnState callback of http.Server.
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

// setIdle records that the connection waits for its next request.
func (c *Conn) setIdle() {
	c.mu.Lock()
	c.phase, c.since, c.served = phaseIdle, time.Now(), true
	c.releaseHeadLocked()
	c.mu.Unlock()
	c.connections.setWaiting(c, true)
}

// setActive records that the head of a request has been read. It clears the read deadline
// of the head, or one that closeWhenIdle has set since, because it must not apply to the
// body.
func (c *Conn) setActive() {
	c.connections.setWaiting(c, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseActive
	c.body = bodyState{}
	_ = c.SetReadDeadline(time.Time{})
}

// closeWhenIdle ends the wait for a further request, so that the server closes the
// connection: now if it is waiting for one, otherwise as soon as that wait begins.
func (c *Conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.phase == phaseIdle && c.served {
		_ = c.SetReadDeadline(time.Now())
	}
}

// evict closes a connection without a complete request, to make room for others. It returns
// false if a request is in progress.
func (c *Conn) evict() bool {
	c.mu.Lock()
	if c.phase == phaseActive {
		c.mu.Unlock()
		return false
	}
	c.evicted = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

func (c *Conn) wasEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Close closes the connection. http.Server calls it when the goroutine that serves the
// connection ends, and for connections that it considers idle.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.connections.remove(c)
	c.mu.Lock()
	c.releaseHeadLocked()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read reads with the deadline of the phase.
func (c *Conn) Read(p []byte) (int, error) {
	if c.currentPhase() == phaseActive {
		return c.readBody(p)
	}
	n, err := c.readBeforeDeadline(p)
	if n > 0 {
		c.setReadingHead()
		return c.checkHead(p[:n])
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.currentPhase() == phaseReadingHead {
		return 0, c.rejectLateHead()
	}
	return n, err
}

func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// setReadingHead records that a part of a request head has been read.
func (c *Conn) setReadingHead() {
	c.mu.Lock()
	begins := c.phase == phaseIdle
	if begins {
		c.phase, c.since = phaseReadingHead, time.Now()
	}
	c.mu.Unlock()
	if begins {
		c.connections.setWaiting(c, true)
	}
}

// readBeforeDeadline reads until the deadline. A change of the limits or closeWhenIdle may
// move the deadline during the read. A later deadline applies immediately. If a change of
// the limits makes the deadline earlier, the new deadline applies only from the next read
// on, because the client may not know of it yet. After the deadline readBeforeDeadline reads
// once more, to return bytes that have already arrived.
func (c *Conn) readBeforeDeadline(p []byte) (int, error) {
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
		return c.readFinally(p)
	}
}

// readFinally reads bytes that arrived before the deadline while the process was stalled.
func (c *Conn) readFinally(p []byte) (int, error) { return readFinally(c.Conn, p) }

// readFinally reads bytes that arrived on a connection before its deadline while the process was
// stalled.
func readFinally(connection net.Conn, p []byte) (int, error) {
	if err := connection.SetReadDeadline(time.Now().Add(finalReadTimeout)); err != nil {
		return 0, err
	}
	return connection.Read(p)
}

// setDeadline sets the read deadline of the phase and returns it.
func (c *Conn) setDeadline() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.deadlineLocked()
	return until, c.Conn.SetReadDeadline(until)
}

// deadline returns the read deadline of the phase.
func (c *Conn) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlineLocked()
}

// deadlineLocked is deadline for callers that hold mu.
func (c *Conn) deadlineLocked() time.Time {
	limits := c.connections.limits()
	switch {
	case c.phase == phaseReadingHead:
		return c.since.Add(limits.HeadTimeout)
	case !c.served && limits.FirstRequestTimeout > 0:
		return c.since.Add(limits.FirstRequestTimeout)
	case c.closing && c.served:
		return c.since
	}
	return c.since.Add(limits.IdleTimeout)
}

// SetWriteDeadline limits the time of the handler's writes. A zero time restores the default.
func (c *Conn) SetWriteDeadline(until time.Time) error {
	c.hasWriteDeadline.Store(!until.IsZero())
	return c.Conn.SetWriteDeadline(until)
}

// Write writes to the client. Unless the handler has set a deadline, each piece has to be
// written before writeTimeout.
func (c *Conn) Write(p []byte) (written int, err error) {
	now := time.Now()
	c.writeSince.Store(&now)
	defer c.writeSince.Store(nil)
	if c.hasWriteDeadline.Load() {
		return c.Conn.Write(p)
	}
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// blockedFor returns how long a write has waited if that is at least blockedWriteAge, or 0.
func (c *Conn) blockedFor(now time.Time) time.Duration {
	since := c.writeSince.Load()
	if since == nil || now.Sub(*since) < blockedWriteAge {
		return 0
	}
	return now.Sub(*since)
}

// CloseWrite closes the connection for writing. This lets a client read the last response
// even if part of its request was not read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

package httpserver

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/memory"
)

const (
	// defaultBodyTimeout bounds the reading of a body if its request has no deadline.
	defaultBodyTimeout = 30 * time.Second
	// maxBodyTimeout bounds it whatever the deadline.
	maxBodyTimeout = 24 * time.Hour
	// unreadBodyTimeout bounds the time in which net/http reads the rest of a body after the
	// handler has ended, so that the connection can be kept.
	unreadBodyTimeout = 500 * time.Millisecond
)

// errBodyEvicted means that the reading of a body was ended to make room for others.
var errBodyEvicted = errors.New("the reading of the body was ended to make room for others")

// bodyClasses are the classes of the memory of bodies.
var bodyClasses = memory.Classes{Short: memory.Requests, Long: memory.Bodies}

// ResponseClasses are the classes of the memory of buffered responses.
var ResponseClasses = memory.Classes{Short: memory.Requests, Long: memory.Responses}

// bodyState is the state of a request's body, protected by Conn.mu.
type bodyState struct {
	// reading is true while the handler reads it, complete once its end has been read.
	reading, complete bool
	// evicted is true if its reading was ended to make room for others.
	evicted bool
}

// BodyLimits limit the reading of a body.
type BodyLimits struct {
	// MaxBytes is the largest size.
	MaxBytes int64
	// Timeout bounds the whole reading; 0 means a default. A client that sends nothing for
	// the idle timeout of the connection ends it before.
	Timeout time.Duration
}

// Body is the body of a request. It must be closed after the request.
type Body struct {
	Bytes       []byte
	reservation *memory.Reservation
	// retained counts the further users of the body.
	retained atomic.Int64
}

// Retain adds a further user of the body, who must close it as well.
func (b *Body) Retain() { b.retained.Add(1) }

// Close returns the memory of the body once its last user has closed it.
func (b *Body) Close() {
	if b.retained.Add(-1) < 0 {
		b.reservation.Close()
	}
}

// Text returns the body as a string without copying it. Bytes must not be changed after that.
func (b *Body) Text() string { return unsafe.String(unsafe.SliceData(b.Bytes), len(b.Bytes)) }

// GrowForCopy takes the memory for a copy of the body. It returns false if it does not fit.
func (b *Body) GrowForCopy() bool {
	length := int64(len(b.Bytes))
	return b.reservation.Grow(bodyClasses.Of(length), length)
}

// ReadBody reads the whole body of a request. If that fails it returns the kind of error with
// which the request is to be rejected; the response then closes the connection.
func (s *Connections) ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) (*Body, errkind.Kind) {
	body := &Body{reservation: s.options.Account.Open()}
	if r.ContentLength == 0 {
		return body, ""
	}
	c := ConnOf(r)
	if c != nil {
		body.reservation.AllowEviction(c.evictBody)
	}
	text, err := body.reservation.ReadAll(newBodyReader(r, c, limits.Timeout), r.ContentLength, limits.MaxBytes, bodyClasses)
	if c != nil {
		c.endBody(err == nil)
	}
	if !body.reservation.Keep() {
		err = errBodyEvicted
	}
	if err == nil {
		body.Bytes = text
		return body, ""
	}
	body.Close()
	w.Header().Set("Connection", "close")
	return nil, s.bodyErrorKind(err)
}

// bodyErrorKind returns the kind of error for a body that could not be read.
func (s *Connections) bodyErrorKind(err error) errkind.Kind {
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return errkind.TooLarge
	case errors.Is(err, memory.ErrFull):
		return errkind.Overloaded
	case errors.Is(err, errBodyEvicted):
		s.options.Count(countBodiesEvicted)
		return errkind.Overloaded
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.options.Count(countBodiesTooSlow)
		return errkind.RequestTimeout
	}
	return errkind.BadRequest
}

// bodyReader reads a body with a deadline for each read.
type bodyReader struct {
	body io.Reader
	// conn is nil if the request has no Conn; there is no deadline then.
	conn *Conn
	// until bounds the whole body.
	until time.Time
}

func newBodyReader(r *http.Request, c *Conn, timeout time.Duration) *bodyReader {
	if timeout <= 0 {
		timeout = defaultBodyTimeout
	}
	return &bodyReader{r.Body, c, time.Now().Add(min(timeout, maxBodyTimeout))}
}

// Read reads a part of the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.conn != nil && !b.conn.beginBodyRead(b.until) {
		return 0, errBodyEvicted
	}
	return b.body.Read(p)
}

// beginBodyRead sets the read deadline for the next part of a body. It returns false if the
// body was evicted.
func (c *Conn) beginBodyRead(until time.Time) bool {
	idle := time.Now().Add(c.connections.limits().IdleTimeout)
	if idle.Before(until) {
		until = idle
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body.evicted {
		return false
	}
	c.body.reading = true
	_ = c.Conn.SetReadDeadline(until)
	return true
}

// beginIgnoringBody records that the rest of the body is read after its request was rejected.
func (c *Conn) beginIgnoringBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = bodyState{reading: true}
}

// endBody records that the handler no longer reads the body. After a complete body there is
// no read deadline, because net/http then only waits for the client to disconnect.
func (c *Conn) endBody(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.reading, c.body.complete = false, complete
	if complete {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// evictBody ends the reading of a body.
func (c *Conn) evictBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.evicted = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// readBody reads a part of a body, or waits for the client to disconnect.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isReadingBody() {
		return n, err
	}
	return c.readFinally(p)
}

func (c *Conn) isReadingBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.reading && !c.body.evicted
}

// handlerOf wraps a handler so that a body that it does not read has a deadline.
func handlerOf(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if c.wasEvicted() {
			// The client sees a closed connection, so the request must not run.
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			c.limitUnreadBody(defaultBodyTimeout)
			defer c.limitUnreadBody(unreadBodyTimeout)
		}
		handler.ServeHTTP(w, r)
		if r.ContentLength != 0 && !c.isBodyComplete() && endsConnection(w.Header()) {
			c.ignoreRestOfBody(w, r)
		}
	})
}

// isBodyComplete reports whether the end of the body has been read.
func (c *Conn) isBodyComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.complete
}

// endsConnection reports whether a response closes its connection, and is complete once it has
// been flushed.
func endsConnection(header http.Header) bool {
	return header.Get("Connection") == "close" && header.Get("Content-Length") != ""
}

// limitUnreadBody sets a read deadline for a body that has not been read to its end.
func (c *Conn) limitUnreadBody(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.body.complete {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// OpenResponse returns the reservation of a response that is buffered. It waits for memory
// until the context is done.
func (s *Connections) OpenResponse(ctx context.Context) *memory.Reservation {
	return s.options.Account.OpenWaiting(ctx)
}

// AllowEviction lets the account close the connection of a request while its client does not
// read the response, if others wait for the memory of the response.
func AllowEviction(r *http.Request, response *memory.Reservation) {
	if c := ConnOf(r); c != nil {
		response.AllowEviction(func() { _ = c.Conn.Close() })
	}
}

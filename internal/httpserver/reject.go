package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/threads"
)

const (
	// rejectTimeout bounds the write of a rejection, and each wait for its client to send more
	// or to close the connection. Closing a connection with unread bytes resets it, and the
	// client may lose the response.
	rejectTimeout = 500 * time.Millisecond
	// ignoreTimeout bounds the time in which the rest of a rejected request is read and
	// ignored, for clients that read the response only after they have sent all of it.
	ignoreTimeout = 2 * time.Second
	// defaultIgnoredBytes bounds what is ignored if Limits.BodyBytes does not.
	defaultIgnoredBytes = 256 << 10
	// ignoreBufferBytes is the size of the buffer for that.
	ignoreBufferBytes = 2 << 10
	// maxRejecting bounds the connections that are being rejected because there was no room
	// for them, and rejectingDivisor their part of the largest number of connections.
	maxRejecting     = 32
	rejectingDivisor = 8
)

// Names of counters; docs/operators.md explains them.
const (
	countConnectionsEvicted  = "connections closed for others"
	countConnectionsRejected = "connections too many"
	countHeadsTooLarge       = "heads too large together"
	countHeadsTooSlow        = "heads too slow"
	countBodiesTooSlow       = "bodies too slow"
	countBodiesEvicted       = "bodies given up for others"
	countResponsesEvicted    = "unread responses given up for others"
)

// errRejected ends the reads of a connection whose request was rejected. http.Server closes
// the connection without a response of its own.
var errRejected = &net.OpError{Op: "read", Err: errors.New("the request was rejected before its head was complete")}

// reject writes an error response in place of http.Server, before the head of a request is
// complete, and returns the error that ends the connection.
func (c *Conn) reject(kind errkind.Kind, retryMs int64) error {
	if c.wasEvicted() {
		return errEvicted
	}
	c.connections.rejectAndIgnore(c.Conn, kind, retryMs)
	return errRejected
}

// rejectConnection rejects and closes a connection that was accepted without room for it. If
// many are being rejected, its client may lose the response.
func (s *Connections) rejectConnection(accepted net.Conn) {
	s.options.Count(countConnectionsRejected)
	if !s.beginRejecting() {
		s.writeRejection(accepted, errkind.Overloaded, retryMemoryMs)
		_ = accepted.Close()
		return
	}
	threads.Go(func() {
		defer s.endRejecting()
		awaitRequest(accepted)
		s.rejectAndIgnore(accepted, errkind.Overloaded, retryMemoryMs)
		_ = accepted.Close()
	})
}

// awaitRequest waits until a client has begun to send its request. A response that comes before
// that may be taken for one to another request.
func awaitRequest(connection net.Conn) {
	var first [1]byte
	_ = connection.SetReadDeadline(time.Now().Add(rejectTimeout))
	_, _ = connection.Read(first[:])
}

// beginRejecting takes the place and the memory of a connection that is being rejected. It
// returns false if there is none.
func (s *Connections) beginRejecting() bool {
	if s.rejecting.Add(1) <= s.maxRejecting() && s.options.Account.Take(memory.Requests, connectionBytes) {
		return true
	}
	s.rejecting.Add(-1)
	return false
}

// maxRejecting returns how many connections may be rejected at the same time without loss of
// the response.
func (s *Connections) maxRejecting() int64 {
	return int64(min(maxRejecting, s.options.MaxConnections/rejectingDivisor))
}

func (s *Connections) endRejecting() {
	s.options.Account.Release(memory.Requests, connectionBytes)
	s.rejecting.Add(-1)
}

// rejectAndIgnore writes an error response, and reads and ignores the rest of the request.
func (s *Connections) rejectAndIgnore(connection net.Conn, kind errkind.Kind, retryMs int64) {
	s.writeRejection(connection, kind, retryMs)
	half, ok := connection.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() != nil {
		return
	}
	limits := s.limits()
	read := func(p []byte) (int, error) {
		n, err := connection.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		return readFinally(connection, p)
	}
	ignoreRest(connection, read, limits.HeadBytes+limits.ignoredBodyBytes())
}

// writeRejection writes an error response that closes the connection.
func (s *Connections) writeRejection(connection net.Conn, kind errkind.Kind, retryMs int64) {
	response := &responseBuffer{header: http.Header{}}
	s.options.WriteRejection(response, kind, retryMs)
	_ = connection.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = connection.Write(response.bytes())
}

// ignoredBodyBytes returns how many bytes of the body of a rejected request are ignored.
func (l Limits) ignoredBodyBytes() int64 {
	if l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return defaultIgnoredBytes
}

// ignoreRest reads the rest of a request, up to maxBytes, and ignores it. It ends when nothing
// arrives for rejectTimeout.
func ignoreRest(connection net.Conn, read func(p []byte) (int, error), maxBytes int64) {
	until := time.Now().Add(ignoreTimeout)
	var buffer [ignoreBufferBytes]byte
	for ignored := int64(0); ignored < maxBytes; {
		wait := time.Now().Add(rejectTimeout)
		if wait.After(until) {
			wait = until
		}
		if connection.SetReadDeadline(wait) != nil {
			return
		}
		n, err := read(buffer[:])
		if err != nil {
			return
		}
		ignored += int64(n)
	}
}

// ignoreRestOfBody flushes the response to a request and then reads and ignores the rest of its
// body, so that the client gets the response even if it reads only after it has sent all.
func (c *Conn) ignoreRestOfBody(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	c.beginIgnoringBody()
	ignoreRest(c.Conn, r.Body.Read, c.connections.limits().ignoredBodyBytes())
	c.endBody(false)
}

// responseBuffer is an http.ResponseWriter that keeps the response.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*responseBuffer)(nil)

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// bytes returns the response as it is sent.
func (b *responseBuffer) bytes() []byte {
	response := http.Response{
		StatusCode: b.status, ProtoMajor: 1, ProtoMinor: 1, Header: b.header, Close: true,
		ContentLength: int64(b.body.Len()), Body: io.NopCloser(&b.body),
	}
	var text bytes.Buffer
	// Writing to memory does not fail.
	_ = response.Write(&text)
	return text.Bytes()
}

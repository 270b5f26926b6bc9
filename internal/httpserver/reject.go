package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
)

const (
	// rejectTimeout bounds the write of a rejection and the wait for its client to read it
	// and close the connection. Closing a connection with unread bytes resets it, and the
	// client may lose the response.
	rejectTimeout = 500 * time.Millisecond
	// maxIgnoredBytes bounds what is read and ignored meanwhile.
	maxIgnoredBytes = 256 << 10
	// ignoreBufferBytes is the size of the buffer for that.
	ignoreBufferBytes = 2 << 10
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
	c.connections.writeRejection(c.Conn, kind, retryMs)
	if c.CloseWrite() == nil {
		ignoreRest(c.Conn)
	}
	return errRejected
}

// rejectConnection rejects and closes a connection that was accepted without room for it.
func (s *Connections) rejectConnection(accepted net.Conn) {
	s.options.Count(countConnectionsRejected)
	s.writeRejection(accepted, errkind.Overloaded, retryMemoryMs)
	_ = accepted.Close()
}

// writeRejection writes an error response that closes the connection.
func (s *Connections) writeRejection(connection net.Conn, kind errkind.Kind, retryMs int64) {
	response := &responseBuffer{header: http.Header{}}
	s.options.WriteRejection(response, kind, retryMs)
	_ = connection.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = connection.Write(response.bytes())
}

// ignoreRest reads what the client still sends, within limits.
func ignoreRest(connection net.Conn) {
	_ = connection.SetReadDeadline(time.Now().Add(rejectTimeout))
	var buffer [ignoreBufferBytes]byte
	for ignored := 0; ignored < maxIgnoredBytes; {
		n, err := connection.Read(buffer[:])
		if err != nil {
			return
		}
		ignored += n
	}
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

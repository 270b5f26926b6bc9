package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"myrtlewinch/internal/errkind"
)

const (
	// rejectTimeout bounds the write of a rejection.
	rejectTimeout = 500 * time.Millisecond
	// retryMemoryMs is the Retry-After if there is no memory for a request.
	retryMemoryMs = 300
)

// Names of counters; docs/operators.md explains them.
const (
	countConnectionsEvicted  = "connections closed for others"
	countConnectionsRejected = "connections too many"
)

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

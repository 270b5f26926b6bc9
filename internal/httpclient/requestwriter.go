package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const writeBufferBytes = 4 << 10

// writeBuffers is the pool of write buffers, shared by all connections.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// requestWriter writes one request. It calls the caller's check immediately before the
// first byte.
type requestWriter struct {
	conn     net.Conn
	mayWrite func() bool
	// started is true if a byte may have reached the server, notAllowed if the check did
	// not allow the first byte, and failed if the request was not written completely.
	started, notAllowed, failed atomic.Bool
}

// Write writes a part of the request.
func (w *requestWriter) Write(p []byte) (int, error) {
	if w.started.Load() {
		return w.conn.Write(p)
	}
	if !w.mayWrite() {
		w.notAllowed.Store(true)
		return 0, ErrWriteNotAllowed
	}
	w.started.Store(true)
	n, err := w.conn.Write(p)
	if n == 0 && err != nil {
		w.started.Store(false)
	}
	return n, err
}

// resetBody rewinds the body of a request of which no byte was written, so that it can be
// written over another connection.
func resetBody(request *http.Request, body []byte) {
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
}

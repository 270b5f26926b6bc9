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

// writeBuffers shares write buffers between connections.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// requestWriter writes one request. The caller's check is made right before the
// first byte.
type requestWriter struct {
	conn     net.Conn
	mayWrite func() bool
	// started says that a byte may have reached the other side, refused that the
	// check forbade it, and failed that the request was not written completely.
	started, refused, failed atomic.Bool
}

// Write writes a part of the request.
func (w *requestWriter) Write(p []byte) (int, error) {
	if w.started.Load() {
		return w.conn.Write(p)
	}
	if !w.mayWrite() {
		w.refused.Store(true)
		return 0, ErrNotAllowed
	}
	w.started.Store(true)
	n, err := w.conn.Write(p)
	if n == 0 && err != nil {
		w.started.Store(false)
	}
	return n, err
}

// resetBody makes a request of which no byte was written ready to be written
// again.
func resetBody(request *http.Request, body []byte) {
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
}

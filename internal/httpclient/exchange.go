package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/threads"
)

const (
	// inlineBytes is how large a body may be to be written before the response
	// is read; a larger one is written beside it, since a peer may answer
	// without reading it.
	inlineBytes = 16 << 10
	// informationalMost bounds the 1xx responses before the final one.
	informationalMost = 5
	writeBufferBytes  = 4 << 10
)

// Exchange is one request on a connection of its own for that time, and its
// response.
type Exchange struct {
	Response *http.Response
	// Written says whether any byte of the request may have reached the other
	// side, as of the moment when the response's head or an error was there.
	Written bool

	conn   *conn
	writer *requestWriter
	// writeDone is closed once the request is written or has failed; nil where
	// that was so before the response was read.
	writeDone chan struct{}
	// keeper takes the connection back if no doubt is left; nil closes it.
	keeper *pool
	// stopCancel ends the watch over the context; false says that it was
	// cancelled before.
	stopCancel func() bool
	// refused says that the caller's check said no.
	refused bool
	// whole says that the body was read to its told end, accepted that the
	// caller took the response for its own, doubtful that something was odd.
	whole, accepted, doubtful bool
	end                       sync.Once
}

// Accept says that the response is the one to this request, so that the
// connection may be used again once the body was read whole.
func (x *Exchange) Accept() { x.accepted = true }

// Reject makes sure that the connection is not used again. It closes it at
// once.
func (x *Exchange) Reject() {
	x.doubtful = true
	x.finish()
}

var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// exchange writes a request and reads the head of its response. It closes the
// connection on any error.
func (c *conn) exchange(ctx context.Context, request *http.Request, body []byte, mayWrite func() bool, keeper *pool) (*Exchange, error) {
	x := &Exchange{conn: c, keeper: keeper, writer: &requestWriter{conn: c.Conn, mayWrite: mayWrite}}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	err := x.write(request, len(body))
	if err == nil {
		err = x.readHead(request)
	}
	if err != nil {
		x.Reject()
		x.waitWritten()
		x.Written, x.refused = x.writer.wrote.Load(), x.writer.refused.Load()
		if x.refused {
			err = ErrNotAllowed
		}
		return x, err
	}
	x.Written = true
	return x, nil
}

func (x *Exchange) write(request *http.Request, bodyBytes int) error {
	if bodyBytes <= inlineBytes {
		return x.writeAll(request)
	}
	x.writeDone = make(chan struct{})
	threads.Go(func() {
		defer close(x.writeDone)
		_ = x.writeAll(request)
	})
	return nil
}

func (x *Exchange) writeAll(request *http.Request) error {
	buffer := writeBuffers.Get().(*bufio.Writer)
	buffer.Reset(x.writer)
	err := request.Write(buffer)
	if err == nil {
		err = buffer.Flush()
	}
	buffer.Reset(nil)
	writeBuffers.Put(buffer)
	x.writer.failed.Store(err != nil)
	if err != nil && x.writeDone != nil {
		// Nobody waits for a response to a request that was not sent.
		_ = x.conn.Close()
	}
	return err
}

func (x *Exchange) waitWritten() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}

// isWritten says whether the whole request was written.
func (x *Exchange) isWritten() bool {
	if x.writeDone != nil {
		select {
		case <-x.writeDone:
		default:
			return false
		}
	}
	return !x.writer.failed.Load()
}

// readHead reads up to the head of the final response.
func (x *Exchange) readHead(request *http.Request) error {
	c := x.conn
	for range informationalMost + 1 {
		c.headLeft = c.headBytes
		response, err := http.ReadResponse(c.reader, request)
		c.headLeft = -1
		switch {
		case err != nil:
			return err
		case !x.writer.wrote.Load():
			// It answers something else: ours has not begun.
			return errors.Wrap(ErrMalformed, "a response before its request")
		case response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols:
			return errors.Wrapf(ErrMalformed, "status %d", response.StatusCode)
		case response.StatusCode < 200:
			// Nobody asked for one.
			x.doubtful = true
			continue
		}
		x.doubtful = x.doubtful || !x.isWritten() || response.Close || response.ProtoMajor != 1 || response.ProtoMinor < 1
		x.whole = response.Body == http.NoBody
		response.Body = &responseBody{response.Body, x}
		x.Response = response
		return nil
	}
	return errors.Wrap(ErrMalformed, "too many informational responses")
}

// finish gives the connection back, or closes it on any doubt.
func (x *Exchange) finish() {
	x.end.Do(func() {
		// A cancelled context has closed the connection, or is about to.
		cancelled := !x.stopCancel()
		idleTimeout, fit := x.idleTimeout()
		if cancelled || !fit {
			_ = x.conn.Close()
			return
		}
		x.keeper.put(x.conn, idleTimeout)
	})
}

// idleTimeout says how long the connection may be kept, or that it may not.
func (x *Exchange) idleTimeout() (time.Duration, bool) {
	if x.keeper == nil || x.doubtful || !x.whole || !x.accepted || x.conn.reader.Buffered() > 0 {
		return 0, false
	}
	idle := min(x.keeper.idleTimeout, promisedIdle(x.Response.Header))
	return idle, idle > 0
}

// promisedIdle reads for how long the other side keeps an idle connection. A
// quarter is left for the way there and for standing still.
func promisedIdle(header http.Header) time.Duration {
	for _, list := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
			if err != nil {
				return 0
			}
			return time.Duration(seconds) * time.Second * 3 / 4
		}
	}
	return time.Hour
}

// responseBody notes whether a body was read to its told end. Closing it ends
// the exchange.
type responseBody struct {
	io.ReadCloser
	exchange *Exchange
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.whole = true
	}
	return n, err
}

// Close does not read what is left, as the standard body would.
func (b *responseBody) Close() error {
	b.exchange.finish()
	return nil
}

// requestWriter writes one request. The first byte waits for the caller's
// check, which is the last thing before the write.
type requestWriter struct {
	conn                   net.Conn
	mayWrite               func() bool
	wrote, refused, failed atomic.Bool
}

func (w *requestWriter) Write(p []byte) (int, error) {
	if w.wrote.Load() {
		return w.conn.Write(p)
	}
	if !w.mayWrite() {
		w.refused.Store(true)
		return 0, ErrNotAllowed
	}
	w.wrote.Store(true)
	n, err := w.conn.Write(p)
	if n == 0 && err != nil {
		w.wrote.Store(false)
	}
	return n, err
}

// rewind makes a request ready to be written, of which no byte was.
func rewind(request *http.Request, body []byte) {
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
}

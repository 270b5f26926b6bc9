package httpclient

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/threads"
)

const (
	// maxInlineBody is the size up to which a body is written before the response is read.
	// A larger one is written concurrently, because the server may respond without reading
	// it.
	maxInlineBody = 16 << 10
	// maxInformational bounds the 1xx responses before the final one.
	maxInformational = 5
	// reuseNumerator and reuseDenominator are the part of the server's keep-alive time
	// during which a connection is reused. The rest is a margin for network latency and
	// pauses of the process.
	reuseNumerator, reuseDenominator = 3, 4
)

// Exchange is one request and its response. It owns its connection until it ends.
type Exchange struct {
	// Response is the final response, nil after an error.
	Response *http.Response
	// BytesWritten is true if any byte of the request may have reached the server by the
	// time the head of the response, or an error, was received.
	BytesWritten bool

	conn   *conn
	writer *requestWriter
	// writeDone is closed once the request has been written or has failed. It is nil if the
	// request is written before the response is read.
	writeDone chan struct{}
	// returnTo is the pool to which a reusable connection is returned; nil if it is to be
	// closed.
	returnTo *pool
	// stopContextWatch ends the watch that closes the connection when the context is
	// cancelled. It returns false if the context has been cancelled already.
	stopContextWatch func() bool
	// writeNotAllowed is true if the caller's check did not allow the first byte.
	writeNotAllowed bool
	// endsWithConnection is the value of EndsWithConnection.
	endsWithConnection bool
	// bodyComplete is true if the body was read to its declared end, accepted if the caller
	// called Accept, and unusable if anything in the exchange rules out a reuse of the
	// connection.
	bodyComplete, accepted, unusable bool
	finishOnce                       sync.Once
	// idleTimeout is the idle timeout with which the connection was returned to the pool, 0
	// if it was closed. It is set when the exchange ends.
	idleTimeout time.Duration
}

// IdleTimeout returns the idle timeout with which the connection was returned to the pool, 0
// if it was closed. It may be called once the body of the response is closed.
func (x *Exchange) IdleTimeout() time.Duration { return x.idleTimeout }

// EndsWithConnection reports whether the body of the response has neither a length nor chunks,
// so that only the end of the connection ends it. Then io.EOF does not show that the body is
// complete: the kernel ends the connections of a process that crashes in the same way.
func (x *Exchange) EndsWithConnection() bool { return x.endsWithConnection }

// Accept confirms that the response belongs to this request, so that the connection may be
// reused once the body has been read to its end.
func (x *Exchange) Accept() { x.accepted = true }

// Reject closes the connection at once, so that it is not reused.
func (x *Exchange) Reject() {
	x.unusable = true
	x.finish()
}

// exchange writes a request and reads the head of its response. It closes the
// connection on any error.
func (c *conn) exchange(ctx context.Context, request *http.Request, body []byte, mayWrite func() bool, returnTo *pool) (*Exchange, error) {
	x := &Exchange{conn: c, returnTo: returnTo, writer: &requestWriter{conn: c.Conn, mayWrite: mayWrite}}
	x.stopContextWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	err := x.write(request, len(body))
	if err == nil {
		err = x.readHead(request)
	}
	if err != nil {
		return x, x.fail(err)
	}
	x.BytesWritten = true
	return x, nil
}

// fail ends the exchange after an error and records how far the request was written.
func (x *Exchange) fail(err error) error {
	x.Reject()
	x.waitForWriter()
	x.BytesWritten, x.writeNotAllowed = x.writer.started.Load(), x.writer.notAllowed.Load()
	if x.writeNotAllowed {
		return ErrWriteNotAllowed
	}
	return err
}

// write writes the request. One with a large body is written in its own goroutine.
func (x *Exchange) write(request *http.Request, bodyBytes int) error {
	if bodyBytes <= maxInlineBody {
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
		// Otherwise the reader would wait for the response to an incomplete request.
		_ = x.conn.Close()
	}
	return err
}

func (x *Exchange) waitForWriter() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}

// requestSent reports whether the whole request has been written.
func (x *Exchange) requestSent() bool {
	if x.writeDone != nil {
		select {
		case <-x.writeDone:
		default:
			return false
		}
	}
	return !x.writer.failed.Load()
}

// readHead reads the heads of all responses up to the head of the final response.
func (x *Exchange) readHead(request *http.Request) error {
	for range maxInformational + 1 {
		response, err := x.conn.readResponse(request)
		if err != nil {
			return err
		}
		if err := x.checkHead(response); err != nil {
			return err
		}
		isInformational := response.StatusCode < http.StatusOK
		if isInformational {
			// This client asks for no informational responses, so the connection is not
			// trusted with another request.
			x.unusable = true
			continue
		}
		x.setResponse(response)
		return nil
	}
	return errors.Wrap(ErrMalformed, "too many informational responses")
}

// checkHead returns an error if the response cannot be a response to this request.
func (x *Exchange) checkHead(response *http.Response) error {
	if !x.writer.started.Load() {
		return errors.Wrap(ErrMalformed, "response received before the request was written")
	}
	if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %d", response.StatusCode)
	}
	return nil
}

// setResponse stores the final response.
func (x *Exchange) setResponse(response *http.Response) {
	isKeepAlive := !response.Close && response.ProtoMajor == 1 && response.ProtoMinor >= 1
	if !x.requestSent() || !isKeepAlive {
		x.unusable = true
	}
	x.bodyComplete = response.Body == http.NoBody
	x.endsWithConnection = !x.bodyComplete && response.ContentLength < 0 && len(response.TransferEncoding) == 0
	response.Body = &responseBody{response.Body, x}
	x.Response = response
}

// finish ends the exchange: it returns the connection to its pool or closes it.
func (x *Exchange) finish() {
	x.finishOnce.Do(func() {
		// If the context is cancelled, its watch has closed the connection or is about to.
		cancelled := !x.stopContextWatch()
		timeout, reusable := x.reuseTimeout()
		if cancelled || !reusable {
			_ = x.conn.Close()
			return
		}
		if x.returnTo.putIdle(x.conn, timeout) {
			x.idleTimeout = timeout
		}
	})
}

// reuseTimeout returns how long the connection may be kept idle. It returns false if the
// connection must not be reused.
func (x *Exchange) reuseTimeout() (time.Duration, bool) {
	if x.returnTo == nil || x.unusable || !x.bodyComplete || !x.accepted {
		return 0, false
	}
	hasExtraBytes := x.conn.reader.Buffered() > 0
	if hasExtraBytes {
		return 0, false
	}
	timeout := min(x.returnTo.idleTimeout, keepAliveTimeout(x.Response.Header))
	return timeout, timeout > 0
}

// keepAliveTimeout returns how long the server keeps an idle connection according to its
// Keep-Alive header, less a margin. It returns an hour if the header states no time.
func keepAliveTimeout(header http.Header) time.Duration {
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
			return time.Duration(seconds) * time.Second * reuseNumerator / reuseDenominator
		}
	}
	return time.Hour
}

// responseBody records whether a body was read to its declared end. Closing it ends the
// exchange.
type responseBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.bodyComplete = true
	}
	return n, err
}

// Close ends the exchange. Unlike the body of net/http it does not read the rest.
func (b *responseBody) Close() error {
	b.exchange.finish()
	return nil
}

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
	// maxInlineBody is how large a body may be to be written before the response
	// is read. A larger one is written at the same time, since the other side may
	// respond without reading it.
	maxInlineBody = 16 << 10
	// maxInformational bounds the 1xx responses before the final one.
	maxInformational = 5
	// reuseNumerator and reuseDenominator are the part of a promised keep-alive
	// time that is used. The rest is left for the way of the next request and for
	// pauses.
	reuseNumerator, reuseDenominator = 3, 4
)

// Exchange is one request and its response, on a connection that belongs to it
// for that time.
type Exchange struct {
	// Response is the final response; nil after an error.
	Response *http.Response
	// BytesWritten says whether any byte of the request may have reached the
	// other side, as of the time when the head of the response or an error
	// arrived.
	BytesWritten bool

	conn   *conn
	writer *requestWriter
	// writeDone is closed once the request is written or has failed. It is nil
	// where that was so before the response was read.
	writeDone chan struct{}
	// returnTo is the pool that gets a reusable connection back; nil closes it.
	returnTo *pool
	// stopContextWatch stops closing the connection with the context. It returns
	// false where the context was cancelled before.
	stopContextWatch func() bool
	// writeRefused says that the caller's check refused the first byte.
	writeRefused bool
	// bodyComplete says that the body was read to its declared end, accepted
	// that the caller called Accept, and unusable that anything about the
	// exchange forbids a reuse of the connection.
	bodyComplete, accepted, unusable bool
	finishOnce                       sync.Once
	// keptIdle is for how long the connection was kept for reuse, 0 if it was
	// closed. It is set once the exchange has ended.
	keptIdle time.Duration
}

// KeptIdle returns for how long the connection is kept for reuse, 0 if it is not.
// It may be called once the body of the response is closed.
func (x *Exchange) KeptIdle() time.Duration { return x.keptIdle }

// Accept says that the response belongs to this request, so that the connection
// may be reused once the body was read to its end.
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

// fail ends the exchange after an error and notes what became of the request.
func (x *Exchange) fail(err error) error {
	x.Reject()
	x.waitForWriter()
	x.BytesWritten, x.writeRefused = x.writer.started.Load(), x.writer.refused.Load()
	if x.writeRefused {
		return ErrNotAllowed
	}
	return err
}

// write writes the request, one with a large body in a goroutine of its own.
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
		// The reader would wait for a response to a request that was not sent.
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

// readHead reads up to the head of the final response.
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
			// This client asks for none, so what follows is not relied on.
			x.unusable = true
			continue
		}
		x.setResponse(response)
		return nil
	}
	return errors.Wrap(ErrMalformed, "too many informational responses")
}

// checkHead reports why a response can't be one to this request.
func (x *Exchange) checkHead(response *http.Response) error {
	if !x.writer.started.Load() {
		return errors.Wrap(ErrMalformed, "a response before its request")
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
	response.Body = &responseBody{response.Body, x}
	x.Response = response
}

// finish ends the exchange: it returns the connection to its pool, or closes it.
func (x *Exchange) finish() {
	x.finishOnce.Do(func() {
		// A cancelled context has closed the connection, or is about to.
		cancelled := !x.stopContextWatch()
		timeout, reusable := x.reuseTimeout()
		if cancelled || !reusable {
			_ = x.conn.Close()
			return
		}
		if x.returnTo.putIdle(x.conn, timeout) {
			x.keptIdle = timeout
		}
	})
}

// reuseTimeout returns for how long the connection may be kept idle; false means
// that it may not be reused.
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

// keepAliveTimeout returns for how long the other side keeps an idle connection
// by its Keep-Alive header, less a margin; an hour where it does not say.
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

// responseBody notes whether a body was read to its declared end. Closing it ends
// the exchange.
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

// Close ends the exchange. Unlike the standard body it reads nothing more.
func (b *responseBody) Close() error {
	b.exchange.finish()
	return nil
}

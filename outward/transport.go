// Package outward is the way out to runners and to the platform, over
// HTTP/1.1. It tells for certain whether a byte of a request was written, and
// writes none once its caller's check at the socket says no.
package outward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLate says that the check said no before the first byte.
var ErrTooLate = errors.New("too late to send")

const (
	dialMs = 1000
	idleMs = 2000
	// Requests of clients have less time: another runner is soon reached, and
	// a stream that has just been used is the one least likely to be closed.
	clientDialMs = 300
	clientIdleMs = 1000
	// deadMs is how long the other side may acknowledge nothing before a
	// stream counts as broken; a machine without power says nothing itself.
	deadMs = 2000
)

// Transport sends requests that are never repeated by themselves.
type Transport struct {
	inner *http.Transport
	// kept uses streams more than once; single makes one for each request.
	kept, single *http.Transport
}

// New makes a transport.
func New() *Transport {
	t := &Transport{inner: newInner(dialMs, idleMs), kept: newInner(clientDialMs, clientIdleMs), single: newInner(clientDialMs, clientIdleMs)}
	t.kept.MaxResponseHeaderBytes = headMost
	t.single.MaxResponseHeaderBytes = headMost
	t.single.DisableKeepAlives = true
	return t
}

const headMost = 64 << 10

func newInner(dialMs, idleMs int64) *http.Transport {
	dialer := net.Dialer{
		Timeout: time.Duration(dialMs) * time.Millisecond, Control: watchful,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &stream{Conn: conn}, nil
		},
		// What a runner sends is relayed as it is.
		DisableCompression:     true,
		IdleConnTimeout:        time.Duration(idleMs) * time.Millisecond,
		MaxIdleConnsPerHost:    16,
		MaxResponseHeaderBytes: 16 << 10,
		// Small buffers: there may be thousands of streams.
		ReadBufferSize:  2 << 10,
		WriteBufferSize: 2 << 10,
	}
}

// shot is one request on its way.
type shot struct {
	may   func() bool
	wrote atomic.Bool
	late  atomic.Bool
}

// stream checks the moment right at the socket.
type stream struct {
	net.Conn
	shot atomic.Pointer[shot]
}

// Write refuses the first byte of a request that is too late.
func (s *stream) Write(p []byte) (int, error) {
	shot := s.shot.Load()
	if shot == nil || shot.wrote.Load() {
		return s.Conn.Write(p)
	}
	if !shot.may() {
		shot.late.Store(true)
		return 0, ErrTooLate
	}
	shot.wrote.Store(true)
	n, err := s.Conn.Write(p)
	if n == 0 && err != nil {
		shot.wrote.Store(false)
	}
	return n, err
}

// once is a body that the standard transport has no way to read again.
type once struct{ io.Reader }

func (once) Close() error { return nil }

// Go sends a request once. Wrote says whether any byte may have reached the
// other side; without it the request certainly has not.
func (t *Transport) Go(ctx context.Context, method, url string, body []byte, may func() bool) (answer *http.Response, wrote bool, err error) {
	sent := &shot{may: may}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if s, ok := info.Conn.(*stream); ok {
				s.shot.Store(sent)
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		// Without GetBody the transport can't resend it by itself.
		request.Body = once{bytes.NewReader(body)}
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err = t.inner.RoundTrip(request)
	if sent.late.Load() {
		return nil, sent.wrote.Load(), ErrTooLate
	}
	return answer, sent.wrote.Load(), err
}

// Close lets idle streams go.
func (t *Transport) Close() {
	for _, inner := range []*http.Transport{t.inner, t.kept, t.single} {
		inner.CloseIdleConnections()
	}
}

package outward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
)

// Errand is a request to be sent as it is: its method, path, query, host and
// body are the client's own bytes.
type Errand struct {
	Method, Address string
	// Path and Query are as the client wrote them; HasQuery says that there
	// was a question mark.
	Path, Query string
	HasQuery    bool
	Host        string
	Header      http.Header
	Body        []byte
	// Single gives it a stream of its own: a kept one may have been closed by
	// the other side just now, and then nobody knows whether it ran.
	Single bool
}

// Sent is what came of an errand.
type Sent struct {
	Answer *http.Response
	// Wrote says whether any byte may have reached the other side.
	Wrote bool
	conn  atomic.Pointer[stream]
}

// Break closes the stream that the answer came on, so that nothing that
// follows on it is taken for an answer to another request.
func (s *Sent) Break() {
	if conn := s.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

var _ net.Conn = (*stream)(nil)

// Send carries an errand out once and never repeats it.
func (t *Transport) Send(ctx context.Context, e Errand, may func() bool) (*Sent, error) {
	sent := &Sent{}
	mark := &shot{may: may}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if s, ok := info.Conn.(*stream); ok {
				s.shot.Store(mark)
				sent.conn.Store(s)
			}
		},
	})
	request := (&http.Request{
		Method: e.Method, URL: e.url(), Host: e.Host, Header: e.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// Without GetBody, and never without a body, the transport can't
		// resend it by itself.
		Body: once{bytes.NewReader(e.Body)}, ContentLength: int64(len(e.Body)),
	}).WithContext(ctx)
	inner := t.kept
	if len(e.Body) == 0 {
		switch e.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		default:
			request.Body = http.NoBody
			// On a stream of its own nothing is ever sent again.
			e.Single = e.Single || e.Method == http.MethodTrace ||
				e.Header.Get("Idempotency-Key") != "" || e.Header.Get("X-Idempotency-Key") != ""
		}
	}
	if _, ok := e.Header["User-Agent"]; !ok {
		e.Header["User-Agent"] = []string{""}
	}
	if e.Single {
		inner = t.single
	}
	answer, err := inner.RoundTrip(request)
	sent.Answer, sent.Wrote = answer, mark.wrote.Load()
	if mark.late.Load() {
		return sent, ErrTooLate
	}
	return sent, err
}

// url keeps the bytes of the path: a parsed one might be written otherwise.
func (e Errand) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: e.Address, RawQuery: e.Query, ForceQuery: e.HasQuery}
	if strings.HasPrefix(e.Path, "//") {
		// Opaque would take these slashes for the start of a host.
		u.RawPath = e.Path
		if path, err := url.PathUnescape(e.Path); err == nil {
			u.Path = path
		}
		return u
	}
	u.Opaque = e.Path
	return u
}

package httpclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// Request is to be sent as it is: its method, path, query, host and body are
// the client's own bytes.
type Request struct {
	Method, Address string
	// Path and Query are as the client wrote them; HasQuery says that there
	// was a question mark.
	Path, Query string
	HasQuery    bool
	Host        string
	Header      http.Header
	Body        []byte
	// Fresh gives it a connection of its own: a kept one may have been closed
	// by the other side just now, and then nobody knows whether it ran.
	Fresh bool
}

// Forward makes one exchange and never repeats it. The exchange is never nil; its
// response must be closed, and its connection is used again only after Accept.
func (t *Client) Forward(ctx context.Context, r Request, mayWrite func() bool) (*Exchange, error) {
	request := &http.Request{
		Method: r.Method, URL: r.url(), Host: r.Host, Header: r.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	return t.clients.send(ctx, request, r.Body, mayWrite, r.Fresh)
}

// url keeps the bytes of the path: a parsed one might be written otherwise.
func (r Request) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: r.Address, RawQuery: r.Query, ForceQuery: r.HasQuery}
	if strings.HasPrefix(r.Path, "//") {
		// Opaque would take these slashes for the start of a host.
		u.RawPath = r.Path
		if path, err := url.PathUnescape(r.Path); err == nil {
			u.Path = path
		}
		return u
	}
	u.Opaque = r.Path
	return u
}

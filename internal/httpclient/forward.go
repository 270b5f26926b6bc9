package httpclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// Request is a client's request that is to be forwarded unchanged: its method,
// path, query, host and body are the client's own bytes.
type Request struct {
	Method, Address string
	// Path and Query are as the client wrote them. HasQuery says that there was a
	// question mark, since Query may be empty.
	Path, Query string
	HasQuery    bool
	Host        string
	Header      http.Header
	Body        []byte
	// Fresh sends it over a new connection. The other side may close a reused one
	// at the same time, and then it is unknown whether the request ran.
	Fresh bool
	// MaxIdle is how many connections to the address may stay idle beside this
	// exchange; further ones are closed.
	MaxIdle int
}

// Forward makes one exchange and never repeats it. The exchange is never nil, also
// with an error. The body of its response must be closed; the connection is
// reused only after Accept.
func (c *Client) Forward(ctx context.Context, r Request, mayWrite func() bool) (*Exchange, error) {
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
	c.clients.trimIdle(r.Address, r.MaxIdle+1)
	return c.clients.send(ctx, request, r.Body, mayWrite, r.Fresh)
}

// url keeps the bytes of the path, which a parsed URL might encode differently.
func (r Request) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: r.Address, RawQuery: r.Query, ForceQuery: r.HasQuery}
	if strings.HasPrefix(r.Path, "//") {
		// As Opaque, these slashes would be read as the start of a host.
		u.RawPath = r.Path
		if path, err := url.PathUnescape(r.Path); err == nil {
			u.Path = path
		}
		return u
	}
	u.Opaque = r.Path
	return u
}

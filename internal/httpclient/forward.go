package httpclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// Request is a client's request to be forwarded unchanged: its method, path, query, host
// and body are the bytes that the client sent.
type Request struct {
	Method, Address string
	// Path and Query are as the client wrote them. HasQuery is true if there was a question
	// mark; Query may be empty even so.
	Path, Query string
	HasQuery    bool
	Host        string
	Header      http.Header
	Body        []byte
	// NewConnection is true if the request is to be sent over a new connection. The server
	// may close a reused connection at the same time. Then it is unknown whether the request
	// ran.
	NewConnection bool
	// MaxIdle is how many connections to the address may stay idle besides the one of this
	// exchange. Further idle connections are closed.
	MaxIdle int
}

// Forward sends a request once and reads the head of the response. The exchange is not nil
// even if there is an error. The body of its response must be closed. The connection is
// reused only if Accept was called.
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
	return c.clients.send(ctx, request, r.Body, mayWrite, r.NewConnection)
}

// url returns a URL that is written with the same bytes as the client's path. A parsed path
// might be encoded differently.
func (r Request) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: r.Address, RawQuery: r.Query, ForceQuery: r.HasQuery}
	if strings.HasPrefix(r.Path, "//") {
		// If the path were stored in Opaque, its two slashes would be taken for the start of
		// a host.
		u.RawPath = r.Path
		if path, err := url.PathUnescape(r.Path); err == nil {
			u.Path = path
		}
		return u
	}
	u.Opaque = r.Path
	return u
}

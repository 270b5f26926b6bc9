// Package httpclient is the HTTP/1.1 client of this process, for calls to runners
// and to the platform.
//
// What holds on each of its connections: one exchange is in flight at a time;
// a request is written once and never sent again by itself; and a connection
// is used again only after a response that was read to its told end, was
// accepted by the caller, and left nothing behind it. On any doubt the
// connection is closed.
package httpclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an exchange beside those of the network.
var (
	// ErrNotAllowed says that the caller's check said no before the first byte.
	ErrNotAllowed = errors.New("too late to send")
	// ErrMalformed says that what came is no final response of HTTP/1.1.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLarge says that the head of a response is larger than allowed.
	ErrHeadTooLarge = errors.New("the head of a response is too large")
)

const (
	dialTimeout = time.Second
	idleTimeout = 2 * time.Second
	// Requests of clients have less time: another runner is soon reached, and
	// a connection that has just been used is the one least likely to be
	// closed.
	clientDialTimeout = 300 * time.Millisecond
	clientIdleTimeout = time.Second
	// silentMs is how long the other side may acknowledge nothing before a
	// connection counts as broken; a machine without power says nothing itself.
	silentMs = 2000
	// headBytes bounds the head of a response, clientHeadBytes that of one for
	// a client.
	headBytes       = 16 << 10
	clientHeadBytes = 64 << 10
)

// Client sends each request once, over connections that it keeps.
type Client struct {
	// calls are the connections for this process's own calls, clients those
	// for requests of clients.
	calls, clients *pool
}

// New makes a transport.
func New() *Client {
	return &Client{
		calls:   newPool(dialTimeout, idleTimeout, headBytes),
		clients: newPool(clientDialTimeout, clientIdleTimeout, clientHeadBytes),
	}
}

// Do sends a request once. Wrote says whether any byte may have reached the
// other side; without it the request certainly has not. The response counts as
// accepted, since these calls bear no id of a client's request.
func (t *Client) Do(ctx context.Context, method, url string, body []byte, mayWrite func() bool) (response *http.Response, wrote bool, err error) {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	exchange, err := t.calls.send(ctx, request, body, mayWrite, false)
	if err != nil {
		return nil, exchange.Written, err
	}
	exchange.Accept()
	return exchange.Response, exchange.Written, nil
}

// Close closes the connections that are idle.
func (t *Client) Close() {
	t.calls.closeIdle()
	t.clients.closeIdle()
}

// newDialer notices a machine that has gone silent.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
}

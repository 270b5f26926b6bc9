// Package httpclient is the HTTP/1.1 client of this process, for calls to runners
// and to the platform.
//
// Guarantees: each connection carries one exchange at a time; a request is
// written once and never repeated by the client; and a connection is reused only
// after a response that was read to its declared end, was accepted by the caller,
// and left no bytes behind it. In any other case the connection is closed.
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

// The errors of an exchange, besides those of the network.
var (
	// ErrNotAllowed says that the caller's check refused the first byte.
	ErrNotAllowed = errors.New("too late to send")
	// ErrMalformed says that the response is no valid final one of HTTP/1.1.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLarge says that the head of a response is larger than allowed.
	ErrHeadTooLarge = errors.New("the head of a response is too large")
)

const (
	callDialTimeout = time.Second
	callIdleTimeout = 2 * time.Second
	// Requests of clients have less time: another runner is soon reached.
	clientDialTimeout = 300 * time.Millisecond
	// clientIdleTimeout bounds how long a connection for them is kept idle where
	// the runner states no shorter time. One router sends a runner of a large
	// site a request every some ten seconds.
	clientIdleTimeout = 30 * time.Second
	// userTimeoutMs is how long the other side may leave sent bytes
	// unacknowledged before the connection counts as broken. A machine that lost
	// power sends no reset.
	userTimeoutMs = 2000
	// callHeadBytes bounds the head of a response to a call of this process,
	// clientHeadBytes that of a response to a client's request.
	callHeadBytes   = 16 << 10
	clientHeadBytes = 64 << 10
)

// Client sends requests, each once, over connections that it keeps. It is safe for
// concurrent use.
type Client struct {
	// calls has the connections for this process's own calls, clients those for
	// forwarded requests of clients.
	calls, clients *pool
}

// New makes a client.
func New() *Client {
	return &Client{
		calls:   newPool(callDialTimeout, callIdleTimeout, callHeadBytes),
		clients: newPool(clientDialTimeout, clientIdleTimeout, clientHeadBytes),
	}
}

// Do makes a call of this process. The request is written only if mayWrite allows
// it right before its first byte; ErrNotAllowed says that it did not. Wrote
// reports whether any byte may have reached the other side; without it the call
// certainly had no effect there. The response counts as accepted.
func (c *Client) Do(ctx context.Context, method, url string, body []byte, mayWrite func() bool) (response *http.Response, wrote bool, err error) {
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, false, err
	}
	if body != nil {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	exchange, err := c.calls.send(ctx, request, body, mayWrite, false)
	if err != nil {
		return nil, exchange.BytesWritten, err
	}
	exchange.Accept()
	return exchange.Response, exchange.BytesWritten, nil
}

// Close closes the connections that are idle.
func (c *Client) Close() {
	c.calls.closeIdle()
	c.clients.closeIdle()
}

// newDialer makes a dialer whose connections fail soon after the other machine
// went silent.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
}

// Package httpclient implements the HTTP/1.1 client for calls to runners and to the
// platform.
//
// Guarantees: A connection carries one exchange at a time. A request is written once and
// never retried by this package after its first byte. A connection is reused only after a
// response that was read to its declared end, was accepted by the caller, and was followed
// by no further bytes. In any other case the connection is closed.
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
	// ErrWriteNotAllowed means that the caller's write check did not allow the first byte.
	ErrWriteNotAllowed = errors.New("request not sent: the check before the first byte did not allow it")
	// ErrMalformed means that no valid final HTTP/1.1 response was received.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLarge means that the head of a response is larger than allowed.
	ErrHeadTooLarge = errors.New("response head is too large")
)

const (
	callDialTimeout = time.Second
	callIdleTimeout = 2 * time.Second
	// clientDialTimeout is shorter than callDialTimeout, because a client's request can
	// quickly be sent to another runner.
	clientDialTimeout = 300 * time.Millisecond
	// clientIdleTimeout bounds how long a connection for clients' requests is kept idle,
	// unless the runner states a shorter time. At a large site a router sends a runner a
	// request about every ten seconds.
	clientIdleTimeout = 30 * time.Second
	// userTimeoutMs is how long sent bytes may stay unacknowledged before the connection
	// is considered broken. A host that lost power sends no reset.
	userTimeoutMs = 2000
	// maxCallHeadBytes bounds the head of a response to a call of this process.
	// maxClientHeadBytes bounds the head of a response to a client's request.
	maxCallHeadBytes   = 16 << 10
	maxClientHeadBytes = 64 << 10
)

// Client sends requests, each once, and reuses connections. It is safe for concurrent use.
type Client struct {
	// calls is the pool for calls of this process. clients is the pool for forwarded
	// requests of clients.
	calls, clients *pool
}

// New returns a client.
func New() *Client {
	return &Client{
		calls:   newPool(callDialTimeout, callIdleTimeout, maxCallHeadBytes),
		clients: newPool(clientDialTimeout, clientIdleTimeout, maxClientHeadBytes),
	}
}

// Do makes a call of this process. It calls mayWrite immediately before the first byte of
// the request is written, and returns ErrWriteNotAllowed if that returns false. wrote reports
// whether any byte may have reached the server; if it is false, the call had no effect
// there. The response is accepted (see Exchange.Accept).
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

// Close closes all idle connections.
func (c *Client) Close() {
	c.calls.closeIdle()
	c.clients.closeIdle()
}

// newDialer returns a dialer whose connections fail soon after the remote host becomes
// unresponsive.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
}

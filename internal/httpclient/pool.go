package httpclient

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
	// readBufferBytes is small because there may be thousands of connections.
	readBufferBytes = 2 << 10
)

// pool keeps idle connections by address.
type pool struct {
	dialer       *net.Dialer
	idleTimeout  time.Duration
	maxHeadBytes int64

	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(dialTimeout, idleTimeout time.Duration, maxHeadBytes int64) *pool {
	return &pool{dialer: newDialer(dialTimeout), idleTimeout: idleTimeout, maxHeadBytes: maxHeadBytes, idle: map[string][]*conn{}}
}

// send makes one exchange, over an idle connection if there is one. If newConnection is
// true, it dials a connection, which is closed afterwards.
func (p *pool) send(ctx context.Context, request *http.Request, body []byte, mayWrite func() bool, newConnection bool) (*Exchange, error) {
	if !newConnection {
		if c := p.getIdle(request.URL.Host); c != nil {
			exchange, err := c.exchange(ctx, request, body, mayWrite, p)
			isFinal := err == nil || exchange.BytesWritten || exchange.writeNotAllowed || ctx.Err() != nil
			if isFinal {
				return exchange, err
			}
			// The connection failed before a byte of the request was written, so the
			// request may be sent over a new one.
			resetBody(request, body)
		}
	}
	dialed, err := p.dialer.DialContext(ctx, "tcp", request.URL.Host)
	if err != nil {
		return &Exchange{}, err
	}
	returnTo := p
	if newConnection {
		request.Close, returnTo = true, nil
	}
	return p.newConn(request.URL.Host, dialed).exchange(ctx, request, body, mayWrite, returnTo)
}

func (p *pool) newConn(address string, dialed net.Conn) *conn {
	c := &conn{Conn: dialed, address: address, maxHeadBytes: p.maxHeadBytes}
	c.reader = bufio.NewReaderSize(headLimiter{c}, readBufferBytes)
	return c
}

// getIdle returns the reusable connection that was used most recently, or nil.
func (p *pool) getIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil || c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.removeIdle(c)
	c.expiry.Stop()
	return c
}

// putIdle adds a connection for reuse until it has been idle for the timeout. If there are
// maxIdlePerAddress already, it closes the connection and returns false.
func (p *pool) putIdle(c *conn, idleTimeout time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if c.expiry == nil {
		c.expiry = time.AfterFunc(idleTimeout, func() { p.expire(c) })
	} else {
		c.expiry.Reset(idleTimeout)
	}
	return true
}

// trimIdle closes the connections to an address that have been idle longest, until at most
// maxIdle are left.
func (p *pool) trimIdle(address string, maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[address]) > maxIdle {
		oldest := p.idle[address][0]
		p.removeIdle(oldest)
		oldest.expiry.Stop()
		_ = oldest.Close()
	}
}

// expire closes a connection if it is still idle.
func (p *pool) expire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removeIdle(c) {
		_ = c.Close()
	}
}

// removeIdle removes an idle connection from the pool. It returns false if the connection
// was not idle. The caller must hold mu.
func (p *pool) removeIdle(c *conn) bool {
	idle := p.idle[c.address]
	index := slices.Index(idle, c)
	if index < 0 {
		return false
	}
	idle = slices.Delete(idle, index, index+1)
	if len(idle) == 0 {
		delete(p.idle, c.address)
	} else {
		p.idle[c.address] = idle
	}
	return true
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, c := range idle {
			c.expiry.Stop()
			_ = c.Close()
		}
	}
	clear(p.idle)
}

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
	// readBufferBytes is small: there may be thousands of connections.
	readBufferBytes = 2 << 10
)

// pool keeps idle connections by address.
type pool struct {
	dialer      *net.Dialer
	idleTimeout time.Duration
	headBytes   int64

	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(dialTimeout, idleTimeout time.Duration, headBytes int64) *pool {
	return &pool{dialer: newDialer(dialTimeout), idleTimeout: idleTimeout, headBytes: headBytes, idle: map[string][]*conn{}}
}

// send makes one exchange, over an idle connection where there is one. With fresh
// it gets a new connection, which is closed afterwards.
func (p *pool) send(ctx context.Context, request *http.Request, body []byte, mayWrite func() bool, fresh bool) (*Exchange, error) {
	if !fresh {
		if c := p.getIdle(request.URL.Host); c != nil {
			exchange, err := c.exchange(ctx, request, body, mayWrite, p)
			isFinal := err == nil || exchange.BytesWritten || exchange.writeRefused || ctx.Err() != nil
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
	if fresh {
		request.Close, returnTo = true, nil
	}
	return p.newConn(request.URL.Host, dialed).exchange(ctx, request, body, mayWrite, returnTo)
}

func (p *pool) newConn(address string, dialed net.Conn) *conn {
	c := &conn{Conn: dialed, address: address, headBytes: p.headBytes}
	c.reader = bufio.NewReaderSize(headLimiter{c}, readBufferBytes)
	return c
}

// getIdle returns the reusable connection that was used last, or nil.
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

// putIdle keeps a connection for reuse until it has been idle for the time-out.
// It returns false where there are enough, and closes it.
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

// trimIdle closes the connections to an address that have been idle longest, until
// no more than the given number is left.
func (p *pool) trimIdle(address string, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[address]) > most {
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

// removeIdle removes an idle connection; false means that it was not there.
// The caller holds the lock.
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

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
	// idlePerAddress bounds the idle connections to one address.
	idlePerAddress = 16
	// readBufferBytes is small: there may be thousands of connections.
	readBufferBytes = 2 << 10
)

// pool keeps connections that are idle, by address.
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

// send makes one exchange. With fresh it gets a connection of its own, which
// is closed afterwards.
func (p *pool) send(ctx context.Context, request *http.Request, body []byte, mayWrite func() bool, fresh bool) (*Exchange, error) {
	if !fresh {
		if c := p.take(request.URL.Host); c != nil {
			exchange, err := c.exchange(ctx, request, body, mayWrite, p)
			if err == nil || exchange.Written || exchange.refused || ctx.Err() != nil {
				return exchange, err
			}
			// It broke before a byte of the request was written.
			rewind(request, body)
		}
	}
	dialed, err := p.dialer.DialContext(ctx, "tcp", request.URL.Host)
	if err != nil {
		return &Exchange{}, err
	}
	keeper := p
	if fresh {
		request.Close, keeper = true, nil
	}
	return p.newConn(request.URL.Host, dialed).exchange(ctx, request, body, mayWrite, keeper)
}

func (p *pool) newConn(address string, dialed net.Conn) *conn {
	c := &conn{Conn: dialed, address: address, headBytes: p.headBytes}
	c.reader = bufio.NewReaderSize(headLimiter{c}, readBufferBytes)
	return c
}

// take gives the connection that was used last and is certainly clean, or nil.
func (p *pool) take(address string) *conn {
	for {
		c := p.last(address)
		if c == nil || c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) last(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.drop(c)
	c.expiry.Stop()
	return c
}

// put keeps a connection until it has been idle for too long.
func (p *pool) put(c *conn, idleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= idlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if c.expiry == nil {
		c.expiry = time.AfterFunc(idleTimeout, func() { p.expire(c) })
	} else {
		c.expiry.Reset(idleTimeout)
	}
}

// expire closes a connection if it is still idle.
func (p *pool) expire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drop(c) {
		_ = c.Close()
	}
}

// drop takes a connection out; false says that it was not there.
func (p *pool) drop(c *conn) bool {
	kept := p.idle[c.address]
	at := slices.Index(kept, c)
	if at < 0 {
		return false
	}
	if kept = slices.Delete(kept, at, at+1); len(kept) == 0 {
		delete(p.idle, c.address)
	} else {
		p.idle[c.address] = kept
	}
	return true
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, c := range kept {
			c.expiry.Stop()
			_ = c.Close()
		}
	}
	clear(p.idle)
}

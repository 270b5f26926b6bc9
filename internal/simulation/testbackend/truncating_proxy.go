package testbackend

import (
	"net"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

const (
	// unlimited is the limit that forwards all bytes of a connection.
	unlimited = -1
	// copyBufferBytes is the most that is forwarded in one step.
	copyBufferBytes = 4096
)

// TruncatingProxy is a TCP proxy in front of a back end that closes a connection after
// a number of bytes of requests or of responses.
type TruncatingProxy struct {
	// RequestLimit and ResponseLimit are how many bytes of each connection are
	// forwarded to the back end and from it; a negative limit means all.
	RequestLimit, ResponseLimit atomic.Int64
	// Truncated counts the connections that were closed because of a limit.
	Truncated atomic.Int64

	listener net.Listener
	target   string
}

// NewTruncatingProxy returns a proxy from a listener to a back end's address, which has
// no limits at first.
func NewTruncatingProxy(listener net.Listener, target string) *TruncatingProxy {
	p := &TruncatingProxy{listener: listener, target: target}
	p.Reset()
	return p
}

// Reset removes both limits.
func (p *TruncatingProxy) Reset() {
	p.RequestLimit.Store(unlimited)
	p.ResponseLimit.Store(unlimited)
}

// Serve accepts connections until the listener is closed.
func (p *TruncatingProxy) Serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		backend, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		var once sync.Once
		closeBoth := func() { once.Do(func() { _, _ = client.Close(), backend.Close() }) }
		threads.Go(func() { p.copyUpTo(backend, client, &p.RequestLimit, closeBoth) })
		threads.Go(func() { p.copyUpTo(client, backend, &p.ResponseLimit, closeBoth) })
	}
}

// copyUpTo forwards bytes until a connection ends or the limit is reached.
func (p *TruncatingProxy) copyUpTo(to, from net.Conn, limit *atomic.Int64, closeBoth func()) {
	defer closeBoth()
	var forwarded int64
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buffer)
		limitBytes := limit.Load()
		if limitBytes >= 0 && forwarded+int64(n) > limitBytes {
			_, _ = to.Write(buffer[:max(0, limitBytes-forwarded)])
			p.Truncated.Add(1)
			return
		}
		forwarded += int64(n)
		if _, err := to.Write(buffer[:n]); err != nil || readErr != nil {
			return
		}
	}
}

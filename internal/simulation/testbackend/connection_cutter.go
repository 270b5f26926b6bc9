package testbackend

import (
	"net"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

// ConnectionCutter stands on the way to a back end and cuts streams off in the middle:
// after so many bytes towards it, or so many back.
type ConnectionCutter struct {
	listener net.Listener
	target   string
	// RequestLimit and Back are how many bytes of each stream pass, or below nought
	// for all.
	RequestLimit, ResponseLimit atomic.Int64
	// Cuts counts the streams that were cut off.
	Cuts atomic.Int64
}

// NewConnectionCutter listens before a back end; nothing is cut yet.
func NewConnectionCutter(listener net.Listener, target string) *ConnectionCutter {
	c := &ConnectionCutter{listener: listener, target: target}
	c.Reset()
	return c
}

// Reset lets all pass again.
func (c *ConnectionCutter) Reset() {
	c.RequestLimit.Store(-1)
	c.ResponseLimit.Store(-1)
}

// Serve carries streams until the listener is closed.
func (c *ConnectionCutter) Serve() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		var once sync.Once
		end := func() { once.Do(func() { _, _ = near.Close(), far.Close() }) }
		threads.Go(func() { c.copyUpTo(far, near, &c.RequestLimit, end) })
		threads.Go(func() { c.copyUpTo(near, far, &c.ResponseLimit, end) })
	}
}

// copyUpTo passes bytes on until one side ends or the bound is reached.
func (c *ConnectionCutter) copyUpTo(to, from net.Conn, bound *atomic.Int64, end func()) {
	defer end()
	passed, buffer := int64(0), make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		most := bound.Load()
		if most >= 0 && passed+int64(n) > most {
			_, _ = to.Write(buffer[:max(0, most-passed)])
			c.Cuts.Add(1)
			return
		}
		passed += int64(n)
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

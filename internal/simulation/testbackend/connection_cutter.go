package testbackend

import (
	"net"
	"sync"
	"sync/atomic"

	"myrtlewinch/internal/threads"
)

const (
	// unlimited lets all bytes of a connection pass.
	unlimited = -1
	// copyBufferBytes is the most that is passed on in one step.
	copyBufferBytes = 4096
)

// ConnectionCutter is a TCP proxy before a back end that cuts connections after
// so many bytes of requests or of responses.
type ConnectionCutter struct {
	// RequestLimit and ResponseLimit are how many bytes of each connection pass
	// towards the back end and from it; below 0 all do.
	RequestLimit, ResponseLimit atomic.Int64
	// Cuts counts the connections that were cut.
	Cuts atomic.Int64

	listener net.Listener
	target   string
}

// NewConnectionCutter makes a cutter from a listener to a back end's address.
// It cuts nothing until a limit is set.
func NewConnectionCutter(listener net.Listener, target string) *ConnectionCutter {
	c := &ConnectionCutter{listener: listener, target: target}
	c.Reset()
	return c
}

// Reset takes both limits away.
func (c *ConnectionCutter) Reset() {
	c.RequestLimit.Store(unlimited)
	c.ResponseLimit.Store(unlimited)
}

// Serve accepts connections until the listener is closed.
func (c *ConnectionCutter) Serve() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		backend, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		var once sync.Once
		closeBoth := func() { once.Do(func() { _, _ = client.Close(), backend.Close() }) }
		threads.Go(func() { c.copyUpTo(backend, client, &c.RequestLimit, closeBoth) })
		threads.Go(func() { c.copyUpTo(client, backend, &c.ResponseLimit, closeBoth) })
	}
}

// copyUpTo passes bytes on until one side ends or the limit is reached.
func (c *ConnectionCutter) copyUpTo(to, from net.Conn, limit *atomic.Int64, closeBoth func()) {
	defer closeBoth()
	var passed int64
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := from.Read(buffer)
		most := limit.Load()
		if most >= 0 && passed+int64(n) > most {
			_, _ = to.Write(buffer[:max(0, most-passed)])
			c.Cuts.Add(1)
			return
		}
		passed += int64(n)
		if _, err := to.Write(buffer[:n]); err != nil || readErr != nil {
			return
		}
	}
}

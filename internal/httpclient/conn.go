package httpclient

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"
)

// conn is one connection. It belongs to its pool while it is idle, and otherwise
// to one exchange.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// headBytes bounds each head. headLeft is what may still be read of the
	// current one; it is negative while no head is being read.
	headBytes, headLeft int64
	expiry              *time.Timer
}

// headLimiter reads from a connection, but no more of a head than is allowed.
type headLimiter struct{ conn *conn }

func (l headLimiter) Read(p []byte) (int, error) {
	c := l.conn
	if c.headLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headLeft)])
	c.headLeft -= int64(n)
	return n, err
}

// isReusable reports whether an idle connection is open and nothing has arrived
// on it. A response that nobody asked for, the end or a reset make it unusable.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		reusable = hasNothingToRead(fd)
		return true
	})
	return err == nil && reusable
}

// readResponse reads one head, of bounded size.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	c.headLeft = c.headBytes
	response, err := http.ReadResponse(c.reader, request)
	c.headLeft = -1
	return response, err
}

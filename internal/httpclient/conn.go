package httpclient

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection. It belongs either to its pool or to one exchange.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// headBytes bounds each head, headLeft is what may still be read of this
	// one; it is below nought while no head is read.
	headBytes, headLeft int64
	expiry              *time.Timer
}

// headLimiter reads from a connection, and no more of a head than allowed.
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

// isQuiet says whether an idle connection is still open and nothing has come on
// it: a response that nobody asked for, the end or a reset make it unfit.
func (c *conn) isQuiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		quiet = nothingToRead(fd)
		return true
	})
	return err == nil && quiet
}

package httpclient

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"
)

// conn is one connection. It is owned by its pool while it is idle, and by one exchange
// otherwise.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// maxHeadBytes bounds the head of each response. headBytesLeft is how many bytes of the
	// current head may still be read; it is negative while no head is being read.
	maxHeadBytes, headBytesLeft int64
	expiry                      *time.Timer
}

// headLimiter reads from a connection and limits the size of each head.
type headLimiter struct{ conn *conn }

func (l headLimiter) Read(p []byte) (int, error) {
	c := l.conn
	if c.headBytesLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headBytesLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headBytesLeft)])
	c.headBytesLeft -= int64(n)
	return n, err
}

// isReusable reports whether an idle connection is open and nothing has arrived on it. An
// unsolicited response, the end of the stream or a reset make it unusable.
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

// readResponse reads the head of one response, of bounded size.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	c.headBytesLeft = c.maxHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.headBytesLeft = -1
	return response, err
}

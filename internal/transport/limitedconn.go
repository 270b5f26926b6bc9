package transport

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/memory"
)

const (
	// frameTimeout is how long a frame may take without the time for its bytes, and how long
	// the write of an acknowledgement may take. The sender gives up after half of that.
	frameTimeout = 2 * callTimeoutMs * time.Millisecond
	// minFrameBytesPerMs is the rate at which a frame must arrive.
	minFrameBytesPerMs = slowLinkBytesPerMs / 2
	// finalReadTimeout bounds one more read after the deadline, which returns bytes that
	// arrived while the process was stalled.
	finalReadTimeout = 10 * time.Millisecond
)

// errNoMemory means that the account has no memory for a frame.
var errNoMemory = errors.New("no memory is left for the frame")

// limitedConn is a connection that a peer opened. It limits the time that a frame may take,
// and takes the memory of frames from the account. Only the goroutine that serves the
// connection uses it.
type limitedConn struct {
	net.Conn
	reservation *memory.Reservation
	// frameStart is when the current frame began, zero between frames. received counts its
	// bytes.
	frameStart time.Time
	received   int64
	// taken is the memory of the last frame, which gob keeps until the next one.
	taken int
}

var _ frameLimits = (*limitedConn)(nil)

func newLimitedConn(conn net.Conn, account *memory.Account) *limitedConn {
	return &limitedConn{Conn: conn, reservation: account.Open()}
}

// begin begins the time limit of a frame.
func (c *limitedConn) begin() {
	c.reservation.Keep()
	c.frameStart, c.received = time.Now(), 0
}

// end ends the time limit. While the connection is silent, the account may close it in favour
// of others.
func (c *limitedConn) end() {
	c.frameStart = time.Time{}
	_ = c.SetReadDeadline(time.Time{})
	if c.taken > 0 {
		c.reservation.AllowEviction(func() { _ = c.Conn.Close() })
	}
}

// resize takes the memory for a frame of this size in place of the memory taken before.
func (c *limitedConn) resize(bytes int) bool {
	if bytes <= keptFrameBytes {
		bytes = 0
	}
	if more := int64(bytes - c.taken); more > 0 && !c.reservation.Grow(memory.Messages, more) {
		return false
	} else if more < 0 {
		c.reservation.Shrink(memory.Messages, -more)
	}
	c.taken = bytes
	return true
}

// Read reads with the deadline of the frame.
func (c *limitedConn) Read(p []byte) (int, error) {
	if !c.frameStart.IsZero() {
		forBytes := time.Duration(c.received/minFrameBytesPerMs) * time.Millisecond
		_ = c.SetReadDeadline(c.frameStart.Add(frameTimeout + forBytes))
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		n, err = c.Conn.Read(p)
	}
	c.received += int64(n)
	return n, err
}

// Write writes an acknowledgement. If that fails the connection is closed.
func (c *limitedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(frameTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

package listener

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Accepted connections inherit the receive buffer.
func TestReceiveBufferIsLimited(t *testing.T) {
	c := qt.New(t)
	opened, err := Listen("127.0.0.1:0", ClientBufferBytes, 0)
	c.Assert(err, qt.IsNil)
	defer func() { _ = opened.Close() }()
	client, err := net.Dial("tcp", opened.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	accepted, err := opened.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	size := 0
	c.Assert(raw.Control(func(fd uintptr) {
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Assert(size, qt.Equals, ClientBufferBytes)
}

func TestListenReportsErrors(t *testing.T) {
	_, err := Listen("nowhere", ClientBufferBytes, 0)
	qt.Assert(t, err, qt.IsNotNil)
}

// Clients that connect at the same moment all get a connection, even while the process does not
// accept any. Guards against review/3's lost clients: of 75 at a router some were dropped.
func TestBurstOfClientsIsQueued(t *testing.T) {
	// The largest burst of a small site is 151 clients, at a router with 284 MB.
	const clients, memoryMb = 151, 284
	const dialTimeout = 10 * time.Second
	c := qt.New(t)
	opened, err := Listen("127.0.0.1:0", ClientBufferBytes, memoryMb)
	c.Assert(err, qt.IsNil)
	defer func() { _ = opened.Close() }()
	for number := range clients {
		client, err := net.DialTimeout("tcp", opened.Addr().String(), dialTimeout)
		c.Assert(err, qt.IsNil, qt.Commentf("client %d", number))
		defer func() { _ = client.Close() }()
	}
}

// The connections that wait hold at most a small part of the memory.
func TestBacklogFitsIntoTheMemory(t *testing.T) {
	const share = 8
	for memoryMb := 64; memoryMb <= 1024; memoryMb += 4 {
		bytes := backlogOf(memoryMb) * PeerBufferBytes
		qt.Check(t, bytes <= memoryMb<<20/share, qt.IsTrue, qt.Commentf("%d MB", memoryMb))
	}
	qt.Check(t, backlogOf(0), qt.Equals, backlogOf(defaultMemoryMb))
	qt.Check(t, backlogOf(1), qt.Equals, minBacklog)
	qt.Check(t, backlogOf(1<<20), qt.Equals, maxBacklog)
}

package transport

import (
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// queueListener returns errors and connections of a queue.
type queueListener struct{ queue chan any }

func (l queueListener) Accept() (net.Conn, error) {
	switch next := (<-l.queue).(type) {
	case net.Conn:
		return next, nil
	case error:
		return nil, next
	}
	return nil, net.ErrClosed
}

func (l queueListener) Close() error   { return nil }
func (l queueListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeServer is a Server in virtual time, over pipes.
type pipeServer struct {
	account   *memory.Account
	queue     chan any
	counts    map[string]int
	delivered atomic.Int64
	clients   []net.Conn
}

func runPipeServer(t *testing.T, maxConnections int, run func(c *qt.C, s *pipeServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &pipeServer{account: memory.NewAccount(memory.LimitFor(0)), queue: make(chan any), counts: map[string]int{}}
		server := NewServer(ServerOptions{
			Site: "s", Listener: queueListener{s.queue}, Account: s.account, MaxConnections: maxConnections,
			Deliver: func(protocol.Envelope) { s.delivered.Add(1) }, Count: func(name string) { s.counts[name]++ },
		})
		ended := make(chan error, 1)
		threads.Go(func() { ended <- server.Serve() })
		run(qt.New(t), s)
		for _, client := range s.clients {
			_ = client.Close()
		}
		server.Close()
		close(s.queue)
		qt.Check(t, <-ended, qt.IsNil)
		synctest.Wait()
		qt.Check(t, s.account.Used(), qt.Equals, int64(0))
	})
}

func (s *pipeServer) dial() net.Conn {
	client, accepted := net.Pipe()
	s.clients = append(s.clients, client)
	s.queue <- accepted
	synctest.Wait()
	return client
}

// isClosed reports whether the server has closed a connection.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return err == io.EOF || err == io.ErrClosedPipe
}

// sendBatch writes a batch with one message.
func sendBatch(client net.Conn, sequence uint64, codec *ClientCodec) error {
	return codec.WriteRequest(&rpc.Request{ServiceMethod: batchMethod, Seq: sequence}, []protocol.Envelope{{Site: "s", Body: protocol.Heartbeat{Epoch: 1}}})
}

// Errors of Accept that pass do not end the server.
func TestAcceptErrorsThatPass(t *testing.T) {
	runPipeServer(t, 10, func(c *qt.C, s *pipeServer) {
		for _, err := range []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE} {
			s.queue <- &net.OpError{Op: "accept", Err: err}
		}
		c.Assert(isClosed(s.dial()), qt.IsFalse)
		c.Assert(s.counts[countAcceptFailed], qt.Equals, 3)
	})
}

// If there are too many connections, the one whose last message is oldest makes room.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	runPipeServer(t, 2, func(c *qt.C, s *pipeServer) {
		peer, silent := s.dial(), s.dial()
		codec := NewClientCodec(peer)
		c.Assert(sendBatch(peer, 0, codec), qt.IsNil)
		c.Assert(codec.ReadResponseHeader(&rpc.Response{}), qt.IsNil)
		c.Assert(codec.ReadResponseBody(&Ack{}), qt.IsNil)
		synctest.Wait()
		third := s.dial()
		c.Assert(isClosed(silent), qt.IsTrue)
		c.Assert(isClosed(peer), qt.IsFalse)
		c.Assert(isClosed(third), qt.IsFalse)
		c.Assert(s.counts[countTooManyConnections], qt.Equals, 1)
	})
}

// A frame that stops short ends its connection soon; one that keeps arriving does not.
func TestFramesHaveADeadline(t *testing.T) {
	const blockBytes, blocks = 64 << 10, 20
	for _, test := range []struct {
		name   string
		pause  time.Duration
		closed bool
	}{
		{"arrives slowly", blockBytes / (2 * slowLinkBytesPerMs) * time.Millisecond, false},
		{"stops short", 2 * frameTimeout, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runPipeServer(t, 10, func(c *qt.C, s *pipeServer) {
				client := s.dial()
				head := binary.BigEndian.AppendUint32(nil, blocks*blockBytes)
				_, err := client.Write(head)
				c.Assert(err, qt.IsNil)
				for range blocks - 1 {
					_, err = client.Write(make([]byte, blockBytes))
					time.Sleep(test.pause)
				}
				c.Assert(err != nil, qt.Equals, test.closed)
				c.Assert(isClosed(client), qt.Equals, test.closed)
			})
		})
	}
}

// The memory of a frame is taken as it arrives, not by its declared length, and a frame that
// does not fit ends its connection.
func TestFramesTakeMemory(t *testing.T) {
	runPipeServer(t, 10, func(c *qt.C, s *pipeServer) {
		client := s.dial()
		before := s.account.Used()
		_, err := client.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes))
		c.Assert(err, qt.IsNil)
		_, err = client.Write(make([]byte, 100<<10))
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		taken := s.account.Used() - before
		c.Assert(taken >= 100<<10 && taken <= 256<<10, qt.IsTrue, qt.Commentf("%d bytes taken", taken))
		c.Assert(s.account.Take(memory.Messages, s.account.ClassLimit(memory.Messages)-s.account.Used()), qt.IsTrue)
		used := s.account.Used()
		_, _ = client.Write(make([]byte, 1<<20))
		synctest.Wait()
		c.Assert(isClosed(client), qt.IsTrue)
		s.account.Release(memory.Messages, used-before-taken)
	})
}

// A peer that does not read its acknowledgements holds up only itself, and loses its
// connection.
func TestAcknowledgementsHaveADeadline(t *testing.T) {
	runPipeServer(t, 10, func(c *qt.C, s *pipeServer) {
		client := s.dial()
		codec := NewClientCodec(client)
		c.Assert(sendBatch(client, 0, codec), qt.IsNil)
		done := make(chan error, 1)
		threads.Go(func() { done <- sendBatch(client, 1, codec) })
		time.Sleep(frameTimeout / 2)
		c.Assert(s.delivered.Load(), qt.Equals, int64(1), qt.Commentf("the second call waits"))
		time.Sleep(frameTimeout)
		c.Assert(<-done, qt.IsNotNil)
		c.Assert(isClosed(client), qt.IsTrue)
	})
}

// BenchmarkFrames is the cost of a call with one short message.
func BenchmarkFrames(b *testing.B) {
	address, delivered, _ := testServer(qt.New(b))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	client := newRPCClient(conn)
	defer client.close()
	batch := []protocol.Envelope{{Site: "s", Body: protocol.Heartbeat{Epoch: 1}}}
	for b.Loop() {
		if err := client.call(batch, time.Second); err != nil {
			b.Fatal(err)
		}
		<-delivered
	}
}

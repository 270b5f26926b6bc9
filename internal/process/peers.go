package process

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/threads"
)

const (
	// peerMost is a site of 330 routers, with the places of machines that
	// were replaced. A line costs a thread's small stack until it is used.
	peerMost  = 1024
	lineMost  = 1024
	batchMost = 64
	// batchBytesMost ends a batch, so that small messages don't wait behind, or
	// get lost with, more than one large one.
	batchBytesMost = 256 << 10
	// callMs is the time for a call beside what its bytes take over a thin link
	// that others share.
	callMs         = 1500
	thinBytesPerMs = 600
)

// Ack ends a batch that was taken.
type Ack struct{}

// lines are the streams to peers: one thread and one bounded ring for each
// address, so that a frozen peer holds up no other.
type lines struct {
	mu     sync.Mutex
	open   map[string]*ringbuffer.Buffer[protocol.Envelope]
	closed bool
	count  func(string)
}

func newLines(count func(string)) *lines {
	return &lines{open: map[string]*ringbuffer.Buffer[protocol.Envelope]{}, count: count}
}

func (l *lines) put(address string, e protocol.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.open[address]
	if line == nil {
		if l.closed || len(l.open) >= peerMost {
			l.count("peers too many")
			return
		}
		line = ringbuffer.New[protocol.Envelope](lineMost)
		l.open[address] = line
		threads.Go(func() { l.carry(address, line) })
	}
	if !line.Push(e) {
		l.count("peer line full")
	}
}

func (l *lines) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, line := range l.open {
		line.Close()
	}
}

// route is an open connection to a peer.
type route struct {
	stream net.Conn
	client *rpc.Client
}

func newRoute(stream net.Conn) *route {
	return &route{stream, rpc.NewClientWithCodec(protocol.NewClientCodec(stream))}
}

func (r *route) close() {
	if r != nil {
		_ = r.client.Close()
	}
}

// carry brings a line's messages over, in order. What can't be brought is
// dropped: every message is repeated by a later tick where it matters.
func (l *lines) carry(address string, line *ringbuffer.Buffer[protocol.Envelope]) {
	var open *route
	var heldUntil time.Time
	for {
		batch, ok := takeBatch(line)
		if !ok {
			open.close()
			return
		}
		// A peer that can't be reached is not dialled for each message.
		if open == nil && time.Now().Before(heldUntil) {
			l.count("messages lost")
			continue
		}
		if open == nil {
			stream, err := net.DialTimeout("tcp", address, callMs*time.Millisecond/3)
			if err != nil {
				heldUntil = time.Now().Add(100 * time.Millisecond)
				l.count("messages lost")
				continue
			}
			open = newRoute(stream)
		}
		if err := open.call(batch, callTime(batch)); err != nil {
			l.count("messages lost")
			open.close()
			open = nil
		}
	}
}

// takeBatch gives what waits in a line, at least one message, up to a number
// and to the message that makes it large. False says that the line has ended.
func takeBatch(line *ringbuffer.Buffer[protocol.Envelope]) ([]protocol.Envelope, bool) {
	first, ok := line.Pop()
	if !ok {
		return nil, false
	}
	batch, bytes := []protocol.Envelope{first}, weight(first)
	for waiting, _ := line.Stats(); waiting > 0 && len(batch) < batchMost && bytes < batchBytesMost; waiting-- {
		more, ok := line.Pop()
		if !ok {
			break
		}
		batch, bytes = append(batch, more), bytes+weight(more)
	}
	return batch, true
}

// weight is about how many bytes of rows or of a map a message carries; all
// others are small.
func weight(e protocol.Envelope) (bytes int) {
	switch body := e.Body.(type) {
	case protocol.Snapshot:
		return rowBytes(body.Rows)
	case protocol.Append:
		for _, change := range body.Changes {
			bytes += rowBytes(change.Rows)
		}
	case protocol.ConfigUpdate:
		return len(body.Packed)
	}
	return bytes
}

func rowBytes(rows map[string]string) (bytes int) {
	for key, row := range rows {
		bytes += len(key) + len(row)
	}
	return bytes
}

// callTime is how long a call with the batch may take.
func callTime(batch []protocol.Envelope) time.Duration {
	bytes := 0
	for _, e := range batch {
		bytes += weight(e)
	}
	return time.Duration(callMs+bytes/thinBytesPerMs) * time.Millisecond
}

// call brings a batch over and waits until it was taken. The writing has to end
// in time as well: a peer that stands still takes no more than its buffers
// hold, and a line that waits for it brings it nothing after it wakes.
func (r *route) call(batch []protocol.Envelope, atMost time.Duration) error {
	if err := r.stream.SetWriteDeadline(time.Now().Add(atMost)); err != nil {
		return err
	}
	done := r.client.Go("Door.Take", batch, &Ack{}, make(chan *rpc.Call, 1)).Done
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case ended := <-done:
		return ended.Error
	case <-timer.C:
		return errors.New("no answer in time")
	}
}

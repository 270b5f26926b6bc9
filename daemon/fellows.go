package daemon

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/crew"
	"myrtlewinch/ring"
	"myrtlewinch/wire"
)

const (
	// fellowMost is a site of 330 routers, with the places of machines that
	// were replaced. A line costs a thread's small stack until it is used.
	fellowMost = 1024
	lineMost   = 1024
	batchMost  = 64
	callMs     = 1500
)

// Ack ends a batch that was taken.
type Ack struct{}

// lines are the streams to fellows: one thread and one bounded ring for each
// address, so that a frozen fellow holds up no other.
type lines struct {
	mu     sync.Mutex
	open   map[string]*ring.Ring[wire.Envelope]
	closed bool
	count  func(string)
}

func newLines(count func(string)) *lines {
	return &lines{open: map[string]*ring.Ring[wire.Envelope]{}, count: count}
}

func (l *lines) put(address string, e wire.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.open[address]
	if line == nil {
		if l.closed || len(l.open) >= fellowMost {
			l.count("fellows too many")
			return
		}
		line = ring.New[wire.Envelope](lineMost)
		l.open[address] = line
		crew.Side(func() { l.carry(address, line) })
	}
	if !line.Put(e) {
		l.count("fellow line full")
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

// carry brings a line's messages over, in order. What can't be brought is
// dropped: every message is repeated by a later tick where it matters.
func (l *lines) carry(address string, line *ring.Ring[wire.Envelope]) {
	var caller *rpc.Client
	var heldUntil time.Time
	for {
		first, ok := line.Take()
		if !ok {
			if caller != nil {
				_ = caller.Close()
			}
			return
		}
		batch := []wire.Envelope{first}
		for waiting, _ := line.Burden(); waiting > 0 && len(batch) < batchMost; waiting-- {
			more, ok := line.Take()
			if !ok {
				break
			}
			batch = append(batch, more)
		}
		// A fellow that can't be reached is not dialled for each message.
		if caller == nil && time.Now().Before(heldUntil) {
			l.count("messages lost")
			continue
		}
		if caller == nil {
			stream, err := net.DialTimeout("tcp", address, callMs*time.Millisecond/3)
			if err != nil {
				heldUntil = time.Now().Add(100 * time.Millisecond)
				l.count("messages lost")
				continue
			}
			caller = rpc.NewClientWithCodec(wire.NewClientCodec(stream))
		}
		if err := call(caller, batch); err != nil {
			l.count("messages lost")
			_ = caller.Close()
			caller = nil
		}
	}
}

func call(caller *rpc.Client, batch []wire.Envelope) error {
	done := caller.Go("Door.Take", batch, &Ack{}, make(chan *rpc.Call, 1)).Done
	timer := time.NewTimer(callMs * time.Millisecond)
	defer timer.Stop()
	select {
	case ended := <-done:
		return ended.Error
	case <-timer.C:
		return errors.New("no answer in time")
	}
}

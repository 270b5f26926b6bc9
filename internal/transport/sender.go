// Package transport carries messages between the daemons of a site: batches of
// envelopes as net/rpc calls over TCP, in frames of bounded length.
//
// Delivery is best effort. Messages to one address arrive in their order, but
// any of them may be lost, and none is repeated here: the state machines repeat
// what matters on later ticks.
package transport

import (
	"sync"
	"time"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/threads"
)

const (
	// maxPeers is a site of 330 routers with the addresses of machines that
	// were replaced. A queue that is not in use costs little.
	maxPeers = 1024
	// maxQueued bounds the messages that wait for one peer.
	maxQueued = 1024
	// callDialTimeout bounds a connection attempt, and redialDelay is the time
	// after a failed one in which a peer is not tried again.
	dialTimeout = callTimeoutMs * time.Millisecond / 3
	redialDelay = 100 * time.Millisecond
)

// Sender sends messages to peers. Each address has a bounded queue and a
// goroutine, so that a peer that hangs delays no other.
type Sender struct {
	count func(name string)

	mu     sync.Mutex
	queues map[string]*ringbuffer.Buffer[protocol.Envelope]
	closed bool
}

// NewSender makes a sender; count adds one to a named counter.
func NewSender(count func(name string)) *Sender {
	return &Sender{count: count, queues: map[string]*ringbuffer.Buffer[protocol.Envelope]{}}
}

// Send queues a message for an address. It never blocks: where the queue is
// full, or there are too many peers, the message is dropped and counted.
func (s *Sender) Send(address string, envelope protocol.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[address]
	if queue == nil {
		if s.closed || len(s.queues) >= maxPeers {
			s.count("peers too many")
			return
		}
		queue = ringbuffer.New[protocol.Envelope](maxQueued)
		s.queues[address] = queue
		threads.Go(func() { s.sendQueued(address, queue) })
	}
	if !queue.Push(envelope) {
		s.count("peer line full")
	}
}

// Close ends each peer's goroutine once its queue is empty.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, queue := range s.queues {
		queue.Close()
	}
}

// sendQueued sends one peer's messages in their order until the queue is closed.
func (s *Sender) sendQueued(address string, queue *ringbuffer.Buffer[protocol.Envelope]) {
	peer := peerConnection{address: address}
	defer peer.close()
	for {
		batch, ok := nextBatch(queue)
		if !ok {
			return
		}
		if err := peer.send(batch); err != nil {
			s.count("messages lost")
		}
	}
}

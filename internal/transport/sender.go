// Package transport carries messages between the daemons of a site: batches of
// envelopes as net/rpc calls over TCP, in frames of bounded length.
//
// Delivery is best effort. Messages to one address arrive in order, but any of them may be
// lost. This package never resends a message. The state machines send important messages
// again on later ticks.
package transport

import (
	"sync"
	"time"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
	"myrtlewinch/internal/threads"
)

const (
	// maxPeers is enough for a site of 330 routers and the former addresses of replaced
	// hosts. An unused queue costs little.
	maxPeers = 1024
	// maxQueued bounds the messages queued for one peer.
	maxQueued = 1024
	// dialTimeout bounds an attempt to connect, and redialDelay is how long a peer is not
	// dialled after a failed one.
	dialTimeout = callTimeoutMs * time.Millisecond / 3
	redialDelay = 100 * time.Millisecond
)

// Sender sends messages to peers. Each address has a bounded queue and a goroutine of its
// own, so that a peer that hangs does not delay others.
type Sender struct {
	count func(name string)

	mu     sync.Mutex
	queues map[string]*ringbuffer.Buffer[protocol.Envelope]
	closed bool
}

// NewSender returns a sender; count adds one to a named counter.
func NewSender(count func(name string)) *Sender {
	return &Sender{count: count, queues: map[string]*ringbuffer.Buffer[protocol.Envelope]{}}
}

// Send queues a message for an address. It never blocks: if the queue is full, there are
// too many peers, or the sender is closed, the message is dropped and counted.
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
		// Counts messages dropped because the queue of their peer is full or closed.
		s.count("peer line full")
	}
}

// Close makes each peer's goroutine end once its queue is empty.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, queue := range s.queues {
		queue.Close()
	}
}

// sendQueued sends one peer's messages in order until the queue is closed and empty.
func (s *Sender) sendQueued(address string, queue *ringbuffer.Buffer[protocol.Envelope]) {
	peer := peerConnection{address: address}
	defer peer.close()
	for {
		batch, ok := nextBatch(queue)
		if !ok {
			return
		}
		if err := peer.send(batch); err != nil {
			// Counts batches that may not have arrived, not the messages in them.
			s.count("messages lost")
		}
	}
}

package endurance

import (
	"fmt"
	"net/rpc"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/transport"
)

// What the transport between daemons does, as in package process.
const (
	// maxBatch is the most messages in a frame, maxWaiting the most that wait.
	maxBatch   = 64
	maxWaiting = 1024
	// callTimeoutMs bounds a frame and its acknowledgement, redialMs is the pause
	// after a connection failed.
	callTimeoutMs = 1500
	redialMs      = 100
	latencyMs     = 1
	// bytesPerMs is what 1 Mbit/s carries.
	bytesPerMs = 125
)

// byteCounter counts the bytes that a codec writes.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(p []byte) (int, error) { c.bytes += len(p); return len(p), nil }
func (c *byteCounter) Read([]byte) (int, error)    { return 0, nil }
func (c *byteCounter) Close() error                { return nil }

// link carries messages from one node to another, one batch at a time.
type link struct {
	waiting []protocol.Envelope
	busy    bool
	// written and codec belong to the open connection; codec is nil without one.
	written *byteCounter
	codec   *transport.ClientCodec
	// totalBytes and largestBytes are those of all batches and the largest one.
	totalBytes, largestBytes int
	// tooLarge and late count the batches that were lost because they were larger
	// than a frame, or took longer than a call may.
	tooLarge, late int
}

// reset closes the connection.
func (l *link) reset() { l.written, l.codec = nil, nil }

// encode returns the size of a batch in bytes, or an error if it is larger than
// a frame.
func (l *link) encode(batch []protocol.Envelope) (int, error) {
	if l.codec == nil {
		l.written = &byteCounter{}
		l.codec = transport.NewClientCodec(l.written)
	}
	before := l.written.bytes
	err := l.codec.WriteRequest(&rpc.Request{ServiceMethod: "Door.Take"}, batch)
	return l.written.bytes - before, err
}

func (l *link) String() string {
	return fmt.Sprintf("%d KB, largest batch %d KB, %d too large, %d late", l.totalBytes>>10, l.largestBytes>>10, l.tooLarge, l.late)
}

// enqueue puts a message on a link; a full link drops it.
func (c *cluster) enqueue(from, to *node, e protocol.Envelope) {
	l := from.links[to.name]
	if l == nil {
		l = &link{}
		from.links[to.name] = l
	}
	if len(l.waiting) >= maxWaiting {
		return
	}
	l.waiting = append(l.waiting, e)
	if !l.busy {
		c.carry(from, to, l)
	}
}

// carry carries the next batch on a link, and goes on while any wait.
func (c *cluster) carry(from, to *node, l *link) {
	l.busy = len(l.waiting) > 0
	if !l.busy {
		return
	}
	batch := l.waiting[:min(maxBatch, len(l.waiting))]
	l.waiting = l.waiting[len(batch):]
	if to.down {
		c.failCall(from, to, l, redialMs)
		return
	}
	size, err := l.encode(batch)
	if err != nil {
		l.tooLarge++
		c.failCall(from, to, l, latencyMs)
		return
	}
	l.totalBytes += size
	l.largestBytes = max(l.largestBytes, size)
	tookMs := latencyMs + int64(size)/(bytesPerMs*c.mbit)
	if tookMs+latencyMs > callTimeoutMs {
		l.late++
		c.failCall(from, to, l, callTimeoutMs)
		return
	}
	fromGeneration, toGeneration := from.generation, to.generation
	c.events.After(tookMs, func() {
		switch {
		case from.generation != fromGeneration:
		case to.generation != toGeneration || to.down:
			c.failCall(from, to, l, redialMs)
		default:
			for _, e := range batch {
				c.step(to, e)
			}
			c.carryLater(from, to, l, fromGeneration, latencyMs)
		}
	})
}

// failCall loses a batch with its connection, and goes on after a pause.
func (c *cluster) failCall(from, to *node, l *link, pauseMs int64) {
	l.reset()
	c.carryLater(from, to, l, from.generation, pauseMs)
}

// carryLater goes on with a link after a pause, unless its node stops meanwhile.
func (c *cluster) carryLater(from, to *node, l *link, generation int, pauseMs int64) {
	c.events.After(pauseMs, func() {
		if from.generation == generation {
			c.carry(from, to, l)
		}
	})
}

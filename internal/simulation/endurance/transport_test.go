package endurance

import (
	"net/rpc"

	"myrtlewinch/internal/protocol"
)

// What the transport between daemons does, as in package daemon.
const (
	batchMost  = 64
	lineMost   = 1024
	callMs     = 1500
	redialMs   = 100
	latencyMs  = 1
	bytesPerMs = 125 // at 1 Mbit/s
)

// counter counts the bytes that a codec writes.
type counter struct{ bytes int }

func (c *counter) Write(p []byte) (int, error) { c.bytes += len(p); return len(p), nil }
func (c *counter) Read([]byte) (int, error)    { return 0, nil }
func (c *counter) Close() error                { return nil }

// connection carries batches from one member to another, one at a time.
type connection struct {
	waiting []protocol.Envelope
	busy    bool
	counter *counter
	codec   *protocol.ClientCodec
	// largest is the largest batch in bytes; tooLarge and late count the batches
	// that were lost to the bound of a frame and to the time for a call.
	largest, tooLarge, late, total int
}

func (c *connection) reset() { c.counter, c.codec = nil, nil }

// size is how many bytes a batch takes, or that it takes too many.
func (c *connection) size(batch []protocol.Envelope) (int, error) {
	if c.codec == nil {
		c.counter = &counter{}
		c.codec = protocol.NewClientCodec(c.counter)
	}
	before := c.counter.bytes
	err := c.codec.WriteRequest(&rpc.Request{ServiceMethod: "Door.Take"}, batch)
	return c.counter.bytes - before, err
}

func (s *site) put(from, to *member, e protocol.Envelope) {
	link := from.links[to.name]
	if link == nil {
		link = &connection{}
		from.links[to.name] = link
	}
	if len(link.waiting) >= lineMost {
		s.counts["line full"]++
		return
	}
	link.waiting = append(link.waiting, e)
	if !link.busy {
		s.carry(from, to, link)
	}
}

// carry brings the next batch over.
func (s *site) carry(from, to *member, link *connection) {
	if link.busy = len(link.waiting) > 0; !link.busy {
		return
	}
	fromLife, toLife := from.life, to.life
	again := func() {
		if from.life == fromLife {
			s.carry(from, to, link)
		}
	}
	batch := link.waiting[:min(batchMost, len(link.waiting))]
	link.waiting = link.waiting[len(batch):]
	if to.down {
		link.reset()
		s.after(redialMs, again)
		return
	}
	size, err := link.size(batch)
	if err != nil {
		link.tooLarge++
		link.reset()
		s.after(latencyMs, again)
		return
	}
	link.total += size
	link.largest = max(link.largest, size)
	tookMs := latencyMs + int64(size)/(bytesPerMs*s.mbit)
	if tookMs+latencyMs > callMs {
		link.late++
		link.reset()
		s.after(callMs, again)
		return
	}
	s.after(tookMs, func() {
		if from.life != fromLife {
			return
		}
		if to.life != toLife || to.down {
			link.reset()
			s.after(redialMs, again)
			return
		}
		for _, e := range batch {
			s.step(to, e)
		}
		s.after(latencyMs, again)
	})
}

package httpserver

import (
	"bytes"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/memory"
)

const (
	// A head takes headByteCost for each of its bytes, since net/http, the handler and the
	// request to the runner hold copies, and headLineCost for each of its lines, which become
	// entries of maps. includedHeadBytes of that are part of connectionBytes.
	headByteCost      = 3
	headLineCost      = 256
	includedHeadBytes = 8 << 10
	// headChargeBytes is the smallest amount that is taken from the account.
	headChargeBytes = 4 << 10
	// headSlackBytes is added to the limit of a head: net/http reads ahead, so a part of the
	// body may have been read with it.
	headSlackBytes = 8 << 10
	// retryMemoryMs is the Retry-After if there is no memory for a request.
	retryMemoryMs = 300
)

// headSize is what has been read of a request head.
type headSize struct {
	bytes, lines int64
	// taken is how many bytes have been taken from the account.
	taken int64
}

// cost returns the memory of the head beyond that of its connection.
func (h headSize) cost() int64 {
	return max(0, h.bytes*headByteCost+h.lines*headLineCost-includedHeadBytes)
}

// checkHead counts bytes of a head that were read. If the head is too large, or the account
// has no memory for it, it rejects the request and returns an error.
func (c *Conn) checkHead(read []byte) (int, error) {
	kind := c.countHead(read)
	switch kind {
	case "":
		return len(read), nil
	case errkind.HeadTooLarge:
		return 0, c.reject(kind, 0)
	}
	c.connections.options.Count(countHeadsTooLarge)
	return 0, c.reject(kind, retryMemoryMs)
}

// countHead counts bytes of a head and takes their memory. It returns the kind of error if
// the request is to be rejected.
func (c *Conn) countHead(read []byte) errkind.Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return errkind.Overloaded
	}
	c.head.bytes += int64(len(read))
	c.head.lines += int64(bytes.Count(read, []byte{'\n'}))
	if limit := c.connections.limits().HeadBytes; limit > 0 && c.head.bytes > limit+headSlackBytes {
		return errkind.HeadTooLarge
	}
	missing := c.head.cost() - c.head.taken
	if missing <= 0 {
		return ""
	}
	missing = max(missing, headChargeBytes)
	if !c.connections.options.Account.Take(memory.Heads, missing) {
		return errkind.Overloaded
	}
	c.head.taken += missing
	return ""
}

// releaseHeadLocked returns the memory of the last head. The caller holds mu.
func (c *Conn) releaseHeadLocked() {
	if c.head.taken > 0 {
		c.connections.options.Account.Release(memory.Heads, c.head.taken)
	}
	c.head = headSize{}
}

// rejectLateHead rejects a request whose head was not complete in time.
func (c *Conn) rejectLateHead() error {
	c.connections.options.Count(countHeadsTooSlow)
	return c.reject(errkind.RequestTimeout, 0)
}

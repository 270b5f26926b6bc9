package transport

import (
	"time"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/ringbuffer"
)

const (
	// maxBatchMessages and maxBatchBytes bound a batch. The message that reaches
	// maxBatchBytes is the last, so that small messages don't wait behind, or get lost
	// with, more than one large message.
	maxBatchMessages = 64
	maxBatchBytes    = 256 << 10
	// callTimeoutMs is the timeout of a call without payload. A payload extends the timeout
	// by its transfer time at slowLinkBytesPerMs, the rate of a call on a slow link that
	// others share.
	callTimeoutMs      = 1500
	slowLinkBytesPerMs = 600
)

// nextBatch waits for a message and returns it with those queued behind it, up to the
// bounds. It returns false once the queue is closed and empty.
func nextBatch(queue *ringbuffer.Buffer[protocol.Envelope]) ([]protocol.Envelope, bool) {
	first, ok := queue.Pop()
	if !ok {
		return nil, false
	}
	batch, bytes := []protocol.Envelope{first}, payloadBytes(first)
	waiting, _ := queue.Stats()
	for waiting > 0 && len(batch) < maxBatchMessages && bytes < maxBatchBytes {
		next, ok := queue.Pop()
		if !ok {
			break
		}
		batch, bytes = append(batch, next), bytes+payloadBytes(next)
		waiting--
	}
	return batch, true
}

// payloadBytes returns about how many bytes of rows or of a configuration a message
// carries. Messages with neither are small and count as 0.
func payloadBytes(envelope protocol.Envelope) (bytes int) {
	switch body := envelope.Body.(type) {
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

// callTimeout returns how long a call with this batch may take.
func callTimeout(batch []protocol.Envelope) time.Duration {
	bytes := 0
	for _, envelope := range batch {
		bytes += payloadBytes(envelope)
	}
	return time.Duration(callTimeoutMs+bytes/slowLinkBytesPerMs) * time.Millisecond
}

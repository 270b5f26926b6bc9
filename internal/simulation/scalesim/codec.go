package scalesim

import (
	"bytes"
	"net/rpc"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/transport"
)

const (
	// rpcMethod is the RPC method by which daemons send messages to each other.
	rpcMethod = "Door.Take"
	// typicalSequence is the sequence number of a call on a connection that has been
	// open for some time.
	typicalSequence = 1 << 14
)

// stream is one direction of an in-memory connection.
type stream struct{ bytes.Buffer }

// Close does nothing. The codecs require the method.
func (*stream) Close() error { return nil }

// frameCodec passes messages through the codec of real connections, one per frame,
// and counts their bytes. Real connections put all queued messages into one frame,
// so the count is an upper bound.
type frameCodec struct {
	stream   stream
	encoder  *transport.ClientCodec
	decoder  *transport.ServerCodec
	sequence uint64
	// ackBytes is the size of the reply to a frame.
	ackBytes int
}

func newFrameCodec() (*frameCodec, error) {
	ackBytes, err := ackSize()
	if err != nil {
		return nil, errors.Wrap(err, "encoding an acknowledgement")
	}
	c := &frameCodec{ackBytes: ackBytes}
	c.encoder, c.decoder = transport.NewClientCodec(&c.stream), transport.NewServerCodec(&c.stream)
	return c, nil
}

// ackSize returns the size of the second reply on a connection, because the first
// one also encodes the types of its fields.
func ackSize() (int, error) {
	replies := &stream{}
	encoder := transport.NewServerCodec(replies)
	for range 2 {
		replies.Reset()
		if err := encoder.WriteResponse(&rpc.Response{ServiceMethod: rpcMethod, Seq: typicalSequence}, &transport.Ack{}); err != nil {
			return 0, err
		}
	}
	return replies.Len(), nil
}

// encode writes a message and returns its size in bytes.
func (c *frameCodec) encode(e protocol.Envelope) (int, error) {
	c.sequence++
	before := c.stream.Len()
	err := c.encoder.WriteRequest(&rpc.Request{ServiceMethod: rpcMethod, Seq: c.sequence}, []protocol.Envelope{e})
	return c.stream.Len() - before, err
}

// decode reads the message that was encoded last.
func (c *frameCodec) decode() (protocol.Envelope, error) {
	var header rpc.Request
	if err := c.decoder.ReadRequestHeader(&header); err != nil {
		return protocol.Envelope{}, err
	}
	var batch []protocol.Envelope
	if err := c.decoder.ReadRequestBody(&batch); err != nil {
		return protocol.Envelope{}, err
	}
	return batch[0], nil
}

package scalesim

import (
	"bytes"
	"net/rpc"

	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
)

// buffer is one way of a stream in memory.
type buffer struct{ bytes.Buffer }

// Close is the stream's.
func (*buffer) Close() error { return nil }

// line brings messages through the wire's codec, one to a frame, and counts
// their bytes. Real lines put what waits into one frame; so this is the most.
type line struct {
	way buffer
	out *protocol.ClientCodec
	in  *protocol.ServerCodec
	seq uint64
	// ackBytes is what the answer to a frame takes.
	ackBytes int
}

func newLine() (*line, error) {
	l := &line{}
	l.out, l.in = protocol.NewClientCodec(&l.way), protocol.NewServerCodec(&l.way)
	// The second answer no longer tells gob's types.
	back := &buffer{}
	answers := protocol.NewServerCodec(back)
	for range 2 {
		back.Reset()
		if err := answers.WriteResponse(&rpc.Response{ServiceMethod: method, Seq: 1 << 14}, &process.Ack{}); err != nil {
			return nil, err
		}
	}
	l.ackBytes = back.Len()
	return l, nil
}

const method = "Door.Take"

// encode writes a message and gives its bytes.
func (l *line) encode(e protocol.Envelope) (int, error) {
	l.seq++
	before := l.way.Len()
	err := l.out.WriteRequest(&rpc.Request{ServiceMethod: method, Seq: l.seq}, []protocol.Envelope{e})
	return l.way.Len() - before, err
}

// decode reads the message that was written last.
func (l *line) decode() (protocol.Envelope, error) {
	var header rpc.Request
	if err := l.in.ReadRequestHeader(&header); err != nil {
		return protocol.Envelope{}, err
	}
	var batch []protocol.Envelope
	if err := l.in.ReadRequestBody(&batch); err != nil {
		return protocol.Envelope{}, err
	}
	return batch[0], nil
}

package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// FrameMost bounds one message between daemons.
const FrameMost = 8 << 20

// ErrFrame says that a frame was oversized.
var ErrFrame = errors.New("frame is too large")

// frames carries net/rpc messages in bounded frames, each of which stands
// alone, so that a torn or huge one can't fill the memory.
type frames struct {
	stream io.ReadWriteCloser
	mu     sync.Mutex
	body   *gob.Decoder
	// Fault is what ended the reading, if it was not the stream's own end.
	Fault error
}

func (f *frames) write(header, body any) error {
	var frame bytes.Buffer
	frame.Write(make([]byte, 4))
	encoder := gob.NewEncoder(&frame)
	if err := encoder.Encode(header); err != nil {
		return err
	}
	if err := encoder.Encode(body); err != nil {
		return err
	}
	if frame.Len()-4 > FrameMost {
		return ErrFrame
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(frame.Len()-4))
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.stream.Write(frame.Bytes())
	return err
}

func (f *frames) read(header any) error {
	var size [4]byte
	if _, err := io.ReadFull(f.stream, size[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > FrameMost {
		f.Fault = ErrFrame
		return ErrFrame
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(f.stream, frame); err != nil {
		return err
	}
	f.body = gob.NewDecoder(bytes.NewReader(frame))
	if err := f.body.Decode(header); err != nil {
		f.Fault = err
		return err
	}
	return nil
}

func (f *frames) readBody(body any) error {
	if body == nil {
		return nil
	}
	err := f.body.Decode(body)
	if err != nil {
		f.Fault = err
	}
	return err
}

func (f *frames) Close() error { return f.stream.Close() }

// ServerCodec is the answering side.
type ServerCodec struct{ frames }

// NewServerCodec serves a stream.
func NewServerCodec(stream io.ReadWriteCloser) *ServerCodec {
	return &ServerCodec{frames{stream: stream}}
}

// ReadRequestHeader reads the next frame.
func (c *ServerCodec) ReadRequestHeader(r *rpc.Request) error { return c.read(r) }

// ReadRequestBody reads what came with the header.
func (c *ServerCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse writes one frame.
func (c *ServerCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// ClientCodec is the asking side.
type ClientCodec struct{ frames }

// NewClientCodec calls over a stream.
func NewClientCodec(stream io.ReadWriteCloser) *ClientCodec {
	return &ClientCodec{frames{stream: stream}}
}

// WriteRequest writes one frame.
func (c *ClientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the next frame.
func (c *ClientCodec) ReadResponseHeader(r *rpc.Response) error { return c.read(r) }

// ReadResponseBody reads what came with the header.
func (c *ClientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

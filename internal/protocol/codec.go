package protocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// MaxFrameBytes bounds one message between daemons.
const MaxFrameBytes = 8 << 20

// ErrFrame says that a frame was oversized.
var ErrFrame = errors.New("frame is too large")

// frames carries net/rpc messages in bounded frames, so that a torn or huge one
// can't fill the memory. What gob tells of its types goes over a stream once:
// told again in each frame it would cost most of the work.
type frames struct {
	stream io.ReadWriteCloser
	mu     sync.Mutex
	out    bytes.Buffer
	coder  *gob.Encoder
	in     frameReader
	reader *gob.Decoder
	// Fault is what ended the reading, if it was not the stream's own end.
	Fault error
}

func newFrames(stream io.ReadWriteCloser) frames {
	return frames{stream: stream, in: frameReader{from: bufio.NewReaderSize(stream, readerBytes)}}
}

const readerBytes = 4 << 10

// frameReader gives the bytes of one frame, and no more.
type frameReader struct {
	from *bufio.Reader
	left uint32
}

// next opens the next frame.
func (r *frameReader) next() error {
	if _, err := io.CopyN(io.Discard, r.from, int64(r.left)); err != nil {
		return err
	}
	var size [4]byte
	if _, err := io.ReadFull(r.from, size[:]); err != nil {
		return err
	}
	if r.left = binary.BigEndian.Uint32(size[:]); r.left > MaxFrameBytes {
		r.left = 0
		return ErrFrame
	}
	return nil
}

// Read gives bytes of the open frame; its end is an end in the midst of a
// message, since a message never goes over two frames.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := r.from.Read(p[:min(len(p), int(r.left))])
	r.left -= uint32(n)
	return n, err
}

// ReadByte keeps gob from reading ahead.
func (r *frameReader) ReadByte() (byte, error) {
	if r.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b, err := r.from.ReadByte()
	if err == nil {
		r.left--
	}
	return b, err
}

func (f *frames) write(header, body any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.coder == nil {
		f.coder = gob.NewEncoder(&f.out)
	}
	f.out.Reset()
	f.out.Write(make([]byte, 4))
	if err := f.coder.Encode(header); err != nil {
		return err
	}
	if err := f.coder.Encode(body); err != nil {
		return err
	}
	if f.out.Len()-4 > MaxFrameBytes {
		return ErrFrame
	}
	binary.BigEndian.PutUint32(f.out.Bytes(), uint32(f.out.Len()-4))
	_, err := f.stream.Write(f.out.Bytes())
	// A large frame, such as an image, is rare; its room is not kept.
	if f.out.Cap() > 64<<10 {
		f.out = bytes.Buffer{}
	}
	return err
}

func (f *frames) read(header any) error {
	if f.reader == nil {
		f.reader = gob.NewDecoder(&f.in)
	}
	if err := f.in.next(); err != nil {
		if errors.Is(err, ErrFrame) {
			f.Fault = err
		}
		return err
	}
	if err := f.reader.Decode(header); err != nil {
		f.Fault = err
		return err
	}
	return nil
}

func (f *frames) readBody(body any) error {
	err := f.reader.Decode(body)
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
	return &ServerCodec{newFrames(stream)}
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
	return &ClientCodec{newFrames(stream)}
}

// WriteRequest writes one frame.
func (c *ClientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the next frame.
func (c *ClientCodec) ReadResponseHeader(r *rpc.Response) error { return c.read(r) }

// ReadResponseBody reads what came with the header.
func (c *ClientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
)

// MaxFrameBytes bounds one frame, without its length.
const MaxFrameBytes = protocol.MaxMessageBytes

// ErrFrame says that a frame was larger than MaxFrameBytes.
var ErrFrame = errors.New("frame is too large")

const (
	// lengthBytes is the size of the length before each frame, big-endian.
	lengthBytes = 4
	// readBufferBytes is small: a process has a connection for each peer.
	readBufferBytes = 4 << 10
	// maxKeptBytes is the largest write buffer that is kept for the next frame.
	// Large frames, such as snapshots, are rare.
	maxKeptBytes = 64 << 10
)

// frameStream carries net/rpc messages over a connection, each in one frame of
// bounded length, so that a damaged or huge one can't fill the memory. One gob
// encoder serves the whole connection: the descriptions of types are sent once,
// since sending them in each frame would cost most of the work.
type frameStream struct {
	conn io.ReadWriteCloser

	writeMu sync.Mutex
	buffer  bytes.Buffer
	encoder *gob.Encoder

	frames  frameReader
	decoder *gob.Decoder
	// Fault is what ended the reading, nil where the connection just ended. It
	// is set by the reading goroutine and may be read after that has ended.
	Fault error
}

func newFrameStream(conn io.ReadWriteCloser) frameStream {
	return frameStream{conn: conn, frames: frameReader{from: bufio.NewReaderSize(conn, readBufferBytes)}}
}

// write sends a header and a body in one frame.
func (s *frameStream) write(header, body any) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.encoder == nil {
		s.encoder = gob.NewEncoder(&s.buffer)
	}
	s.buffer.Reset()
	s.buffer.Write(make([]byte, lengthBytes))
	if err := s.encoder.Encode(header); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	length := s.buffer.Len() - lengthBytes
	if length > MaxFrameBytes {
		return ErrFrame
	}
	binary.BigEndian.PutUint32(s.buffer.Bytes(), uint32(length))
	_, err := s.conn.Write(s.buffer.Bytes())
	if s.buffer.Cap() > maxKeptBytes {
		s.buffer = bytes.Buffer{}
	}
	return err
}

// readHeader opens the next frame and decodes its header.
func (s *frameStream) readHeader(header any) error {
	if s.decoder == nil {
		s.decoder = gob.NewDecoder(&s.frames)
	}
	if err := s.frames.next(); err != nil {
		if errors.Is(err, ErrFrame) {
			s.Fault = err
		}
		return err
	}
	if err := s.decoder.Decode(header); err != nil {
		s.Fault = err
		return err
	}
	return nil
}

// readBody decodes what follows the header in the same frame.
func (s *frameStream) readBody(body any) error {
	err := s.decoder.Decode(body)
	if err != nil {
		s.Fault = err
	}
	return err
}

// Close closes the connection.
func (s *frameStream) Close() error { return s.conn.Close() }

// frameReader gives the bytes of the open frame and no more.
type frameReader struct {
	from *bufio.Reader
	left uint32
}

// next skips the rest of the open frame and opens the one that follows.
func (r *frameReader) next() error {
	if _, err := io.CopyN(io.Discard, r.from, int64(r.left)); err != nil {
		return err
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r.from, length[:]); err != nil {
		return err
	}
	r.left = binary.BigEndian.Uint32(length[:])
	if r.left > MaxFrameBytes {
		r.left = 0
		return ErrFrame
	}
	return nil
}

// Read reads from the open frame. Its end is unexpected, since a message never
// spans two frames.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := r.from.Read(p[:min(len(p), int(r.left))])
	r.left -= uint32(n)
	return n, err
}

// ReadByte keeps gob from reading ahead through a buffer of its own.
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

// ServerCodec is the rpc.ServerCodec of a connection that a peer opened.
type ServerCodec struct{ frameStream }

// NewServerCodec makes the codec of a connection.
func NewServerCodec(conn io.ReadWriteCloser) *ServerCodec {
	return &ServerCodec{newFrameStream(conn)}
}

// ReadRequestHeader reads the header of the next frame.
func (c *ServerCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// ReadRequestBody reads what came with the header.
func (c *ServerCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse writes one frame.
func (c *ServerCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// ClientCodec is the rpc.ClientCodec of a connection to a peer.
type ClientCodec struct{ frameStream }

// NewClientCodec makes the codec of a connection.
func NewClientCodec(conn io.ReadWriteCloser) *ClientCodec {
	return &ClientCodec{newFrameStream(conn)}
}

// WriteRequest writes one frame.
func (c *ClientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the header of the next frame.
func (c *ClientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody reads what came with the header.
func (c *ClientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

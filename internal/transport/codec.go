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

// MaxFrameBytes bounds one frame, without its length prefix.
const MaxFrameBytes = protocol.MaxMessageBytes

// ErrFrameTooLarge is the error for a frame larger than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame is too large")

const (
	// lengthBytes is the size of the big-endian length prefix of each frame.
	lengthBytes = 4
	// readBufferBytes is small because a process has a connection to each peer.
	readBufferBytes = 4 << 10
	// maxKeptBytes is the largest write buffer that is reused for the next frame.
	// Large frames, such as snapshots, are rare.
	maxKeptBytes = 64 << 10
)

// frameStream carries net/rpc messages over a connection, each in one frame of bounded
// length, so that a damaged or huge message cannot exhaust the memory. One gob encoder is
// used for the whole connection, so that type descriptions are sent only once: sending
// them in each frame would be most of the work.
type frameStream struct {
	conn io.ReadWriteCloser

	writeMu sync.Mutex
	buffer  bytes.Buffer
	encoder *gob.Encoder

	frames  frameReader
	decoder *gob.Decoder
	// ReadErr is the error that ended reading, nil if the connection ended or failed before
	// the length of a further frame was read. The reading goroutine sets it. Other
	// goroutines may read it once the reading goroutine has ended.
	ReadErr error
}

func newFrameStream(conn io.ReadWriteCloser, limits frameLimits) frameStream {
	return frameStream{conn: conn, frames: frameReader{reader: bufio.NewReaderSize(conn, readBufferBytes), limits: limits}}
}

// write writes a header and a body in one frame.
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
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(s.buffer.Bytes(), uint32(length))
	_, err := s.conn.Write(s.buffer.Bytes())
	if s.buffer.Cap() > maxKeptBytes {
		s.buffer = bytes.Buffer{}
	}
	return err
}

// readHeader starts the next frame and decodes its header.
func (s *frameStream) readHeader(header any) error {
	if s.decoder == nil {
		s.decoder = gob.NewDecoder(&s.frames)
	}
	if err := s.frames.next(); err != nil {
		if errors.Is(err, ErrFrameTooLarge) || errors.Is(err, errMalformedFrame) {
			s.ReadErr = err
		}
		return err
	}
	if err := s.decoder.Decode(header); err != nil {
		s.ReadErr = err
		return err
	}
	return nil
}

// readBody decodes the body, which follows the header in the same frame.
func (s *frameStream) readBody(body any) error {
	err := s.decoder.Decode(body)
	if err != nil {
		s.ReadErr = err
	}
	return err
}

// Close closes the connection.
func (s *frameStream) Close() error { return s.conn.Close() }

// ServerCodec is the rpc.ServerCodec of a connection that a peer opened.
type ServerCodec struct{ frameStream }

// NewServerCodec returns the codec of a connection.
func NewServerCodec(conn io.ReadWriteCloser) *ServerCodec {
	return &ServerCodec{newFrameStream(conn, noLimits{})}
}

// newLimitedServerCodec returns the codec of a connection whose frames have limits.
func newLimitedServerCodec(conn *limitedConn) *ServerCodec {
	return &ServerCodec{newFrameStream(conn, conn)}
}

// ReadRequestHeader reads the header of the next frame.
func (c *ServerCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// ReadRequestBody reads the body from the frame of the header.
func (c *ServerCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse writes a response in one frame.
func (c *ServerCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// ClientCodec is the rpc.ClientCodec of a connection to a peer.
type ClientCodec struct{ frameStream }

// NewClientCodec returns the codec of a connection.
func NewClientCodec(conn io.ReadWriteCloser) *ClientCodec {
	return &ClientCodec{newFrameStream(conn, noLimits{})}
}

// WriteRequest writes a request in one frame.
func (c *ClientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the header of the next frame.
func (c *ClientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody reads the body from the frame of the header.
func (c *ClientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

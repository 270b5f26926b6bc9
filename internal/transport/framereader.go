package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
)

// keptFrameBytes is the size up to which the buffer of a frame is kept for the next, and up to
// which its memory is part of its connection's.
const keptFrameBytes = 4 << 10

// frameLimits limit the memory and the time of the frames that are read.
type frameLimits interface {
	// begin is called when the first byte of a frame has arrived, end when the whole frame
	// has.
	begin()
	end()
	// resize takes the memory for a frame of this size, in place of the memory taken
	// before. It returns false if it does not fit.
	resize(bytes int) bool
}

// noLimits are the limits of a frame from a trusted source.
type noLimits struct{}

func (noLimits) begin()          {}
func (noLimits) end()            {}
func (noLimits) resize(int) bool { return true }

// frameReader reads frames. A frame is read whole and checked before a byte of it is decoded,
// because gob allocates memory by declared sizes.
type frameReader struct {
	reader  *bufio.Reader
	limits  frameLimits
	checker gobChecker
	// kept is the buffer for short frames.
	kept []byte
	// frame is the rest of the current frame.
	frame bytes.Reader
}

// next reads the next frame. What was not read of the current one is skipped.
func (r *frameReader) next() error {
	if _, err := r.reader.Peek(1); err != nil {
		return err
	}
	r.limits.begin()
	defer r.limits.end()
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r.reader, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	frame, err := r.readFrame(int(length))
	if err != nil {
		return err
	}
	if err := r.checker.check(frame); err != nil {
		return err
	}
	r.frame.Reset(frame)
	return nil
}

// readFrame reads a frame of this length. The memory is taken as its bytes arrive.
func (r *frameReader) readFrame(length int) ([]byte, error) {
	r.frame.Reset(nil)
	// The memory of the last frame is returned.
	if !r.limits.resize(0) {
		return nil, errNoMemory
	}
	frame := r.kept[:0]
	for len(frame) < length {
		if len(frame) == cap(frame) {
			size := min(length, max(keptFrameBytes, 2*cap(frame)))
			if !r.limits.resize(size) {
				return nil, errNoMemory
			}
			larger := make([]byte, len(frame), size)
			copy(larger, frame)
			frame = larger
		}
		n, err := r.reader.Read(frame[len(frame):min(cap(frame), length)])
		frame = frame[:len(frame)+n]
		if err != nil {
			return nil, err
		}
	}
	if cap(frame) <= keptFrameBytes {
		r.kept = frame
	}
	return frame, nil
}

// Read reads from the current frame. At its end it returns io.ErrUnexpectedEOF, because a
// message never spans two frames.
func (r *frameReader) Read(p []byte) (int, error) {
	n, err := r.frame.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// ReadByte implements io.ByteReader. Without this method gob would add its own buffer and
// read ahead.
func (r *frameReader) ReadByte() (byte, error) {
	b, err := r.frame.ReadByte()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

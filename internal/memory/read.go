package memory

import (
	"io"

	"github.com/cockroachdb/errors"
)

var (
	// ErrFull means that the account has no memory for what is being read.
	ErrFull = errors.New("no memory is left for this")
	// ErrTooLarge means that what is being read is larger than it may be.
	ErrTooLarge = errors.New("exceeds the size limit")
)

const (
	// firstReadBytes is the first size of the buffer for a text of unknown length.
	firstReadBytes = 4 << 10
	// ShortBytes is the size up to which a text is taken from a class for ordinary requests.
	ShortBytes = 64 << 10
)

// Classes are the classes that a text is taken from: Short up to ShortBytes, Long above.
type Classes struct{ Short, Long Class }

// Of returns the class of a text of this size.
func (c Classes) Of(bytes int64) Class {
	if bytes <= ShortBytes {
		return c.Short
	}
	return c.Long
}

// ReadAll reads a text to its end. length is its length, or -1 if it is not known. The
// memory for a text of known length is taken before the first read, otherwise before each
// allocation; it is allocated as the bytes arrive. ReadAll returns ErrTooLarge if the text
// has more than maxBytes, and ErrFull if the account is full.
func (r *Reservation) ReadAll(reader io.Reader, length, maxBytes int64, classes Classes) ([]byte, error) {
	if length > maxBytes {
		return nil, ErrTooLarge
	}
	limit := maxBytes
	if length >= 0 {
		limit = length
		if !r.Grow(classes.Of(length), length) {
			return nil, ErrFull
		}
	}
	var text []byte
	for {
		if len(text) == cap(text) {
			if int64(len(text)) >= limit {
				return text, readEnd(reader, length)
			}
			var err error
			if text, err = r.enlarge(text, limit, length >= 0, classes); err != nil {
				return nil, err
			}
		}
		n, err := reader.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF {
			return text, endError(int64(len(text)), length)
		}
		if err != nil {
			return nil, err
		}
	}
}

// enlarge returns a copy of a text with twice the capacity, at most limit. The memory of a
// text of known length has been taken, and if it is short it is allocated at once.
func (r *Reservation) enlarge(text []byte, limit int64, lengthKnown bool, classes Classes) ([]byte, error) {
	size := min(limit, max(firstReadBytes, 2*int64(cap(text))))
	switch {
	case lengthKnown && limit <= ShortBytes:
		size = limit
	case !lengthKnown && !r.Grow(classes.Of(size), size):
		return nil, ErrFull
	}
	larger := make([]byte, len(text), size)
	copy(larger, text)
	if old := int64(cap(text)); old > 0 && !lengthKnown {
		r.Shrink(classes.Of(old), old)
	}
	return larger, nil
}

// readEnd reads the end of a text of which limit bytes have been read. Without that, net/http
// does not detect that a body has ended.
func readEnd(reader io.Reader, length int64) error {
	var next [1]byte
	for {
		n, err := reader.Read(next[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case err == io.EOF, err == nil && length >= 0:
			return nil
		case err != nil:
			return err
		}
	}
}

// endError returns the error for a text that ended after these bytes.
func endError(read, length int64) error {
	if length >= 0 && read < length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

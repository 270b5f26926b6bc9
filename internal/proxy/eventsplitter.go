package proxy

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const maxEventBytes = 256 << 10

var errEventTooLarge = errors.New("an event is too large")

// eventSplitter cuts a stream into whole events, each ended by a blank line.
type eventSplitter struct {
	buffered []byte
	// lineStart is where the line begins that has no end yet.
	lineStart int
}

// feed takes what was read and calls take for each whole event, with the blank
// line that ends it; its bytes are only lent. Take says no to stop.
func (s *eventSplitter) feed(read []byte, take func(event []byte) bool) error {
	s.buffered = append(s.buffered, read...)
	from := 0
	for {
		length := bytes.IndexByte(s.buffered[s.lineStart:], '\n')
		if length < 0 {
			break
		}
		line := s.buffered[s.lineStart : s.lineStart+length]
		s.lineStart += length + 1
		if len(line) > 0 && (len(line) > 1 || line[0] != '\r') {
			continue
		}
		event := s.buffered[from:s.lineStart]
		from = s.lineStart
		if !take(event) {
			break
		}
	}
	s.buffered = s.buffered[:copy(s.buffered, s.buffered[from:])]
	s.lineStart -= from
	if len(s.buffered) > maxEventBytes {
		return errEventTooLarge
	}
	return nil
}

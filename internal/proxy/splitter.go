package proxy

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const eventMost = 256 << 10

var errEvent = errors.New("an event is too large")

// splitter cuts a stream into whole events, each ended by a blank line.
type splitter struct {
	rest []byte
	// line is where the line begins that has no end yet.
	line int
}

// add takes what was read and calls take for each whole event, with the blank
// line that ends it; its bytes are only lent. Take says no to stop.
func (s *splitter) add(read []byte, take func(event []byte) bool) error {
	s.rest = append(s.rest, read...)
	from := 0
	for {
		length := bytes.IndexByte(s.rest[s.line:], '\n')
		if length < 0 {
			break
		}
		line := s.rest[s.line : s.line+length]
		s.line += length + 1
		if len(line) > 0 && (len(line) > 1 || line[0] != '\r') {
			continue
		}
		event := s.rest[from:s.line]
		from = s.line
		if !take(event) {
			break
		}
	}
	s.rest = s.rest[:copy(s.rest, s.rest[from:])]
	s.line -= from
	if len(s.rest) > eventMost {
		return errEvent
	}
	return nil
}

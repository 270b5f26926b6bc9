package proxy

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.New("stream event exceeds the size limit")

// eventSplitter splits a stream into complete events, each of which ends with a blank
// line. Its zero value is ready to use.
type eventSplitter struct {
	// buffered is the incomplete event at the end of the bytes read so far; lineStart is
	// where its last, incomplete line begins.
	buffered  []byte
	lineStart int
}

// feed adds the bytes that were read and calls handle for each event that is now
// complete, including its blank line. The event is valid only during the call. handle
// returns false to stop; feed must not be called after that.
func (s *eventSplitter) feed(read []byte, handle func(event []byte) bool) error {
	s.buffered = append(s.buffered, read...)
	eventStart := 0
	for {
		length := bytes.IndexByte(s.buffered[s.lineStart:], '\n')
		if length < 0 {
			break
		}
		line := s.buffered[s.lineStart : s.lineStart+length]
		s.lineStart += length + 1
		if !isBlank(line) {
			continue
		}
		event := s.buffered[eventStart:s.lineStart]
		eventStart = s.lineStart
		if !handle(event) {
			break
		}
	}
	s.buffered = s.buffered[:copy(s.buffered, s.buffered[eventStart:])]
	s.lineStart -= eventStart
	if len(s.buffered) > maxEventBytes {
		return errEventTooLarge
	}
	return nil
}

// isBlank reports whether a line without its line feed is empty.
func isBlank(line []byte) bool {
	return len(line) == 0 || len(line) == 1 && line[0] == '\r'
}

// endsWithinEvent reports whether a stream that ends here breaks off within an event, its blank
// line or a comment. Whole comments need no blank line.
func (s *eventSplitter) endsWithinEvent() bool {
	rest := s.buffered
	if len(rest) == 0 || s.holdsWholeEvents() {
		return false
	}
	lastLineIsWhole := rest[len(rest)-1] == '\n'
	return !lastLineIsWhole || !hasOnlyComments(rest)
}

// holdsWholeEvents reports whether the buffer ends with a whole event. Events whose lines end in
// CR alone are not split and stay in the buffer.
func (s *eventSplitter) holdsWholeEvents() bool { return bytes.HasSuffix(s.buffered, []byte("\r\r")) }

// hasOnlyComments reports whether no line of a text is part of an event. Lines that begin with a
// colon are comments, which runners send to keep a connection open.
func hasOnlyComments(text []byte) bool {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if !isBlank(line) && line[0] != ':' {
			return false
		}
	}
	return true
}

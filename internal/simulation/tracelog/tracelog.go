// Package tracelog keeps the latest lines of the trace of a simulation.
package tracelog

import (
	"fmt"
	"strings"
)

// Log is a bounded list of lines, each with its virtual time.
type Log struct {
	maxLines int
	lines    []string
}

// New returns an empty log. It keeps at least the latest maxLines lines and at
// most twice as many.
func New(maxLines int) *Log { return &Log{maxLines: maxLines} }

// Addf adds a line.
func (l *Log) Addf(nowMs int64, format string, args ...any) {
	l.lines = append(l.lines, fmt.Sprintf("%8d ", nowMs)+fmt.Sprintf(format, args...))
	if len(l.lines) > 2*l.maxLines {
		l.lines = append(l.lines[:0], l.lines[len(l.lines)-l.maxLines:]...)
	}
}

// Last returns the latest line, or an empty string.
func (l *Log) Last() string {
	if len(l.lines) == 0 {
		return ""
	}
	return l.lines[len(l.lines)-1]
}

// String returns the lines, the oldest first.
func (l *Log) String() string { return strings.Join(l.lines, "\n") }

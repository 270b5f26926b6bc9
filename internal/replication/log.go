package replication

import "myrtlewinch/internal/protocol"

const (
	// maxLogChanges is how many changes the log keeps.
	maxLogChanges = 256
	// maxLogBytes bounds the rows of the log, and so the message that sends them to a
	// follower. A few changes of a large row take more bytes than a snapshot, which
	// holds each row once.
	maxLogBytes = 1 << 20
)

// Log holds the recent changes of a primary, for followers that are behind. A
// follower that needs an older change gets a snapshot.
type Log struct {
	// base is the position before the oldest change.
	base    protocol.Position
	changes []protocol.Change
	// bytes is the size of the rows in changes.
	bytes int
}

// NewLog returns an empty log whose first change will follow base.
func NewLog(base protocol.Position) Log { return Log{base: base} }

// Append adds the newest change and removes the oldest ones beyond the bounds.
// The newest change is kept however large it is.
func (l *Log) Append(change protocol.Change) {
	l.changes = append(l.changes, change)
	l.bytes += rowBytes(change.Rows)
	for len(l.changes) > maxLogChanges || l.bytes > maxLogBytes && len(l.changes) > 1 {
		oldest := l.changes[0]
		l.base = oldest.At
		l.bytes -= rowBytes(oldest.Rows)
		l.changes = l.changes[1:]
	}
}

// Clear removes all changes. The base stays.
func (l *Log) Clear() { l.changes, l.bytes = nil, 0 }

// Changes returns all changes, the oldest first. The slice must not be modified.
func (l *Log) Changes() []protocol.Change { return l.changes }

// After returns the changes with a number above the given one.
func (l *Log) After(number uint64) []protocol.Change {
	var after []protocol.Change
	for _, change := range l.changes {
		if change.At.Number > number {
			after = append(after, change)
		}
	}
	return after
}

// Contains reports whether a follower at the position can catch up from the log. The
// position must be the base or the position of one of the changes. A follower at any other
// position needs a snapshot.
func (l *Log) Contains(at protocol.Position) bool {
	if at == l.base {
		return true
	}
	for _, change := range l.changes {
		if change.At == at {
			return true
		}
	}
	return false
}

func rowBytes(rows map[string]string) int {
	bytes := 0
	for key, value := range rows {
		bytes += len(key) + len(value)
	}
	return bytes
}

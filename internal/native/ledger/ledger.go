// Package ledger keeps the current description and records which runner holds which model or
// adapter, according to the given orders and the runners' reports. Only the primary changes
// it, with commands. Each change yields rows, which are written to disk and sent to the
// followers.
package ledger

import (
	"encoding/json"
	"strconv"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Revision is an accepted description with its number.
type Revision struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// HistoryEntry identifies a revision that was accepted.
type HistoryEntry struct {
	Number uint64 `json:"number"`
	// Bytes is the size of its text, Sum the text's digest.
	Bytes int    `json:"bytes"`
	Sum   string `json:"sum"`
	// Epoch is the epoch of the primary that accepted it.
	Epoch uint64 `json:"epoch"`
}

// maxHistory is the maximum length of the history; the oldest entries are removed first.
const maxHistory = 100

// Keys of the rows. They are stored on disks, so they must not change.
const (
	revisionKey = "revision"
	historyKey  = "past"
	ordersKey   = "orders"
	// rowPrefix is followed by the name of a runner, leavingPrefix by the name and incarnation
	// of a leaving one.
	rowPrefix     = "row/"
	leavingPrefix = "mark/"
	leavingValue  = "leaving"
)

func rowKey(runner string) string { return rowPrefix + runner }

func leavingKey(runner protocol.LeavingRunner) string {
	return leavingPrefix + runner.Runner + "/" + runner.Incarnation
}

// State is the ledger in memory. It is the statetable.Ledger of a controller.
type State struct {
	// Revision is the current description; its number is 0 if none was accepted yet.
	Revision Revision
	History  []HistoryEntry
	// Orders is the number of the last order.
	Orders uint64
	// Rows holds the rows of the runners by name.
	Rows map[string]*RunnerRow
	// LeavingRunners is the set of leaving incarnations. None is ever removed.
	LeavingRunners map[protocol.LeavingRunner]bool
	// dirty is the set of keys of the rows that the present batch has written.
	dirty map[string]bool
}

// New returns an empty ledger.
func New() *State {
	return &State{Rows: map[string]*RunnerRow{}, LeavingRunners: map[protocol.LeavingRunner]bool{}, dirty: map[string]bool{}}
}

// addHistory adds the current revision to the history.
func (s *State) addHistory(epoch uint64) {
	s.History = append(s.History, HistoryEntry{
		Number: s.Revision.Number, Bytes: len(s.Revision.Text), Sum: protocol.Digest(s.Revision.Text), Epoch: epoch,
	})
	s.History = s.History[max(0, len(s.History)-maxHistory):]
	s.dirty[revisionKey], s.dirty[historyKey] = true, true
}

// Keys lists the keys of all rows.
func (s *State) Keys() []string {
	keys := []string{revisionKey, historyKey, ordersKey}
	for runner := range s.Rows {
		keys = append(keys, rowKey(runner))
	}
	for runner := range s.LeavingRunners {
		keys = append(keys, leavingKey(runner))
	}
	return keys
}

// Encode returns the text of a row.
func (s *State) Encode(key string) string {
	switch {
	case key == revisionKey:
		return encodeJSON(s.Revision)
	case key == historyKey:
		return encodeJSON(s.History)
	case key == ordersKey:
		return strconv.FormatUint(s.Orders, 10)
	case strings.HasPrefix(key, leavingPrefix):
		return leavingValue
	}
	return encodeJSON(s.Rows[strings.TrimPrefix(key, rowPrefix)])
}

func encodeJSON(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}

// Decode sets a row from its text. It is used by followers and at a restart.
func (s *State) Decode(key, text string) error {
	if runner, ok := strings.CutPrefix(key, rowPrefix); ok {
		row := &RunnerRow{}
		s.Rows[runner] = row
		return json.Unmarshal([]byte(text), row)
	}
	if name, ok := strings.CutPrefix(key, leavingPrefix); ok {
		runner, incarnation, _ := strings.Cut(name, "/")
		s.LeavingRunners[protocol.LeavingRunner{Runner: runner, Incarnation: incarnation}] = true
		return nil
	}
	switch key {
	case revisionKey:
		return json.Unmarshal([]byte(text), &s.Revision)
	case historyKey:
		return json.Unmarshal([]byte(text), &s.History)
	case ordersKey:
		number, err := strconv.ParseUint(text, 10, 64)
		s.Orders = number
		return err
	}
	return statetable.ErrUnknownRow
}

// Copy returns a deep copy of the ledger.
func (s *State) Copy() *State {
	copied := New()
	for _, key := range s.Keys() {
		_ = copied.Decode(key, s.Encode(key))
	}
	return copied
}

// Leaving reports whether the incarnation in the row is leaving.
func (s *State) Leaving(row *RunnerRow) bool {
	return row.Leaving || s.LeavingRunners[protocol.LeavingRunner{Runner: row.Runner, Incarnation: row.Incarnation}]
}

// SkipAhead returns the first command after a recovery.
func (s *State) SkipAhead(epoch uint64) statetable.Command { return Batch{SkipAhead{Epoch: epoch}} }

// RevisionNumber returns the number of the current revision.
func (s *State) RevisionNumber() uint64 { return s.Revision.Number }

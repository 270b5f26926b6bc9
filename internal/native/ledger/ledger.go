// Package ledger is the record of which runner holds which model or adapter, by the
// orders that were given and the runners' reports, together with the description in
// force. Commands change it at the primary alone and leave rows, which disks and
// followers take.
package ledger

import (
	"encoding/json"
	"strconv"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Revision is a description that was accepted.
type Revision struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// HistoryEntry says of a revision that was in force once what it was.
type HistoryEntry struct {
	Number uint64 `json:"number"`
	// Bytes is the size of its text, Sum the digest.
	Bytes int    `json:"bytes"`
	Sum   string `json:"sum"`
	// Epoch is that of the primary that accepted it.
	Epoch uint64 `json:"epoch"`
}

// maxHistory bounds the history; the oldest entries go first.
const maxHistory = 100

// Keys of the rows. They are on disks, so they stay.
const (
	revisionKey = "revision"
	historyKey  = "past"
	ordersKey   = "orders"
	// rowPrefix is before the name of a runner, leavingPrefix before name and
	// incarnation of one that leaves.
	rowPrefix     = "row/"
	leavingPrefix = "mark/"
	leavingText   = "leaving"
)

func rowKey(runner string) string { return rowPrefix + runner }

func leavingKey(runner protocol.LeavingRunner) string {
	return leavingPrefix + runner.Runner + "/" + runner.Incarnation
}

// State is the ledger in memory. It is the statetable.Ledger of a controller.
type State struct {
	// Revision is the description in force; its number is 0 while there is none.
	Revision Revision
	History  []HistoryEntry
	// Orders is the number of the last order.
	Orders uint64
	// Rows are the runners by name.
	Rows map[string]*RunnerRow
	// LeavingRunners are the leaving incarnations. None is ever removed.
	LeavingRunners map[protocol.LeavingRunner]bool
	// dirty are the keys of the rows that the present batch has written.
	dirty map[string]bool
}

// New makes an empty ledger.
func New() *State {
	return &State{Rows: map[string]*RunnerRow{}, LeavingRunners: map[protocol.LeavingRunner]bool{}, dirty: map[string]bool{}}
}

// addHistory notes the revision in force in the history.
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

// Encode gives the text of a row.
func (s *State) Encode(key string) string {
	switch {
	case key == revisionKey:
		return encodeJSON(s.Revision)
	case key == historyKey:
		return encodeJSON(s.History)
	case key == ordersKey:
		return strconv.FormatUint(s.Orders, 10)
	case strings.HasPrefix(key, leavingPrefix):
		return leavingText
	}
	return encodeJSON(s.Rows[strings.TrimPrefix(key, rowPrefix)])
}

func encodeJSON(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}

// Decode takes the text of a row, as a follower or a restart does.
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

// Copy gives a ledger that shares nothing with this one.
func (s *State) Copy() *State {
	copied := New()
	for _, key := range s.Keys() {
		_ = copied.Decode(key, s.Encode(key))
	}
	return copied
}

// Leaving says whether the runner's present incarnation is leaving.
func (s *State) Leaving(row *RunnerRow) bool {
	return row.Leaving || s.LeavingRunners[protocol.LeavingRunner{Runner: row.Runner, Incarnation: row.Incarnation}]
}

// SkipAhead is what a recovery begins with.
func (s *State) SkipAhead(epoch uint64) statetable.Command { return Batch{SkipAhead{Epoch: epoch}} }

// RevisionNumber is that of the description in force.
func (s *State) RevisionNumber() uint64 { return s.Revision.Number }

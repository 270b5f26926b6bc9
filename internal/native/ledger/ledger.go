// Package ledger is the holding ledger: which runner holds which model or
// adapter, from our own orders and the runners' answers, together with the
// description in force. Commands are types with an Apply method; they run at
// the primary alone and leave rows, which is what disks and followers take.
package ledger

import (
	"encoding/json"
	"strconv"
	"strings"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Item names a model, or an adapter on its model.
type Item struct{ Model, Adapter string }

func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + "+" + i.Adapter
}

// ParseItem reads what String wrote.
func ParseItem(name string) Item {
	model, adapter, _ := strings.Cut(name, "+")
	return Item{Model: model, Adapter: adapter}
}

// Holding is one thing that a runner holds.
type Holding struct {
	Size int64 `json:"size"`
}

// OpenOrder is an order whose end is not known yet. Its room is taken until a
// later report of the runner names it.
type OpenOrder struct {
	Number  uint64 `json:"number"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Size    int64  `json:"size"`
}

// Item is what the order loads or unloads.
func (o *OpenOrder) Item() Item { return Item{Model: o.Model, Adapter: o.Adapter} }

// RunnerRow is what the ledger knows of one runner.
type RunnerRow struct {
	Runner      string             `json:"runner"`
	Incarnation string             `json:"incarnation"`
	Address     string             `json:"address"`
	Room        int64              `json:"room"`
	Leaving     bool               `json:"leaving,omitempty"`
	Held        map[string]Holding `json:"held"`
	Order       *OpenOrder         `json:"intent,omitempty"`
}

// UsedRoom is the room that held, loading, unknown and not yet unloaded things
// take together.
func (r *RunnerRow) UsedRoom() int64 {
	var taken int64
	for _, h := range r.Held {
		taken += h.Size
	}
	if r.Order != nil && r.Order.Action == protocol.ActionLoad {
		taken += r.Order.Size
	}
	return taken
}

// Holds says whether the item is held for certain: an item that is being
// unloaded is no longer counted on.
func (r *RunnerRow) Holds(item Item) bool {
	if item.Model == "" {
		return true
	}
	if _, ok := r.Held[item.String()]; !ok {
		return false
	}
	return r.Order == nil || r.Order.Action != protocol.ActionUnload ||
		Item{r.Order.Model, r.Order.Adapter} != item
}

// Matches says whether the row holds just what the report says.
func (r *RunnerRow) Matches(report protocol.RunnerReport) bool {
	for _, h := range report.Held {
		if r.Held[Item{h.Model, h.Adapter}.String()].Size != h.Size {
			return false
		}
	}
	return len(report.Held) == len(r.Held)
}

// Loading says whether an order to load the item is on its way.
func (r *RunnerRow) Loading(item Item) bool {
	return r.Order != nil && r.Order.Action == protocol.ActionLoad && Item{r.Order.Model, r.Order.Adapter} == item
}

// Revision is a description that was accepted.
type Revision struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// HistoryEntry is a line of the history of revisions.
type HistoryEntry struct {
	Number uint64 `json:"number"`
	Bytes  int    `json:"bytes"`
	Sum    string `json:"sum"`
	Epoch  uint64 `json:"epoch"`
}

const maxHistory = 100

// State is the ledger in memory. It is the statetable.Ledger of a controller.
type State struct {
	Revision Revision
	History  []HistoryEntry
	Orders   uint64
	Rows     map[string]*RunnerRow
	// LeavingRunners are the leaving incarnations; they only grow.
	LeavingRunners map[protocol.LeavingRunner]bool
	// dirty are the keys of the rows that the present batch has written.
	dirty map[string]bool
}

// New makes an empty ledger.
func New() *State {
	return &State{Rows: map[string]*RunnerRow{}, LeavingRunners: map[protocol.LeavingRunner]bool{}, dirty: map[string]bool{}}
}

// Keys lists the keys of all rows.
func (s *State) Keys() []string {
	keys := []string{"revision", "past", "orders"}
	for name := range s.Rows {
		keys = append(keys, "row/"+name)
	}
	for mark := range s.LeavingRunners {
		keys = append(keys, leavingKey(mark))
	}
	return keys
}

// Encode gives the text of a row.
func (s *State) Encode(key string) string {
	var value any
	switch {
	case key == "revision":
		value = s.Revision
	case key == "past":
		value = s.History
	case key == "orders":
		return strconv.FormatUint(s.Orders, 10)
	case strings.HasPrefix(key, "row/"):
		value = s.Rows[strings.TrimPrefix(key, "row/")]
	case strings.HasPrefix(key, "mark/"):
		return "leaving"
	}
	text, _ := json.Marshal(value)
	return string(text)
}

func leavingKey(mark protocol.LeavingRunner) string {
	return "mark/" + mark.Runner + "/" + mark.Incarnation
}

// Decode takes the text of a row, as a follower or a restart does.
func (s *State) Decode(key, text string) error {
	switch {
	case key == "revision":
		return json.Unmarshal([]byte(text), &s.Revision)
	case key == "past":
		return json.Unmarshal([]byte(text), &s.History)
	case key == "orders":
		number, err := strconv.ParseUint(text, 10, 64)
		s.Orders = number
		return err
	case strings.HasPrefix(key, "row/"):
		row := &RunnerRow{}
		s.Rows[strings.TrimPrefix(key, "row/")] = row
		return json.Unmarshal([]byte(text), row)
	case strings.HasPrefix(key, "mark/"):
		runner, incarnation, _ := strings.Cut(strings.TrimPrefix(key, "mark/"), "/")
		s.LeavingRunners[protocol.LeavingRunner{Runner: runner, Incarnation: incarnation}] = true
		return nil
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

// Leaving says whether the runner's present incarnation is marked.
func (s *State) Leaving(row *RunnerRow) bool {
	return row.Leaving || s.LeavingRunners[protocol.LeavingRunner{Runner: row.Runner, Incarnation: row.Incarnation}]
}

// SkipAhead is what a recovery begins with.
func (s *State) SkipAhead(epoch uint64) statetable.Command { return Batch{SkipAhead{Epoch: epoch}} }

// RevisionNumber is that of the description in force.
func (s *State) RevisionNumber() uint64 { return s.Revision.Number }

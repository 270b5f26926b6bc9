package ledger

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Command changes the ledger at the primary.
type Command interface{ Apply(s *State) }

// Batch is commands that are applied one after the other in one change.
type Batch []Command

// Apply runs the commands and says which rows they wrote.
func (b Batch) Apply(t *statetable.Table) {
	state := t.Ledger().(*State)
	clear(state.dirty)
	for _, command := range b {
		command.Apply(state)
	}
	for key := range state.dirty {
		t.MarkDirty(key)
	}
}

// SkipAhead goes on from a copy that may lack the last changes: what is numbered
// from here on lies far above any number that may have been given after it.
type SkipAhead struct{ Epoch uint64 }

// restartStep is more than any site gives between two copies of its state.
const restartStep = 1_000

// Apply names the text in force anew and leaves the order numbers behind.
func (c SkipAhead) Apply(s *State) {
	s.Orders += 1000 * restartStep
	s.dirty["orders"] = true
	if s.Revision.Number == 0 {
		return
	}
	s.Revision.Number += restartStep
	s.History = append(s.History, HistoryEntry{s.Revision.Number, len(s.Revision.Text), protocol.Digest(s.Revision.Text), c.Epoch})
	s.History = s.History[max(0, len(s.History)-maxHistory):]
	s.dirty["revision"], s.dirty["past"] = true, true
}

// AcceptRevision puts a description in force.
type AcceptRevision struct {
	Text  string
	Epoch uint64
}

// Apply takes the next revision number.
func (c AcceptRevision) Apply(s *State) {
	s.Revision = Revision{Number: s.Revision.Number + 1, Text: c.Text}
	s.History = append(s.History, HistoryEntry{s.Revision.Number, len(c.Text), protocol.Digest(c.Text), c.Epoch})
	if len(s.History) > maxHistory {
		s.History = s.History[len(s.History)-maxHistory:]
	}
	s.dirty["revision"] = true
	s.dirty["past"] = true
}

// RegisterRunner notes a runner's incarnation. A new one begins with only what it
// says itself that it holds; nothing known of the one before counts.
type RegisterRunner struct {
	Report  protocol.RunnerReport
	Address string
}

// Apply makes the row anew, or notes a new address of the same incarnation.
func (c RegisterRunner) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation {
		row = &RunnerRow{Runner: c.Report.Runner, Incarnation: c.Report.Incarnation, Held: map[string]Holding{}}
		for _, h := range c.Report.Held {
			row.Held[Item{h.Model, h.Adapter}.String()] = Holding{Size: h.Size}
		}
		s.Rows[c.Report.Runner] = row
	}
	row.Address = c.Address
	row.Room = c.Report.Room
	s.dirty["row/"+row.Runner] = true
}

// CorrectHoldings takes what a runner says that it holds, while no order is open, as
// what it holds: it may have dropped something by itself.
type CorrectHoldings struct{ Report protocol.RunnerReport }

// Apply replaces what the row holds.
func (c CorrectHoldings) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation || row.Order != nil {
		return
	}
	row.Held = map[string]Holding{}
	for _, h := range c.Report.Held {
		row.Held[Item{h.Model, h.Adapter}.String()] = Holding{Size: h.Size}
	}
	s.dirty["row/"+row.Runner] = true
}

// MarkLeaving notes that an incarnation is leaving, for good.
type MarkLeaving struct{ Mark protocol.LeavingRunner }

// Apply adds the mark.
func (c MarkLeaving) Apply(s *State) {
	if s.LeavingRunners[c.Mark] {
		return
	}
	s.LeavingRunners[c.Mark] = true
	s.dirty[leavingKey(c.Mark)] = true
}

// RecordOrder writes an order down before it is sent.
type RecordOrder struct {
	Runner, Incarnation string
	Action              string
	Item                Item
	Size                int64
}

// Apply takes the next order number, unless the row can't take the order any
// more: another order is open, the runner is another, or there is no room.
func (c RecordOrder) Apply(s *State) {
	row := s.Rows[c.Runner]
	if row == nil || row.Incarnation != c.Incarnation || row.Order != nil {
		return
	}
	if c.Action == protocol.ActionLoad && row.UsedRoom()+c.Size > row.Room {
		return
	}
	s.Orders++
	row.Order = &OpenOrder{s.Orders, c.Action, c.Item.Model, c.Item.Adapter, c.Size}
	s.dirty["orders"] = true
	s.dirty["row/"+c.Runner] = true
}

// CompleteOrder ends an order as the runner's report says.
type CompleteOrder struct {
	Runner, Incarnation string
	Number              uint64
	Done                bool
}

// Apply moves the item into or out of what the runner holds.
func (c CompleteOrder) Apply(s *State) {
	row := s.Rows[c.Runner]
	if row == nil || row.Incarnation != c.Incarnation || row.Order == nil || row.Order.Number != c.Number {
		return
	}
	item := Item{row.Order.Model, row.Order.Adapter}.String()
	switch {
	case row.Order.Action == protocol.ActionLoad && c.Done:
		row.Held[item] = Holding{Size: row.Order.Size}
	case row.Order.Action == protocol.ActionUnload && c.Done:
		delete(row.Held, item)
	}
	row.Order = nil
	s.dirty["row/"+c.Runner] = true
}

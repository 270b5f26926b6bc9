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

// Restart goes on from a copy that may lack the last changes: what is numbered
// from here on lies far above any number that may have been given after it.
type Restart struct{ Epoch uint64 }

// restartStep is more than any site gives between two copies of its state.
const restartStep = 1_000

// Apply names the text in force anew and leaves the order numbers behind.
func (c Restart) Apply(s *State) {
	s.Orders += 1000 * restartStep
	s.dirty["orders"] = true
	if s.Revision.Number == 0 {
		return
	}
	s.Revision.Number += restartStep
	s.Past = append(s.Past, Past{s.Revision.Number, len(s.Revision.Text), protocol.Digest(s.Revision.Text), c.Epoch})
	s.Past = s.Past[max(0, len(s.Past)-pastMost):]
	s.dirty["revision"], s.dirty["past"] = true, true
}

// Accept puts a description in force.
type Accept struct {
	Text  string
	Epoch uint64
}

// Apply takes the next revision number.
func (c Accept) Apply(s *State) {
	s.Revision = Revision{Number: s.Revision.Number + 1, Text: c.Text}
	s.Past = append(s.Past, Past{s.Revision.Number, len(c.Text), protocol.Digest(c.Text), c.Epoch})
	if len(s.Past) > pastMost {
		s.Past = s.Past[len(s.Past)-pastMost:]
	}
	s.dirty["revision"] = true
	s.dirty["past"] = true
}

// Arrive notes a runner's incarnation. A new one begins with only what it
// says itself that it holds; nothing known of the one before counts.
type Arrive struct {
	Report  protocol.RunnerReport
	Address string
}

// Apply makes the row anew, or notes a new address of the same incarnation.
func (c Arrive) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation {
		row = &Row{Runner: c.Report.Runner, Incarnation: c.Report.Incarnation, Held: map[string]Holding{}}
		for _, h := range c.Report.Held {
			row.Held[Item{h.Model, h.Adapter}.String()] = Holding{Size: h.Size}
		}
		s.Rows[c.Report.Runner] = row
	}
	row.Address = c.Address
	row.Room = c.Report.Room
	s.dirty["row/"+row.Runner] = true
}

// Correct takes what a runner says that it holds, while no order is open, as
// what it holds: it may have dropped something by itself.
type Correct struct{ Report protocol.RunnerReport }

// Apply replaces what the row holds.
func (c Correct) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation || row.Intent != nil {
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
	if s.Marks[c.Mark] {
		return
	}
	s.Marks[c.Mark] = true
	s.dirty[markKey(c.Mark)] = true
}

// Intend writes an order down before it is sent.
type Intend struct {
	Runner, Incarnation string
	Action              string
	Item                Item
	Size                int64
}

// Apply takes the next order number, unless the row can't take the order any
// more: another order is open, the runner is another, or there is no room.
func (c Intend) Apply(s *State) {
	row := s.Rows[c.Runner]
	if row == nil || row.Incarnation != c.Incarnation || row.Intent != nil {
		return
	}
	if c.Action == protocol.ActionLoad && row.Taken()+c.Size > row.Room {
		return
	}
	s.Orders++
	row.Intent = &Intent{s.Orders, c.Action, c.Item.Model, c.Item.Adapter, c.Size}
	s.dirty["orders"] = true
	s.dirty["row/"+c.Runner] = true
}

// Settle ends an order as the runner's report says.
type Settle struct {
	Runner, Incarnation string
	Number              uint64
	Done                bool
}

// Apply moves the item into or out of what the runner holds.
func (c Settle) Apply(s *State) {
	row := s.Rows[c.Runner]
	if row == nil || row.Incarnation != c.Incarnation || row.Intent == nil || row.Intent.Number != c.Number {
		return
	}
	item := Item{row.Intent.Model, row.Intent.Adapter}.String()
	switch {
	case row.Intent.Action == protocol.ActionLoad && c.Done:
		row.Held[item] = Holding{Size: row.Intent.Size}
	case row.Intent.Action == protocol.ActionUnload && c.Done:
		delete(row.Held, item)
	}
	row.Intent = nil
	s.dirty["row/"+c.Runner] = true
}

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

// SkipAhead goes on from a copy that may lack the last changes. All numbers from here on
// are far above any that may have been given after the copy was made.
type SkipAhead struct{ Epoch uint64 }

const (
	// skippedRevisions is more than a site accepts between two copies of its state.
	skippedRevisions = 1_000
	// skippedOrders is more than it gives.
	skippedOrders = 1000 * skippedRevisions
)

// Apply gives the text in force a new number and leaves the order numbers behind.
func (c SkipAhead) Apply(s *State) {
	s.Orders += skippedOrders
	s.dirty[ordersKey] = true
	if s.Revision.Number == 0 {
		return
	}
	s.Revision.Number += skippedRevisions
	s.addHistory(c.Epoch)
}

// AcceptRevision puts a description in force.
type AcceptRevision struct {
	Text  string
	Epoch uint64
}

// Apply takes the next revision number.
func (c AcceptRevision) Apply(s *State) {
	s.Revision = Revision{Number: s.Revision.Number + 1, Text: c.Text}
	s.addHistory(c.Epoch)
}

// RegisterRunner notes a runner's incarnation. A new one begins with what it reports; what
// is known of the one before does not count.
type RegisterRunner struct {
	Report  protocol.RunnerReport
	Address string
}

// Apply makes the row anew, or notes a new address of the same incarnation.
func (c RegisterRunner) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation {
		row = &RunnerRow{Runner: c.Report.Runner, Incarnation: c.Report.Incarnation, Held: holdingsOf(c.Report)}
		s.Rows[c.Report.Runner] = row
	}
	row.Address = c.Address
	row.Room = c.Report.Room
	s.dirty[rowKey(row.Runner)] = true
}

// CorrectHoldings replaces what a runner holds by what it reports while no order is open:
// it may have dropped an item by itself.
type CorrectHoldings struct{ Report protocol.RunnerReport }

// Apply replaces what the row holds.
func (c CorrectHoldings) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation || row.Order != nil {
		return
	}
	row.Held = holdingsOf(c.Report)
	s.dirty[rowKey(row.Runner)] = true
}

// MarkLeaving notes that an incarnation is leaving. It never comes back.
type MarkLeaving struct{ Mark protocol.LeavingRunner }

// Apply adds the incarnation.
func (c MarkLeaving) Apply(s *State) {
	if s.LeavingRunners[c.Mark] {
		return
	}
	s.LeavingRunners[c.Mark] = true
	s.dirty[leavingKey(c.Mark)] = true
}

// RecordOrder opens an order before it is sent.
type RecordOrder struct {
	Runner, Incarnation string
	Action              string
	Item                Item
	Size                int64
}

// Apply takes the next order number, unless the order is not possible any more: another
// is open, the runner has another incarnation, or there is no room.
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
	s.dirty[ordersKey] = true
	s.dirty[rowKey(c.Runner)] = true
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
	item := row.Order.Item().String()
	switch {
	case row.Order.Action == protocol.ActionLoad && c.Done:
		row.Held[item] = Holding{Size: row.Order.Size}
	case row.Order.Action == protocol.ActionUnload && c.Done:
		delete(row.Held, item)
	}
	row.Order = nil
	s.dirty[rowKey(c.Runner)] = true
}

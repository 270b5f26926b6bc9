package ledger

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// Command is a change of the ledger. Only the primary applies commands.
type Command interface{ Apply(s *State) }

// Batch is a list of commands that are applied in order, in one change of the replicated state.
type Batch []Command

// Apply applies the commands and marks the rows that they wrote as dirty.
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

// SkipAhead is the first command after a recovery from a replica that may lack the last
// changes. It raises the numbers of revisions and orders far above any that those changes may
// have used.
type SkipAhead struct{ Epoch uint64 }

const (
	// skippedRevisions is more than the number of accepted revisions that a replica may lack.
	skippedRevisions = 1_000
	// skippedOrders is more than the number of orders that a replica may lack.
	skippedOrders = 1000 * skippedRevisions
)

// Apply raises the order number and, if there is a revision, gives its text a new number.
func (c SkipAhead) Apply(s *State) {
	s.Orders += skippedOrders
	s.dirty[ordersKey] = true
	if s.Revision.Number == 0 {
		return
	}
	s.Revision.Number += skippedRevisions
	s.addHistory(c.Epoch)
}

// AcceptRevision makes a description the current revision.
type AcceptRevision struct {
	Text  string
	Epoch uint64
}

// Apply assigns the next revision number.
func (c AcceptRevision) Apply(s *State) {
	s.Revision = Revision{Number: s.Revision.Number + 1, Text: c.Text}
	s.addHistory(c.Epoch)
}

// RegisterRunner records a runner's incarnation, address and capacity. What is known of an
// earlier incarnation is discarded: a new one starts with the items that it reports.
type RegisterRunner struct {
	Report  protocol.RunnerReport
	Address string
}

// Apply replaces the row if the incarnation is new, and otherwise updates its address and
// capacity.
func (c RegisterRunner) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation {
		row = &RunnerRow{Runner: c.Report.Runner, Incarnation: c.Report.Incarnation, Held: holdingsOf(c.Report)}
		s.Rows[c.Report.Runner] = row
	}
	row.Address = c.Address
	row.Capacity = c.Report.Room
	s.dirty[rowKey(row.Runner)] = true
}

// CorrectHoldings replaces the items that a runner holds by the items that it reports while no
// order is open. The runner may have unloaded an item without an order.
type CorrectHoldings struct{ Report protocol.RunnerReport }

// Apply replaces the items in the row, unless the row has another incarnation or an order is
// open.
func (c CorrectHoldings) Apply(s *State) {
	row := s.Rows[c.Report.Runner]
	if row == nil || row.Incarnation != c.Report.Incarnation || row.Order != nil {
		return
	}
	row.Held = holdingsOf(c.Report)
	s.dirty[rowKey(row.Runner)] = true
}

// MarkLeaving records that an incarnation is leaving. This record is never removed.
type MarkLeaving struct{ Mark protocol.LeavingRunner }

// Apply adds the incarnation unless it is marked already.
func (c MarkLeaving) Apply(s *State) {
	if s.LeavingRunners[c.Mark] {
		return
	}
	s.LeavingRunners[c.Mark] = true
	s.dirty[leavingKey(c.Mark)] = true
}

// RecordOrder records an order as open before it is sent.
type RecordOrder struct {
	Runner, Incarnation string
	Action              string
	Item                Item
	Size                int64
}

// Apply assigns the next order number. It does nothing if the order is no longer possible:
// another one is open, the runner has another incarnation, or its free capacity is too small.
func (c RecordOrder) Apply(s *State) {
	row := s.Rows[c.Runner]
	if row == nil || row.Incarnation != c.Incarnation || row.Order != nil {
		return
	}
	if c.Action == protocol.ActionLoad && row.UsedCapacity()+c.Size > row.Capacity {
		return
	}
	s.Orders++
	row.Order = &OpenOrder{s.Orders, c.Action, c.Item.Model, c.Item.Adapter, c.Size}
	s.dirty[ordersKey] = true
	s.dirty[rowKey(c.Runner)] = true
}

// CompleteOrder ends an open order with the outcome that the runner reported.
type CompleteOrder struct {
	Runner, Incarnation string
	Number              uint64
	Done                bool
}

// Apply adds or removes the item if the order was done, and closes the order.
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

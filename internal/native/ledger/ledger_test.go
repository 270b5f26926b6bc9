package ledger

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

func arrive(incarnation string, held ...protocol.HeldItem) RegisterRunner {
	return RegisterRunner{protocol.RunnerReport{Runner: "r", Incarnation: incarnation, Room: 100, Held: held}, "addr"}
}

func intend(action, model string, size int64) RecordOrder {
	return RecordOrder{"r", "1", action, Item{Model: model}, size}
}

func TestLedgerRoomAndIntents(t *testing.T) {
	cases := []struct {
		about    string
		commands []Command
		taken    int64
		held     int
		open     bool
	}{
		{"intent takes room", []Command{arrive("1"), intend(protocol.ActionLoad, "m", 60)}, 60, 0, true},
		{"no second order while one is open", []Command{arrive("1"), intend(protocol.ActionLoad, "m", 60), intend(protocol.ActionLoad, "n", 10)}, 60, 0, true},
		{"no room, no order", []Command{arrive("1", protocol.HeldItem{Model: "a", Size: 60}), intend(protocol.ActionLoad, "m", 41)}, 60, 1, false},
		{"done", []Command{arrive("1"), intend(protocol.ActionLoad, "m", 60), CompleteOrder{"r", "1", 1, true}}, 60, 1, false},
		{"failed", []Command{arrive("1"), intend(protocol.ActionLoad, "m", 60), CompleteOrder{"r", "1", 1, false}}, 0, 0, false},
		{"settled by another number", []Command{arrive("1"), intend(protocol.ActionLoad, "m", 60), CompleteOrder{"r", "1", 2, true}}, 60, 0, true},
		{"unloading still takes room", []Command{arrive("1", protocol.HeldItem{Model: "a", Size: 60}), intend(protocol.ActionUnload, "a", 60)}, 60, 1, true},
		{"unloaded", []Command{arrive("1", protocol.HeldItem{Model: "a", Size: 60}), intend(protocol.ActionUnload, "a", 60), CompleteOrder{"r", "1", 1, true}}, 0, 0, false},
		{"a new incarnation begins empty", []Command{arrive("1"), intend(protocol.ActionLoad, "m", 60), arrive("2")}, 0, 0, false},
		{"a runner that dropped something by itself", []Command{arrive("1", protocol.HeldItem{Model: "a", Size: 60}), CorrectHoldings{protocol.RunnerReport{Runner: "r", Incarnation: "1"}}}, 0, 0, false},
		{"no correction while an order is open", []Command{arrive("1", protocol.HeldItem{Model: "a", Size: 60}), intend(protocol.ActionUnload, "a", 60), CorrectHoldings{protocol.RunnerReport{Runner: "r", Incarnation: "1"}}}, 60, 1, true},
		{"an order for the one before has no effect", []Command{arrive("2"), intend(protocol.ActionLoad, "m", 60)}, 0, 0, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			s := New()
			statetable.New(s).Apply(protocol.Position{Epoch: 1, Number: 1}, []statetable.Command{Batch(test.commands)})
			row := s.Rows["r"]
			c.Assert(row.UsedRoom(), qt.Equals, test.taken)
			c.Assert(row.Held, qt.HasLen, test.held)
			c.Assert(row.Order != nil, qt.Equals, test.open)
		})
	}
}

func TestFollowerEqualsPrimary(t *testing.T) {
	c := qt.New(t)
	primary, follower, restored := statetable.New(New()), statetable.New(New()), statetable.New(New())
	steps := [][]Command{
		{arrive("1")},
		{intend(protocol.ActionLoad, "m", 60), MarkLeaving{protocol.LeavingRunner{Runner: "r", Incarnation: "0"}}},
		{CompleteOrder{"r", "1", 1, true}, AcceptRevision{"{}", 1}},
	}
	for n, commands := range steps {
		rows := primary.Apply(protocol.Position{Epoch: 1, Number: uint64(n + 1)}, []statetable.Command{statetable.Begin{}, Batch(commands)})
		c.Assert(follower.Load(rows), qt.IsNil)
	}
	c.Assert(follower.Snapshot(), qt.DeepEquals, primary.Snapshot())
	c.Assert(restored.Load(primary.Snapshot()), qt.IsNil)
	c.Assert(restored.Snapshot(), qt.DeepEquals, primary.Snapshot())
	c.Assert(restored.Load(map[string]string{statetable.Prefix + "odd": "1"}), qt.ErrorMatches, ".*unknown row")
}

package modelmemory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

func TestAcceptDecidesByCountAndContents(t *testing.T) {
	load := func(model, adapter string, expected int64) protocol.RunnerOrder {
		return protocol.RunnerOrder{Model: model, Adapter: adapter, Load: true, Expected: expected}
	}
	for _, test := range []struct {
		name        string
		order       protocol.RunnerOrder
		isBusy      bool
		ignoreCount bool
		outcome     protocol.OrderOutcome
	}{
		{"a model that is not loaded", load("m2", "", 1), false, false, protocol.OutcomeAccepted},
		{"a model that is loaded", load("m1", "", 1), false, false, protocol.OutcomeAlreadyInEffect},
		{"an adapter of a loaded model", load("m1", "a1", 1), false, false, protocol.OutcomeAccepted},
		{"an adapter of a model that is not loaded", load("m2", "a1", 1), false, false, protocol.OutcomeRejected},
		{"unload a model that is not loaded", protocol.RunnerOrder{Model: "m2", Expected: 1}, false, false, protocol.OutcomeAlreadyInEffect},
		{"another count is expected", load("m2", "", 0), false, false, protocol.OutcomeBusy},
		{"another count is expected and ignored", load("m2", "", 0), false, true, protocol.OutcomeAccepted},
		{"another order is being carried out", load("m2", "", 1), true, true, protocol.OutcomeBusy},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := New(map[string]bool{})
			m.Models["m1"], m.AcceptedOrders, m.IsBusy = map[string]bool{}, 1, test.isBusy
			qt.Check(t, m.Accept(test.order, test.ignoreCount), qt.Equals, test.outcome)
			isAccepted := test.outcome == protocol.OutcomeAccepted
			qt.Check(t, m.AcceptedOrders == 2, qt.Equals, isAccepted)
			qt.Check(t, m.IsBusy, qt.Equals, isAccepted || test.isBusy)
		})
	}
}

func TestCompleteTakesEffect(t *testing.T) {
	m := New(map[string]bool{})
	for _, order := range []protocol.RunnerOrder{
		{Model: "m2", Load: true}, {Model: "m1", Load: true}, {Model: "m1", Adapter: "a2", Load: true},
		{Model: "m1", Adapter: "a1", Load: true}, {Model: "m1", Adapter: "a2"}, {Model: "m2"},
	} {
		order.Expected = m.AcceptedOrders
		qt.Assert(t, m.Accept(order, false), qt.Equals, protocol.OutcomeAccepted)
		m.Complete(order)
		qt.Assert(t, m.IsBusy, qt.IsFalse)
	}
	qt.Check(t, m.HeldModels(), qt.DeepEquals, []protocol.HeldModel{{Name: "m1", Version: 1, Adapters: []string{"a1"}}})
	qt.Check(t, m.OnDisk, qt.DeepEquals, map[string]bool{"m1": true, "m2": true})
	qt.Check(t, m.AcceptedOrders, qt.Equals, int64(6))
}

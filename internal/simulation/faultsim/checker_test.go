package faultsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// What the holders' rule allows and what it does not, order by order.
func TestOneHolder(t *testing.T) {
	type step struct {
		afterMs        int64
		sender, holder string
		fence          uint64
		breaches       int
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"one", []step{{0, "a", "a", 1, 0}, {10, "a", "a", 1, 0}, {10, "a", "a", 2, 0}}},
		{"one after the other", []step{{0, "a", "a", 1, 0}, {3000, "b", "b", 2, 0}}},
		{"in turns", []step{{0, "a", "a", 1, 0}, {2999, "b", "b", 2, 1}}},
		{"one fence", []step{{0, "a", "a", 1, 0}, {3000, "b", "b", 1, 1}}},
		{"lower fence", []step{{0, "a", "a", 2, 0}, {3000, "b", "b", 1, 1}}},
		{"just thawed", []step{{0, "a", "a", 2, 0}, {10, "thawed", "b", 1, 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			// An odd seed has runners that check no fence.
			sim := New(1, InjectedBugs{})
			// Only the clock moves: the daemons send no orders of their own.
			sim.events.Clear()
			for _, s := range test.steps {
				sim.Run(s.afterMs)
				sim.thawedAtMs["thawed"] = sim.NowMs() - 100
				sim.Checker.recordOrder(s.sender, "i-1", s.holder, s.fence)
				qt.Assert(t, sim.Checker.violations, qt.HasLen, s.breaches)
			}
		})
	}
}

package faultsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Which sequences of orders the rule ONE allows and which it does not.
func TestOneControllerOrdersAtATime(t *testing.T) {
	type step struct {
		afterMs        int64
		sender, holder string
		fence          uint64
		violations     int
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"one holder", []step{{0, "a", "a", 1, 0}, {10, "a", "a", 1, 0}, {10, "a", "a", 2, 0}}},
		{"another holder after the lease", []step{{0, "a", "a", 1, 0}, {3000, "b", "b", 2, 0}}},
		{"another holder within the lease", []step{{0, "a", "a", 1, 0}, {2999, "b", "b", 2, 1}}},
		{"two holders with one fencing token", []step{{0, "a", "a", 1, 0}, {3000, "b", "b", 1, 1}}},
		{"a lower fencing token", []step{{0, "a", "a", 2, 0}, {3000, "b", "b", 1, 1}}},
		{"a lower fencing token right after a thaw", []step{{0, "a", "a", 2, 0}, {10, "thawed", "b", 1, 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			// An odd seed has runners that do not check fencing tokens.
			sim := New(1, InjectedBugs{})
			// Without events, the daemons send no orders of their own.
			sim.events.Clear()
			for _, s := range test.steps {
				sim.Run(s.afterMs)
				sim.thawedAtMs["thawed"] = sim.NowMs() - 100
				sim.Checker.recordOrder(s.sender, "i-1", s.holder, s.fence)
				qt.Assert(t, sim.Checker.violations, qt.HasLen, s.violations)
			}
		})
	}
}

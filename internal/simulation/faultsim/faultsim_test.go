package faultsim

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func assertNoViolation(t *testing.T, r Result) {
	if len(r.Violations) > 0 {
		t.Errorf("%s", r.Report())
	}
}

// Each fault alone, and each disaster, breaks no rule. Of two seeds one has
// three core machines and fenced runners, the other four and none.
func TestEachFaultAlone(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 2; seed++ {
				r, ok := Play(seed, name)
				qt.Assert(t, ok, qt.IsTrue)
				assertNoViolation(t, r)
			}
		})
	}
}

// Each fault is played with some others; cmd/drill --pairs plays all.
func TestPairs(t *testing.T) {
	pairs := Pairs()
	for i := 0; i < len(pairs); i += 41 {
		t.Run(fmt.Sprint(pairs[i]), func(t *testing.T) {
			t.Parallel()
			r, _ := Play(int64(i), pairs[i]...)
			assertNoViolation(t, r)
		})
	}
}

func TestCampaigns(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			assertNoViolation(t, Campaign(seed, 8))
		})
	}
}

// The same seed gives the same run, so that what was seen can be seen again.
func TestSeedsRepeat(t *testing.T) {
	first, again := Campaign(3, 6), Campaign(3, 6)
	qt.Assert(t, first.Summary(), qt.Equals, again.Summary())
	qt.Assert(t, first.Simulation.Trace(), qt.Equals, again.Simulation.Trace())
}

// Clients are served while nothing fails, and nobody is turned down.
func TestQuiet(t *testing.T) {
	r, _ := Play(2)
	qt.Assert(t, r.Violations, qt.HasLen, 0)
	qt.Assert(t, r.Simulation.clients.outcomes["answered"] > 500, qt.IsTrue)
	qt.Assert(t, len(r.Simulation.clients.outcomes) <= 3, qt.IsTrue, qt.Commentf("%v", r.Simulation.clients.outcomes))
}

func TestUnknownFault(t *testing.T) {
	_, ok := Play(1, "nothing of the kind")
	qt.Assert(t, ok, qt.IsFalse)
}

package faultsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each rule's check reports a system in which a bug was injected that breaks
// the rule.
func TestEachRuleFires(t *testing.T) {
	for _, test := range []struct {
		rule   Rule
		breaks InjectedBugs
		faults []string
	}{
		{"TWICE", InjectedBugs{ResendUnsafe: true}, []string{"runners reset"}},
		{"REFUSED", InjectedBugs{RejectLost: true}, []string{"runners reset"}},
		{"DRAIN", InjectedBugs{HideDraining: true}, []string{"release"}},
		{"CONFIG", InjectedBugs{LoseSyncedWrites: true}, []string{"all killed"}},
		{"CONFIG", InjectedBugs{AcknowledgeEarly: true}, []string{"map with faults"}},
		{"CONFIG", InjectedBugs{RouteByFirstConfig: true}, []string{"map replaced"}},
		{"CONFIG", InjectedBugs{WithholdConfig: true}, []string{"map replaced"}},
		{"CONFIG", InjectedBugs{IgnoreDiskFailure: true}, []string{"disk full, then another loses its disk"}},
		{"ACK", InjectedBugs{IgnoreDiskFailure: true}, []string{"disk full, then another lost"}},
		{"BUDGET", InjectedBugs{RetryWithoutBudget: true}, []string{"runners reset", "runners reset"}},
		{"ONE", InjectedBugs{ReuseFence: true}, []string{"primary cut off"}},
		{"LIMIT", InjectedBugs{OverstateCapacity: true}, []string{"crowd for rare models"}},
		{"LIMIT", InjectedBugs{IgnoreExpectedCount: true}, []string{"crowd for rare models", "demand moves"}},
		{"CEILING", InjectedBugs{OverstateStoreRate: true}, []string{"crowd for rare models", "demand moves", "crowd for rare models"}},
		{"LOOKUP", InjectedBugs{DuplicateLookUp: true}, nil},
		{"RECOVER", InjectedBugs{NeverHeal: true}, []string{"all killed"}},
		{"ORDER", InjectedBugs{SkipChunk: true}, []string{"runners reset"}},
		{"ROUTE", InjectedBugs{WrongService: true}, nil},
		{"DENIED", InjectedBugs{DenyKnown: true}, []string{"crowd for rare models", "release"}},
		{"ANSWER", InjectedBugs{OmitRetryAfter: true}, []string{"crowd for rare models", "release"}},
		{"ANSWER", InjectedBugs{AnswerTwice: true}, []string{"crowd for rare models", "release"}},
	} {
		t.Run(string(test.rule), func(t *testing.T) {
			t.Parallel()
			fired := false
			for seed := int64(1); seed <= 12 && !fired; seed++ {
				r, ok := play(seed, test.breaks, test.faults...)
				qt.Assert(t, ok, qt.IsTrue)
				for _, violation := range r.Violations {
					fired = fired || violation.Rule == test.rule
				}
			}
			qt.Check(t, fired, qt.IsTrue, qt.Commentf("%+v with %q", test.breaks, test.faults))
		})
	}
}

package faultsim

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each rule is shown to fire once the system is broken on purpose.
func TestEachRuleFires(t *testing.T) {
	for _, test := range []struct {
		rule   string
		breaks Breaks
		faults []string
	}{
		{"TWICE", Breaks{ResendUnsafe: true}, []string{"runners reset"}},
		{"REFUSED", Breaks{RefuseLost: true}, []string{"runners reset"}},
		{"DRAIN", Breaks{KeepLeaving: true}, []string{"release"}},
		{"CONFIG", Breaks{UnsyncedDisk: true}, []string{"all killed"}},
		{"CONFIG", Breaks{EagerAnswer: true}, []string{"map with faults"}},
		{"CONFIG", Breaks{OlderMap: true}, []string{"map replaced"}},
		{"CONFIG", Breaks{StaleMap: true}, []string{"map replaced"}},
		{"CONFIG", Breaks{DeafDisk: true}, []string{"disk full, then another loses its disk"}},
		{"ACK", Breaks{DeafDisk: true}, []string{"disk full, then another lost"}},
		{"BUDGET", Breaks{FreeTries: true}, []string{"runners reset", "runners reset"}},
		{"ONE", Breaks{SameFence: true}, []string{"primary cut off"}},
		{"LIMIT", Breaks{LieRoom: true}, []string{"crowd for rare models"}},
		{"LIMIT", Breaks{NoExpected: true}, []string{"crowd for rare models", "demand moves"}},
		{"CEILING", Breaks{FastStore: true}, []string{"crowd for rare models", "demand moves", "crowd for rare models"}},
		{"LOOKUP", Breaks{DoubleLookUp: true}, nil},
		{"RECOVER", Breaks{NoMend: true}, []string{"all killed"}},
		{"ORDER", Breaks{SkipPiece: true}, []string{"runners reset"}},
		{"ROUTE", Breaks{OtherService: true}, nil},
		{"DENIED", Breaks{DenyKnown: true}, []string{"crowd for rare models", "release"}},
		{"ANSWER", Breaks{NoRetryTime: true}, []string{"crowd for rare models", "release"}},
		{"ANSWER", Breaks{TwoAnswers: true}, []string{"crowd for rare models", "release"}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			t.Parallel()
			fired := false
			for seed := int64(1); seed <= 12 && !fired; seed++ {
				r, ok := play(seed, test.breaks, test.faults...)
				qt.Assert(t, ok, qt.IsTrue)
				for _, breach := range r.Breaches {
					fired = fired || breach.Rule == test.rule
				}
			}
			qt.Check(t, fired, qt.IsTrue, qt.Commentf("%+v with %q", test.breaks, test.faults))
		})
	}
}

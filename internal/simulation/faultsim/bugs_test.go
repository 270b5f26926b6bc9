package faultsim

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// violates reports whether a run violated a rule.
func (r Result) violates(rule Rule) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Rule == rule })
}

// Each rule's check reports a system with an injected bug that violates the rule.
func TestEachRuleFires(t *testing.T) {
	for _, test := range []struct {
		rule   Rule
		bugs   InjectedBugs
		faults []string
	}{
		{RuleTwice, InjectedBugs{ResendUnsafe: true}, []string{"runners reset"}},
		{RuleRefused, InjectedBugs{RejectLost: true}, []string{"runners reset"}},
		{RuleDrain, InjectedBugs{HideDraining: true}, []string{"release"}},
		{RuleConfig, InjectedBugs{LoseSyncedWrites: true}, []string{"all killed"}},
		{RuleConfig, InjectedBugs{AcknowledgeEarly: true}, []string{"map with faults"}},
		{RuleConfig, InjectedBugs{RouteByFirstConfig: true}, []string{"map replaced"}},
		{RuleConfig, InjectedBugs{WithholdConfig: true}, []string{"map replaced"}},
		{RuleConfig, InjectedBugs{IgnoreDiskFailure: true}, []string{"disk full, then another loses its disk"}},
		{RuleAck, InjectedBugs{IgnoreDiskFailure: true}, []string{"disk full, then another lost"}},
		{RuleBudget, InjectedBugs{RetryWithoutBudget: true}, []string{"runners reset", "runners reset"}},
		{RuleOne, InjectedBugs{ReuseFence: true}, []string{"primary cut off"}},
		{RuleLimit, InjectedBugs{OverstateCapacity: true}, []string{"crowd for rare models"}},
		{RuleLimit, InjectedBugs{IgnoreExpectedCount: true}, []string{"crowd for rare models", "demand moves"}},
		{RuleCeiling, InjectedBugs{OverstateStoreRate: true}, []string{"crowd for rare models", "demand moves", "crowd for rare models"}},
		{RuleLookUp, InjectedBugs{DuplicateLookUp: true}, nil},
		{RuleRecover, InjectedBugs{NeverHeal: true}, []string{"all killed"}},
		{RuleOrder, InjectedBugs{SkipChunk: true}, []string{"runners reset"}},
		{RuleOrder, InjectedBugs{CompleteCutStreams: true}, []string{"runners reset"}},
		{RuleLost, InjectedBugs{IgnoreShutdown: true}, []string{"routers restarted in rounds"}},
		{RuleRoute, InjectedBugs{WrongService: true}, nil},
		{RuleDenied, InjectedBugs{DenyKnown: true}, []string{"crowd for rare models", "release"}},
		{RuleAnswer, InjectedBugs{OmitRetryAfter: true}, []string{"crowd for rare models", "release"}},
		{RuleAnswer, InjectedBugs{AnswerTwice: true}, []string{"crowd for rare models", "release"}},
	} {
		t.Run(string(test.rule), func(t *testing.T) {
			t.Parallel()
			isReported := false
			for seed := int64(1); seed <= 12 && !isReported; seed++ {
				r, ok := runFaults(seed, test.bugs, test.faults...)
				qt.Assert(t, ok, qt.IsTrue)
				isReported = r.violates(test.rule)
			}
			qt.Check(t, isReported, qt.IsTrue, qt.Commentf("%+v with %q", test.bugs, test.faults))
		})
	}
}

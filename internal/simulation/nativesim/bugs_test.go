package nativesim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// crashEachRunner crashes one runner after the other under bursts.
func crashEachRunner(w *World) {
	// Second copies come once every model that is asked for has its first.
	w.Run(60_000)
	for _, r := range w.Description.Runners {
		w.Burst("narration", 60)
		w.Run(150)
		w.CrashRunner(r.Name)
		w.Run(500)
		w.StartRunner(r.Name)
		w.Run(8000)
	}
}

// freezeRoutersWhileRunnersLeave freezes all routers in the middle of bursts,
// until the runners that they were about to send to have left.
func freezeRoutersWhileRunnersLeave(w *World) {
	w.Burst("narration", 400)
	for range 20 {
		w.Run(7)
		w.freezeAll(w.nodeNames(protocol.RoleRouter))
		for _, r := range w.Description.Runners {
			w.MarkLeaving(r.Name)
		}
		w.Run(8000)
		w.thawAll(w.nodeNames(protocol.RoleRouter))
	}
}

func (w *World) freezeAll(names []string) {
	for _, name := range names {
		w.Freeze(name)
	}
}

func (w *World) thawAll(names []string) {
	for _, name := range names {
		w.Thaw(name)
	}
}

// killPrimariesUnderLoad kills one primary after the other while it orders loads.
func killPrimariesUnderLoad(w *World) {
	for range 4 {
		w.clients.uniformModels = true
		w.Burst("commentary", 60)
		w.Run(2500 + w.Random.Int63n(900))
		primary := w.Primary()
		w.Kill(primary)
		w.Run(8000)
		w.Start(primary)
		w.Run(8000)
	}
}

// killAllForGood kills all daemons, which nobody starts again.
func killAllForGood(w *World) {
	for _, name := range w.nodeNames(anyRole) {
		w.Kill(name)
	}
	w.checkRecovery()
}

// reportMoreThanCapacity makes runners smaller than they say.
func reportMoreThanCapacity(w *World) {
	for _, r := range w.runners {
		r.backend.Capacity = 20
	}
	w.reportedCapacity = 96
}

// sendOldRevisions makes routers fall back to the first revision, and runners
// accept it.
func sendOldRevisions(w *World) {
	w.acceptOldRevisions, w.Bugs.SendOldRevision = true, true
}

// firedRules lists the rules that a run broke.
func firedRules(r Result) map[invariants.Rule]bool {
	fired := map[invariants.Rule]bool{}
	for _, violation := range r.Violations {
		fired[violation.Rule] = true
	}
	return fired
}

// maxVariantSeeds is how many seeds a broken variant gets. The moment that it
// needs comes about in a quarter of the seeds or more; in which ones depends on
// the timing of all the rest.
const maxVariantSeeds = 24

// The system is broken on purpose, or promises more than it keeps; then the
// rule that is meant for it fires. The names of the variants stand in
// docs/proofs.md.
func TestBrokenVariants(t *testing.T) {
	cases := []struct {
		name     string
		rule     invariants.Rule
		breakIt  func(w *World)
		scenario Scenario
	}{
		{"no check at the socket", "leaver", func(w *World) { w.Bugs.SkipSocketCheck = true }, Scenario{Inject: freezeRoutersWhileRunnersLeave, RunMs: 2000}},
		{"no gap between holders", "two holders", func(w *World) { w.Bugs.HolderGapMs = 1 }, Scenario{Inject: killPrimariesUnderLoad, RunMs: 2000}},
		{"runners that heed late orders", "two holders", func(w *World) { w.Bugs.IgnoreFencing = true }, Scenarios["orders on the way when holders change"]},
		{"disks that forget", "description lost", func(w *World) { w.Bugs.LoseWrites = true }, Scenarios["total loss"]},
		{"lost goes are sent again", "twice", func(w *World) { w.Bugs.RetryLost = true }, Scenario{Inject: crashEachRunner, RunMs: 2000}},
		{"drops that run", "drop ran", func(w *World) { w.Bugs.RunDropped = true }, Scenarios["quiet"]},
		{"tellings that look whole", "torn answer", func(w *World) { w.Bugs.EndBrokenStreams = true }, Scenario{Inject: crashEachRunner, RunMs: 2000}},
		{"a store slower than described", "store pace", func(w *World) { w.Checker = invariants.New(2, 10) }, Scenarios["quiet"]},
		{"runners smaller than they say", "room", reportMoreThanCapacity, Scenarios["quiet"]},
		{"no allowance of second goes", "second goes", func(w *World) { w.Checker = invariants.New(100, -40) }, Scenarios["quiet"]},
		{"refusals of what is in force", "no effect", func(w *World) { w.Bugs.InvertOutcomes = true }, Scenarios["operators race"]},
		{"losers that are told they won", "two accepted", func(w *World) { w.Bugs.InvertOutcomes = true }, Scenarios["operators race"]},
		{"routers that go back", "slip back", sendOldRevisions, Scenarios["operators race"]},
		{"nobody starts again", "not back", func(*World) {}, Scenario{Inject: killAllForGood, RunMs: 100}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var fired map[invariants.Rule]bool
			for seed := int64(1); seed <= maxVariantSeeds && !fired[test.rule]; seed++ {
				w := New(example(t, "zagreb"), seed)
				test.breakIt(w)
				for _, r := range w.runners {
					r.backend.Checker, r.backend.AcceptOldRevisions = w.Checker, w.acceptOldRevisions
				}
				fired = firedRules(w.Play(test.scenario))
			}
			qt.Assert(t, fired[test.rule], qt.IsTrue, qt.Commentf("fired: %v", fired))
		})
	}
}

// freezeRoutersDuringSubmissions freezes some routers, again and again, while a
// description is accepted.
func freezeRoutersDuringSubmissions(w *World) {
	for i := range 4 {
		w.Burst("move", 200)
		w.Run(100)
		frozen := w.nodeNames(protocol.RoleRouter)[:4]
		w.freezeAll(frozen)
		w.SubmitDescription(w.Primary(), uint64(1+i), w.Variant(i+1))
		w.Run(9000)
		w.thawAll(frozen)
		w.Run(1000)
	}
}

// Routers whose leases never run out use an old revision too long.
func TestBrokenRevisions(t *testing.T) {
	t.Parallel()
	fired := false
	for seed := int64(1); seed <= 4; seed++ {
		w := New(example(t, "zagreb"), seed)
		w.Bugs.SkipSocketCheck = true
		w.Bugs.ForgetLeases = true
		result := w.Play(Scenario{Inject: freezeRoutersDuringSubmissions, RunMs: 2000})
		fired = fired || firedRules(result)["in force"]
	}
	qt.Assert(t, fired, qt.IsTrue)
}

// renewByPeers cuts some routers off while the others, which renewed their
// leases, acknowledge a next revision. The runners' own guard is off.
func renewByPeers(w *World) {
	w.setAcceptOldRevisions(true)
	w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter)[:2], false)
	w.Run(4500)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	for range 40 {
		w.Run(250)
		w.Burst(w.smallService(), 20)
	}
}

// A primary waits for the renewals that routers gave to their peers. Where they
// are kept from it, the old revision is used too long.
func TestHiddenRenewalsBreakInForce(t *testing.T) {
	t.Parallel()
	for _, site := range exampleSites {
		for _, hidden := range []bool{false, true} {
			w := New(example(t, site), 1)
			w.Bugs.HideRenewals = hidden
			result := w.Play(Scenario{Inject: renewByPeers, RunMs: 10_000})
			fired := firedRules(result)["in force"]
			qt.Assert(t, fired, qt.Equals, hidden, qt.Commentf("%s: %v", site, result.Violations))
			qt.Assert(t, w.operator.outcomes[submissionAccepted], qt.Equals, 2)
		}
	}
}

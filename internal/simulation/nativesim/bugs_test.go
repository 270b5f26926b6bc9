package nativesim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// crashEachRunner ends one runner after the other while a crowd is served.
var crashEachRunner = Scenario{"", func(w *World) {
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
}, 2000}

// TestBrokenVariants breaks the system on purpose, or promises more than it
// keeps, and shows that the rule that is meant for it fires.
func TestBrokenVariants(t *testing.T) {
	cases := []struct {
		about  string
		rule   invariants.Rule
		spoil  func(w *World)
		played Scenario
	}{
		{"no check at the socket", "leaver", func(w *World) { w.Bugs.SkipSocketCheck = true }, Scenario{"", func(w *World) {
			w.Burst("narration", 400)
			for range 20 {
				w.Run(7)
				for _, name := range w.nodeNames(protocol.RoleRouter) {
					w.Freeze(name)
				}
				for _, r := range w.Description.Runners {
					w.MarkLeaving(r.Name)
				}
				w.Run(8000)
				for _, name := range w.nodeNames(protocol.RoleRouter) {
					w.Thaw(name)
				}
			}
		}, 2000}},
		{"no gap between holders", "two holders", func(w *World) { w.Bugs.HolderGapMs = 1 }, Scenario{"", func(w *World) {
			for range 4 {
				w.clients.uniformModels = true
				w.Burst("commentary", 60)
				w.Run(2500 + w.Random.Int63n(900))
				p := w.Primary()
				w.Kill(p)
				w.Run(8000)
				w.Start(p)
				w.Run(8000)
			}
		}, 2000}},
		{"runners that heed late orders", "two holders", func(w *World) { w.Bugs.IgnoreFencing = true }, Scenarios["orders on the way when holders change"]},
		{"disks that forget", "description lost", func(w *World) { w.Bugs.LoseWrites = true }, Scenarios["total loss"]},
		{"lost goes are sent again", "twice", func(w *World) { w.Bugs.RetryLost = true }, crashEachRunner},
		{"drops that run", "drop ran", func(w *World) { w.Bugs.RunDropped = true }, Scenarios["quiet"]},
		{"tellings that look whole", "torn answer", func(w *World) { w.Bugs.EndBrokenStreams = true }, crashEachRunner},
		{"a store slower than described", "store pace", func(w *World) { w.Checker = invariants.New(2, 10) }, Scenarios["quiet"]},
		{"runners smaller than they say", "room", func(w *World) {
			for _, r := range w.runners {
				r.backend.Capacity = 20
			}
			w.reportedCapacity = 96
		}, Scenarios["quiet"]},
		{"no allowance of second goes", "second goes", func(w *World) { w.Checker = invariants.New(100, -40) }, Scenarios["quiet"]},
		{"refusals of what is in force", "no effect", func(w *World) { w.Bugs.InvertOutcomes = true }, Scenarios["operators race"]},
		{"losers that are told they won", "two accepted", func(w *World) { w.Bugs.InvertOutcomes = true }, Scenarios["operators race"]},
		{"routers that go back", "slip back", func(w *World) { w.acceptOldRevisions, w.Bugs.SendOldRevision = true, true }, Scenarios["operators race"]},
		{"nobody starts again", "not back", func(*World) {}, Scenario{"", func(w *World) {
			for _, name := range w.nodeNames("") {
				w.Kill(name)
			}
			w.checkRecovery()
		}, 100}},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			fired := map[invariants.Rule]bool{}
			// The moment that a variant needs comes about in a quarter of the seeds
			// or more; which ones depends on the timing of all the rest.
			for seed := int64(1); seed <= 24 && !fired[test.rule]; seed++ {
				w := New(example(t, "zagreb"), seed)
				test.spoil(w)
				for _, r := range w.runners {
					r.backend.Checker, r.backend.AcceptOldRevisions = w.Checker, w.acceptOldRevisions
				}
				for _, violation := range w.Play(test.played).Violations {
					fired[violation.Rule] = true
				}
			}
			qt.Assert(t, fired[test.rule], qt.IsTrue, qt.Commentf("fired: %v", fired))
		})
	}
}

// The slip back of a router, and a revision that is not in force in time, are
// brought about by routers whose holds never run out.
func TestBrokenRevisions(t *testing.T) {
	t.Parallel()
	fired := map[invariants.Rule]bool{}
	for seed := int64(1); seed <= 4; seed++ {
		w := New(example(t, "zagreb"), seed)
		w.Bugs.SkipSocketCheck = true
		w.Bugs.ForgetLeases = true
		r := w.Play(Scenario{"", func(w *World) {
			for i := range 4 {
				w.Burst("move", 200)
				w.Run(100)
				frozen := w.nodeNames(protocol.RoleRouter)[:4]
				for _, name := range frozen {
					w.Freeze(name)
				}
				w.SubmitDescription(w.Primary(), uint64(1+i), w.Variant(i+1))
				w.Run(9000)
				for _, name := range frozen {
					w.Thaw(name)
				}
				w.Run(1000)
			}
		}, 2000})
		for _, violation := range r.Violations {
			fired[violation.Rule] = true
		}
	}
	qt.Assert(t, fired["in force"], qt.IsTrue, qt.Commentf("fired: %v", fired))
}

// renewByPeers cuts some routers off while the others, which renewed their holds,
// acknowledge a next revision. The runners' own guard is off.
func renewByPeers(w *World) {
	for _, r := range w.runners {
		r.backend.AcceptOldRevisions = true
	}
	w.Cut(w.nodeNames(protocol.RoleController), w.nodeNames(protocol.RoleRouter)[:2], false)
	w.Run(4500)
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	for range 40 {
		w.Run(250)
		w.Burst(w.smallService(), 20)
	}
}

// Renewals that peers gave are waited for; kept from the primary, the old
// revision would be used too long.
func TestHiddenRenewalsBreakInForce(t *testing.T) {
	t.Parallel()
	for _, site := range []string{"zagreb", "alexandria"} {
		for _, kept := range []bool{false, true} {
			w := New(example(t, site), 1)
			w.Bugs.HideRenewals = kept
			r := w.Play(Scenario{"", renewByPeers, 10_000})
			fired := false
			for _, violation := range r.Violations {
				fired = fired || violation.Rule == "in force"
			}
			qt.Assert(t, fired, qt.Equals, kept, qt.Commentf("%s: %v", site, r.Violations))
			qt.Assert(t, w.operator.outcomes["accepted"], qt.Equals, 2)
		}
	}
}

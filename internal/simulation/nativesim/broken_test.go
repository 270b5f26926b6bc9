package nativesim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// crashes ends one runner after the other while a crowd is served.
var crashes = Scenario{"", func(w *World) {
	// Second copies come once every model that is asked for has its first.
	w.Run(60_000)
	for _, r := range w.Site.Runners {
		w.Crowd("narration", 60)
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
		rule   string
		spoil  func(w *World)
		played Scenario
	}{
		{"no check at the socket", "leaver", func(w *World) { w.Breaks.NoSocketCheck = true }, Scenario{"", func(w *World) {
			w.Crowd("narration", 400)
			for range 20 {
				w.Run(7)
				for _, name := range w.names(protocol.Router) {
					w.Freeze(name)
				}
				for _, r := range w.Site.Runners {
					w.MarkLeaving(r.Name)
				}
				w.Run(8000)
				for _, name := range w.names(protocol.Router) {
					w.Thaw(name)
				}
			}
		}, 2000}},
		{"no gap between holders", "two holders", func(w *World) { w.Breaks.GapMs = 1 }, Scenario{"", func(w *World) {
			for range 4 {
				w.senders.rare = true
				w.Crowd("commentary", 60)
				w.Run(2500 + w.Random.Int63n(900))
				p := w.Primary()
				w.Kill(p)
				w.Run(8000)
				w.Start(p)
				w.Run(8000)
			}
		}, 2000}},
		{"runners that heed late orders", "two holders", func(w *World) { w.Breaks.NoFence = true }, Scenarios["orders on the way when holders change"]},
		{"disks that forget", "description lost", func(w *World) { w.Breaks.UnsyncedDisk = true }, Scenarios["total loss"]},
		{"lost goes are sent again", "twice", func(w *World) { w.Breaks.ResendLost = true }, crashes},
		{"drops that run", "drop ran", func(w *World) { w.Breaks.DropThenRun = true }, Scenarios["quiet"]},
		{"tellings that look whole", "torn answer", func(w *World) { w.Breaks.TellWrong = true }, crashes},
		{"a store slower than described", "store pace", func(w *World) { w.Book = invariants.New(2, 10) }, Scenarios["quiet"]},
		{"runners smaller than they say", "room", func(w *World) {
			for _, r := range w.runners {
				r.stand.Room = 20
			}
			w.lieAboutRoom = 96
		}, Scenarios["quiet"]},
		{"no allowance of second goes", "second goes", func(w *World) { w.Book = invariants.New(100, -40) }, Scenarios["quiet"]},
		{"refusals of what is in force", "no effect", func(w *World) { w.Breaks.LieToOperator = true }, Scenarios["operators race"]},
		{"losers that are told they won", "two accepted", func(w *World) { w.Breaks.LieToOperator = true }, Scenarios["operators race"]},
		{"routers that go back", "slip back", func(w *World) { w.careless, w.Breaks.SlipBack = true, true }, Scenarios["operators race"]},
		{"nobody starts again", "not back", func(*World) {}, Scenario{"", func(w *World) {
			for _, name := range w.names("") {
				w.Kill(name)
			}
			w.checkBack()
		}, 100}},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			t.Parallel()
			fired := map[string]bool{}
			// The moment that a variant needs comes about in a quarter of the seeds
			// or more; which ones depends on the timing of all the rest.
			for seed := int64(1); seed <= 24 && !fired[test.rule]; seed++ {
				w := New(example(t, "zagreb"), seed)
				test.spoil(w)
				for _, r := range w.runners {
					r.stand.Book, r.stand.Careless = w.Book, w.careless
				}
				for _, breach := range w.Play(test.played).Breaches {
					fired[breach.Rule] = true
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
	fired := map[string]bool{}
	for seed := int64(1); seed <= 4; seed++ {
		w := New(example(t, "zagreb"), seed)
		w.Breaks.NoSocketCheck = true
		w.Breaks.ForgetHold = true
		r := w.Play(Scenario{"", func(w *World) {
			for i := range 4 {
				w.Crowd("move", 200)
				w.Run(100)
				frozen := w.names(protocol.Router)[:4]
				for _, name := range frozen {
					w.Freeze(name)
				}
				w.HandOver(w.Primary(), uint64(1+i), w.Variant(i+1))
				w.Run(9000)
				for _, name := range frozen {
					w.Thaw(name)
				}
				w.Run(1000)
			}
		}, 2000})
		for _, breach := range r.Breaches {
			fired[breach.Rule] = true
		}
	}
	qt.Assert(t, fired["in force"], qt.IsTrue, qt.Commentf("fired: %v", fired))
}

// peers cuts some routers off while the others, which renewed their holds,
// acknowledge a next revision. The runners' own guard is off.
func peers(w *World) {
	for _, r := range w.runners {
		r.stand.Careless = true
	}
	w.Cut(w.names(protocol.Controller), w.names(protocol.Router)[:2], false)
	w.Run(4500)
	w.HandOver(w.Primary(), 1, w.Variant(1))
	for range 40 {
		w.Run(250)
		w.Crowd(w.small(), 20)
	}
}

// Renewals that peers gave are waited for; kept from the primary, the old
// revision would be used too long.
func TestBrokenPeers(t *testing.T) {
	t.Parallel()
	for _, site := range []string{"zagreb", "alexandria"} {
		for _, kept := range []bool{false, true} {
			w := New(example(t, site), 1)
			w.Breaks.NoGiven = kept
			r := w.Play(Scenario{"", peers, 10_000})
			fired := false
			for _, breach := range r.Breaches {
				fired = fired || breach.Rule == "in force"
			}
			qt.Assert(t, fired, qt.Equals, kept, qt.Commentf("%s: %v", site, r.Breaches))
			qt.Assert(t, w.operator.outcomes["accepted"], qt.Equals, 2)
		}
	}
}

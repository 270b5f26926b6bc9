package nativesim

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// losePair kills the two controllers with replicas, and with wiped also loses
// their disks. It gives them, and the controllers that are left.
func (w *World) losePair(wiped bool) (lost, left []string) {
	lost = []string{w.Primary(), w.backup()}
	for _, name := range lost {
		w.Kill(name)
		if wiped {
			w.Wipe(name)
		}
	}
	for _, name := range w.nodeNames(protocol.RoleController) {
		if !slices.Contains(lost, name) {
			left = append(left, name)
		}
	}
	return lost, left
}

// requireRejected requires that the last bootstrap or recovery was rejected.
func (w *World) requireRejected(t *testing.T, kind errkind.Kind) {
	t.Helper()
	rejection, ok := w.operator.bootstrapResult.(protocol.Rejection)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("seed %d: %+v", w.Seed, w.operator.bootstrapResult))
	qt.Assert(t, rejection.Kind, qt.Equals, kind, qt.Commentf("seed %d", w.Seed))
}

// requireNoViolation fails the test with a run's report if a rule was broken.
func requireNoViolation(t *testing.T, r Result) {
	t.Helper()
	if len(r.Violations) > 0 {
		t.Fatal(r.Report())
	}
}

// Both disks of the pair are wiped. Nothing goes on by itself. The operator's
// recovery continues from a spare, loses nothing that it holds, and breaks no
// rule.
func TestRecoveryFromASpare(t *testing.T) {
	t.Parallel()
	for _, site := range exampleSites {
		for seed := int64(1); seed <= 6; seed++ {
			w := New(example(t, site), seed)
			inject := func(w *World) { recoverFromSpare(t, w) }
			requireNoViolation(t, w.Play(Scenario{Inject: inject, RunMs: 3000}))
		}
	}
}

func recoverFromSpare(t *testing.T, w *World) {
	t.Helper()
	w.SubmitDescription(w.Primary(), 1, w.Variant(1))
	w.Run(3000)
	lost, left := w.losePair(true)
	spare := left[0]
	w.Run(1000)
	for _, name := range lost {
		w.Start(name)
	}
	w.Run(8000)
	qt.Assert(t, w.Primary(), qt.Equals, "", qt.Commentf("blank disks and a spare serve nothing by themselves"))
	witnesses := append([]string{spare}, lost...)
	// A wrong change is rejected with the right one.
	w.recoverAt(spare, consensus.Bootstrap{Witnesses: witnesses, Backup: lost[0], Recover: true, Change: 1})
	w.Run(1000)
	w.requireRejected(t, errkind.StaleBase)
	w.Recover(spare, witnesses, lost[0])
	w.Run(9000)
	qt.Assert(t, w.Primary(), qt.Equals, spare, qt.Commentf("seed %d\n%s", w.Seed, w.Trace()))
	revision := w.status(w.nodes[spare]).Revision
	qt.Assert(t, revision, qt.Equals, uint64(1002))
	w.SubmitDescription(spare, revision, w.Variant(2))
	w.Run(9000)
	w.checkAccepted(revision + 1)
	w.checkRecovery()
}

// The pair was only away: its disks return after the recovery. They retire and
// have no effect; while one of them is there the recovery is rejected.
func TestOldPairRetiresAfterRecovery(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 6; seed++ {
		w := New(example(t, "zagreb"), seed)
		inject := func(w *World) { recoverBesideOldPair(t, w) }
		requireNoViolation(t, w.Play(Scenario{Inject: inject, RunMs: 3000}))
	}
}

func recoverBesideOldPair(t *testing.T, w *World) {
	t.Helper()
	lost, left := w.losePair(false)
	oldPrimary, oldBackup := lost[0], lost[1]
	primary, backup := left[0], left[1]
	witnesses := []string{primary, backup, oldBackup}
	w.Start(oldBackup)
	w.Run(500)
	w.Recover(primary, witnesses, backup)
	w.Run(2000)
	w.requireRejected(t, errkind.NotAccepted)
	w.Kill(oldBackup)
	// A third machine comes blank in the place of one that is lost.
	w.Wipe(oldBackup)
	w.Start(oldBackup)
	w.Run(4000)
	w.Recover(primary, witnesses, backup)
	w.Run(2000)
	// The replica that reaches further is named, and is the one to go on from.
	if rejection, rejected := w.operator.bootstrapResult.(protocol.Rejection); rejected {
		qt.Assert(t, rejection.Detail, qt.Contains, backup+" has a later copy")
		primary, backup = backup, primary
		w.Recover(primary, []string{primary, backup, oldBackup}, backup)
	}
	w.Run(12_000)
	qt.Assert(t, w.Primary(), qt.Equals, primary, qt.Commentf("seed %d: %+v\n%s", w.Seed, w.operator.bootstrapResult, w.Trace()))
	// The old primary's disk comes back as it was.
	w.Start(oldPrimary)
	w.Run(4000)
	qt.Assert(t, w.retired(oldPrimary), qt.IsTrue, qt.Commentf("seed %d", w.Seed))
	qt.Assert(t, w.Primary(), qt.Equals, primary)
	w.checkRecovery()
}

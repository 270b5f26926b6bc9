package nativesim

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// losePair loses both disks of the pair for good, or, as it turns out later,
// only for a while. It gives the survivors.
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

// Both disks of the pair are wiped. Nothing goes on by itself; the operator's
// act goes on from a spare, loses nothing that it holds, and breaks no rule.
func TestRecoveryFromASpare(t *testing.T) {
	t.Parallel()
	for _, site := range []string{"zagreb", "alexandria"} {
		for seed := int64(1); seed <= 6; seed++ {
			w := New(example(t, site), seed)
			r := w.Play(Scenario{"", func(w *World) {
				w.SubmitDescription(w.Primary(), 1, w.Variant(1))
				w.Run(3000)
				lost, left := w.losePair(true)
				w.Run(1000)
				for _, name := range lost {
					w.Start(name)
				}
				w.Run(8000)
				qt.Assert(t, w.Primary(), qt.Equals, "", qt.Commentf("blank disks and a spare serve nothing by themselves"))
				witnesses := append([]string{left[0]}, lost...)
				// A wrong change is refused with the right one.
				w.askController(left[0], "", func(id uint64) any {
					return consensus.Bootstrap{ID: id, Witnesses: witnesses, Backup: lost[0], Recover: true, Change: 1}
				}, func(body any) { w.operator.bootstrapResult = body })
				w.Run(1000)
				qt.Assert(t, w.operator.bootstrapResult.(protocol.Rejection).Kind, qt.Equals, errkind.StaleBase)
				w.Recover(left[0], witnesses, lost[0])
				w.Run(9000)
				qt.Assert(t, w.Primary(), qt.Equals, left[0], qt.Commentf("seed %d\n%s", seed, w.Trace()))
				number := w.status(w.nodes[left[0]]).Revision
				qt.Assert(t, number, qt.Equals, uint64(1002))
				w.SubmitDescription(left[0], number, w.Variant(2))
				w.Run(9000)
				w.checkAccepted(number + 1)
				w.checkRecovery()
			}, 3000})
			if len(r.Violations) > 0 {
				t.Fatal(r.Report())
			}
		}
	}
}

// The pair was only away: its disks return after the recovery. They retire and
// disturb nothing; while one of them is there the act is refused.
func TestOldPairRetiresAfterRecovery(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 6; seed++ {
		w := New(example(t, "zagreb"), seed)
		r := w.Play(Scenario{"", func(w *World) {
			lost, left := w.losePair(false)
			w.Start(lost[1])
			w.Run(500)
			w.Recover(left[0], []string{left[0], left[1], lost[1]}, left[1])
			w.Run(2000)
			qt.Assert(t, w.operator.bootstrapResult.(protocol.Rejection).Kind, qt.Equals, errkind.NotAccepted, qt.Commentf("%+v", w.operator.bootstrapResult))
			w.Kill(lost[1])
			// A third machine comes blank in the place of one that is lost.
			w.Wipe(lost[1])
			w.Start(lost[1])
			w.Run(4000)
			w.Recover(left[0], []string{left[0], left[1], lost[1]}, left[1])
			w.Run(2000)
			// The copy that reaches further is named, and is the one to go on from.
			if said, refused := w.operator.bootstrapResult.(protocol.Rejection); refused {
				qt.Assert(t, said.Detail, qt.Contains, left[1]+" has a later copy")
				left[0], left[1] = left[1], left[0]
				w.Recover(left[0], []string{left[0], left[1], lost[1]}, left[1])
			}
			w.Run(12_000)
			qt.Assert(t, w.Primary(), qt.Equals, left[0], qt.Commentf("seed %d: %+v\n%s", seed, w.operator.bootstrapResult, w.Trace()))
			// The old primary's disk comes back as it was.
			w.Start(lost[0])
			w.Run(4000)
			qt.Assert(t, w.retired(lost[0]), qt.IsTrue, qt.Commentf("seed %d", seed))
			qt.Assert(t, w.Primary(), qt.Equals, left[0])
			w.checkRecovery()
		}, 3000})
		if len(r.Violations) > 0 {
			t.Fatal(r.Report())
		}
	}
}

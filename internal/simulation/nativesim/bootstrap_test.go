package nativesim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// A founding that was cut short at any moment is finished by repeating it. A
// different one, where a witness was already taken, is refused and changes
// nothing.
func TestInterruptedBootstrapCanBeRepeated(t *testing.T) {
	t.Parallel()
	halves, refused := 0, 0
	for seed := int64(1); seed <= 60; seed++ {
		w := New(example(t, "zagreb"), seed)
		w.Run(2000)
		w.Bootstrap()
		w.Run(3 + w.Random.Int63n(20))
		names := w.nodeNames(protocol.RoleController)
		// All three are hit, so that each may or may not have kept the record.
		for _, name := range names[:3] {
			w.Kill(name)
		}
		w.Run(500)
		for _, name := range names[:3] {
			w.Start(name)
		}
		w.Run(4000)
		half := w.Primary() == ""
		if half {
			halves++
		}
		kept := 0
		for _, name := range names[:3] {
			if w.nodes[name].disk.keys["witness"] != "" && !w.status(w.nodes[name]).WitnessBlank {
				kept++
			}
		}
		if half && kept > 0 {
			w.operator.bootstrapResult = nil
			w.bootstrapWith(names[2])
			w.Run(3000)
			said, ok := w.operator.bootstrapResult.(protocol.Rejection)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, w.operator.bootstrapResult))
			qt.Assert(t, said.Kind, qt.Equals, errkind.AlreadyBootstrapped, qt.Commentf("seed %d", seed))
			refused++
		}
		for range 5 {
			if w.Primary() == "" {
				w.Bootstrap()
				w.Run(3000)
			}
		}
		qt.Assert(t, w.Primary(), qt.Not(qt.Equals), "", qt.Commentf("seed %d\n%s", seed, w.Trace()))
		if half {
			_, ok := w.operator.bootstrapResult.(consensus.BootstrapResult)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, w.operator.bootstrapResult))
		}
		w.SubmitDescription(w.Primary(), 0, w.DescriptionText)
		w.Run(9000)
		qt.Assert(t, w.operator.newestAccepted, qt.Equals, uint64(1), qt.Commentf("seed %d\n%s", seed, w.Trace()))
	}
	qt.Assert(t, halves > 10 && refused > 3, qt.IsTrue, qt.Commentf("halves %d, refused %d", halves, refused))
}

package campaign

import (
	"slices"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRunReportsEachResultOnce(t *testing.T) {
	for _, workers := range []int{1, 4} {
		const count = 50
		var running, most atomic.Int64
		simulate := func(index int) int {
			now := running.Add(1)
			defer running.Add(-1)
			for known := most.Load(); now > known && !most.CompareAndSwap(known, now); known = most.Load() {
			}
			return index * index
		}
		var indices []int
		Run(count, workers, simulate, func(index, result int) {
			qt.Check(t, result, qt.Equals, index*index)
			indices = append(indices, index)
		})
		qt.Check(t, most.Load() <= int64(workers), qt.IsTrue)
		qt.Check(t, indices, qt.HasLen, count)
		if workers > 1 {
			slices.Sort(indices)
		}
		for i, index := range indices {
			qt.Assert(t, index, qt.Equals, i)
		}
	}
}

func TestRunOfNothingReportsNothing(t *testing.T) {
	Run(0, 2, func(int) int { return 0 }, func(int, int) { t.Error("a result is reported") })
}

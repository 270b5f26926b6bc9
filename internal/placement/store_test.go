package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// In no window do more loads begin than the pace allows, also with some open.
func TestStoreWindow(t *testing.T) {
	c := qt.New(t)
	s := Limiter{windowMs: 5000, perSec: 4.2}
	s.AssumePriorLoads(10_000, nil)
	c.Assert(s.Limit(), qt.Equals, 21)
	c.Assert(s.Available(10_000), qt.Equals, 7)
	for n := range uint64(7) {
		s.Reserve(n)
	}
	c.Assert(s.Available(10_000), qt.Equals, 0)
	s.Settle(10_000, 0, false)
	c.Assert(s.Available(10_000), qt.Equals, 1)
	s.Settle(12_000, 1, true)
	c.Assert(s.Available(16_000), qt.Equals, 21-5-1)
	c.Assert(s.Available(17_251), qt.Equals, 21-5)
	// What the holder before began counts where it is known.
	ages := make([]int64, 20)
	s.AssumePriorLoads(20_000, ages)
	c.Assert(s.Available(20_000), qt.Equals, 1)
}

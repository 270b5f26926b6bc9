package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// In no window do more loads begin than the pace allows, also with some open.
func TestStoreWindow(t *testing.T) {
	c := qt.New(t)
	s := store{windowMs: 5000, perSec: 4.2}
	s.begin(10_000, nil)
	c.Assert(s.most(), qt.Equals, 21)
	c.Assert(s.left(10_000), qt.Equals, 7)
	for n := range uint64(7) {
		s.sent(n)
	}
	c.Assert(s.left(10_000), qt.Equals, 0)
	s.settled(10_000, 0, false)
	c.Assert(s.left(10_000), qt.Equals, 1)
	s.settled(12_000, 1, true)
	c.Assert(s.left(16_000), qt.Equals, 21-5-1)
	c.Assert(s.left(17_251), qt.Equals, 21-5)
	// What the holder before began counts where it is known.
	ages := make([]int64, 20)
	s.begin(20_000, ages)
	c.Assert(s.left(20_000), qt.Equals, 1)
}

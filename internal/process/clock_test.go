package process

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// What the source goes on by, the process's clock does: a nap of the machine
// is a jump of the source, and counts.
func TestClockGoesOnThroughANap(t *testing.T) {
	sourceMs := int64(5_000)
	c := newClock(func() int64 { return sourceMs })
	qt.Assert(t, c.NowMs() > 0, qt.IsTrue)
	for _, napMs := range []int64{0, 1, 60_000} {
		before := c.NowMs()
		sourceMs += napMs
		qt.Assert(t, c.NowMs()-before, qt.Equals, napMs)
	}
}

// The source never goes back.
func TestBootClockGoesForward(t *testing.T) {
	last := bootMs()
	for range 1000 {
		now := bootMs()
		qt.Assert(t, now >= last, qt.IsTrue)
		last = now
	}
}

package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLoadFollowsOwnSends(t *testing.T) {
	cases := []struct {
		about string
		do    func(r *runner)
		load  int
		full  bool
	}{
		{"told", func(r *runner) { r.tell(100, 3, 6) }, 3, false},
		{"begun since", func(r *runner) { r.tell(100, 3, 6); r.change(150, 1, 10) }, 4, false},
		{"begun before", func(r *runner) { r.change(50, 1, 10); r.tell(100, 3, 6) }, 3, false},
		{"ended since", func(r *runner) { r.change(50, 1, 10); r.tell(100, 3, 6); r.change(120, -1, -10) }, 2, false},
		{"an older word", func(r *runner) { r.tell(100, 3, 6); r.tell(90, 6, 6) }, 3, false},
		{"never below its own", func(r *runner) { r.change(50, 1, 10); r.tell(100, 0, 6) }, 1, false},
		{"no place", func(r *runner) { r.tell(100, 8, 6) }, 8, true},
		{"turned away", func(r *runner) { r.tell(100, 1, 6); r.change(110, 1, 1); r.change(120, -1, -1); r.fill(120) }, 1, true},
		{"told anew", func(r *runner) { r.tell(100, 1, 6); r.fill(120); r.tell(130, 2, 6) }, 2, false},
		{"token memory", func(r *runner) { r.tell(100, 1, 6); r.tellCache(100, 950, 1000) }, 1, true},
		{"token memory of own sends", func(r *runner) { r.tell(100, 1, 6); r.tellCache(100, 800, 1000); r.change(110, 1, 150) }, 2, true},
		{"alone with the token memory", func(r *runner) { r.tell(100, 0, 6); r.tellCache(100, 950, 1000) }, 0, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			r := &runner{}
			test.do(r)
			c.Assert(r.load(200), qt.Equals, test.load)
			c.Assert(r.full(200, 100, 1000), qt.Equals, test.full)
		})
	}
}

// Without another word nothing is believed for long, or a runner that was
// full once would never be asked again.
func TestAnOldWordIsForgotten(t *testing.T) {
	c := qt.New(t)
	r := &runner{}
	r.tell(100, 8, 6)
	r.tellCache(100, 1000, 1000)
	r.fill(100)
	c.Assert(r.full(100+toldForMs, 1, 1000), qt.IsTrue)
	c.Assert(r.full(101+toldForMs, 1, 1000), qt.IsFalse)
}

func TestSuspicionDoublesAndEnds(t *testing.T) {
	c := qt.New(t)
	r := &runner{}
	nowMs := int64(1000)
	for _, wantMs := range []int64{1000, 2000, 4000, 8000, 8000} {
		r.fail(nowMs)
		c.Assert(r.suspectToMs-nowMs, qt.Equals, wantMs)
		// Sends that fail together are one failure.
		r.fail(nowMs + 1)
		c.Assert(r.suspectToMs-nowMs, qt.Equals, wantMs)
		nowMs = r.suspectToMs
	}
	r.succeed()
	r.fail(nowMs)
	c.Assert(r.suspectToMs-nowMs, qt.Equals, int64(1000))
}

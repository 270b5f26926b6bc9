package outlier

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// met is what some requests met at the runner and elsewhere.
type met struct{ well, ill, elsewhere, illElsewhere int }

func (m met) play(r *Record, all *Count, nowMs int64) {
	for i := range m.elsewhere {
		all.Add(nowMs, i < m.illElsewhere)
	}
	for range m.well {
		r.Meet(nowMs, false, all)
	}
	for range m.ill {
		r.Meet(nowMs, true, all)
	}
}

func TestOutlier(t *testing.T) {
	cases := []struct {
		about string
		met   met
		want  State
	}{
		{"well", met{10, 0, 40, 0}, Sound},
		{"few failures", met{0, 2, 40, 0}, Sound},
		{"a part fails", met{6, 4, 40, 1}, Ejected},
		{"a small part fails", met{40, 4, 200, 0}, Sound},
		{"all fail alike", met{0, 10, 40, 40}, Sound},
		{"the others fail nearly as much", met{6, 4, 40, 8}, Sound},
		{"there is hardly another", met{0, 10, 2, 0}, Sound},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			var r Record
			var all Count
			test.met.play(&r, &all, 1000)
			c.Assert(r.State(1000), qt.Equals, test.want)
		})
	}
}

func TestFailuresOfLongAgoAreForgotten(t *testing.T) {
	c := qt.New(t)
	var r Record
	var all Count
	for i := range int64(6) {
		met{0, 1, 20, 0}.play(&r, &all, i*10_000)
	}
	c.Assert(r.State(60_000), qt.Equals, Sound)
}

func TestProbingBack(t *testing.T) {
	c := qt.New(t)
	var r Record
	var all Count
	met{0, 3, 40, 0}.play(&r, &all, 0)
	nowMs := int64(0)
	for _, forMs := range []int64{2000, 4000, 8000, 16_000, 16_000} {
		c.Assert(r.State(nowMs+forMs-1), qt.Equals, Ejected)
		c.Assert(r.State(nowMs+forMs), qt.Equals, Probed)
		// What was sent before changes nothing.
		r.Meet(nowMs+1, true, &all)
		c.Assert(r.State(nowMs+forMs), qt.Equals, Probed)
		nowMs += forMs
		met{probesLeast - 1, 1, 0, 0}.play(&r, &all, nowMs)
	}
	nowMs += 16_000
	met{probesLeast, 0, 0, 0}.play(&r, &all, nowMs)
	c.Assert(r.State(nowMs), qt.Equals, Sound)
	c.Assert(r.Failures, qt.Equals, 0.0)
	// Ill again soon, it is ejected for as long as before.
	met{0, 3, 40, 0}.play(&r, &all, nowMs+100)
	c.Assert(r.State(nowMs+16_099), qt.Equals, Ejected)
	c.Assert(r.State(nowMs+16_100), qt.Equals, Probed)
}

package scalesim

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// counter is a clock that goes on by one at each reading.
func counter() func() int64 {
	var n int64
	return func() int64 { n++; return n }
}

func small() Size {
	s := Usual()
	s.Routers, s.Runners, s.Models, s.Adapters, s.Routes, s.PerSec, s.Seconds = 6, 20, 10, 20, 5, 60, 3
	return s
}

// A small site runs: every request is looked up once, answered, and the maps
// and the states come through.
func TestASmallSiteRuns(t *testing.T) {
	r, err := Run(small(), counter())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Requests > 170, qt.IsTrue)
	qt.Assert(t, r.LookUps, qt.Equals, r.Requests)
	qt.Assert(t, r.Dropped < r.Requests/20, qt.IsTrue, qt.Commentf("%d dropped", r.Dropped))
	qt.Assert(t, r.MapLagMs < 500, qt.IsTrue, qt.Commentf("%d ms", r.MapLagMs))
	qt.Assert(t, r.OldestMs < 2000, qt.IsTrue, qt.Commentf("%d ms", r.OldestMs))
	qt.Assert(t, r.Offered, qt.Equals, 20)
	qt.Assert(t, r.Router.Daemons, qt.Equals, 6)
	qt.Assert(t, r.Primary.Daemons, qt.Equals, 1)
	qt.Assert(t, r.Follower.Daemons, qt.Equals, 4)
	qt.Assert(t, r.Primary.States > 5, qt.IsTrue)
	qt.Assert(t, r.Router.OutBytes > 0 && r.Router.HeapKb > 0, qt.IsTrue)
	var text strings.Builder
	Table(&text, []Result{r}, true)
	qt.Assert(t, strings.Contains(text.String(), "protocol.IndexLookUp"), qt.IsTrue)
}

func TestSizesOutOfBounds(t *testing.T) {
	qt.Assert(t, Usual().Faults(), qt.HasLen, 0)
	cases := []struct {
		about string
		harm  func(s *Size)
		fault string
	}{
		{"no routers", func(s *Size) { s.Routers = 0 }, "routers"},
		{"two controllers", func(s *Size) { s.Controllers = 2 }, "controllers"},
		{"too many runners", func(s *Size) { s.Runners = 20_001 }, "runners"},
		{"too many requests", func(s *Size) { s.PerSec = 20_001 }, "perSec"},
		{"too little memory", func(s *Size) { s.HeapMb = 1 }, "heapMb"},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			s := Usual()
			test.harm(&s)
			qt.Assert(t, s.Faults(), qt.HasLen, 1)
			qt.Assert(t, strings.HasPrefix(s.Faults()[0], test.fault+": "), qt.IsTrue)
			_, err := Run(s, counter())
			qt.Assert(t, err, qt.ErrorMatches, ".*"+test.fault+".*")
		})
	}
}

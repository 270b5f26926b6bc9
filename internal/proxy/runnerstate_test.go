package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLoadFollowsOwnAttempts(t *testing.T) {
	cases := []struct {
		about string
		do    func(r *runnerState)
		load  int
		full  bool
	}{
		{"reported", func(r *runnerState) { r.reportLoad(100, 3, 6) }, 3, false},
		{"begun since", func(r *runnerState) { r.reportLoad(100, 3, 6); r.addInFlight(150, 1, 10) }, 4, false},
		{"begun before", func(r *runnerState) { r.addInFlight(50, 1, 10); r.reportLoad(100, 3, 6) }, 3, false},
		{"ended since", func(r *runnerState) { r.addInFlight(50, 1, 10); r.reportLoad(100, 3, 6); r.addInFlight(120, -1, -10) }, 2, false},
		{"an older report", func(r *runnerState) { r.reportLoad(100, 3, 6); r.reportLoad(90, 6, 6) }, 3, false},
		{"never below its own", func(r *runnerState) { r.addInFlight(50, 1, 10); r.reportLoad(100, 0, 6) }, 1, false},
		{"no place", func(r *runnerState) { r.reportLoad(100, 8, 6) }, 8, true},
		{"turned away", func(r *runnerState) {
			r.reportLoad(100, 1, 6)
			r.addInFlight(110, 1, 1)
			r.addInFlight(120, -1, -1)
			r.markFull(120)
		}, 1, true},
		{"reported again", func(r *runnerState) { r.reportLoad(100, 1, 6); r.markFull(120); r.reportLoad(130, 2, 6) }, 2, false},
		{"token memory", func(r *runnerState) { r.reportLoad(100, 1, 6); r.reportCache(100, 950, 1000) }, 1, true},
		{"KV cache of own attempts", func(r *runnerState) {
			r.reportLoad(100, 1, 6)
			r.reportCache(100, 800, 1000)
			r.addInFlight(110, 1, 150)
		}, 2, true},
		{"alone with the token memory", func(r *runnerState) { r.reportLoad(100, 0, 6); r.reportCache(100, 950, 1000) }, 0, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			r := &runnerState{}
			test.do(r)
			c.Assert(r.load(200), qt.Equals, test.load)
			c.Assert(r.isFull(200, 100, 1000), qt.Equals, test.full)
		})
	}
}

// Without another report nothing is used for long, or a runner that was
// full once would never be asked again.
func TestOldReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	r := &runnerState{}
	r.reportLoad(100, 8, 6)
	r.reportCache(100, 1000, 1000)
	r.markFull(100)
	c.Assert(r.isFull(100+reportMaxAgeMs, 1, 1000), qt.IsTrue)
	c.Assert(r.isFull(101+reportMaxAgeMs, 1, 1000), qt.IsFalse)
}

func TestUnhealthyTimeDoublesAndEnds(t *testing.T) {
	c := qt.New(t)
	r := &runnerState{}
	nowMs := int64(1000)
	for _, wantMs := range []int64{1000, 2000, 4000, 8000, 8000} {
		r.recordFailure(nowMs)
		c.Assert(r.unhealthyUntilMs-nowMs, qt.Equals, wantMs)
		// Attempts that fail together are one failure.
		r.recordFailure(nowMs + 1)
		c.Assert(r.unhealthyUntilMs-nowMs, qt.Equals, wantMs)
		nowMs = r.unhealthyUntilMs
	}
	r.recordSuccess()
	r.recordFailure(nowMs)
	c.Assert(r.unhealthyUntilMs-nowMs, qt.Equals, int64(1000))
}

// What is known of idle connections follows their use and their time-outs.
func TestIdleConnectionsOfARunner(t *testing.T) {
	c := qt.New(t)
	var r runnerState
	c.Assert(r.hasConnection(1000), qt.IsFalse)
	r.connectionKept(1000, 0)
	c.Assert(r.hasConnection(1000), qt.IsFalse)
	r.connectionKept(1000, 500)
	r.connectionKept(1200, 900)
	c.Assert(r.hasConnection(1499), qt.IsTrue)
	r.useConnection(1499)
	c.Assert(r.hasConnection(1499), qt.IsTrue)
	c.Assert(r.hasConnection(1500), qt.IsFalse)
	r.useConnection(1500)
	for range 2 * maxIdleTracked {
		r.connectionKept(2000, 500)
	}
	c.Assert(r.idleUntilMs, qt.HasLen, maxIdleTracked)
}

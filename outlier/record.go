// Package outlier finds runners that do worse than the others of their
// service, judged by what requests met there and not by what they tell.
package outlier

import "math"

const (
	// halfMs is after how long what was met counts half.
	halfMs = 5_000
	// A runner is an outlier from so many failures on, where more than so great
	// a part fails, and that part is so many times that of the others. Where all
	// fail alike nobody is one.
	failuresLeast = 3
	partLeast     = 0.15
	overOthers    = 3
	// othersLeast is how many requests must have been met elsewhere.
	othersLeast = 6
	// ejectMs is how long one is ejected; each time in a row doubles it.
	ejectMs     = 2_000
	ejectMostMs = 16_000
	// probesLeast is how many requests in a row must go well before it has its
	// full share again.
	probesLeast = 6
)

// Count is a decayed count of requests and of the failures among them.
type Count struct {
	Requests, Failures float64
	atMs               int64
}

// Add counts one request that was met.
func (c *Count) Add(nowMs int64, failed bool) {
	c.decay(nowMs)
	c.Requests++
	if failed {
		c.Failures++
	}
}

func (c *Count) decay(nowMs int64) {
	if nowMs > c.atMs {
		factor := math.Exp2(-float64(nowMs-c.atMs) / halfMs)
		c.Requests *= factor
		c.Failures *= factor
	}
	c.atMs = max(c.atMs, nowMs)
}

// State is what a runner may be given.
type State int

// The states.
const (
	// Sound: its full share.
	Sound State = iota
	// Probed: a few requests that may run twice.
	Probed
	// Ejected: none while another can take them.
	Ejected
)

// Record is what was met at one runner.
type Record struct {
	Count
	ejected  bool
	untilMs  int64
	inARow   int
	wentWell int
}

// Meet counts a request that ended there; all counts those of its service.
func (r *Record) Meet(nowMs int64, failed bool, all *Count) {
	r.Add(nowMs, failed)
	all.Add(nowMs, failed)
	switch state := r.State(nowMs); {
	case state == Ejected:
		// It was sent before, or for want of another.
	case state == Probed && failed:
		r.eject(nowMs)
	case state == Probed:
		if r.wentWell++; r.wentWell >= probesLeast {
			// What was met before it was ejected is over.
			r.ejected, r.Count = false, Count{atMs: nowMs}
		}
	case failed && r.outlies(all):
		r.eject(nowMs)
	}
}

func (r *Record) outlies(all *Count) bool {
	requests, failures := all.Requests-r.Requests, all.Failures-r.Failures
	return r.Failures >= failuresLeast && requests >= othersLeast && r.Failures > partLeast*r.Requests &&
		r.Failures*requests > overOthers*failures*r.Requests
}

func (r *Record) eject(nowMs int64) {
	if !r.ejected && nowMs-r.untilMs > ejectMostMs {
		r.inARow = 0
	}
	r.ejected, r.wentWell = true, 0
	r.untilMs = nowMs + min(ejectMostMs, int64(ejectMs)<<min(r.inARow, 3))
	r.inARow++
}

// State is what the runner may be given now.
func (r *Record) State(nowMs int64) State {
	switch {
	case !r.ejected:
		return Sound
	case nowMs < r.untilMs:
		return Ejected
	}
	return Probed
}

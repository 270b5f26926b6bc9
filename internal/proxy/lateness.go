package proxy

import "myrtlewinch/internal/config"

// Names of counters on the counters page, by what made a stream later than its
// route allows; docs/operators.md explains them.
const (
	countLateWaited = "streams late: waited for a runner"
	countLateRunner = "streams late: first event late at the runner"
	countLatePause  = "streams late: pause between events"
)

// streamTiming records when the parts of a stream arrived from its runner, and determines
// why the stream is late, if it is.
type streamTiming struct {
	// arrivedMs is when the request arrived, attemptMs when it was sent to the runner.
	arrivedMs, attemptMs int64
	// firstMs and lastMs are when the first and the last part arrived, 0 before that.
	firstMs, lastMs int64
	longestGapMs    int64
}

// received records that a part of the stream arrived.
func (t *streamTiming) received(nowMs int64) {
	if t.firstMs == 0 {
		t.firstMs = nowMs
	} else {
		t.longestGapMs = max(t.longestGapMs, nowMs-t.lastMs)
	}
	t.lastMs = nowMs
}

// cause returns the name of the counter for a late stream, or "" if the stream is not
// late. A stream is late if its first part missed the route's latency target, or if its
// longest pause exceeds the route's longest gap between events. Limits that the route
// does not state are not checked.
func (t *streamTiming) cause(route *config.Route) string {
	isFirstLate := route.LatencyTargetMs > 0 && t.firstMs-t.arrivedMs > route.LatencyTargetMs
	waitedMs, atRunnerMs := t.attemptMs-t.arrivedMs, t.firstMs-t.attemptMs
	switch {
	case t.firstMs == 0:
		return ""
	case isFirstLate && waitedMs > atRunnerMs:
		return countLateWaited
	case isFirstLate:
		return countLateRunner
	case route.MaxEventGapMs > 0 && t.longestGapMs > route.MaxEventGapMs:
		return countLatePause
	}
	return ""
}

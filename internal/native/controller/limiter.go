package controller

const (
	// limiterPeriodMs is the period of Store.LoadsPer10s.
	limiterPeriodMs = 10_000
	// unusedFraction is the part of the rate that is left unused, because orders may arrive
	// closer together than they were sent.
	unusedFraction = 0.1
)

// loadLimiter is a token bucket for loads from the weight store. It holds at most one token,
// so that loads never come in a burst. It starts empty after each failover, because the
// previous primary may just have used the store.
type loadLimiter struct {
	updatedMs int64
	tokens    float64
}

// available returns the number of tokens at nowMs.
func (l *loadLimiter) available(nowMs, loadsPer10s int64) float64 {
	return min(1, l.tokens+float64(nowMs-l.updatedMs)*float64(loadsPer10s)*(1-unusedFraction)/limiterPeriodMs)
}

// tryAcquire takes a token if there is one.
func (l *loadLimiter) tryAcquire(nowMs, loadsPer10s int64) bool {
	l.tokens = l.available(nowMs, loadsPer10s)
	l.updatedMs = nowMs
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// canAcquire reports whether tryAcquire would succeed.
func (l *loadLimiter) canAcquire(nowMs, loadsPer10s int64) bool {
	return l.available(nowMs, loadsPer10s) >= 1
}

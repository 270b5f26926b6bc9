package controller

const (
	// limiterPeriodMs is the period to which the weight store's rate refers.
	limiterPeriodMs = 10_000
	// unusedFraction of the rate is left unused: orders may arrive closer together
	// than they were sent.
	unusedFraction = 0.1
)

// loadLimiter is a token bucket for loads from the weight store. It holds one token, so
// that loads never come in a burst, and starts empty after each take-over, since the
// primary before may just have used the store.
type loadLimiter struct {
	updatedMs int64
	tokens    float64
}

// available is how many tokens there are at a time.
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

// canAcquire says whether tryAcquire would succeed.
func (l *loadLimiter) canAcquire(nowMs, loadsPer10s int64) bool {
	return l.available(nowMs, loadsPer10s) >= 1
}

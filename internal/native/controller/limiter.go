package controller

// loadLimiter is the weight store's token bucket. It starts empty after each
// take-over, since the holder before may just have used it up.
type loadLimiter struct {
	updatedMs int64
	tokens    float64
}

// unusedFraction is the part of the pace that is left unused: orders may arrive closer
// together than they were sent.
const unusedFraction = 0.1

// available is what came in since the last look, in whole.
func (p *loadLimiter) available(nowMs, loadsPer10s int64) float64 {
	return min(1, p.tokens+float64(nowMs-p.updatedMs)*float64(loadsPer10s)*(1-unusedFraction)/10_000)
}

// tryAcquire takes a token if there is one. The bucket holds one token, so that
// loads never come in a burst.
func (p *loadLimiter) tryAcquire(nowMs, loadsPer10s int64) bool {
	p.tokens = p.available(nowMs, loadsPer10s)
	p.updatedMs = nowMs
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// canAcquire says whether take would succeed.
func (p *loadLimiter) canAcquire(nowMs, loadsPer10s int64) bool {
	return p.available(nowMs, loadsPer10s) >= 1
}

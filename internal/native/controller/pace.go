package controller

// pace is the weight store's token bucket. It starts empty after each
// take-over, since the holder before may just have used it up.
type pace struct {
	atMs   int64
	tokens float64
}

// spare is the part of the pace that is left unused: orders may arrive closer
// together than they were sent.
const spare = 0.1

// earned is what came in since the last look, in whole.
func (p *pace) earned(nowMs, loadsPer10s int64) float64 {
	return min(1, p.tokens+float64(nowMs-p.atMs)*float64(loadsPer10s)*(1-spare)/10_000)
}

// take takes a token if there is one. The bucket holds one token, so that
// loads never come in a burst.
func (p *pace) take(nowMs, loadsPer10s int64) bool {
	p.tokens = p.earned(nowMs, loadsPer10s)
	p.atMs = nowMs
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// ready says whether take would succeed.
func (p *pace) ready(nowMs, loadsPer10s int64) bool {
	return p.earned(nowMs, loadsPer10s) >= 1
}

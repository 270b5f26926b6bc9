package control

// pace is the weight store's token bucket. It starts empty after each
// take-over, since the holder before may just have used it up.
type pace struct {
	atMs   int64
	tokens float64
}

// take takes a token if there is one. The bucket holds one token, so that no
// ten seconds ever see more than the pace and one.
func (p *pace) take(nowMs, loadsPer10s int64) bool {
	p.tokens = min(1, p.tokens+float64(nowMs-p.atMs)*float64(loadsPer10s)/10_000)
	p.atMs = nowMs
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// ready says whether take would succeed.
func (p *pace) ready(nowMs, loadsPer10s int64) bool {
	return p.tokens+float64(nowMs-p.atMs)*float64(loadsPer10s)/10_000 >= 1
}

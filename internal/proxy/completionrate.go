package proxy

// completionRate counts what happens in a second, by halves.
type completionRate struct {
	current, previous float64
	windowStartMs     int64
}

const rateWindowMs = 500

func (p *completionRate) record(nowMs int64) {
	if p.windowStartMs == 0 {
		p.windowStartMs = nowMs
	}
	for halves := (nowMs - p.windowStartMs) / rateWindowMs; halves > 0; halves-- {
		p.windowStartMs += rateWindowMs
		p.previous, p.current = p.current, 0
		if nowMs-p.windowStartMs > 2*rateWindowMs {
			p.windowStartMs, p.previous = nowMs, 0
			break
		}
	}
	p.current++
}

func (p *completionRate) perSecond() float64 { return max(p.previous, p.current) * 1000 / rateWindowMs }

package proxy

// paced counts what happens in a second, by halves.
type paced struct {
	now, since float64
	halfMs     int64
}

const paceMs = 500

func (p *paced) note(nowMs int64) {
	if p.halfMs == 0 {
		p.halfMs = nowMs
	}
	for halves := (nowMs - p.halfMs) / paceMs; halves > 0; halves-- {
		p.halfMs += paceMs
		p.since, p.now = p.now, 0
		if nowMs-p.halfMs > 2*paceMs {
			p.halfMs, p.since = nowMs, 0
			break
		}
	}
	p.now++
}

func (p *paced) perSecond() float64 { return max(p.since, p.now) * 1000 / paceMs }

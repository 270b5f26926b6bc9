package placement

import "math"

const (
	// askedKeptMs is for how long after a request a model is wanted once.
	askedKeptMs = 60_000
	// safeRate is the rate at which a crash must not leave a model unheld.
	safeRate = 2.0
	// copyShare is the part of a runner's slots that one copy of a model may
	// keep busy before a further copy is wanted.
	copyShare = 0.35
	// slotsARequest: a copy takes a request a second for so many slots, as
	// long as nothing is known of how long its requests run.
	slotsARequest = 3.0
	// readShare is the part of a copy's time that the reading of prompts may
	// take: while one is read, all streams of the runner stand still.
	readShare = 0.22
	// crowdValue is what a request on a crowded copy counts against one that
	// waits for a load: it is only slowed.
	crowdValue = 0.5
	// riseAhead is by how much the need of a model is put ahead of its rate
	// while it rises: a load takes seconds.
	riseAhead = 1.5
	// needHalfMs is how slowly a need comes down: copies that go with a chance
	// in the rate come back for seconds of a runner's time.
	needHalfMs = 5_000
	// peakHalfMs is how quickly it is forgotten that a model was in demand:
	// demand that moved away often comes back.
	peakHalfMs = 30_000
	// adapterPrior: a model that has adapters was worth the making of them, so
	// it is likelier to be asked for than one of which nothing is known.
	adapterPrior, adapterPriorMost = 0.04, 0.6
)

// weigh counts the copies there are and works out those there should be.
func (p *planner) weigh() {
	s := p.service
	for _, m := range s.names {
		m.copies, m.coming, m.running = 0, 0, 0
		m.want.turn(p.nowMs)
		m.rate = m.want.rate()
		m.peak = max(m.want.slow, m.peak*halved(p.nowMs, m.peakMs, peakHalfMs))
		m.peakMs = p.nowMs
		for _, a := range m.adapters {
			a.want.turn(p.nowMs)
			a.copies, a.coming = 0, 0
		}
	}
	usable := 0
	for _, r := range s.runners {
		if r.away() || r.suspect {
			continue
		}
		usable++
		for _, h := range r.held {
			if h.going || !h.model.mapped {
				continue
			}
			h.model.copies++
			for name, ha := range h.adapters {
				if a := h.model.adapters[name]; a != nil && !ha.going {
					a.copies++
				}
			}
		}
		if o := r.order; o != nil && o.load && !o.assumed && !r.has(o.thing) {
			p.comes(o.thing)
		}
		if r.plan.Model != "" && p.nowMs < r.planMs && !(r.order != nil && r.order.load && r.order.thing == r.plan) {
			p.comes(r.plan)
		}
	}
	for _, m := range s.names {
		// By the latest rate: what ran before a shift is soon done.
		each := 1.0
		if m.want.slow > 0 {
			each += m.want.tokens / m.want.slow
		}
		m.share = m.rate * each / float64(max(1, m.copies))
	}
	// What runs on a runner is shared out among its models by their work.
	for _, r := range s.runners {
		busy := float64(r.state.Active + r.state.Queued)
		if r.away() || r.suspect || busy == 0 {
			continue
		}
		sum := 0.0
		for _, h := range r.held {
			sum += h.model.share
		}
		if sum <= 0 {
			continue
		}
		for _, h := range r.held {
			h.model.running += busy * h.model.share / sum
		}
	}
	for _, m := range s.names {
		p.wish(m, usable)
	}
}

func (p *planner) comes(x thing) {
	m := p.service.models[x.Model]
	if m == nil {
		return
	}
	if x.Adapter == "" {
		m.coming++
	} else if a := m.adapters[x.Adapter]; a != nil {
		a.coming++
	}
}

// wish works out how many copies of a model there should be.
func (p *planner) wish(m *model, usable int) {
	// What runs goes up at once and comes down slowly.
	if m.running > m.atOnce {
		m.atOnce += (m.running - m.atOnce) / 2
	} else {
		m.atOnce = m.running + (m.atOnce-m.running)*halved(p.nowMs, m.atOnceMs, fastHalfMs)
	}
	m.atOnceMs = p.nowMs
	slots := float64(max(1, p.service.engine.Slots))
	before := m.need * halved(p.nowMs, m.needMs, needHalfMs)
	m.need, m.adapterCopies, m.needMs = 0, 0, p.nowMs
	if m.rate > 0.02 {
		// Slots show only part of the work: prompts are read one after the
		// other. So the guess stays a floor also where little runs at once.
		m.need = max(m.rate*slotsARequest/slots, m.atOnce/(copyShare*slots), m.rate*m.prompts*m.readMs/1e6/readShare)
		if m.want.rising() {
			m.need *= riseAhead
		}
		m.need = max(m.need, before)
	}
	m.wanted = int(math.Ceil(m.need))
	if m.rate >= safeRate {
		m.wanted = max(m.wanted, 2)
	}
	if m.want.askedAgoMs(p.nowMs) < askedKeptMs || m.want.waiting(p.nowMs) {
		m.wanted = max(m.wanted, 1)
	}
	// The adapters in use need their places.
	asked := 0
	for _, a := range m.adapters {
		if a.want.slow > 0.05 {
			asked++
		}
	}
	if places := p.service.engine.AdapterRoom; places > 0 && asked > places {
		m.adapterCopies = (asked + places - 1) / places
		m.wanted = max(m.wanted, m.adapterCopies)
	}
	m.wanted = min(m.wanted, usable)
}

// value is what the k-th copy of a model is worth, in requests a second or so.
func (p *planner) value(m *model, k int) float64 {
	v := 0.0
	if m.need > 0 {
		// A copy keeps its worth until the load is clearly below it, so that
		// chance in the rate doesn't send it away and back. The fewer there are,
		// the more each relieves.
		part := min(1, max(0, m.need-float64(k-1)+0.5))
		v = crowdValue * part * m.rate / max(1, min(float64(k), m.need))
	}
	if k <= m.adapterCopies {
		v = max(v, 0.1*m.rate/float64(m.adapterCopies))
	}
	if k == 2 && m.rate >= safeRate {
		v = max(v, 0.2*m.rate)
	}
	if k == 2 {
		v = max(v, 0.05*m.peak)
	}
	ago := m.want.askedAgoMs(p.nowMs)
	if k <= 1 {
		if ago < askedKeptMs {
			v = max(v, 0.2+m.rate+0.8*math.Exp2(-float64(ago)/slowHalfMs))
		} else {
			v = max(v, 0.05)
		}
		v = max(v, 0.1*m.peak, min(adapterPriorMost, adapterPrior*float64(m.spec.Adapters)))
		if m.want.waiting(p.nowMs) {
			v += 2 * min(m.want.waits+0.5, 5)
		}
	}
	// Among the surplus, what was asked for more stays longer.
	return v + 0.01*m.rate/float64(max(1, k)) + 0.001*m.peak/float64(max(1, k))
}

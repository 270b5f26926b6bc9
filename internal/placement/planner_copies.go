package placement

import "math"

const (
	// modelWantedMs is for how long after a request a model is wanted once.
	modelWantedMs = 60_000
	// secondCopyRate is the rate at which a crash must not leave a model unheld.
	secondCopyRate = 2.0
	// slotShare is the part of a runner's slots that one copy of a model may
	// keep busy before a further copy is wanted.
	slotShare = 0.35
	// slotSecondsPerRequest: a copy takes a request a second for so many slots, as
	// long as nothing is known of how long its requests run.
	slotSecondsPerRequest = 3.0
	// prefillShare is the part of a copy's time that the reading of prompts may
	// take: while one is read, all streams of the runner stand still.
	prefillShare = 0.22
	// crowdedRequestValue is what a request on a crowded copy counts against one that
	// waits for a load: it is only slowed.
	crowdedRequestValue = 0.5
	// risingFactor is by how much the need of a model is put ahead of its rate
	// while it rises: a load takes seconds.
	risingFactor = 1.5
	// needHalfLifeMs is how slowly a need comes down: copies that go with a chance
	// in the rate come back for seconds of a runner's time.
	needHalfLifeMs = 5_000
	// peakHalfLifeMs is how quickly it is forgotten that a model was in demand:
	// demand that moved away often comes back.
	peakHalfLifeMs = 30_000
	// valuePerAdapter: a model that has adapters was worth the making of them, so
	// it is likelier to be asked for than one of which nothing is known.
	valuePerAdapter, maxAdapterValue = 0.04, 0.6
)

// computeTargets counts the copies there are and works out those there should be.
func (p *Planner) computeTargets() {
	s := p.service
	for _, m := range s.Configured {
		m.Copies, m.Coming, m.Running = 0, 0, 0
		m.Demand.Decay(p.nowMs)
		m.Rate = m.Demand.Rate()
		m.PeakRate = max(m.Demand.slow, m.PeakRate*DecayFactor(p.nowMs, m.PeakMs, peakHalfLifeMs))
		m.PeakMs = p.nowMs
		for _, a := range m.Adapters {
			a.Demand.Decay(p.nowMs)
			a.Copies, a.Coming = 0, 0
		}
	}
	usable := 0
	for _, r := range s.Runners {
		if r.Unavailable() || r.Suspect {
			continue
		}
		usable++
		for _, h := range r.Held {
			if h.Unloading || !h.Model.Configured {
				continue
			}
			h.Model.Copies++
			for name, ha := range h.Adapters {
				if a := h.Model.Adapters[name]; a != nil && !ha.Unloading {
					a.Copies++
				}
			}
		}
		if o := r.Order; o != nil && o.Load && !o.Assumed && !r.Has(o.Item) {
			p.countComing(o.Item)
		}
		if r.ReservedFor.Model != "" && p.nowMs < r.ReservedUntilMs && !(r.Order != nil && r.Order.Load && r.Order.Item == r.ReservedFor) {
			p.countComing(r.ReservedFor)
		}
	}
	for _, m := range s.Configured {
		// By the latest rate: what ran before a shift is soon done.
		each := 1.0
		if m.Demand.slow > 0 {
			each += m.Demand.tokens / m.Demand.slow
		}
		m.Share = m.Rate * each / float64(max(1, m.Copies))
	}
	// What runs on a runner is shared out among its models by their work.
	for _, r := range s.Runners {
		busy := float64(r.State.Active + r.State.Queued)
		if r.Unavailable() || r.Suspect || busy == 0 {
			continue
		}
		sum := 0.0
		for _, h := range r.Held {
			sum += h.Model.Share
		}
		if sum <= 0 {
			continue
		}
		for _, h := range r.Held {
			h.Model.Running += busy * h.Model.Share / sum
		}
	}
	for _, m := range s.Configured {
		p.computeTarget(m, usable)
	}
}

func (p *Planner) countComing(x Item) {
	m := p.service.Models[x.Model]
	if m == nil {
		return
	}
	if x.Adapter == "" {
		m.Coming++
	} else if a := m.Adapters[x.Adapter]; a != nil {
		a.Coming++
	}
}

// computeTarget works out how many copies of a model there should be.
func (p *Planner) computeTarget(m *Model, usable int) {
	// What runs goes up at once and comes down slowly.
	if m.Running > m.Concurrency {
		m.Concurrency += (m.Running - m.Concurrency) / 2
	} else {
		m.Concurrency = m.Running + (m.Concurrency-m.Running)*DecayFactor(p.nowMs, m.ConcurrencyMs, FastHalfLifeMs)
	}
	m.ConcurrencyMs = p.nowMs
	slots := float64(max(1, p.service.Engine.Slots))
	before := m.Need * DecayFactor(p.nowMs, m.NeedMs, needHalfLifeMs)
	m.Need, m.AdapterCopies, m.NeedMs = 0, 0, p.nowMs
	if m.Rate > 0.02 {
		// Slots show only part of the work: prompts are read one after the
		// other. So the guess stays a floor also where little runs at once.
		m.Need = max(m.Rate*slotSecondsPerRequest/slots, m.Concurrency/(slotShare*slots), m.Rate*m.PromptTokens*m.PrefillMs/1e6/prefillShare)
		if m.Demand.Rising() {
			m.Need *= risingFactor
		}
		m.Need = max(m.Need, before)
	}
	m.Wanted = int(math.Ceil(m.Need))
	if m.Rate >= secondCopyRate {
		m.Wanted = max(m.Wanted, 2)
	}
	if m.Demand.SinceRequestMs(p.nowMs) < modelWantedMs || m.Demand.HasWaiting(p.nowMs) {
		m.Wanted = max(m.Wanted, 1)
	}
	// The adapters in use need their places.
	asked := 0
	for _, a := range m.Adapters {
		if a.Demand.slow > 0.05 {
			asked++
		}
	}
	if places := p.service.Engine.MaxAdapters; places > 0 && asked > places {
		m.AdapterCopies = (asked + places - 1) / places
		m.Wanted = max(m.Wanted, m.AdapterCopies)
	}
	m.Wanted = min(m.Wanted, usable)
}

// modelValue is what the k-th copy of a model is worth, in requests a second or so.
func (p *Planner) modelValue(m *Model, k int) float64 {
	v := 0.0
	if m.Need > 0 {
		// A copy keeps its worth until the load is clearly below it, so that
		// chance in the rate doesn't send it away and back. The fewer there are,
		// the more each relieves.
		part := min(1, max(0, m.Need-float64(k-1)+0.5))
		v = crowdedRequestValue * part * m.Rate / max(1, min(float64(k), m.Need))
	}
	if k <= m.AdapterCopies {
		v = max(v, 0.1*m.Rate/float64(m.AdapterCopies))
	}
	if k == 2 && m.Rate >= secondCopyRate {
		v = max(v, 0.2*m.Rate)
	}
	if k == 2 {
		v = max(v, 0.05*m.PeakRate)
	}
	ago := m.Demand.SinceRequestMs(p.nowMs)
	if k <= 1 {
		if ago < modelWantedMs {
			v = max(v, 0.2+m.Rate+0.8*math.Exp2(-float64(ago)/SlowHalfLifeMs))
		} else {
			v = max(v, 0.05)
		}
		v = max(v, 0.1*m.PeakRate, min(maxAdapterValue, valuePerAdapter*float64(m.Spec.AdapterCount)))
		if m.Demand.HasWaiting(p.nowMs) {
			v += 2 * min(m.Demand.waiting+0.5, 5)
		}
	}
	// Among the surplus, what was asked for more stays longer.
	return v + 0.01*m.Rate/float64(max(1, k)) + 0.001*m.PeakRate/float64(max(1, k))
}

package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// adapterStayMs is how long an adapter that was loaded stays at least.
	adapterStayMs = 1_500
	// adapterAskedKeptMs is for how long after a request an adapter is wanted.
	adapterAskedKeptMs = 20_000
	// busyAdapterRate earns an adapter a second copy, and each adapterCopyRate
	// a further one.
	busyAdapterRate = 3.0
	adapterCopyRate = 8.0
)

// adapterLack is an adapter that should be held more often than it is.
type adapterLack struct {
	model   *model
	adapter *adapter
	value   float64
	waiting bool
}

// adapterValue is what the k-th copy of an adapter is worth.
func (p *planner) adapterValue(a *adapter, k int) float64 {
	rate := a.want.rate()
	v := 0.01 * rate
	if k <= adapterWish(rate) {
		v = rate / float64(k)
	}
	if ago := a.want.askedAgoMs(p.nowMs); k <= 1 && ago < 4*adapterAskedKeptMs {
		v += 0.05 + 0.3*math.Exp2(-float64(ago)/slowHalfMs)
		if a.want.waiting(p.nowMs) {
			v += a.want.waits + 0.5
		}
	}
	return v
}

// adapterWish is how many copies an adapter with a rate should have.
func adapterWish(rate float64) int {
	if rate <= busyAdapterRate {
		return 1
	}
	return 1 + int(math.Ceil(rate/adapterCopyRate))
}

// adapters gives each adapter that lacks a copy a runner of its model.
func (p *planner) adapters() {
	var lacks []adapterLack
	for _, m := range p.service.names {
		for _, a := range m.adapters {
			ago := a.want.askedAgoMs(p.nowMs)
			if ago > adapterAskedKeptMs || m.copies == 0 {
				continue
			}
			have := a.copies + a.coming
			if have < min(m.copies, adapterWish(a.want.rate())) {
				lacks = append(lacks, adapterLack{m, a, p.adapterValue(a, have+1), have == 0 && a.want.waiting(p.nowMs)})
			}
		}
	}
	slices.SortFunc(lacks, func(x, y adapterLack) int {
		if x.waiting != y.waiting {
			if x.waiting {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(x.model.name, y.model.name), cmp.Compare(x.adapter.name, y.adapter.name))
	})
	for i, l := range lacks {
		if i >= candidates {
			break
		}
		p.placeAdapter(l)
	}
}

func (p *planner) placeAdapter(l adapterLack) {
	x := thing{l.model.name, l.adapter.name}
	var best *runner
	var victim thing
	lowest := math.Inf(1)
	for _, r := range l.model.holders {
		if p.used[r] || !p.fit(r) || !r.idle(p.nowMs, true) || !r.offers(thing{Model: x.Model}) || r.has(x) {
			continue
		}
		score := 0.05*float64(r.takenAdapters()) + 0.5*p.pressed(r)
		first := thing{}
		if !p.roomFor(r, x) || p.kept(r, x) && p.tight(r, l.model) {
			if r.order != nil || p.kept(r, x) {
				continue
			}
			out, cost, ok := p.evictAdapter(r, l)
			if !ok || l.value <= thrash*cost+0.02 {
				continue
			}
			first = out
			score += 1 + cost
		}
		if score < lowest {
			best, victim, lowest = r, first, score
		}
	}
	if best == nil {
		return
	}
	if victim.Model == "" {
		p.load(best, x)
		return
	}
	p.unload(best, victim, x)
}

// tight says whether an adapter would take the room that is kept.
func (p *planner) tight(r *runner, m *model) bool {
	if r.plan.Adapter != "" {
		return r.takenAdapters()+1 >= p.service.engine.AdapterRoom
	}
	planned := p.service.models[r.plan.Model]
	return planned == nil || p.service.engine.RoomMb-r.takenMb()-m.spec.AdapterMb < planned.spec.Mb
}

// evictAdapter finds the adapter that is worth least on a runner.
func (p *planner) evictAdapter(r *runner, l adapterLack) (first thing, cost float64, ok bool) {
	lowest := math.Inf(1)
	for _, h := range r.held {
		if h.going {
			continue
		}
		for name, ha := range h.adapters {
			if ha.going {
				continue
			}
			v, fresh := 0.0, false
			if a := h.model.adapters[name]; a != nil {
				v = p.adapterValue(a, a.copies)
				fresh = p.nowMs-ha.sinceMs < adapterStayMs && a.want.askedAgoMs(p.nowMs) < adapterStayMs
			}
			if fresh && l.value < 3 {
				continue
			}
			x := thing{h.model.name, name}
			if v < lowest || v == lowest && (x.Model < first.Model || x.Model == first.Model && x.Adapter < first.Adapter) {
				lowest, first, ok = v, x, true
			}
		}
	}
	return first, lowest, ok
}

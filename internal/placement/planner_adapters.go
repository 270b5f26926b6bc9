package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minAdapterStayMs is how long an adapter that was loaded stays at least.
	minAdapterStayMs = 1_500
	// adapterWantedMs is for how long after a request an adapter is wanted.
	adapterWantedMs = 20_000
	// secondAdapterCopyRate earns an adapter a second copy, and each requestsPerAdapterCopy
	// a further one.
	secondAdapterCopyRate  = 3.0
	requestsPerAdapterCopy = 8.0
)

// adapterShortage is an adapter that should be held more often than it is.
type adapterShortage struct {
	model   *Model
	adapter *AdapterDemand
	value   float64
	waiting bool
}

// adapterValue is what the k-th copy of an adapter is worth.
func (p *Planner) adapterValue(a *AdapterDemand, k int) float64 {
	rate := a.Demand.Rate()
	v := 0.01 * rate
	if k <= adapterTarget(rate) {
		v = rate / float64(k)
	}
	if ago := a.Demand.SinceRequestMs(p.nowMs); k <= 1 && ago < 4*adapterWantedMs {
		v += 0.05 + 0.3*math.Exp2(-float64(ago)/SlowHalfLifeMs)
		if a.Demand.HasWaiting(p.nowMs) {
			v += a.Demand.waiting + 0.5
		}
	}
	return v
}

// adapterTarget is how many copies an adapter with a rate should have.
func adapterTarget(rate float64) int {
	if rate <= secondAdapterCopyRate {
		return 1
	}
	return 1 + int(math.Ceil(rate/requestsPerAdapterCopy))
}

// placeAdapters gives each adapter that lacks a copy a runner of its model.
func (p *Planner) placeAdapters() {
	var lacks []adapterShortage
	for _, m := range p.service.Configured {
		for _, a := range m.Adapters {
			ago := a.Demand.SinceRequestMs(p.nowMs)
			if ago > adapterWantedMs || m.Copies == 0 {
				continue
			}
			have := a.Copies + a.Coming
			if have < min(m.Copies, adapterTarget(a.Demand.Rate())) {
				lacks = append(lacks, adapterShortage{m, a, p.adapterValue(a, have+1), have == 0 && a.Demand.HasWaiting(p.nowMs)})
			}
		}
	}
	slices.SortFunc(lacks, func(x, y adapterShortage) int {
		if x.waiting != y.waiting {
			if x.waiting {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(x.model.Name, y.model.Name), cmp.Compare(x.adapter.Name, y.adapter.Name))
	})
	for i, l := range lacks {
		if i >= maxCandidates {
			break
		}
		p.placeAdapter(l)
	}
}

func (p *Planner) placeAdapter(l adapterShortage) {
	x := Item{l.model.Name, l.adapter.Name}
	var best *Runner
	var victim Item
	lowest := math.Inf(1)
	for _, r := range l.model.Holders {
		if p.used[r] || !p.acceptsLoads(r) || !r.CanTakeLoad(p.nowMs, true) || !r.Offers(Item{Model: x.Model}) || r.Has(x) {
			continue
		}
		score := 0.05*float64(r.UsedAdapterSlots()) + 0.5*p.utilization(r)
		first := Item{}
		if !p.fits(r, x) || p.reservedForOther(r, x) && p.wouldTakeReservedRoom(r, l.model) {
			if r.Order != nil || p.reservedForOther(r, x) {
				continue
			}
			out, cost, ok := p.chooseAdapterEviction(r, l)
			if !ok || l.value <= evictionFactor*cost+0.02 {
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

// wouldTakeReservedRoom says whether an adapter would take the room that is kept.
func (p *Planner) wouldTakeReservedRoom(r *Runner, m *Model) bool {
	if r.ReservedFor.Adapter != "" {
		return r.UsedAdapterSlots()+1 >= p.service.Engine.MaxAdapters
	}
	planned := p.service.Models[r.ReservedFor.Model]
	return planned == nil || p.service.Engine.WeightMemoryMb-r.UsedMb()-m.Spec.AdapterSizeMb < planned.Spec.SizeMb
}

// chooseAdapterEviction finds the adapter that is worth least on a runner.
func (p *Planner) chooseAdapterEviction(r *Runner, l adapterShortage) (first Item, cost float64, ok bool) {
	lowest := math.Inf(1)
	for _, h := range r.Held {
		if h.Unloading {
			continue
		}
		for name, ha := range h.Adapters {
			if ha.Unloading {
				continue
			}
			v, fresh := 0.0, false
			if a := h.Model.Adapters[name]; a != nil {
				v = p.adapterValue(a, a.Copies)
				fresh = p.nowMs-ha.SinceMs < minAdapterStayMs && a.Demand.SinceRequestMs(p.nowMs) < minAdapterStayMs
			}
			if fresh && l.value < 3 {
				continue
			}
			x := Item{h.Model.Name, name}
			if v < lowest || v == lowest && (x.Model < first.Model || x.Model == first.Model && x.Adapter < first.Adapter) {
				lowest, first, ok = v, x, true
			}
		}
	}
	return first, lowest, ok
}

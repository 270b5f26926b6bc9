package planner

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// adapterWantedMs is how long an adapter should have a copy after its last request.
	adapterWantedMs = 20_000
	// secondAdapterCopyRate is the rate per second above which an adapter gets more than one
	// copy. requestsPerAdapterCopy is the rate per second for each copy after the first.
	secondAdapterCopyRate  = 3.0
	requestsPerAdapterCopy = 8.0
	// The score of a runner for the load of an adapter is the sum of these costs and of its
	// utilization times utilizationCost; the lowest score wins. adapterSlotCost applies to each
	// used adapter slot. If the runner must unload an adapter first, adapterUnloadCost and the
	// value of that adapter are added.
	adapterSlotCost   = 0.05
	adapterUnloadCost = 1
	// adapterEvictionMargin is used instead of evictionMargin if an adapter replaces another
	// adapter.
	adapterEvictionMargin = 0.02
)

// adapterShortage is an adapter with fewer copies than its target.
type adapterShortage struct {
	model   *runnerstate.Model
	adapter *runnerstate.Adapter
	// value is the value of the next copy.
	value float64
	// waiting is true if requests wait for the first copy.
	waiting bool
}

func (s adapterShortage) item() runnerstate.Item {
	return runnerstate.Item{Model: s.model.Name, Adapter: s.adapter.Name}
}

// adapterTarget returns how many copies an adapter with the given rate should have.
func adapterTarget(rate float64) int {
	if rate <= secondAdapterCopyRate {
		return 1
	}
	return 1 + int(math.Ceil(rate/requestsPerAdapterCopy))
}

// placeAdapters orders loads of the adapters with fewer copies than their targets, on runners
// that hold their models.
func (p *Planner) placeAdapters() {
	var shortages []adapterShortage
	for _, m := range p.service.Configured {
		for _, a := range m.Adapters {
			wanted := a.Demand.SinceRequestMs(p.nowMs) <= adapterWantedMs
			if !wanted || m.Plan.Copies == 0 {
				continue
			}
			copies := a.Copies + a.Pending
			if copies < min(m.Plan.Copies, adapterTarget(a.Demand.Rate())) {
				waiting := copies == 0 && a.Demand.HasWaiting(p.nowMs)
				shortages = append(shortages, adapterShortage{m, a, p.adapterValue(a, copies+1), waiting})
			}
		}
	}
	slices.SortFunc(shortages, compareAdapterShortages)
	for _, shortage := range shortages[:min(len(shortages), maxShortagesPerPlan)] {
		p.placeAdapter(shortage)
	}
}

// compareAdapterShortages orders adapters with waiting requests first, then by decreasing
// value.
func compareAdapterShortages(a, b adapterShortage) int {
	if a.waiting != b.waiting {
		if a.waiting {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.model.Name, b.model.Name), cmp.Compare(a.adapter.Name, b.adapter.Name))
}

// placeAdapter orders the load of an adapter on the best holder of its model, or an unload that
// frees memory for it there.
func (p *Planner) placeAdapter(shortage adapterShortage) {
	item := shortage.item()
	model := runnerstate.Item{Model: item.Model}
	best := candidate{score: math.Inf(1)}
	for _, r := range shortage.model.Holders {
		if !p.isCandidate(r) || !r.Offers(model) || r.Has(item) {
			continue
		}
		found, ok := p.adapterCandidate(r, shortage)
		if ok && found.score < best.score {
			best = found
		}
	}
	switch {
	case best.runner == nil:
	case best.victim.Model == "":
		p.orderLoad(best.runner, item)
	default:
		p.orderUnload(best.runner, best.victim, item)
	}
}

// adapterCandidate returns a runner's score for the load of an adapter, and what it must unload
// first. It returns false if the adapter doesn't fit and nothing may be unloaded for it, for
// example because it is too valuable.
func (p *Planner) adapterCandidate(r *runnerstate.Runner, shortage adapterShortage) (candidate, bool) {
	item := shortage.item()
	score := adapterSlotCost*float64(r.UsedAdapterSlots()) + utilizationCost*p.utilization(r)
	found := candidate{runner: r, score: score}
	reserved := p.reservedForOther(r, item)
	if p.fits(r, item) && !(reserved && p.usesReservedCapacity(r, shortage.model)) {
		return found, true
	}
	if r.Order != nil || reserved {
		return candidate{}, false
	}
	victim, value, ok := p.chooseAdapterEviction(r, shortage)
	if !ok || shortage.value <= evictionFactor*value+adapterEvictionMargin {
		return candidate{}, false
	}
	found.victim = victim
	found.score += adapterUnloadCost + value
	return found, true
}

// usesReservedCapacity reports whether an adapter of a model would use the memory or the
// adapter slot that a runner reserves for another item.
func (p *Planner) usesReservedCapacity(r *runnerstate.Runner, m *runnerstate.Model) bool {
	if r.ReservedFor.Adapter != "" {
		return r.UsedAdapterSlots()+1 >= p.service.Engine.MaxAdapters
	}
	reserved := p.service.Models[r.ReservedFor.Model]
	return reserved == nil || p.freeMb(r)-m.Spec.AdapterSizeMb < reserved.Spec.SizeMb
}

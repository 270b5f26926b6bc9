package planner

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// adapterWantedMs is for how long after a request a copy of an adapter is
	// wanted.
	adapterWantedMs = 20_000
	// secondAdapterCopyRate is the rate per second that earns an adapter a second
	// copy, and requestsPerAdapterCopy the rate for each further one.
	secondAdapterCopyRate  = 3.0
	requestsPerAdapterCopy = 8.0
	// The score of a runner for the load of an adapter; the lowest wins.
	// adapterSlotCost is for each adapter slot that is taken, adapterUnloadCost for
	// an unload that must go before.
	adapterSlotCost   = 0.05
	adapterUnloadCost = 1
	// adapterEvictionMargin is by how much, beside evictionFactor, an adapter that
	// comes must be worth more than the one that goes.
	adapterEvictionMargin = 0.02
)

// adapterShortage is an adapter that should be held more often than it is.
type adapterShortage struct {
	model   *runnerstate.Model
	adapter *runnerstate.Adapter
	// value is what the next copy is worth.
	value float64
	// waiting says that requests wait for the first copy.
	waiting bool
}

func (s adapterShortage) item() runnerstate.Item {
	return runnerstate.Item{Model: s.model.Name, Adapter: s.adapter.Name}
}

// adapterTarget is how many copies an adapter with a rate should have.
func adapterTarget(rate float64) int {
	if rate <= secondAdapterCopyRate {
		return 1
	}
	return 1 + int(math.Ceil(rate/requestsPerAdapterCopy))
}

// placeAdapters gives each adapter with fewer copies than its target a runner
// that holds its model.
func (p *Planner) placeAdapters() {
	var shortages []adapterShortage
	for _, m := range p.service.Configured {
		for _, a := range m.Adapters {
			wanted := a.Demand.SinceRequestMs(p.nowMs) <= adapterWantedMs
			if !wanted || m.Plan.Copies == 0 {
				continue
			}
			copies := a.Copies + a.Coming
			if copies < min(m.Plan.Copies, adapterTarget(a.Demand.Rate())) {
				waiting := copies == 0 && a.Demand.HasWaiting(p.nowMs)
				shortages = append(shortages, adapterShortage{m, a, p.adapterValue(a, copies+1), waiting})
			}
		}
	}
	slices.SortFunc(shortages, compareAdapterShortages)
	for _, shortage := range shortages[:min(len(shortages), maxCandidates)] {
		p.placeAdapter(shortage)
	}
}

// compareAdapterShortages puts adapters with waiting requests first, then the
// most valuable.
func compareAdapterShortages(a, b adapterShortage) int {
	if a.waiting != b.waiting {
		if a.waiting {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.model.Name, b.model.Name), cmp.Compare(a.adapter.Name, b.adapter.Name))
}

// placeAdapter loads an adapter at the best holder of its model, or frees memory
// for it there.
func (p *Planner) placeAdapter(shortage adapterShortage) {
	item := shortage.item()
	model := runnerstate.Item{Model: item.Model}
	best := candidate{score: math.Inf(1)}
	for _, r := range shortage.model.Holders {
		if !p.isCandidate(r) || !r.Offers(model) || r.Has(item) {
			continue
		}
		place, ok := p.makeAdapterRoom(r, shortage)
		if ok && place.score < best.score {
			best = place
		}
	}
	switch {
	case best.runner == nil:
	case best.victim.Model == "":
		p.load(best.runner, item)
	default:
		p.unload(best.runner, best.victim, item)
	}
}

// makeAdapterRoom works out a runner's score for the load of an adapter, and what
// it must unload before. It says no if nothing of so little value can go.
func (p *Planner) makeAdapterRoom(r *runnerstate.Runner, shortage adapterShortage) (candidate, bool) {
	item := shortage.item()
	score := adapterSlotCost*float64(r.UsedAdapterSlots()) + utilizationCost*p.utilization(r)
	place := candidate{runner: r, score: score}
	reserved := p.reservedForOther(r, item)
	if p.fits(r, item) && !(reserved && p.takesReservedRoom(r, shortage.model)) {
		return place, true
	}
	if r.Order != nil || reserved {
		return candidate{}, false
	}
	victim, value, ok := p.chooseAdapterEviction(r, shortage)
	if !ok || shortage.value <= evictionFactor*value+adapterEvictionMargin {
		return candidate{}, false
	}
	place.victim = victim
	place.score += adapterUnloadCost + value
	return place, true
}

// takesReservedRoom says whether an adapter of a model would take the room that
// a runner keeps for something else.
func (p *Planner) takesReservedRoom(r *runnerstate.Runner, m *runnerstate.Model) bool {
	if r.ReservedFor.Adapter != "" {
		return r.UsedAdapterSlots()+1 >= p.service.Engine.MaxAdapters
	}
	reserved := p.service.Models[r.ReservedFor.Model]
	return reserved == nil || p.freeMb(r)-m.Spec.AdapterSizeMb < reserved.Spec.SizeMb
}

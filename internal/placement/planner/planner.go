// Package planner decides which models and adapters runners should load and unload next. It
// takes the state of one service's runners and their demand, and returns orders. It does no I/O
// and keeps no state between plans except the smoothed figures in runnerstate.ModelPlan.
//
// A plan has four steps: compute how many copies of each model there should be (targets.go),
// order the loads that memory was reserved for, place missing adapters (adapters.go), then
// place missing models (models.go). A runner gets at most one order in a plan. If a load needs
// more memory than is free, the least valuable items are unloaded first (eviction.go), and the
// freed memory is reserved at the runner. The value of a copy is roughly in requests per second
// (value.go).
package planner

import "myrtlewinch/internal/placement/runnerstate"

// maxShortagesPerPlan limits how many shortages of models one plan handles, and also how many
// shortages of adapters. The most valuable are handled first. The next plan follows soon.
const maxShortagesPerPlan = 24

// PlannedOrder is an order that should be sent.
type PlannedOrder struct {
	Runner *runnerstate.Runner
	runnerstate.Item
	// Load is false for an unload.
	Load bool
	// FromStore is true if the load counts against the weight store's rate limit.
	FromStore bool
	// ReserveFor is the item that an unload frees memory for. Its Model is empty if the order
	// frees memory for no item.
	ReserveFor runnerstate.Item
}

// Budget is the number of loads that the weight store allows now.
type Budget struct {
	// StoreLoads is how many loads from the store may begin.
	StoreLoads int
	// Concurrent is how many more loads from the store may run at the same time.
	Concurrent int
	// Prefetch allows the load of a model that nobody requests.
	Prefetch bool
}

// allowsStoreLoad reports whether one more load from the store may begin.
func (b *Budget) allowsStoreLoad() bool { return b.StoreLoads > 0 && b.Concurrent > 0 }

// Input is the input of a plan.
type Input struct {
	NowMs   int64
	Service *runnerstate.Service
	Budget  Budget
	// AcceptsLoads reports whether a runner is alive and available, so that loads may be sent
	// to it.
	AcceptsLoads func(r *runnerstate.Runner) bool
}

// Planner makes plans. Its zero value is ready for use; reusing one saves allocations.
type Planner struct {
	nowMs        int64
	service      *runnerstate.Service
	budget       Budget
	acceptsLoads func(r *runnerstate.Runner) bool
	planned      []PlannedOrder
	// ordered holds the runners that already got an order in this plan.
	ordered   map[*runnerstate.Runner]bool
	shortages []modelShortage
}

// Plan returns the orders that bring a service closer to its targets, and the number of loads
// from the store that are left. The orders are valid until the next call. Plan updates the plan
// figures of the service's models and clears reservations that are no longer valid.
func (p *Planner) Plan(in Input) (orders []PlannedOrder, storeLoadsLeft int) {
	p.nowMs, p.service, p.budget, p.acceptsLoads = in.NowMs, in.Service, in.Budget, in.AcceptsLoads
	p.planned, p.shortages = p.planned[:0], p.shortages[:0]
	if p.ordered == nil {
		p.ordered = map[*runnerstate.Runner]bool{}
	}
	clear(p.ordered)
	p.computeTargets()
	p.orderReservedLoads()
	p.placeAdapters()
	p.placeModels()
	return p.planned, p.budget.StoreLoads
}

// orderReservedLoads orders the loads for which memory was freed and reserved.
func (p *Planner) orderReservedLoads() {
	for _, r := range p.service.Runners {
		item := r.ReservedFor
		if item.Model == "" {
			continue
		}
		if !r.HasReservation(p.nowMs) || !p.acceptsLoads(r) || r.Offers(item) {
			r.ReservedFor = runnerstate.Item{}
			continue
		}
		if !r.ReadyForOrder(p.nowMs) || !p.fits(r, item) {
			continue
		}
		if item.Adapter != "" && !r.Offers(runnerstate.Item{Model: item.Model}) {
			r.ReservedFor = runnerstate.Item{}
			continue
		}
		p.orderLoad(r, item)
	}
}

// isCandidate reports whether a runner may get an order in this plan.
func (p *Planner) isCandidate(r *runnerstate.Runner) bool {
	return !p.ordered[r] && p.acceptsLoads(r) && r.ReadyForOrder(p.nowMs)
}

// orderLoad orders a load if the weight store allows it, and reports whether it did.
func (p *Planner) orderLoad(r *runnerstate.Runner, item runnerstate.Item) bool {
	order := PlannedOrder{Runner: r, Item: item, Load: true}
	if item.Adapter == "" && !r.OnDisk[item.Model] {
		if !p.budget.allowsStoreLoad() {
			return false
		}
		p.budget.StoreLoads--
		p.budget.Concurrent--
		order.FromStore = true
	}
	p.planned = append(p.planned, order)
	p.ordered[r] = true
	alreadyCounted := r.ReservedFor == item && p.nowMs < r.ReservedUntilMs
	if !alreadyCounted {
		p.countPending(item)
	}
	return true
}

// orderUnload orders an unload that frees memory for another load.
func (p *Planner) orderUnload(r *runnerstate.Runner, item, reserveFor runnerstate.Item) {
	p.planned = append(p.planned, PlannedOrder{Runner: r, Item: item, ReserveFor: reserveFor})
	p.ordered[r] = true
	if m := p.service.Models[item.Model]; m != nil {
		if item.Adapter == "" {
			m.Plan.Copies--
		} else if a := m.Adapters[item.Adapter]; a != nil {
			a.Copies--
		}
	}
	if reserveFor.Model != "" && r.ReservedFor != reserveFor {
		p.countPending(reserveFor)
	}
}

// countPending counts an item as pending: a runner is loading it or has memory reserved for it.
func (p *Planner) countPending(item runnerstate.Item) {
	m := p.service.Models[item.Model]
	if m == nil {
		return
	}
	if item.Adapter == "" {
		m.Plan.Pending++
	} else if a := m.Adapters[item.Adapter]; a != nil {
		a.Pending++
	}
}

// fits reports whether a runner has enough free memory, and a free adapter slot if needed, for
// a configured item that it does not hold.
func (p *Planner) fits(r *runnerstate.Runner, item runnerstate.Item) bool {
	m := p.service.Models[item.Model]
	if m == nil || !m.Configured || r.Has(item) {
		return false
	}
	free := p.freeMb(r)
	if item.Adapter == "" {
		return m.Spec.SizeMb <= free
	}
	return m.Spec.AdapterSizeMb <= free && r.UsedAdapterSlots() < p.service.Engine.MaxAdapters
}

// freeMb returns the free memory of a runner in MB. It is negative if the runner holds more
// than the configuration now allows.
func (p *Planner) freeMb(r *runnerstate.Runner) float64 {
	return p.service.Engine.WeightMemoryMb - r.UsedMb()
}

// reservedForOther reports whether memory of the runner is reserved for another load.
func (p *Planner) reservedForOther(r *runnerstate.Runner, item runnerstate.Item) bool {
	return r.ReservedFor != item && r.HasReservation(p.nowMs)
}

// utilization returns how busy a runner is: the larger of the used shares of its slots and its
// cache. Queued requests count as using slots, so the result may exceed 1.
func (p *Planner) utilization(r *runnerstate.Runner) float64 {
	out := float64(r.State.Active+r.State.Queued) / float64(max(1, p.service.Engine.Slots))
	if r.State.CacheTotal > 0 {
		out = max(out, float64(r.State.CacheUsed)/float64(r.State.CacheTotal))
	}
	return out
}

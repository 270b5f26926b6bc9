// Package planner decides which models and adapters runners should load and
// unload next. It takes the state of one service's runners and their demand,
// and returns orders; it is pure and keeps no state between plans except the
// smoothed figures in runnerstate.ModelPlan.
//
// A plan has four steps: work out how many copies of each model there should be
// (targets.go), load what room was reserved for, place missing adapters
// (adapters.go), then place missing models (models.go). One runner gets at most
// one order in a plan. A load that needs room first unloads what is worth least
// (eviction.go); what it made room for is reserved at the runner. The value of a
// copy is roughly in requests per second (value.go).
package planner

import "myrtlewinch/internal/placement/runnerstate"

// maxCandidates bounds how many shortages of models, and of adapters, one plan
// looks at, most valuable first. A further plan follows soon.
const maxCandidates = 24

// Move is an order that should be given.
type Move struct {
	Runner *runnerstate.Runner
	runnerstate.Item
	// Load is false for an unload.
	Load bool
	// FromStore says that the load counts against the weight store's rate.
	FromStore bool
	// ReserveFor is what an unload makes room for; its Model is empty for nothing.
	ReserveFor runnerstate.Item
}

// Budget is what the weight store allows now.
type Budget struct {
	// StoreLoads is how many loads from the store may begin.
	StoreLoads int
	// Concurrent is how many more of them may run at the same time.
	Concurrent int
	// Prefetch allows a load of what nobody requests.
	Prefetch bool
}

// allowsStoreLoad says whether one more load from the store may begin.
func (b *Budget) allowsStoreLoad() bool { return b.StoreLoads > 0 && b.Concurrent > 0 }

// Input is what a plan is made from.
type Input struct {
	NowMs   int64
	Service *runnerstate.Service
	Budget  Budget
	// AcceptsLoads says whether a runner answers and may get loads.
	AcceptsLoads func(r *runnerstate.Runner) bool
}

// Planner makes plans. Its zero value is ready for use; keeping one saves
// allocations.
type Planner struct {
	nowMs        int64
	service      *runnerstate.Service
	budget       Budget
	acceptsLoads func(r *runnerstate.Runner) bool
	moves        []Move
	// used holds the runners that have got an order in this plan.
	used      map[*runnerstate.Runner]bool
	shortages []modelShortage
}

// Plan returns the orders that bring a service closer to its targets, valid until
// the next call, and the loads from the store that are left. It changes the plan
// figures of the service's models, and clears reservations that are void.
func (p *Planner) Plan(in Input) (moves []Move, storeLoadsLeft int) {
	p.nowMs, p.service, p.budget, p.acceptsLoads = in.NowMs, in.Service, in.Budget, in.AcceptsLoads
	p.moves, p.shortages = p.moves[:0], p.shortages[:0]
	if p.used == nil {
		p.used = map[*runnerstate.Runner]bool{}
	}
	clear(p.used)
	p.computeTargets()
	p.loadReserved()
	p.placeAdapters()
	p.placeModels()
	return p.moves, p.budget.StoreLoads
}

// loadReserved orders the loads for which memory was freed and reserved.
func (p *Planner) loadReserved() {
	for _, r := range p.service.Runners {
		item := r.ReservedFor
		if item.Model == "" {
			continue
		}
		if !r.HasReservation(p.nowMs) || !p.acceptsLoads(r) || r.Offers(item) {
			r.ReservedFor = runnerstate.Item{}
			continue
		}
		if !r.CanTakeLoad(p.nowMs) || !p.fits(r, item) {
			continue
		}
		if item.Adapter != "" && !r.Offers(runnerstate.Item{Model: item.Model}) {
			r.ReservedFor = runnerstate.Item{}
			continue
		}
		p.load(r, item)
	}
}

// isCandidate says whether a runner may get an order in this plan.
func (p *Planner) isCandidate(r *runnerstate.Runner) bool {
	return !p.used[r] && p.acceptsLoads(r) && r.CanTakeLoad(p.nowMs)
}

// load orders a load if the weight store permits it.
func (p *Planner) load(r *runnerstate.Runner, item runnerstate.Item) bool {
	move := Move{Runner: r, Item: item, Load: true}
	if item.Adapter == "" && !r.OnDisk[item.Model] {
		if !p.budget.allowsStoreLoad() {
			return false
		}
		p.budget.StoreLoads--
		p.budget.Concurrent--
		move.FromStore = true
	}
	p.moves = append(p.moves, move)
	p.used[r] = true
	alreadyCounted := r.ReservedFor == item && p.nowMs < r.ReservedUntilMs
	if !alreadyCounted {
		p.countComing(item)
	}
	return true
}

// unload orders an unload that frees memory for another load.
func (p *Planner) unload(r *runnerstate.Runner, item, reserveFor runnerstate.Item) {
	p.moves = append(p.moves, Move{Runner: r, Item: item, ReserveFor: reserveFor})
	p.used[r] = true
	if m := p.service.Models[item.Model]; m != nil {
		if item.Adapter == "" {
			m.Plan.Copies--
		} else if a := m.Adapters[item.Adapter]; a != nil {
			a.Copies--
		}
	}
	if reserveFor.Model != "" && r.ReservedFor != reserveFor {
		p.countComing(reserveFor)
	}
}

// countComing counts an item as one that a runner is about to hold.
func (p *Planner) countComing(item runnerstate.Item) {
	m := p.service.Models[item.Model]
	if m == nil {
		return
	}
	if item.Adapter == "" {
		m.Plan.Coming++
	} else if a := m.Adapters[item.Adapter]; a != nil {
		a.Coming++
	}
}

// fits says whether an item fits beside all that a runner holds.
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

// freeMb is the memory in MB that a runner has free; negative if it holds more
// than the configuration now allows.
func (p *Planner) freeMb(r *runnerstate.Runner) float64 {
	return p.service.Engine.WeightMemoryMb - r.UsedMb()
}

// reservedForOther says whether memory of the runner is reserved for another load.
func (p *Planner) reservedForOther(r *runnerstate.Runner, item runnerstate.Item) bool {
	return r.ReservedFor != item && r.HasReservation(p.nowMs)
}

// utilization is how busy a runner is: the fuller of its slots, where queued
// requests may take it beyond 1, and its cache.
func (p *Planner) utilization(r *runnerstate.Runner) float64 {
	out := float64(r.State.Active+r.State.Queued) / float64(max(1, p.service.Engine.Slots))
	if r.State.CacheTotal > 0 {
		out = max(out, float64(r.State.CacheUsed)/float64(r.State.CacheTotal))
	}
	return out
}

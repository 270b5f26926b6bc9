package planner

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
)

// The score of a runner for the load of a model is the sum of the costs below. If the runner must
// unload models first, their value is added (see modelCandidate). The lowest score wins.
const (
	// utilizationCost is multiplied by the runner's utilization, and zoneCost by the number of
	// copies that its zone already has.
	utilizationCost = 0.5
	zoneCost        = 0.1
	// storeLoadCost applies to a load from the weight store, which takes longer than one from
	// the runner's own disk. waitingLoadCost is added if requests wait for it.
	storeLoadCost, waitingLoadCost = 0.8, 0.8
	// uncertainDiskCost applies if only the previous incarnation is known to have the model on
	// disk.
	uncertainDiskCost = 0.1
	// slowRunnerCost applies to a runner that the platform reports as slow.
	slowRunnerCost = 0.3
	// unloadCost applies if the runner must unload something first.
	unloadCost = 0.05
	// noAdapterCapacityCost applies if the load leaves too little memory for the model's
	// adapters.
	noAdapterCapacityCost = 0.05
	// A load may evict models only if its value exceeds evictionFactor times the value of the
	// evicted models plus evictionMargin. Otherwise models would evict each other again and again.
	evictionFactor = 1.5
	evictionMargin = 0.1
	// maxCopiesPerPlan limits the further copies of one model in a plan, so that other models
	// are placed too.
	maxCopiesPerPlan = 3
)

// modelShortage is a model with fewer copies than its target, or one that may be prefetched.
type modelShortage struct {
	model *runnerstate.Model
	// value is the value of the next copy.
	value float64
	// waiting is true if requests wait for the first copy.
	waiting bool
	// prefetch is true if nobody requests the model. It is then loaded only into free memory.
	prefetch bool
}

// placeModels orders loads of the models with fewer copies than their targets, most valuable
// first, each on the best runner.
func (p *Planner) placeModels() {
	p.findShortages()
	prefetched := false
	for i, shortage := range p.shortages {
		if i >= maxShortagesPerPlan || shortage.prefetch && prefetched {
			break
		}
		placed := p.placeModel(shortage)
		prefetched = prefetched || placed && shortage.prefetch
		for more := 0; placed && more < maxCopiesPerPlan; more++ {
			placed = p.placeFurtherCopy(shortage.model)
		}
	}
	p.estimateQueues()
}

// placeFurtherCopy places one more copy of a model that got one in this plan, if its target is
// higher. After a rise in demand, a model need not wait one plan for each copy.
func (p *Planner) placeFurtherCopy(m *runnerstate.Model) bool {
	copies := m.Plan.Copies + m.Plan.Pending
	if copies >= m.Plan.Target {
		return false
	}
	return p.placeModel(modelShortage{model: m, value: p.modelValue(m, copies+1)})
}

// findShortages lists the models with fewer copies than their target, most valuable first, and
// then those that may be prefetched. A waiting request raises a model's value, but the next
// copy of a congested model may still precede the first copy of a rarely requested one.
func (p *Planner) findShortages() {
	prefetchCapacity := p.hasPrefetchCapacity()
	for _, m := range p.service.Configured {
		copies := m.Plan.Copies + m.Plan.Pending
		m.Plan.QueueMs = -1
		switch {
		case copies < m.Plan.Target:
			waiting := copies == 0 && m.Demand.HasWaiting(p.nowMs)
			p.shortages = append(p.shortages, modelShortage{model: m, value: p.modelValue(m, copies+1), waiting: waiting})
		case copies == 0 && prefetchCapacity && p.budget.Prefetch:
			p.shortages = append(p.shortages, modelShortage{model: m, value: p.modelValue(m, 1), prefetch: true})
		}
	}
	slices.SortStableFunc(p.shortages, func(a, b modelShortage) int {
		if a.prefetch != b.prefetch {
			if b.prefetch {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.value, a.value)
	})
}

// estimateQueues estimates when the loads of models without a copy can begin, from their
// positions in the list of shortages and the weight store's rate limit.
func (p *Planner) estimateQueues() {
	loadsPerSec := p.service.Engine.LoadsPerSec
	if loadsPerSec <= 0 {
		return
	}
	for i, shortage := range p.shortages {
		plan := &shortage.model.Plan
		if plan.Copies+plan.Pending == 0 {
			plan.QueueMs = int64(float64(i+1) * 1000 / loadsPerSec)
		}
	}
}

// hasPrefetchCapacity reports whether free memory may be used for a model that nobody requests.
// Some runner must have enough free memory for the smallest missing model, and some runner must
// have enough for the largest model or be unloading a model.
func (p *Planner) hasPrefetchCapacity() bool {
	smallestMb, largestMb := math.Inf(1), 0.0
	for _, m := range p.service.Configured {
		largestMb = max(largestMb, m.Spec.SizeMb)
		if m.Plan.Copies+m.Plan.Pending == 0 {
			smallestMb = min(smallestMb, m.Spec.SizeMb)
		}
	}
	smallestFits, largestFits := false, false
	for _, r := range p.service.Runners {
		if !p.acceptsLoads(r) || p.reservedForOther(r, runnerstate.Item{}) {
			continue
		}
		freeMb := p.freeMb(r)
		unloadsModel := r.Order != nil && !r.Order.Load && r.Order.Adapter == ""
		smallestFits = smallestFits || freeMb >= smallestMb
		largestFits = largestFits || freeMb >= largestMb || unloadsModel
	}
	return smallestFits && largestFits
}

// candidate is a runner for a load, and the item that it must unload first. The victim's Model
// is empty if nothing must be unloaded.
type candidate struct {
	runner *runnerstate.Runner
	victim runnerstate.Item
	score  float64
}

// placeModel orders the load of a model on the runner with the lowest score, or an unload that
// frees memory for it there. It reports whether it ordered either.
func (p *Planner) placeModel(shortage modelShortage) bool {
	storeAllowed := p.budget.allowsStoreLoad()
	copiesInZone := copiesByZone(shortage.model)
	best := candidate{score: math.Inf(1)}
	for _, r := range p.service.Runners {
		if !p.mayLoadModel(r, shortage.model, storeAllowed) {
			continue
		}
		score := utilizationCost*p.utilization(r) + zoneCost*float64(copiesInZone[r.Entry.Zone])
		found, ok := p.modelCandidate(r, shortage, p.addSourceCost(score, r, shortage))
		if ok && found.score < best.score {
			best = found
		}
	}
	if best.runner == nil {
		return false
	}
	item := runnerstate.Item{Model: shortage.model.Name}
	if best.victim.Model == "" {
		return p.orderLoad(best.runner, item)
	}
	p.orderUnload(best.runner, best.victim, item)
	return true
}

// copiesByZone counts the available holders of a model in each zone.
func copiesByZone(m *runnerstate.Model) map[string]int {
	zones := map[string]int{}
	for _, r := range m.Holders {
		if !r.Unavailable() {
			zones[r.Entry.Zone]++
		}
	}
	return zones
}

// mayLoadModel reports whether a runner may be ordered to load a model, regardless of its free
// memory.
func (p *Planner) mayLoadModel(r *runnerstate.Runner, m *runnerstate.Model, storeAllowed bool) bool {
	item := runnerstate.Item{Model: m.Name}
	if !p.isCandidate(r) || r.Has(item) || p.reservedForOther(r, item) {
		return false
	}
	return r.OnDisk[m.Name] || storeAllowed
}

// addSourceCost adds to a runner's score the cost of the source of the weights (its own disk or
// the weight store) and, for a slow runner, slowRunnerCost.
func (p *Planner) addSourceCost(score float64, r *runnerstate.Runner, shortage modelShortage) float64 {
	certain, onDisk := r.OnDisk[shortage.model.Name]
	switch {
	case certain:
	case onDisk:
		score += uncertainDiskCost
	default:
		score += storeLoadCost
		if shortage.waiting {
			score += waitingLoadCost
		}
	}
	if r.Entry.SlowMs > 0 {
		score += slowRunnerCost
	}
	return score
}

// modelCandidate returns what a runner must unload for a model, and the score including that.
// It returns false if the model doesn't fit and nothing may be unloaded for it, for example
// because it is too valuable.
func (p *Planner) modelCandidate(r *runnerstate.Runner, shortage modelShortage, score float64) (candidate, bool) {
	m := shortage.model
	found := candidate{runner: r, score: score}
	leftMb := p.freeMb(r) - m.Spec.SizeMb
	if leftMb >= 0 {
		adaptersMb := m.Spec.AdapterSizeMb * float64(p.service.Engine.MaxAdapters)
		if leftMb < adaptersMb && m.Spec.AdapterCount > 0 {
			found.score += noAdapterCapacityCost
		}
		return found, true
	}
	if shortage.prefetch || r.Order != nil {
		return candidate{}, false
	}
	out, ok := p.chooseModelEviction(r, -leftMb, shortage)
	if !ok || shortage.value <= evictionFactor*out.value+evictionMargin {
		return candidate{}, false
	}
	found.victim = out.first
	// An unload waits until the model's running requests have finished.
	found.score += out.value + out.running + unloadCost
	return found, true
}

package planner

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
)

// The score of a runner for a load; the lowest wins.
const (
	// utilizationCost is for a busy runner, zoneCost for each copy that its zone
	// has already.
	utilizationCost = 0.5
	zoneCost        = 0.1
	// storeLoadCost is for a load from the weight store, which takes longer than
	// one from the runner's own disk; waitingLoadCost is added if requests wait for
	// it.
	storeLoadCost, waitingLoadCost = 0.8, 0.8
	// uncertainDiskCost is for a load of what only the incarnation before is known
	// to have on disk.
	uncertainDiskCost = 0.1
	// slowRunnerCost is for a runner that the platform reports as slow.
	slowRunnerCost = 0.3
	// unloadCost is for an unload that must go before.
	unloadCost = 0.05
	// adapterRoomCost is for a load that leaves no room for the model's adapters.
	adapterRoomCost = 0.05
	// evictionFactor and evictionMargin are by how much what comes must be worth
	// more than what goes, so that models don't evict each other again and
	// again.
	evictionFactor = 1.5
	evictionMargin = 0.1
	// maxCopiesPerPlan is how many further copies of a model one plan places, so
	// that the others get their turns.
	maxCopiesPerPlan = 3
)

// modelShortage is a model that should be held more often than it is.
type modelShortage struct {
	model *runnerstate.Model
	// value is what the next copy is worth.
	value float64
	// waiting says that requests wait for the first copy.
	waiting bool
	// prefetch says that nobody requests the model: it only takes room that is
	// free.
	prefetch bool
}

// placeModels gives each model with fewer copies than its target the best
// runner, most valuable first.
func (p *Planner) placeModels() {
	p.findShortages()
	prefetched := false
	for i, shortage := range p.shortages {
		if i >= maxCandidates || shortage.prefetch && prefetched {
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

// placeFurtherCopy places one more copy of a model that got one in this plan, if
// it wants more. A rise of demand is not waited out one plan after the other.
func (p *Planner) placeFurtherCopy(m *runnerstate.Model) bool {
	copies := m.Plan.Copies + m.Plan.Coming
	if copies >= m.Plan.Wanted {
		return false
	}
	return p.placeModel(modelShortage{model: m, value: p.modelValue(m, copies+1)})
}

// findShortages lists the models with fewer copies than their target, most
// valuable first. A waiting request makes a model more valuable, yet a crowd on
// one copy of a busy model still goes before the first copy of a rare one.
func (p *Planner) findShortages() {
	roomToPrefetch := p.roomToPrefetch()
	for _, m := range p.service.Configured {
		copies := m.Plan.Copies + m.Plan.Coming
		m.Plan.QueueMs = -1
		switch {
		case copies < m.Plan.Wanted:
			waiting := copies == 0 && m.Demand.HasWaiting(p.nowMs)
			p.shortages = append(p.shortages, modelShortage{model: m, value: p.modelValue(m, copies+1), waiting: waiting})
		case copies == 0 && roomToPrefetch && p.budget.Prefetch:
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

// estimateQueues estimates when the loads of models without a copy can begin, by
// their places in the queue and the weight store's rate.
func (p *Planner) estimateQueues() {
	loadsPerSec := p.service.Engine.LoadsPerSec
	if loadsPerSec <= 0 {
		return
	}
	for i, shortage := range p.shortages {
		plan := &shortage.model.Plan
		if plan.Copies+plan.Coming == 0 {
			plan.QueueMs = int64(float64(i+1) * 1000 / loadsPerSec)
		}
	}
}

// roomToPrefetch says whether a model that nobody requests may take free room: a
// runner must have room for it, and one must have room for the largest model, or
// will have once what it unloads is gone.
func (p *Planner) roomToPrefetch() bool {
	smallestMb, largestMb := math.Inf(1), 0.0
	for _, m := range p.service.Configured {
		largestMb = max(largestMb, m.Spec.SizeMb)
		if m.Plan.Copies+m.Plan.Coming == 0 {
			smallestMb = min(smallestMb, m.Spec.SizeMb)
		}
	}
	roomForSmallest, roomForLargest := false, false
	for _, r := range p.service.Runners {
		if !p.acceptsLoads(r) || p.reservedForOther(r, runnerstate.Item{}) {
			continue
		}
		freeMb := p.freeMb(r)
		unloadsModel := r.Order != nil && !r.Order.Load && r.Order.Adapter == ""
		roomForSmallest = roomForSmallest || freeMb >= smallestMb
		roomForLargest = roomForLargest || freeMb >= largestMb || unloadsModel
	}
	return roomForSmallest && roomForLargest
}

// candidate is a runner for a load, and what it must unload before; the victim's
// Model is empty for nothing.
type candidate struct {
	runner *runnerstate.Runner
	victim runnerstate.Item
	score  float64
}

// placeModel loads a model where it fits, or makes room for it where least is
// lost by that. It says whether it found a runner and the store allowed it.
func (p *Planner) placeModel(shortage modelShortage) bool {
	storeAllowed := p.budget.allowsStoreLoad()
	copiesInZone := copiesByZone(shortage.model)
	best := candidate{score: math.Inf(1)}
	for _, r := range p.service.Runners {
		if !p.mayLoadModel(r, shortage.model, storeAllowed) {
			continue
		}
		score := utilizationCost*p.utilization(r) + zoneCost*float64(copiesInZone[r.Entry.Zone])
		place, ok := p.makeRoom(r, shortage, p.addSourceCost(score, r, shortage))
		if ok && place.score < best.score {
			best = place
		}
	}
	if best.runner == nil {
		return false
	}
	item := runnerstate.Item{Model: shortage.model.Name}
	if best.victim.Model == "" {
		return p.load(best.runner, item)
	}
	p.unload(best.runner, best.victim, item)
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

// mayLoadModel says whether a runner may get the load of a model, room apart.
func (p *Planner) mayLoadModel(r *runnerstate.Runner, m *runnerstate.Model, storeAllowed bool) bool {
	item := runnerstate.Item{Model: m.Name}
	if !p.isCandidate(r) || r.Has(item) || p.reservedForOther(r, item) {
		return false
	}
	return r.OnDisk[m.Name] || storeAllowed
}

// addSourceCost adds to a runner's score where it would load a model from.
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

// makeRoom works out what a runner must unload for a model, and the score with
// that. It says no if the model doesn't fit and nothing of so little value can go.
func (p *Planner) makeRoom(r *runnerstate.Runner, shortage modelShortage, score float64) (candidate, bool) {
	m := shortage.model
	place := candidate{runner: r, score: score}
	leftMb := p.freeMb(r) - m.Spec.SizeMb
	if leftMb >= 0 {
		adaptersMb := m.Spec.AdapterSizeMb * float64(p.service.Engine.MaxAdapters)
		if leftMb < adaptersMb && m.Spec.AdapterCount > 0 {
			place.score += adapterRoomCost
		}
		return place, true
	}
	if shortage.prefetch || r.Order != nil {
		return candidate{}, false
	}
	out, ok := p.chooseModelEviction(r, -leftMb, shortage)
	if !ok || shortage.value <= evictionFactor*out.value+evictionMargin {
		return candidate{}, false
	}
	place.victim = out.first
	// An unload waits until the model's requests have finished.
	place.score += out.value + out.running + unloadCost
	return place, true
}

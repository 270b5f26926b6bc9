package controller

import (
	"maps"
	"slices"
	"sort"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// minResidenceMs is the minimum time for which an item stays loaded. It prevents thrashing.
const minResidenceMs = 8_000

// orderEviction orders the first unload that frees capacity for a need, on the runner where the
// eviction costs least. It returns false if no runner can free enough.
func (a *application) orderEviction(candidates []placementCandidate, n need) bool {
	var runner *ledger.RunnerRow
	var unload ledger.Item
	lowestCost := 0.0
	for _, candidate := range candidates {
		if candidate.capacity < n.size {
			continue
		}
		first, cost, ok := a.planEviction(candidate, n)
		if ok && (runner == nil || cost < lowestCost) {
			runner, unload, lowestCost = candidate.row, first, cost
		}
	}
	if runner == nil {
		return false
	}
	a.giveOrder(runner, protocol.ActionUnload, unload, runner.Held[unload.String()].Size)
	return true
}

// evictionGroup is what is evicted together: a model with its adapters, or one adapter.
type evictionGroup struct {
	// first is the item that is unloaded first.
	first ledger.Item
	size  int64
	score float64
}

// planEviction selects the groups that a runner would have to evict for the need, those with
// the lowest score first. It returns the first item to unload and the cost of all groups: the
// sum of their scores, plus 1 for each group.
func (a *application) planEviction(candidate placementCandidate, n need) (first ledger.Item, cost float64, ok bool) {
	groups := a.evictionGroups(candidate.row, n)
	free := candidate.free
	for i, group := range groups {
		if i == 0 {
			first = group.first
		}
		free += group.size
		cost += 1 + group.score
		if free >= n.size {
			return first, cost, true
		}
	}
	return first, cost, false
}

// evictionGroups lists what may be evicted for the need, sorted by ascending score.
func (a *application) evictionGroups(row *ledger.RunnerRow, n need) []evictionGroup {
	var groups []evictionGroup
	for _, name := range slices.Sorted(maps.Keys(row.Held)) {
		item := ledger.ParseItem(name)
		if item.Adapter != "" {
			// A single adapter is evicted only for another adapter.
			if score, ok := a.evictable(row, item, n); ok && n.item.Adapter != "" {
				groups = append(groups, evictionGroup{item, row.Held[name].Size, score})
			}
			continue
		}
		if group, ok := a.modelGroup(row, item, n); ok && item.Model != n.item.Model {
			groups = append(groups, group)
		}
	}
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].score < groups[j].score })
	return groups
}

// modelGroup returns a model with its adapters. It returns false unless all of them may be
// evicted.
func (a *application) modelGroup(row *ledger.RunnerRow, model ledger.Item, n need) (evictionGroup, bool) {
	score, may := a.evictable(row, model, n)
	group := evictionGroup{model, row.Held[model.String()].Size, score}
	for _, name := range slices.Sorted(maps.Keys(row.Held)) {
		adapter := ledger.ParseItem(name)
		if adapter.Model != model.Model || adapter.Adapter == "" {
			continue
		}
		_, adapterMay := a.evictable(row, adapter, n)
		may = may && adapterMay
		group.size += row.Held[name].Size
		// Adapters are unloaded before their model.
		group.first = adapter
	}
	return group, may
}

// evictable reports whether an item may be evicted for the need, and returns its score.
func (a *application) evictable(row *ledger.RunnerRow, item ledger.Item, n need) (float64, bool) {
	sinceMs, known := a.primary.runners[row.Runner].heldSinceMs[item.String()]
	if !known || a.host.NowMs()-sinceMs < minResidenceMs {
		return 0, false
	}
	score := 0.0
	if demand := a.primary.demand[item]; demand != nil {
		score = demand.scoreAt(a.host.NowMs())
	}
	copies := a.copyCount(item)
	isLast := copies == 1
	switch {
	case copies <= a.requestedCopies(item):
		return 0, false
	case isLast && score >= 1 && a.protectedByShare(a.serviceOf(item.Model), a.serviceOf(n.item.Model)):
		return 0, false
	case n.copies > 0:
		// The last copy of an item is never evicted for a further copy of another one.
		return score, copies > 1 && score < n.score
	case copies > 1:
		return 0, true
	}
	return score, score < n.score || n.missingMs >= starvationMs
}

// requestedCopies returns how many copies of an item the description asks for.
func (a *application) requestedCopies(item ledger.Item) int {
	if item.Adapter == "" {
		if model, ok := a.description.Model(item.Model); ok {
			return int(model.Copies)
		}
	} else if adapter, ok := a.description.Adapter(item.Adapter); ok {
		return int(adapter.Copies)
	}
	return 0
}

// protectedByShare reports whether the items of the service evicted must not be unloaded for
// items of the service needing. This is so if needing already uses its fair share of the capacity
// and evicted uses no more than its own.
func (a *application) protectedByShare(evicted, needing string) bool {
	if evicted == needing {
		return false
	}
	p := &a.primary
	return p.capacityUsed[needing] >= p.fairShare && p.capacityUsed[evicted] <= p.fairShare
}

// measureShares sums the capacity that the items of each service use, and computes an even
// share for each service with models.
func (a *application) measureShares() {
	p := &a.primary
	p.capacityUsed = map[string]int64{}
	services := int64(0)
	for i := range a.description.Services {
		if len(a.description.Services[i].Models) > 0 {
			services++
		}
	}
	var total int64
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		row, ok := a.usableRunner(runner)
		if !ok {
			continue
		}
		total += min(runner.Capacity, row.Capacity)
		for name, held := range row.Held {
			p.capacityUsed[a.serviceOf(ledger.ParseItem(name).Model)] += held.Size
		}
	}
	p.fairShare = total / max(1, services)
}

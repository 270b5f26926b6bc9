package controller

import (
	"maps"
	"slices"
	"sort"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// minResidenceMs is how long a loaded item stays at least, against thrashing.
const minResidenceMs = 8_000

// makeRoom orders the first unload that makes room for a need, on the runner where the
// least demand is lost by it. It returns false if no runner can make room.
func (a *application) makeRoom(candidates []placementCandidate, n need) bool {
	var runner *ledger.RunnerRow
	var unload ledger.Item
	lowestCost := 0.0
	for _, candidate := range candidates {
		if candidate.room < n.size {
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

// evictionGroup is what goes together: a model with its adapters, or one adapter.
type evictionGroup struct {
	// first is what is unloaded first.
	first ledger.Item
	size  int64
	score float64
}

// planEviction finds what would have to go on a runner for the need, the least asked for
// first. It gives the first item to unload and the cost of all of them: the demand that
// is lost and one for each group.
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

// evictionGroups lists what may go for the need, the least asked for first.
func (a *application) evictionGroups(row *ledger.RunnerRow, n need) []evictionGroup {
	var groups []evictionGroup
	for _, name := range slices.Sorted(maps.Keys(row.Held)) {
		item := ledger.ParseItem(name)
		if item.Adapter != "" {
			// Only a need for an adapter evicts single adapters.
			if score, may := a.evictable(row, item, n); may && n.item.Adapter != "" {
				groups = append(groups, evictionGroup{item, row.Held[name].Size, score})
			}
			continue
		}
		if group, may := a.modelGroup(row, item, n); may && item.Model != n.item.Model {
			groups = append(groups, group)
		}
	}
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].score < groups[j].score })
	return groups
}

// modelGroup is a model with its adapters, if all of them may go.
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
		// Adapters go before their model.
		group.first = adapter
	}
	return group, may
}

// evictable says whether an item may be evicted for the need, and gives its score.
func (a *application) evictable(row *ledger.RunnerRow, item ledger.Item, n need) (float64, bool) {
	sinceMs, known := a.primary.runners[row.Runner].heldSinceMs[item.String()]
	if !known || a.host.NowMs()-sinceMs < minResidenceMs {
		return 0, false
	}
	score := 0.0
	if demand := a.primary.demand[item]; demand != nil {
		score = demand.scoreAt(a.host.NowMs())
	}
	replicas := a.replicaCount(item)
	isLast := replicas == 1
	switch {
	case replicas <= a.describedCopies(item):
		return 0, false
	case isLast && score >= 1 && a.protectedByShare(a.serviceOf(item.Model), a.serviceOf(n.item.Model)):
		return 0, false
	case n.replicas > 0:
		// A further replica is worth less than any other item's last one.
		return score, replicas > 1 && score < n.score
	case replicas > 1:
		return 0, true
	}
	return score, score < n.score || n.missingMs >= starvationMs
}

// describedCopies is how many replicas of an item the description asks for.
func (a *application) describedCopies(item ledger.Item) int {
	if item.Adapter == "" {
		if model, ok := a.description.Model(item.Model); ok {
			return int(model.Copies)
		}
	} else if adapter, ok := a.description.Adapter(item.Adapter); ok {
		return int(adapter.Copies)
	}
	return 0
}

// protectedByShare says whether the items of one service may not go for those of
// another, since that one has its fair share of all room already and this one has no
// more than its own.
func (a *application) protectedByShare(evicted, needing string) bool {
	if evicted == needing {
		return false
	}
	p := &a.primary
	return p.roomUsed[needing] >= p.fairShare && p.roomUsed[evicted] <= p.fairShare
}

// measureShares sums the room that the items of each service take, and works out an
// even share among the services with models.
func (a *application) measureShares() {
	p := &a.primary
	p.roomUsed = map[string]int64{}
	services := int64(0)
	for i := range a.description.Services {
		if len(a.description.Services[i].Models) > 0 {
			services++
		}
	}
	var room int64
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		row, ok := a.usableRunner(runner)
		if !ok {
			continue
		}
		room += min(runner.Room, row.Room)
		for name, held := range row.Held {
			p.roomUsed[a.serviceOf(ledger.ParseItem(name).Model)] += held.Size
		}
	}
	p.fairShare = room / max(1, services)
}

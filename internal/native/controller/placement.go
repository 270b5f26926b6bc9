package controller

import (
	"sort"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// placementIntervalMs is the interval between two runs of the placement.
	placementIntervalMs = 200
	// starvationMs is how long a wanted item may be held by no runner before it is placed
	// first, however high the demand for others.
	starvationMs = 3_000
	// moveScore is the demand score from which an item is loaded elsewhere when its runner
	// leaves: a single look-up decays to it in about half a minute.
	moveScore = 0.1
	// secondCopyScore is the demand score from which a second copy is wanted.
	secondCopyScore = 200
)

// need is a shortage: an item (a model or an adapter) that more runners should hold.
type need struct {
	item         ledger.Item
	size         int64
	copies       int
	wantedCopies int
	score        float64
	// missingMs is for how long the item has been wanted while no runner held it.
	missingMs int64
}

// placeModels gives at most one new order. First copies are placed before further ones. They
// alternate between the services, so that the demand for one does not delay the others.
func (a *application) placeModels() {
	if a.host.NowMs()-a.primary.placedMs < placementIntervalMs || !a.host.AllCommitted() {
		return
	}
	a.primary.placedMs = a.host.NowMs()
	needs := a.needs()
	byService := a.needsByService(needs)
	a.estimateWaits(roundRobin(byService))
	a.measureShares()
	// If the first need of a service cannot be placed, for example an adapter whose model is not
	// loaded, the next need of that service is tried.
	for _, queue := range byService {
		for _, n := range queue {
			if a.placeNeed(n) {
				return
			}
		}
	}
	for _, n := range needs {
		if n.copies > 0 && a.placeNeed(n) {
			return
		}
	}
}

// needs lists the items with too few copies. Items with the fewest copies are listed first. Among
// equals, the item that has been missing for longer is first if that is at least starvationMs.
// Otherwise the item with the higher score is first.
func (a *application) needs() []need {
	var needs []need
	add := func(item ledger.Item, size, requested int64) {
		if n := a.needOf(item, size, requested); n.copies < n.wantedCopies {
			needs = append(needs, n)
		}
	}
	// An adapter for which the description asks for copies needs its model.
	copiesForAdapter := map[string]int64{}
	for _, adapter := range a.description.Adapters {
		copiesForAdapter[adapter.Model] = max(copiesForAdapter[adapter.Model], min(adapter.Copies, 1))
	}
	for _, model := range a.description.Models {
		add(ledger.Item{Model: model.Name}, model.Size, max(model.Copies, copiesForAdapter[model.Name]))
	}
	for _, adapter := range a.description.Adapters {
		add(ledger.Item{Model: adapter.Model, Adapter: adapter.Name}, adapter.Size, adapter.Copies)
	}
	sort.SliceStable(needs, func(i, j int) bool { return needs[i].before(needs[j]) })
	return needs
}

func (n need) before(other need) bool {
	if n.copies != other.copies {
		return n.copies < other.copies
	}
	starving := n.missingMs >= starvationMs || other.missingMs >= starvationMs
	if starving && n.missingMs != other.missingMs {
		return n.missingMs > other.missingMs
	}
	return n.score > other.score
}

// needOf computes how many copies of an item are wanted. The description states a minimum, which
// the demand may increase.
func (a *application) needOf(item ledger.Item, size, requested int64) need {
	n := need{item: item, size: size, wantedCopies: int(requested), copies: a.copyCount(item)}
	demand, nowMs := a.primary.demand[item], a.host.NowMs()
	if demand == nil {
		return n
	}
	n.score = demand.scoreAt(nowMs)
	if demand.wanted(nowMs) {
		n.wantedCopies = max(n.wantedCopies, 1)
	}
	if n.score >= secondCopyScore {
		n.wantedCopies = max(n.wantedCopies, 2)
	}
	// An item that only a leaving runner holds is loaded elsewhere even if it is not wanted at
	// present.
	unwanted := n.wantedCopies == 0 && n.copies == 0
	if unwanted && n.score >= moveScore && a.heldByLeavingRunner(item) {
		n.wantedCopies = 1
	}
	switch {
	case n.copies > 0 || n.wantedCopies == 0:
		demand.missingSinceMs = 0
	case demand.missingSinceMs == 0:
		demand.missingSinceMs = nowMs
	}
	if demand.missingSinceMs > 0 {
		n.missingMs = nowMs - demand.missingSinceMs
	}
	return n
}

// serviceOf returns the name of the first service that may use the model, or "".
func (a *application) serviceOf(model string) string {
	for i := range a.description.Services {
		if service := &a.description.Services[i]; service.Allows(model) {
			return service.Name
		}
	}
	return ""
}

// needsByService groups the needs for first copies by service. The service with the least
// recent load comes first.
func (a *application) needsByService(needs []need) [][]need {
	queues := map[string][]need{}
	var services []string
	for _, n := range needs {
		if n.copies > 0 {
			continue
		}
		service := a.serviceOf(n.item.Model)
		if _, known := queues[service]; !known {
			services = append(services, service)
		}
		queues[service] = append(queues[service], n)
	}
	sort.SliceStable(services, func(i, j int) bool {
		return a.primary.lastLoadMs[services[i]] < a.primary.lastLoadMs[services[j]]
	})
	out := make([][]need, 0, len(services))
	for _, service := range services {
		out = append(out, queues[service])
	}
	return out
}

// roundRobin merges the queues: the first needs of all queues, then the second ones, and so on.
func roundRobin(queues [][]need) []need {
	var out []need
	for round, more := 0, true; more; round++ {
		more = false
		for _, queue := range queues {
			if round < len(queue) {
				out = append(out, queue[round])
				more = true
			}
		}
	}
	return out
}

// usableRunner returns the row of a runner, or false if the runner is unknown, unresponsive or
// leaving.
func (a *application) usableRunner(runner *description.Runner) (*ledger.RunnerRow, bool) {
	row, state := a.state().Rows[runner.Name], a.primary.runners[runner.Name]
	if row == nil || state == nil || state.unresponsive(a.host.NowMs()) || a.isLeaving(row) {
		return nil, false
	}
	return row, true
}

// heldByLeavingRunner reports whether a leaving runner holds the item. It is called only for
// items that no usable runner holds.
func (a *application) heldByLeavingRunner(item ledger.Item) bool {
	if item.Model == "" {
		return false
	}
	for i := range a.description.Runners {
		row := a.state().Rows[a.description.Runners[i].Name]
		if row != nil && row.Holds(item) && a.isLeaving(row) {
			return true
		}
	}
	return false
}

// isLeaving reports whether the runner's present incarnation is leaving.
func (a *application) isLeaving(row *ledger.RunnerRow) bool {
	listed := a.primary.listedRunners[row.Runner]
	return a.state().Leaving(row) || listed.Leaving && listed.Incarnation == row.Incarnation
}

// copyCount counts the usable runners that hold the item or are loading it.
func (a *application) copyCount(item ledger.Item) int {
	count := 0
	for i := range a.description.Runners {
		if row, ok := a.usableRunner(&a.description.Runners[i]); ok && (row.Holds(item) || row.Loading(item)) {
			count++
		}
	}
	return count
}

// poolsFor returns the set of pools whose runners may hold the model.
func (a *application) poolsFor(model string) map[string]bool {
	pools := map[string]bool{}
	for i := range a.description.Services {
		service := &a.description.Services[i]
		if !service.Allows(model) {
			continue
		}
		for _, pool := range service.Pools {
			pools[pool] = true
		}
	}
	return pools
}

// placementCandidate is a runner that could load an item.
type placementCandidate struct {
	row  *ledger.RunnerRow
	zone string
	// capacity is the runner's total capacity, free the unused part.
	capacity, free int64
	// copiesInZone is the number of copies of the item in the runner's zone.
	copiesInZone int
}

// placeNeed gives the next order for a need. That is the load if a runner has enough free
// capacity, and otherwise the first unload that frees capacity. It returns false if there is no
// such order. It also returns true while the rate limit of the weight store allows no load.
func (a *application) placeNeed(n need) bool {
	candidates := a.placementCandidates(n)
	for _, candidate := range candidates {
		if candidate.free < n.size {
			continue
		}
		if a.acquireLoad() {
			a.giveOrder(candidate.row, protocol.ActionLoad, n.item, n.size)
		}
		return true
	}
	// Capacity is freed only if the load could follow at once.
	if !a.primary.loadLimiter.canAcquire(a.host.NowMs(), a.description.Store.LoadsPer10s) {
		return true
	}
	return a.orderEviction(candidates, n)
}

// placementCandidates lists the runners that could load the item: those in zones with the
// fewest copies first, then those with the most free capacity.
func (a *application) placementCandidates(n need) []placementCandidate {
	pools := a.poolsFor(n.item.Model)
	copiesInZone := map[string]int{}
	var candidates []placementCandidate
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		row, ok := a.usableRunner(runner)
		if !ok {
			continue
		}
		if row.Holds(n.item) || row.Loading(n.item) {
			copiesInZone[runner.Zone]++
			continue
		}
		if pools[runner.Pool] && a.canPlaceOn(row, n.item) {
			capacity := min(runner.Capacity, row.Capacity)
			candidates = append(candidates, placementCandidate{row: row, zone: runner.Zone, capacity: capacity, free: capacity - row.UsedCapacity()})
		}
	}
	for i := range candidates {
		candidates[i].copiesInZone = copiesInZone[candidates[i].zone]
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		if candidates[i].copiesInZone != candidates[j].copiesInZone {
			return candidates[i].copiesInZone < candidates[j].copiesInZone
		}
		return candidates[i].free > candidates[j].free
	})
	return candidates
}

// canPlaceOn reports whether an order for the item may be given to the runner now.
func (a *application) canPlaceOn(row *ledger.RunnerRow, item ledger.Item) bool {
	runner := a.primary.runners[row.Runner]
	if row.Order != nil || !a.fenced(runner) {
		return false
	}
	// The runner may hold or be loading items that are not in the ledger, because of an order
	// of an earlier primary. They use capacity too.
	if runner.report.LastState == protocol.OrderInProgress || !row.MatchesReport(runner.report) {
		return false
	}
	// An adapter can be loaded only by a runner that holds its model.
	return item.Adapter == "" || row.Holds(ledger.Item{Model: item.Model})
}

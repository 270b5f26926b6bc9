package controller

import (
	"sort"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// placementIntervalMs passes between two runs of the placement.
	placementIntervalMs = 200
	// starvationMs is how long an item that is asked for may be missing before it
	// goes first, however much others are asked for.
	starvationMs = 3_000
	// moveScore is the score at which an item moves away from a leaving runner: someone
	// asked for it within the last half a minute or so.
	moveScore = 0.1
	// secondReplicaScore is the score that earns a second replica.
	secondReplicaScore = 200
)

// need is an item that should be held by more runners than hold it.
type need struct {
	item           ledger.Item
	size           int64
	replicas       int
	wantedReplicas int
	score          float64
	// missingMs is for how long no runner has held the item although it is wanted.
	missingMs int64
}

// placeModels gives at most one new order. First replicas go first; they alternate
// between the services, so that the demand for one does not hold up the others.
func (a *application) placeModels() {
	if a.host.NowMs()-a.primary.placedMs < placementIntervalMs || !a.host.Settled() {
		return
	}
	a.primary.placedMs = a.host.NowMs()
	needs := a.needs()
	byService := a.needsByService(needs)
	a.estimateWaits(roundRobin(byService))
	a.measureShares()
	// A service whose first need can't be placed, such as an adapter without its
	// model, goes on with its next one.
	for _, queue := range byService {
		for _, n := range queue {
			if a.placeNeed(n) {
				return
			}
		}
	}
	for _, n := range needs {
		if n.replicas > 0 && a.placeNeed(n) {
			return
		}
	}
}

// needs lists the items that need a replica: those without any first, of them those
// that starve, then those with the highest score.
func (a *application) needs() []need {
	var needs []need
	add := func(item ledger.Item, size, copies int64) {
		if n := a.needOf(item, size, copies); n.replicas < n.wantedReplicas {
			needs = append(needs, n)
		}
	}
	// An adapter that is described with copies needs its model.
	neededByAdapter := map[string]int64{}
	for _, adapter := range a.description.Adapters {
		neededByAdapter[adapter.Model] = max(neededByAdapter[adapter.Model], min(adapter.Copies, 1))
	}
	for _, model := range a.description.Models {
		add(ledger.Item{Model: model.Name}, model.Size, max(model.Copies, neededByAdapter[model.Name]))
	}
	for _, adapter := range a.description.Adapters {
		add(ledger.Item{Model: adapter.Model, Adapter: adapter.Name}, adapter.Size, adapter.Copies)
	}
	sort.SliceStable(needs, func(i, j int) bool { return needs[i].before(needs[j]) })
	return needs
}

func (n need) before(other need) bool {
	if n.replicas != other.replicas {
		return n.replicas < other.replicas
	}
	starves := n.missingMs >= starvationMs || other.missingMs >= starvationMs
	if starves && n.missingMs != other.missingMs {
		return n.missingMs > other.missingMs
	}
	return n.score > other.score
}

// needOf works out how many replicas of an item are wanted: those that the description
// asks for, and more by the demand.
func (a *application) needOf(item ledger.Item, size, copies int64) need {
	n := need{item: item, size: size, wantedReplicas: int(copies), replicas: a.replicaCount(item)}
	demand, nowMs := a.primary.demand[item], a.host.NowMs()
	if demand == nil {
		return n
	}
	n.score = demand.scoreAt(nowMs)
	if demand.wanted(nowMs) {
		n.wantedReplicas = max(n.wantedReplicas, 1)
	}
	if n.score >= secondReplicaScore {
		n.wantedReplicas = max(n.wantedReplicas, 2)
	}
	// What is about to go with its runner moves, also if nobody asked just now.
	unwanted := n.wantedReplicas == 0 && n.replicas == 0
	if unwanted && n.score >= moveScore && a.heldOnlyByLeaving(item) {
		n.wantedReplicas = 1
	}
	switch {
	case n.replicas > 0 || n.wantedReplicas == 0:
		demand.missingSinceMs = 0
	case demand.missingSinceMs == 0:
		demand.missingSinceMs = nowMs
	}
	if demand.missingSinceMs > 0 {
		n.missingMs = nowMs - demand.missingSinceMs
	}
	return n
}

// serviceOf names the first service that may use the model, or none.
func (a *application) serviceOf(model string) string {
	for i := range a.description.Services {
		if service := &a.description.Services[i]; service.Allows(model) {
			return service.Name
		}
	}
	return ""
}

// needsByService groups the needs for first replicas by service. The service whose last
// load is longest ago comes first.
func (a *application) needsByService(needs []need) [][]need {
	queues := map[string][]need{}
	var services []string
	for _, n := range needs {
		if n.replicas > 0 {
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

// roundRobin lists the needs of all queues in the order in which they are placed.
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

// usableRunner gives the row of a runner that may be counted on to hold items.
func (a *application) usableRunner(runner *description.Runner) (*ledger.RunnerRow, bool) {
	row, state := a.state().Rows[runner.Name], a.primary.runners[runner.Name]
	if row == nil || state == nil || state.silent(a.host.NowMs()) || a.isLeaving(row) {
		return nil, false
	}
	return row, true
}

// heldOnlyByLeaving says whether a leaving runner holds the item. It is asked where no
// usable runner does.
func (a *application) heldOnlyByLeaving(item ledger.Item) bool {
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

// isLeaving says whether the runner's present incarnation is leaving.
func (a *application) isLeaving(row *ledger.RunnerRow) bool {
	listed := a.primary.listed[row.Runner]
	return a.state().Leaving(row) || listed.Leaving && listed.Incarnation == row.Incarnation
}

// replicaCount counts the usable runners that hold the item or are loading it.
func (a *application) replicaCount(item ledger.Item) int {
	count := 0
	for i := range a.description.Runners {
		if row, ok := a.usableRunner(&a.description.Runners[i]); ok && (row.Holds(item) || row.Loading(item)) {
			count++
		}
	}
	return count
}

// poolsFor lists the pools whose runners may hold the model.
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

// placementCandidate is a runner on which an item could be placed.
type placementCandidate struct {
	row  *ledger.RunnerRow
	zone string
	// room is all of the runner's, free what is not used.
	room, free int64
	// replicasInZone counts the replicas of the item in the runner's zone.
	replicasInZone int
}

// placeNeed gives the order that brings a replica closer: the load where there is room,
// else the first unload that makes room. It returns false if there is none; true also
// where the weight store allows no load yet.
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
	// Room is made only when the load could follow at once.
	if !a.primary.loadLimiter.canAcquire(a.host.NowMs(), a.description.Store.LoadsPer10s) {
		return true
	}
	return a.makeRoom(candidates, n)
}

// placementCandidates lists the runners that could take the item: those in zones with
// the fewest replicas first, then those with the most free room.
func (a *application) placementCandidates(n need) []placementCandidate {
	pools := a.poolsFor(n.item.Model)
	replicasInZone := map[string]int{}
	var candidates []placementCandidate
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		row, ok := a.usableRunner(runner)
		if !ok {
			continue
		}
		if row.Holds(n.item) || row.Loading(n.item) {
			replicasInZone[runner.Zone]++
			continue
		}
		if pools[runner.Pool] && a.mayTake(row, n.item) {
			room := min(runner.Room, row.Room)
			candidates = append(candidates, placementCandidate{row: row, zone: runner.Zone, room: room, free: room - row.UsedRoom()})
		}
	}
	for i := range candidates {
		candidates[i].replicasInZone = replicasInZone[candidates[i].zone]
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		if candidates[i].replicasInZone != candidates[j].replicasInZone {
			return candidates[i].replicasInZone < candidates[j].replicasInZone
		}
		return candidates[i].free > candidates[j].free
	})
	return candidates
}

// mayTake says whether a runner may be given an order for the item now.
func (a *application) mayTake(row *ledger.RunnerRow, item ledger.Item) bool {
	runner := a.primary.runners[row.Runner]
	if row.Order != nil || !a.fenced(runner) {
		return false
	}
	// What a runner has that the ledger does not know takes room too: an order of a
	// lost primary may be under way.
	if runner.report.LastState == protocol.OrderUnderWay || !row.Matches(runner.report) {
		return false
	}
	// An adapter goes only where its model is.
	return item.Adapter == "" || row.Holds(ledger.Item{Model: item.Model})
}

package controller

import (
	"maps"
	"slices"
	"sort"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	placementIntervalMs = 200
	// minResidenceMs is how long a loaded item stays at least, against thrash.
	minResidenceMs = 8_000
	// starvationMs is how long a thing that is asked for may lack before it gets its
	// turn, whoever asks more for what is held.
	starvationMs = 3_000
	// moveScore is the demand at which a leaver's thing is moved: someone asked
	// within the last half a minute or so.
	moveScore = 0.1
	// secondReplicaScore is the demand that earns a further copy.
	secondReplicaScore = 200
)

// need is an item that should be held more often than it is.
type need struct {
	item           ledger.Item
	size           int64
	replicas       int
	score          float64
	missingMs      int64
	wantedReplicas int
}

// placeModels gives at most one new order a turn and a runner, first copies first.
func (a *application) placeModels() {
	d := &a.primary
	if a.host.NowMs()-d.placedMs < placementIntervalMs || !a.replicated() {
		return
	}
	d.placedMs = a.host.NowMs()
	needs := a.needs()
	lines := a.needsByService(needs)
	a.estimateWaits(roundRobin(lines))
	a.measureShares()
	// A service whose first can't be placed, say an adapter whose model lacks,
	// goes on with its next before it loses its turn.
	for _, line := range lines {
		for _, n := range line {
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

// needs lists what is wanted more often than it is held: one copy before two,
// then what has been lacking longest once that is long, then who asks most.
func (a *application) needs() []need {
	var out []need
	add := func(item ledger.Item, size, wanted int64) {
		n := need{item: item, size: size, wantedReplicas: int(wanted)}
		if w := a.primary.demand[item]; w != nil {
			n.score = w.scoreAt(a.host.NowMs())
			if w.wanted(a.host.NowMs()) {
				n.wantedReplicas = max(n.wantedReplicas, 1)
			}
			if n.score >= secondReplicaScore {
				n.wantedReplicas = max(n.wantedReplicas, 2)
			}
		}
		n.replicas = a.replicaCount(item)
		// What is about to go with its runner is moved ahead, also if nobody
		// asked for it in the last moment.
		if n.wantedReplicas == 0 && n.replicas == 0 && n.score >= moveScore && a.heldOnlyByLeaving(item) {
			n.wantedReplicas = 1
		}
		if w := a.primary.demand[item]; w != nil {
			switch {
			case n.replicas > 0 || n.wantedReplicas == 0:
				w.missingSinceMs = 0
			case w.missingSinceMs == 0:
				w.missingSinceMs = a.host.NowMs()
			}
			if w.missingSinceMs > 0 {
				n.missingMs = a.host.NowMs() - w.missingSinceMs
			}
		}
		if n.replicas < n.wantedReplicas {
			out = append(out, n)
		}
	}
	based := map[string]int64{}
	for _, a := range a.description.Adapters {
		based[a.Model] = max(based[a.Model], min(a.Copies, 1))
	}
	for _, model := range a.description.Models {
		add(ledger.Item{Model: model.Name}, model.Size, max(model.Copies, based[model.Name]))
	}
	for _, a := range a.description.Adapters {
		add(ledger.Item{Model: a.Model, Adapter: a.Name}, a.Size, a.Copies)
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.replicas != b.replicas {
			return a.replicas < b.replicas
		}
		if (a.missingMs >= starvationMs || b.missingMs >= starvationMs) && a.missingMs != b.missingMs {
			return a.missingMs > b.missingMs
		}
		return a.score > b.score
	})
	return out
}

// serviceOf names the first service that the model is for.
func (a *application) serviceOf(model string) string {
	for i := range a.description.Services {
		if s := &a.description.Services[i]; s.Allows(model) {
			return s.Name
		}
	}
	return ""
}

// needsByService sorts the first copies that lack by service, the service that has had
// none for longest first: a crowd for all the models of one service would hold
// up every other service behind it.
func (a *application) needsByService(needs []need) [][]need {
	at := map[string]int{}
	var services []string
	var lines [][]need
	for _, n := range needs {
		if n.replicas > 0 {
			continue
		}
		service := a.serviceOf(n.item.Model)
		if _, known := at[service]; !known {
			at[service] = len(lines)
			services = append(services, service)
			lines = append(lines, nil)
		}
		lines[at[service]] = append(lines[at[service]], n)
	}
	sort.SliceStable(services, func(i, j int) bool {
		return a.primary.lastLoadMs[services[i]] < a.primary.lastLoadMs[services[j]]
	})
	out := make([][]need, 0, len(lines))
	for _, service := range services {
		out = append(out, lines[at[service]])
	}
	return out
}

// roundRobin is the order in which the lines' items come to their turns.
func roundRobin(lines [][]need) []need {
	var out []need
	for round, more := 0, true; more; round++ {
		more = false
		for _, line := range lines {
			if round < len(line) {
				out = append(out, line[round])
				more = true
			}
		}
	}
	return out
}

// usableRunner says whether a runner may be counted on to hold things.
func (a *application) usableRunner(runner *description.Runner) (*ledger.RunnerRow, bool) {
	row, s := a.state().Rows[runner.Name], a.primary.runners[runner.Name]
	if row == nil || s == nil || a.host.NowMs()-s.reportedMs > runnerTimeoutMs || a.isLeaving(row) {
		return nil, false
	}
	return row, true
}

// heldOnlyByLeaving says whether a runner that is leaving, and no other, would take
// the item with it.
func (a *application) heldOnlyByLeaving(item ledger.Item) bool {
	for i := range a.description.Runners {
		row := a.state().Rows[a.description.Runners[i].Name]
		if row != nil && row.Holds(item) && item.Model != "" {
			if _, usable := a.usableRunner(&a.description.Runners[i]); !usable && a.isLeaving(row) {
				return true
			}
		}
	}
	return false
}

// isLeaving says whether the runner's present incarnation is marked.
func (a *application) isLeaving(row *ledger.RunnerRow) bool {
	listed := a.primary.listed[row.Runner]
	return a.state().Leaving(row) || listed.Leaving && listed.Incarnation == row.Incarnation
}

func (a *application) replicaCount(item ledger.Item) int {
	copies := 0
	for i := range a.description.Runners {
		if row, ok := a.usableRunner(&a.description.Runners[i]); ok && (row.Holds(item) || row.Loading(item)) {
			copies++
		}
	}
	return copies
}

// poolsFor lists the pools whose runners may hold the model.
func (a *application) poolsFor(model string) map[string]bool {
	pools := map[string]bool{}
	for i := range a.description.Services {
		if s := &a.description.Services[i]; s.Allows(model) {
			for _, pool := range s.Pools {
				pools[pool] = true
			}
		}
	}
	return pools
}

// placementCandidate is a runner with what speaks for it.
type placementCandidate struct {
	row            *ledger.RunnerRow
	room           int64
	replicasInZone int
	free           int64
}

// placeNeed gives the order that brings the need closer, if there is one.
func (a *application) placeNeed(n need) bool {
	pools := a.poolsFor(n.item.Model)
	zones := map[string]int{}
	var spots []placementCandidate
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		row, ok := a.usableRunner(runner)
		if !ok {
			continue
		}
		if row.Holds(n.item) || row.Loading(n.item) {
			zones[runner.Zone]++
			continue
		}
		// What a runner has that the ledger does not know takes room too: an
		// order of a lost primary may have been under way.
		if said := a.primary.runners[runner.Name].report; row.Order == nil && (said.LastState == protocol.OrderUnderWay || !row.Matches(said)) {
			continue
		}
		// An adapter goes only where its model is.
		if !pools[runner.Pool] || row.Order != nil || !a.primary.runners[runner.Name].fenced(a.host.NowMs(), a.settings.GapMs) || n.item.Adapter != "" && !row.Holds(ledger.Item{Model: n.item.Model}) {
			continue
		}
		room := min(runner.Room, row.Room)
		spots = append(spots, placementCandidate{row: row, room: room, free: room - row.UsedRoom()})
	}
	for i := range spots {
		runner, _ := a.description.Runner(spots[i].row.Runner)
		spots[i].replicasInZone = zones[runner.Zone]
	}
	sort.SliceStable(spots, func(i, j int) bool {
		if spots[i].replicasInZone != spots[j].replicasInZone {
			return spots[i].replicasInZone < spots[j].replicasInZone
		}
		return spots[i].free > spots[j].free
	})
	pace := a.description.Store.LoadsPer10s
	for _, s := range spots {
		if s.free >= n.size {
			if !a.primary.loadLimiter.tryAcquire(a.host.NowMs(), pace) {
				return true
			}
			a.giveOrder(s.row, protocol.ActionLoad, n.item, n.size)
			return true
		}
	}
	// Room is made only when the load could follow, on the runner where least
	// is lost by it.
	if !a.primary.loadLimiter.canAcquire(a.host.NowMs(), pace) {
		return true
	}
	var victim *ledger.RunnerRow
	var worst ledger.Item
	lowest := 0.0
	for _, s := range spots {
		if s.room < n.size {
			continue
		}
		first, cost, ok := a.planEviction(s, n)
		if ok && (victim == nil || cost < lowest) {
			victim, worst, lowest = s.row, first, cost
		}
	}
	if victim == nil {
		return false
	}
	a.giveOrder(victim, protocol.ActionUnload, worst, victim.Held[worst.String()].Size)
	return true
}

// evictionGroup is a model with its adapters on one runner; they go together.
type evictionGroup struct {
	first ledger.Item
	size  int64
	score float64
}

// planEviction finds what would have to go on a runner for the need: the least used
// first. It gives the first thing to unload, and what all of it is worth.
func (a *application) planEviction(s placementCandidate, n need) (first ledger.Item, cost float64, ok bool) {
	var groups []evictionGroup
	for _, name := range slices.Sorted(maps.Keys(s.row.Held)) {
		item := parseItem(name)
		if item.Adapter != "" {
			// Only a need for an adapter may push single adapters out.
			if score, may := a.evictable(s.row, item, n); may && n.item.Adapter != "" {
				groups = append(groups, evictionGroup{item, s.row.Held[name].Size, score})
			}
			continue
		}
		if g, may := a.modelGroup(s.row, item, n); may && item.Model != n.item.Model {
			groups = append(groups, g)
		}
	}
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].score < groups[j].score })
	free := s.free
	for i, g := range groups {
		if i == 0 {
			first = g.first
		}
		free += g.size
		cost += 1 + g.score
		if free >= n.size {
			return first, cost, true
		}
	}
	return first, cost, false
}

// modelGroup gathers a model with its adapters, if all of it may go.
func (a *application) modelGroup(row *ledger.RunnerRow, model ledger.Item, n need) (evictionGroup, bool) {
	score, may := a.evictable(row, model, n)
	g := evictionGroup{model, row.Held[model.String()].Size, score}
	for _, name := range slices.Sorted(maps.Keys(row.Held)) {
		adapter := parseItem(name)
		if adapter.Model != model.Model || adapter.Adapter == "" {
			continue
		}
		_, adapterMay := a.evictable(row, adapter, n)
		may = may && adapterMay
		g.size += row.Held[name].Size
		// Adapters go before their model.
		g.first = adapter
	}
	return g, may
}

// evictable says whether an item may be dropped for the need, and its demand.
func (a *application) evictable(row *ledger.RunnerRow, item ledger.Item, n need) (float64, bool) {
	since, known := a.primary.runners[row.Runner].heldSinceMs[item.String()]
	if !known || a.host.NowMs()-since < minResidenceMs {
		return 0, false
	}
	score := 0.0
	if w := a.primary.demand[item]; w != nil {
		score = w.scoreAt(a.host.NowMs())
	}
	wanted := 0
	if item.Adapter == "" {
		if model, ok := a.description.Model(item.Model); ok {
			wanted = int(model.Copies)
		}
	} else if adapter, ok := a.description.Adapter(item.Adapter); ok {
		wanted = int(adapter.Copies)
	}
	copies := a.replicaCount(item)
	switch {
	case copies <= wanted:
		// What operators want held stays.
		return 0, false
	case copies == 1 && score >= 1 && a.protectedByShare(a.serviceOf(item.Model), a.serviceOf(n.item.Model)):
		return 0, false
	case n.replicas > 0:
		// A further copy is worth less than any other's last one.
		return score, copies > 1 && score < n.score
	case copies > 1:
		return 0, true
	}
	return score, score < n.score || n.missingMs >= starvationMs
}

// protectedByShare says whether what one service is asked for may not go for another,
// since that one has its share of all room already and this one has no more.
func (a *application) protectedByShare(from, by string) bool {
	if from == by {
		return false
	}
	fair := a.primary.fairShare
	return a.primary.roomUsed[by] >= fair && a.primary.roomUsed[from] <= fair
}

// measureShares sums what each service's models and adapters take, and what an
// even share is among the services that have any.
func (a *application) measureShares() {
	d := &a.primary
	d.roomUsed = map[string]int64{}
	services := int64(0)
	for i := range a.description.Services {
		if len(a.description.Services[i].Models) > 0 {
			services++
		}
	}
	var rooms int64
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		row, ok := a.usableRunner(runner)
		if !ok {
			continue
		}
		rooms += min(runner.Room, row.Room)
		for name, held := range row.Held {
			d.roomUsed[a.serviceOf(parseItem(name).Model)] += held.Size
		}
	}
	d.fairShare = rooms / max(1, services)
}

func parseItem(name string) ledger.Item {
	for i := range name {
		if name[i] == '+' {
			return ledger.Item{Model: name[:i], Adapter: name[i+1:]}
		}
	}
	return ledger.Item{Model: name}
}

// giveOrder writes the intent to the pair, and only then sends it.
func (a *application) giveOrder(row *ledger.RunnerRow, action string, item ledger.Item, size int64) {
	name := row.Runner
	if action == protocol.ActionLoad {
		a.primary.lastLoadMs[a.serviceOf(item.Model)] = a.host.NowMs()
	}
	a.primary.runners[name].ordersGiven++
	a.host.Logf("%s: %s %s", name, action, item)
	a.submit(func(ok bool) {
		if ok {
			a.sendOrder(name)
		}
	}, ledger.RecordOrder{Runner: name, Incarnation: row.Incarnation, Action: action, Item: item, Size: size})
}

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
	placeMs = 200
	// stayMs is how long a loaded item stays at least, against thrash.
	stayMs = 8_000
	// turnMs is how long a thing that is asked for may lack before it gets its
	// turn, whoever asks more for what is held.
	turnMs = 3_000
	// keptScore is the demand at which a leaver's thing is moved: someone asked
	// within the last half a minute or so.
	keptScore = 0.1
	// busyScore is the demand that earns a further copy.
	busyScore = 200
)

// need is an item that should be held more often than it is.
type need struct {
	item   ledger.Item
	size   int64
	copies int
	score  float64
	lackMs int64
	wanted int
}

// place gives at most one new order a turn and a runner, first copies first.
func (a *application) place() {
	d := &a.duty
	if a.host.NowMs()-d.placeMs < placeMs || !a.settled() {
		return
	}
	d.placeMs = a.host.NowMs()
	needs := a.needs()
	lines := a.lines(needs)
	a.takeTurns(interleaved(lines))
	a.takeShares()
	// A service whose first can't be placed, say an adapter whose model lacks,
	// goes on with its next before it loses its turn.
	for _, line := range lines {
		for _, n := range line {
			if a.placeOne(n) {
				return
			}
		}
	}
	for _, n := range needs {
		if n.copies > 0 && a.placeOne(n) {
			return
		}
	}
}

// needs lists what is wanted more often than it is held: one copy before two,
// then what has been lacking longest once that is long, then who asks most.
func (a *application) needs() []need {
	var out []need
	add := func(item ledger.Item, size, wanted int64) {
		n := need{item: item, size: size, wanted: int(wanted)}
		if w := a.duty.wants[item]; w != nil {
			n.score = w.now(a.host.NowMs())
			if w.wanted(a.host.NowMs()) {
				n.wanted = max(n.wanted, 1)
			}
			if n.score >= busyScore {
				n.wanted = max(n.wanted, 2)
			}
		}
		n.copies = a.copiesOf(item)
		// What is about to go with its runner is moved ahead, also if nobody
		// asked for it in the last moment.
		if n.wanted == 0 && n.copies == 0 && n.score >= keptScore && a.leaverHolds(item) {
			n.wanted = 1
		}
		if w := a.duty.wants[item]; w != nil {
			switch {
			case n.copies > 0 || n.wanted == 0:
				w.lackMs = 0
			case w.lackMs == 0:
				w.lackMs = a.host.NowMs()
			}
			if w.lackMs > 0 {
				n.lackMs = a.host.NowMs() - w.lackMs
			}
		}
		if n.copies < n.wanted {
			out = append(out, n)
		}
	}
	based := map[string]int64{}
	for _, a := range a.described.Adapters {
		based[a.Model] = max(based[a.Model], min(a.Copies, 1))
	}
	for _, model := range a.described.Models {
		add(ledger.Item{Model: model.Name}, model.Size, max(model.Copies, based[model.Name]))
	}
	for _, a := range a.described.Adapters {
		add(ledger.Item{Model: a.Model, Adapter: a.Name}, a.Size, a.Copies)
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.copies != b.copies {
			return a.copies < b.copies
		}
		if (a.lackMs >= turnMs || b.lackMs >= turnMs) && a.lackMs != b.lackMs {
			return a.lackMs > b.lackMs
		}
		return a.score > b.score
	})
	return out
}

// serviceOf names the first service that the model is for.
func (a *application) serviceOf(model string) string {
	for i := range a.described.Services {
		if s := &a.described.Services[i]; s.Allows(model) {
			return s.Name
		}
	}
	return ""
}

// lines sorts the first copies that lack by service, the service that has had
// none for longest first: a crowd for all the models of one service would hold
// up every other service behind it.
func (a *application) lines(needs []need) [][]need {
	at := map[string]int{}
	var services []string
	var lines [][]need
	for _, n := range needs {
		if n.copies > 0 {
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
		return a.duty.turnsMs[services[i]] < a.duty.turnsMs[services[j]]
	})
	out := make([][]need, 0, len(lines))
	for _, service := range services {
		out = append(out, lines[at[service]])
	}
	return out
}

// interleaved is the order in which the lines' items come to their turns.
func interleaved(lines [][]need) []need {
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

// usable says whether a runner may be counted on to hold things.
func (a *application) usable(runner *description.Runner) (*ledger.Row, bool) {
	row, s := a.state().Rows[runner.Name], a.duty.seen[runner.Name]
	if row == nil || s == nil || a.host.NowMs()-s.okMs > darkMs || a.leaves(row) {
		return nil, false
	}
	return row, true
}

// leaverHolds says whether a runner that is leaving, and no other, would take
// the item with it.
func (a *application) leaverHolds(item ledger.Item) bool {
	for i := range a.described.Runners {
		row := a.state().Rows[a.described.Runners[i].Name]
		if row != nil && row.Holds(item) && item.Model != "" {
			if _, usable := a.usable(&a.described.Runners[i]); !usable && a.leaves(row) {
				return true
			}
		}
	}
	return false
}

// leaves says whether the runner's present incarnation is marked.
func (a *application) leaves(row *ledger.Row) bool {
	listed := a.duty.listing[row.Runner]
	return a.state().Leaving(row) || listed.Leaving && listed.Incarnation == row.Incarnation
}

func (a *application) copiesOf(item ledger.Item) int {
	copies := 0
	for i := range a.described.Runners {
		if row, ok := a.usable(&a.described.Runners[i]); ok && (row.Holds(item) || row.Loading(item)) {
			copies++
		}
	}
	return copies
}

// pools lists the pools whose runners may hold the model.
func (a *application) pools(model string) map[string]bool {
	pools := map[string]bool{}
	for i := range a.described.Services {
		if s := &a.described.Services[i]; s.Allows(model) {
			for _, pool := range s.Pools {
				pools[pool] = true
			}
		}
	}
	return pools
}

// spot is a runner with what speaks for it.
type spot struct {
	row     *ledger.Row
	room    int64
	zoneHas int
	free    int64
}

// placeOne gives the order that brings the need closer, if there is one.
func (a *application) placeOne(n need) bool {
	pools := a.pools(n.item.Model)
	zones := map[string]int{}
	var spots []spot
	for i := range a.described.Runners {
		runner := &a.described.Runners[i]
		row, ok := a.usable(runner)
		if !ok {
			continue
		}
		if row.Holds(n.item) || row.Loading(n.item) {
			zones[runner.Zone]++
			continue
		}
		// What a runner has that the ledger does not know takes room too: an
		// order of a lost primary may have been under way.
		if said := a.duty.seen[runner.Name].report; row.Intent == nil && (said.LastState == protocol.OrderUnderWay || !row.Agrees(said)) {
			continue
		}
		// An adapter goes only where its model is.
		if !pools[runner.Pool] || row.Intent != nil || !a.duty.seen[runner.Name].fenced(a.host.NowMs(), a.settings.GapMs) || n.item.Adapter != "" && !row.Holds(ledger.Item{Model: n.item.Model}) {
			continue
		}
		room := min(runner.Room, row.Room)
		spots = append(spots, spot{row: row, room: room, free: room - row.Taken()})
	}
	for i := range spots {
		runner, _ := a.described.Runner(spots[i].row.Runner)
		spots[i].zoneHas = zones[runner.Zone]
	}
	sort.SliceStable(spots, func(i, j int) bool {
		if spots[i].zoneHas != spots[j].zoneHas {
			return spots[i].zoneHas < spots[j].zoneHas
		}
		return spots[i].free > spots[j].free
	})
	pace := a.described.Store.LoadsPer10s
	for _, s := range spots {
		if s.free >= n.size {
			if !a.duty.pace.take(a.host.NowMs(), pace) {
				return true
			}
			a.order(s.row, protocol.ActionLoad, n.item, n.size)
			return true
		}
	}
	// Room is made only when the load could follow, on the runner where least
	// is lost by it.
	if !a.duty.pace.ready(a.host.NowMs(), pace) {
		return true
	}
	var victim *ledger.Row
	var worst ledger.Item
	lowest := 0.0
	for _, s := range spots {
		if s.room < n.size {
			continue
		}
		first, cost, ok := a.clear(s, n)
		if ok && (victim == nil || cost < lowest) {
			victim, worst, lowest = s.row, first, cost
		}
	}
	if victim == nil {
		return false
	}
	a.order(victim, protocol.ActionUnload, worst, victim.Held[worst.String()].Size)
	return true
}

// group is a model with its adapters on one runner; they go together.
type group struct {
	first ledger.Item
	size  int64
	score float64
}

// clear finds what would have to go on a runner for the need: the least used
// first. It gives the first thing to unload, and what all of it is worth.
func (a *application) clear(s spot, n need) (first ledger.Item, cost float64, ok bool) {
	var groups []group
	for _, name := range slices.Sorted(maps.Keys(s.row.Held)) {
		item := parseItem(name)
		if item.Adapter != "" {
			// Only a need for an adapter may push single adapters out.
			if score, may := a.spare(s.row, item, n); may && n.item.Adapter != "" {
				groups = append(groups, group{item, s.row.Held[name].Size, score})
			}
			continue
		}
		if g, may := a.groupOf(s.row, item, n); may && item.Model != n.item.Model {
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

// groupOf gathers a model with its adapters, if all of it may go.
func (a *application) groupOf(row *ledger.Row, model ledger.Item, n need) (group, bool) {
	score, may := a.spare(row, model, n)
	g := group{model, row.Held[model.String()].Size, score}
	for _, name := range slices.Sorted(maps.Keys(row.Held)) {
		adapter := parseItem(name)
		if adapter.Model != model.Model || adapter.Adapter == "" {
			continue
		}
		_, adapterMay := a.spare(row, adapter, n)
		may = may && adapterMay
		g.size += row.Held[name].Size
		// Adapters go before their model.
		g.first = adapter
	}
	return g, may
}

// spare says whether an item may be dropped for the need, and its demand.
func (a *application) spare(row *ledger.Row, item ledger.Item, n need) (float64, bool) {
	since, known := a.duty.seen[row.Runner].since[item.String()]
	if !known || a.host.NowMs()-since < stayMs {
		return 0, false
	}
	score := 0.0
	if w := a.duty.wants[item]; w != nil {
		score = w.now(a.host.NowMs())
	}
	wanted := 0
	if item.Adapter == "" {
		if model, ok := a.described.Model(item.Model); ok {
			wanted = int(model.Copies)
		}
	} else if adapter, ok := a.described.Adapter(item.Adapter); ok {
		wanted = int(adapter.Copies)
	}
	copies := a.copiesOf(item)
	switch {
	case copies <= wanted:
		// What operators want held stays.
		return 0, false
	case copies == 1 && score >= 1 && a.shielded(a.serviceOf(item.Model), a.serviceOf(n.item.Model)):
		return 0, false
	case n.copies > 0:
		// A further copy is worth less than any other's last one.
		return score, copies > 1 && score < n.score
	case copies > 1:
		return 0, true
	}
	return score, score < n.score || n.lackMs >= turnMs
}

// shielded says whether what one service is asked for may not go for another,
// since that one has its share of all room already and this one has no more.
func (a *application) shielded(from, by string) bool {
	if from == by {
		return false
	}
	fair := a.duty.fair
	return a.duty.shares[by] >= fair && a.duty.shares[from] <= fair
}

// takeShares sums what each service's models and adapters take, and what an
// even share is among the services that have any.
func (a *application) takeShares() {
	d := &a.duty
	d.shares = map[string]int64{}
	services := int64(0)
	for i := range a.described.Services {
		if len(a.described.Services[i].Models) > 0 {
			services++
		}
	}
	var rooms int64
	for i := range a.described.Runners {
		runner := &a.described.Runners[i]
		row, ok := a.usable(runner)
		if !ok {
			continue
		}
		rooms += min(runner.Room, row.Room)
		for name, held := range row.Held {
			d.shares[a.serviceOf(parseItem(name).Model)] += held.Size
		}
	}
	d.fair = rooms / max(1, services)
}

func parseItem(name string) ledger.Item {
	for i := range name {
		if name[i] == '+' {
			return ledger.Item{Model: name[:i], Adapter: name[i+1:]}
		}
	}
	return ledger.Item{Model: name}
}

// order writes the intent to the pair, and only then sends it.
func (a *application) order(row *ledger.Row, action string, item ledger.Item, size int64) {
	name := row.Runner
	if action == protocol.ActionLoad {
		a.duty.turnsMs[a.serviceOf(item.Model)] = a.host.NowMs()
	}
	a.duty.seen[name].orders++
	a.host.Logf("%s: %s %s", name, action, item)
	a.submit(func(ok bool) {
		if ok {
			a.sendOrder(name)
		}
	}, ledger.Intend{Runner: name, Incarnation: row.Incarnation, Action: action, Item: item, Size: size})
}

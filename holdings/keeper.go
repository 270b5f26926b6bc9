// Package holdings is the holding ledger of a site whose runners come from a
// platform's list: what each life of a runner holds, which orders are under
// way, which of them to give next, and the index that look-ups are answered
// from. It is pure state: it reads no clock and does no I/O.
package holdings

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"myrtlewinch/bounds"
	"myrtlewinch/servicemap"
	"myrtlewinch/wire"
)

const (
	listMs = 450
	// slowListMs is the longest pause between reads of the list when the
	// platform wants fewer calls.
	slowListMs = 2_000
	// lostCallMs is when a call that brought nothing at all is given up.
	lostCallMs = 3_000
	// How often runners are asked for their state: usually, while something
	// is open, while nothing is asked of them, and when they may be dead.
	stateMs, openStateMs, idleStateMs, deadStateMs = 400, 100, 800, 900
	// stateShareMs slows the usual pace for each runner there is, so that the
	// questions of a large fleet don't take up the primary, and stateTurnMs
	// bounds them to 500 a second however large it is.
	stateShareMs, stateTurnMs = 3, 2
	// stateLagMs is how old a state is about when it is told.
	stateLagMs = 110
	// asksATick bounds the questions to runners in one tick, with one more for
	// each so many runners.
	asksATick, askMoreEach = 25, 200
	// scanShare runners may be looked through in each ms: inputs come as often as
	// there are runners, and must not each cost as much as there are runners.
	scanShare = 100
	// planFree runners may be planned for at each change; of more, planShare in
	// each ms.
	planFree, planShare = 20, 10
	// suspectFails is how many questions in a row must fail.
	suspectFails = 3
	// assumeMs is how long after it was taken an adapter's load counts as done.
	assumeMs = 40
	// orderMs is the longest an order may wait to be written.
	orderMs = 600
	// holdMarginMs is kept clear of the end of the hold.
	holdMarginMs = 100
	// planMs is how often all is planned anew though nothing changed.
	planMs = 300
	// goneKeptMs is for how long runners that are gone are told as leaving.
	goneKeptMs = 60_000
)

// Keeper is the ledger, placement and index.
type Keeper struct {
	bounds      bounds.Bounds
	holder      string
	listAddress string
	listEachMs  int64
	m           *servicemap.Map

	// nowMs is when it was last told the time.
	nowMs        int64
	active       bool
	epoch        uint64
	fencedAt     uint64
	fenced       bool
	ordersFromMs int64
	allowed      bool

	services map[string]*service
	runners  map[string]*runner
	sorted   []*runner
	// away lists, by id, what is leaving or gone.
	awayMs  map[string]int64
	left    map[string]bool
	number  uint64
	store   store
	agesMs  []int64
	agesAt  int64
	disks   map[string]map[string]bool
	planner planner

	reading                 bool
	listAskedMs, listNextMs int64
	listPauseMs             int64
	listOkMs                int64
	// known says that there is something to answer from.
	known  bool
	change uint64
	turnAt int
	// scannedMs is when all runners were last looked at.
	scannedMs int64
	dirty     []*model
	planned   int64
	replan    bool
	fillMs    int64
	cleanMs   int64
	askers    askers
	// room is for answers that are only looked at.
	room []wire.MapHolder
	// ranks and sampled are room for picking what a router is offered.
	ranks   []ranked
	sampled []*runner
	pending map[demandKey]*DemandCount
	counts  figures
	calls   []wire.Call
	// softLoading is, at a follower, what the primary said of loads.
	soft map[string]SoftLoad
}

// figures count what happened, for the page.
type figures struct {
	Lists, ListFails, States, StateFails                int64
	Loads, StoreLoads, Unloads, AdapterLoads            int64
	AdapterUnloads, Taken, Busy, Refused, Unknown, Late int64
	Plans                                               int64
}

// New makes a keeper that gives orders as the holder, and reads the list of
// runners at an address that takes so many calls a second from all daemons.
func New(b bounds.Bounds, holder, listAddress string, listPerSec float64) *Keeper {
	k := &Keeper{
		bounds: b, holder: holder, listAddress: listAddress, listEachMs: listMs,
		services: map[string]*service{}, runners: map[string]*runner{}, awayMs: map[string]int64{}, left: map[string]bool{},
		disks: map[string]map[string]bool{}, pending: map[demandKey]*DemandCount{},
	}
	if listPerSec > 0 {
		k.listEachMs = max(listMs, int64(1500/listPerSec))
	}
	k.listPauseMs = k.listEachMs
	k.store = store{windowMs: max(1, b.OriginWindowMs), open: map[uint64]bool{}}
	k.askers = newAskers()
	return k
}

// SetMap takes the service map in force.
func (k *Keeper) SetMap(m *servicemap.Map) {
	if m == nil || m == k.m {
		return
	}
	k.m = m
	perSec := 0.0
	named := map[string]bool{}
	for i := range m.Services {
		s := &m.Services[i]
		named[s.Name] = true
		k.service(s.Name).set(s.Engine)
		// One store serves all; the slowest pace that any engine names holds.
		if e := s.Engine; e != nil && e.LoadsPerSec > 0 && (perSec == 0 || e.LoadsPerSec < perSec) {
			perSec = e.LoadsPerSec
		}
	}
	for name, s := range k.services {
		if !named[name] {
			s.set(nil)
		}
	}
	k.store.perSec = perSec
	k.replan = true
}

func (k *Keeper) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = newService(name)
		k.services[name] = s
	}
	return s
}

// Begin says that this daemon became the primary. No order goes out before
// ordersFromMs. What a follower knew is kept, but no runner takes an order
// before it has told its state.
func (k *Keeper) Begin(nowMs int64, epoch uint64, ordersFromMs int64) {
	k.nowMs = nowMs
	k.active, k.epoch, k.ordersFromMs, k.allowed, k.fenced = true, epoch, ordersFromMs, true, false
	k.reading, k.listNextMs, k.listPauseMs = false, nowMs, k.listEachMs
	k.listOkMs = 0
	ages := make([]int64, len(k.agesMs))
	for i, ageMs := range k.agesMs {
		ages[i] = ageMs + nowMs - k.agesAt
	}
	k.store.begin(nowMs, ages)
	for _, r := range k.sorted {
		r.order, r.clean, r.needMs, r.asking, r.fails = nil, false, nowMs, 0, 0
		r.okMs, r.askedMs, r.plan, r.suspect = nowMs, nowMs-lostCallMs, thing{}, false
	}
	k.soft = nil
	for key, c := range k.pending {
		k.count(nowMs, key, float64(c.Requests), float64(c.Tokens), float64(c.Waits))
	}
	clear(k.pending)
	k.replan = true
}

// AllowOrders says from when on orders may go out.
func (k *Keeper) AllowOrders(fromMs int64) {
	k.ordersFromMs, k.allowed, k.replan = fromMs, true, true
}

// ForbidOrders says that none may go out until they are allowed, which should
// be about fromMs.
func (k *Keeper) ForbidOrders(fromMs int64) { k.ordersFromMs, k.allowed = fromMs, false }

// SetFence says that the record's epoch rose while this daemon stayed primary.
func (k *Keeper) SetFence(epoch uint64) {
	if epoch <= k.epoch {
		return
	}
	k.epoch = epoch
	if k.epoch > k.fencedAt {
		k.fenced = false
	}
}

// End says that this daemon is the primary no more: it gives no orders and
// asks nothing. What it knew goes on answering until a primary's image comes.
func (k *Keeper) End() {
	k.active, k.reading = false, false
	k.agesMs = nil
	for _, r := range k.sorted {
		r.order, r.clean, r.asking = nil, false, 0
	}
	k.calls = nil
}

// touch notes that the holders of a model changed.
func (k *Keeper) touch(m *model) {
	k.change++
	k.replan = true
	if !m.dirty {
		m.dirty = true
		k.dirty = append(k.dirty, m)
	}
}

// touchRunner notes that a runner came, went, or may be offered or not.
func (k *Keeper) touchRunner(r *runner) {
	k.touch(r.service.plain)
	for _, h := range r.held {
		k.touch(h.model)
	}
}

// Change rises with each change of the ledger.
func (k *Keeper) Change() uint64 { return k.change }

// Leaving lists the ids of runners that are leaving, or gone for not too long.
func (k *Keeper) Leaving() []string {
	out := make([]string, 0, len(k.awayMs))
	for id := range k.awayMs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// ListAgeMs is how long ago the platform's list was last read, or -1.
func (k *Keeper) ListAgeMs(nowMs int64) int64 {
	if k.listOkMs == 0 {
		return -1
	}
	return nowMs - k.listOkMs
}

// Fleet takes what a read of the platform's list brought; changed says that
// the set of leaving runners did.
func (k *Keeper) Fleet(nowMs int64, in wire.Fleet) (changed bool) {
	k.reading = false
	if !in.Ok {
		k.counts.ListFails++
		if in.Limited {
			k.listPauseMs = min(2*k.listPauseMs, max(slowListMs, k.listEachMs))
		}
		k.listNextMs = nowMs + k.listPauseMs
		return false
	}
	k.counts.Lists++
	k.listPauseMs = max(k.listEachMs, k.listPauseMs*3/4)
	k.listNextMs = k.listAskedMs + k.listPauseMs
	k.listOkMs, k.known = nowMs, true
	listed := make(map[string]bool, len(in.Runners))
	for _, e := range in.Runners {
		listed[e.Id] = true
		if k.listed(nowMs, e) {
			changed = true
		}
	}
	for _, r := range slices.Clone(k.sorted) {
		if listed[r.entry.Id] {
			continue
		}
		// A runner that the list lacks is not offered; one that it lacks twice
		// is gone.
		r.absent++
		switch {
		case r.absent == 1:
			k.touchRunner(r)
		case r.goneMs == 0:
			r.goneMs = nowMs
			if _, told := k.awayMs[r.entry.Id]; !told {
				k.awayMs[r.entry.Id] = nowMs
				changed = true
			}
			k.remove(nowMs, r)
		}
	}
	for id, goneMs := range k.awayMs {
		if !listed[id] && k.runners[id] == nil && nowMs-goneMs > goneKeptMs {
			delete(k.awayMs, id)
			delete(k.left, id)
			changed = true
		}
	}
	return changed
}

// listed takes one entry of the list; it says whether the runner began to
// leave.
func (k *Keeper) listed(nowMs int64, e wire.RunnerEntry) (changed bool) {
	r := k.runners[e.Id]
	if r == nil {
		r = newRunner(e, k.service(e.Service))
		r.okMs, r.askedMs = nowMs, nowMs-lostCallMs
		k.insert(r)
		for name := range k.disks[diskKey(e)] {
			// The weights of the life before may still be on its disk: false is
			// that they may, so that the load counts against the store.
			r.disk[name] = false
		}
		r.adopt(nowMs, e.Models, k)
		k.touchRunner(r)
	}
	// The text that came in with the list is dropped; what counts changes here.
	models := e.Models
	e.Models = nil
	if r.entry.Address != e.Address || r.entry.Zone != e.Zone || r.entry.Slots != e.Slots {
		k.touchRunner(r)
	}
	r.entry = e
	// Until a runner has spoken for itself, the list does.
	if r.stateMs == 0 && r.order == nil {
		r.adopt(nowMs, models, k)
	}
	if r.absent > 0 {
		r.absent = 0
		k.touchRunner(r)
	}
	if e.LeftMs >= 0 && (e.Leaving || e.LeftMs > 0) {
		r.leftAtMs = nowMs + e.LeftMs
	}
	// Leaving is for ever, whatever a later list says.
	if e.Leaving {
		k.left[e.Id] = true
	}
	if k.left[e.Id] && !r.leaving {
		r.leaving = true
		k.touchRunner(r)
	}
	_, told := k.awayMs[e.Id]
	switch {
	case k.left[e.Id] && !told:
		k.awayMs[e.Id] = nowMs
		return true
	case k.left[e.Id]:
		k.awayMs[e.Id] = nowMs
	case told:
		// It was only missing from the list for a while.
		delete(k.awayMs, e.Id)
		return true
	}
	return false
}

func diskKey(e wire.RunnerEntry) string { return e.Service + " " + e.Address }

func (k *Keeper) insert(r *runner) {
	k.runners[r.entry.Id] = r
	at, _ := slices.BinarySearchFunc(k.sorted, r, byID)
	k.sorted = slices.Insert(k.sorted, at, r)
	s := r.service
	at, _ = slices.BinarySearchFunc(s.runners, r, byID)
	s.runners = slices.Insert(s.runners, at, r)
}

func byID(a, b *runner) int { return cmp.Compare(a.entry.Id, b.entry.Id) }

// remove forgets a runner that is gone; a next life at its address may find
// the weights on the disk.
func (k *Keeper) remove(nowMs int64, r *runner) {
	if r.order != nil {
		k.store.settled(nowMs, r.order.number, true)
		r.order = nil
	}
	disk := map[string]bool{}
	for name := range r.disk {
		disk[name] = true
	}
	if len(k.disks) < 1000 {
		k.disks[diskKey(r.entry)] = disk
	}
	k.touchRunner(r)
	for name := range r.held {
		r.forget(name, k)
	}
	delete(k.runners, r.entry.Id)
	k.sorted = slices.DeleteFunc(k.sorted, func(o *runner) bool { return o == r })
	r.service.runners = slices.DeleteFunc(r.service.runners, func(o *runner) bool { return o == r })
}

// State takes a runner's answer to a question.
func (k *Keeper) State(nowMs int64, in wire.StateSaid) {
	r := k.runners[in.Runner]
	if r == nil || !k.active || in.Number == 0 || in.Number != r.asking {
		return
	}
	r.asking = 0
	if !in.Ok {
		k.counts.StateFails++
		r.fails++
		k.judge(nowMs, r)
		return
	}
	k.counts.States++
	r.fails = 0
	o := r.order
	before := r.clean
	settled := r.told(nowMs, r.askedMs, in.State, k)
	if o != nil && r.order == nil {
		k.store.settled(nowMs, o.number, true)
		if o.load && o.Adapter == "" && settled == done && r.held[o.Model] != nil {
			k.learn(nowMs, r, o)
			r.held[o.Model].model.want.served()
		}
		k.replan = true
	}
	if !before && r.clean {
		k.replan = true
	}
	k.judge(nowMs, r)
}

// learn takes the time of a load from a runner's own disk.
func (k *Keeper) learn(nowMs int64, r *runner, o *command) {
	m := r.service.model(o.Model)
	tookMs := nowMs - o.firstMs
	if o.fromStore || tookMs <= 0 || tookMs > 2*m.spec.LoadMs {
		return
	}
	if m.warmMs == 0 {
		m.warmMs = tookMs
	} else {
		m.warmMs += (tookMs - m.warmMs) / 4
	}
}

// Commanded takes what became of the call of an order.
func (k *Keeper) Commanded(nowMs int64, in wire.CommandSaid) {
	r := k.runners[in.Runner]
	if !k.active || r == nil {
		return
	}
	o := r.order
	if o == nil || o.number != in.Number {
		k.counts.Late++
		if in.Outcome == wire.CommandFenced {
			k.lowFence()
		}
		return
	}
	switch in.Outcome {
	case wire.CommandTaken:
		k.counts.Taken++
	case wire.CommandBusy, wire.CommandInEffect, wire.CommandNotSent:
		k.counts.Busy++
	case wire.CommandRefused:
		k.counts.Refused++
	case wire.CommandUnknown:
		k.counts.Unknown++
	case wire.CommandFenced:
		k.lowFence()
	}
	if !r.said(nowMs, in.Outcome, k) {
		k.store.settled(nowMs, in.Number, false)
	} else if in.Outcome == wire.CommandTaken {
		k.store.settled(nowMs, in.Number, true)
	}
	k.replan = true
}

// lowFence stops all orders: another holder has a higher fence.
func (k *Keeper) lowFence() {
	k.fenced, k.fencedAt = true, k.epoch
}

// judge works out whether a runner may be offered as a holder.
func (k *Keeper) judge(nowMs int64, r *runner) {
	suspect := k.asked(r) && (r.fails >= suspectFails || nowMs-r.okMs > k.silentMs(r)+1_000)
	if suspect != r.suspect {
		r.suspect = suspect
		k.touchRunner(r)
	}
}

// asked says whether the runner is one that tells its state.
func (k *Keeper) asked(r *runner) bool { return r.service.engine != nil }

// silentMs is after which silence no load goes to a runner.
func (k *Keeper) silentMs(r *runner) int64 { return max(1_500, 2*k.usualMs()+300) }

func (k *Keeper) usualMs() int64 {
	count := int64(len(k.sorted))
	return max(stateTurnMs*count, min(900, stateMs+stateShareMs*count))
}

// planEachMs is the least time between two plans. A plan goes through all
// runners, and changes come the more often the more there are.
func (k *Keeper) planEachMs() int64 { return int64(max(0, len(k.sorted)-planFree) / planShare) }

// fit says whether loads may go to a runner.
func (k *Keeper) fit(nowMs int64, r *runner) bool {
	return !r.away() && !r.suspect && r.fails == 0 && nowMs-r.okMs <= k.silentMs(r)
}

// mayOrder says whether orders may go out now.
func (k *Keeper) mayOrder(nowMs, holdUntilMs int64) bool {
	return k.allowed && k.active && !k.fenced && k.m != nil && k.listOkMs > 0 && nowMs >= k.ordersFromMs && nowMs < holdUntilMs-holdMarginMs
}

// Tick gives the calls that are due, and what routers that asked lately are
// to be told. It may be called at any time, best each 50 ms and after inputs
// that bring an answer nearer.
func (k *Keeper) Tick(nowMs, holdUntilMs int64) (calls []wire.Call, tells []Tell) {
	k.nowMs = nowMs
	if k.active {
		k.tickList(nowMs)
		if count := len(k.sorted); nowMs-k.scannedMs >= int64(min(50, count/scanShare)) {
			k.scannedMs = nowMs
			k.scan(nowMs, holdUntilMs)
		}
		if k.mayOrder(nowMs, holdUntilMs) && (k.replan && nowMs-k.planned >= k.planEachMs() || nowMs-k.planned >= max(planMs, k.planEachMs())) {
			k.plan(nowMs, holdUntilMs)
		}
		calls, k.calls = k.calls, nil
	}
	if nowMs-k.cleanMs > 2_000 {
		k.cleanMs = nowMs
		k.tidy(nowMs)
	}
	return calls, k.tells(nowMs)
}

// scan looks at every runner. Questions to a large fleet are spread over the
// ticks, in turn.
func (k *Keeper) scan(nowMs, holdUntilMs int64) {
	asks := asksATick + len(k.sorted)/askMoreEach
	for i := range k.sorted {
		at := (k.turnAt + i) % len(k.sorted)
		if asks -= k.tickRunner(nowMs, holdUntilMs, k.sorted[at], asks > 0); asks == 0 {
			k.turnAt, asks = at+1, -1
		}
	}
}

func (k *Keeper) tickList(nowMs int64) {
	if k.reading && nowMs-k.listAskedMs > lostCallMs {
		k.reading = false
	}
	if !k.reading && nowMs >= k.listNextMs && k.listAddress != "" {
		k.reading, k.listAskedMs = true, nowMs
		k.calls = append(k.calls, wire.Call{Address: k.listAddress, Body: wire.FleetCall{}})
	}
}

// tickRunner says how many questions it asked.
func (k *Keeper) tickRunner(nowMs, holdUntilMs int64, r *runner, mayAsk bool) (asks int) {
	if !k.asked(r) {
		return 0
	}
	if o := r.order; o != nil {
		switch {
		case o.phase == sent && nowMs > o.untilMs+lostCallMs:
			// The call brought no word at all.
			o.phase, o.phaseMs = unknown, nowMs
		case o.phase == taken && o.load && o.Adapter != "" && !o.assumed && nowMs-o.phaseMs >= assumeMs:
			r.assume(nowMs, k)
		case o.repeat && o.phase == unknown && nowMs-o.sentMs >= repeatMs && k.mayOrder(nowMs, holdUntilMs) && !r.away():
			// A repeat may begin the load only now.
			if !o.fromStore || k.store.open[o.number] || k.store.left(nowMs) > 0 {
				if o.fromStore {
					k.store.sent(o.number)
				}
				o.repeat, o.sentMs, o.phase = false, nowMs, sent
				o.repeats++
				k.send(nowMs, holdUntilMs, r)
			}
		}
	}
	if r.asking != 0 && nowMs-r.askedMs > lostCallMs {
		r.asking = 0
		r.fails++
	}
	if mayAsk && r.asking == 0 && nowMs-r.askedMs >= k.askEachMs(nowMs, r) {
		asks = 1
		k.number++
		r.asking, r.askedMs = k.number, nowMs
		k.calls = append(k.calls, wire.Call{Address: r.entry.Address, Body: wire.StateCall{Runner: r.entry.Id, Number: k.number}})
	}
	k.judge(nowMs, r)
	return asks
}

// askEachMs is how often to ask a runner for its state.
func (k *Keeper) askEachMs(nowMs int64, r *runner) int64 {
	usual := k.usualMs()
	if r.fails >= suspectFails {
		return deadStateMs
	}
	if r.fails > 0 {
		return openStateMs
	}
	o := r.order
	switch {
	case o == nil && !r.clean:
		return openStateMs
	case o == nil && r.plan.Model != "" && nowMs < r.planMs:
		return openStateMs
	case o != nil && o.phase == taken && (!o.load || o.Adapter != ""):
		// It takes some ms only, but a state asked for before this shows none of
		// it yet.
		return max(openStateMs, o.phaseMs+stateLagMs-r.askedMs)
	case o != nil && (o.phase == unknown || !o.load || o.Adapter != ""):
		return openStateMs
	case o != nil && o.phase == taken:
		// A load is looked at closely only about when it should end.
		if nowMs-o.phaseMs >= k.leastMs(r, o)+stateLagMs {
			return openStateMs * 4 / 5
		}
		return min(usual, stateMs)
	case o != nil:
		return openStateMs
	case r.state.Active+r.state.Queued == 0 && !k.wanted(nowMs, r):
		return max(idleStateMs, usual)
	}
	return usual
}

// leastMs is the least time that a model's load should take.
func (k *Keeper) leastMs(r *runner, o *command) int64 {
	m := r.service.model(o.Model)
	if warm, known := r.disk[o.Model]; known {
		if warm {
			return m.warm() * 3 / 4
		}
		return min(m.warm()*3/4, m.spec.LoadMs/4)
	}
	return m.spec.LoadMs * 9 / 10
}

// wanted says whether what the runner holds was asked for lately.
func (k *Keeper) wanted(nowMs int64, r *runner) bool {
	for _, h := range r.held {
		if h.model.want.askedAgoMs(nowMs) < 2_000 {
			return true
		}
	}
	return false
}

// order writes an order into the ledger and sends it.
func (k *Keeper) order(nowMs, holdUntilMs int64, r *runner, mv move) {
	k.number++
	o := &command{thing: mv.thing, number: k.number, load: mv.load, fromStore: mv.fromStore}
	r.intend(nowMs, o, k)
	switch {
	case mv.load && mv.Adapter != "":
		k.counts.AdapterLoads++
	case mv.Adapter != "":
		k.counts.AdapterUnloads++
	case mv.load:
		k.counts.Loads++
	default:
		k.counts.Unloads++
	}
	if mv.fromStore {
		k.counts.StoreLoads++
		k.store.sent(o.number)
	}
	if mv.load && r.plan == mv.thing {
		r.plan = thing{}
	}
	if !mv.load && mv.plan.Model != "" {
		r.plan, r.planMs = mv.plan, nowMs+planKeptMs
	}
	k.send(nowMs, holdUntilMs, r)
	if mv.load && mv.Adapter == "" {
		// Those who wait learn that it is under way.
		k.touch(r.service.model(mv.Model))
	}
}

func (k *Keeper) send(nowMs, holdUntilMs int64, r *runner) {
	o := r.order
	o.untilMs = min(nowMs+orderMs, holdUntilMs)
	k.calls = append(k.calls, wire.Call{Address: r.entry.Address, Body: wire.CommandCall{
		Runner: r.entry.Id, Number: o.number, Holder: k.holder, Fence: k.epoch,
		Load: o.load, Model: o.Model, Adapter: o.Adapter, Expected: o.expected, UntilMs: o.untilMs,
	}})
}

// count adds to the demand.
func (k *Keeper) count(nowMs int64, key demandKey, requests, tokens, waits float64) {
	s := k.services[key.Service]
	if s == nil || s.engine == nil {
		return
	}
	m := s.models[key.Model]
	if m == nil || !m.mapped {
		return
	}
	m.want.add(nowMs, requests, tokens, waits)
	if key.Adapter != "" && adapterOf(&m.spec, key.Adapter) {
		m.adapter(key.Adapter).want.add(nowMs, requests, tokens, waits)
	}
	if waits > 0 {
		k.replan = true
	}
}

// adapterOf says whether a model has an adapter of that name.
func adapterOf(m *servicemap.Model, name string) bool {
	number, found := strings.CutPrefix(name, "a")
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= m.Adapters && number[0] != '+' && number[0] != '0'
}

// tidy forgets what nobody asked for in a long time.
func (k *Keeper) tidy(nowMs int64) {
	k.askers.tidy(nowMs)
	for _, s := range k.services {
		for name, m := range s.models {
			for a, ad := range m.adapters {
				if ad.want.askedAgoMs(nowMs) > 120_000 {
					delete(m.adapters, a)
				}
			}
			if !m.mapped && len(m.holders) == 0 && len(m.asks) == 0 {
				delete(s.models, name)
			}
		}
	}
}

// Package placement is the holding ledger of a site whose runners come from a
// platform's list: what each life of a runner holds, which orders are under
// way, which of them to give next, and the index that look-ups are answered
// from. It is pure state: it reads no clock and does no I/O.
package placement

import (
	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/protocol"
)

const (
	// scanShare runners may be looked through in each ms: inputs come as often as
	// there are runners, and must not each cost as much as there are runners.
	scanShare = 100
)

// Keeper is the ledger, placement and index.
type Keeper struct {
	bounds      bounds.Bounds
	holder      string
	listAddress string
	listEachMs  int64
	m           *config.Map

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
	room []protocol.IndexHolder
	// ranks and sampled are room for picking what a router is offered.
	ranks   []ranked
	sampled []*runner
	pending map[demandKey]*DemandCount
	counts  figures
	calls   []protocol.OutboundCall
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
func (k *Keeper) SetMap(m *config.Map) {
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

// Tick gives the calls that are due, and what routers that asked lately are
// to be told. It may be called at any time, best each 50 ms and after inputs
// that bring an answer nearer.
func (k *Keeper) Tick(nowMs, holdUntilMs int64) (calls []protocol.OutboundCall, tells []Tell) {
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

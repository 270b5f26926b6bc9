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
	// runnersScannedPerMs runners may be looked through in each ms: inputs come as often as
	// there are runners, and must not each cost as much as there are runners.
	runnersScannedPerMs = 100
)

// Manager is the ledger, placement and index.
type Manager struct {
	bounds         bounds.Bounds
	selfName       string
	listAddress    string
	listIntervalMs int64
	serviceMap     *config.Configuration

	// nowMs is when it was last told the time.
	nowMs         int64
	active        bool
	epoch         uint64
	fencedEpoch   uint64
	fenced        bool
	ordersFromMs  int64
	ordersAllowed bool

	services      map[string]*Service
	runners       map[string]*Runner
	sortedRunners []*Runner
	// away lists, by id, what is leaving or gone.
	leavingMs         map[string]int64
	everLeaving       map[string]bool
	lastNumber        uint64
	store             Limiter
	priorLoadAgesMs   []int64
	priorLoadAgesAtMs int64
	pastDisks         map[string]map[string]bool
	planner           Planner

	listCallOpen             bool
	listCalledMs, listNextMs int64
	listPauseMs              int64
	listReadMs               int64
	// indexKnown says that there is something to answer from.
	indexKnown  bool
	revision    uint64
	nextScanned int
	// scannedMs is when all runners were last looked at.
	scannedMs     int64
	changedModels []*Model
	plannedMs     int64
	replanNeeded  bool
	prefetchedMs  int64
	tidiedMs      int64
	subscriptions subscriptionTable
	// holderBuffer is for answers that are only looked at.
	holderBuffer []protocol.IndexHolder
	// ranks and sampled are room for picking what a router is offered.
	ranks         []rankedRunner
	sampled       []*Runner
	pendingDemand map[DemandKey]*DemandCount
	counters      counters
	calls         []protocol.OutboundCall
	// softLoading is, at a follower, what the primary said of loads.
	primaryLoads map[string]LoadSnapshot
}

// counters count what happened, for the page.
type counters struct {
	Lists, ListFails, States, StateFails                int64
	Loads, StoreLoads, Unloads, AdapterLoads            int64
	AdapterUnloads, Taken, Busy, Refused, Unknown, Late int64
	Plans                                               int64
}

// New makes a keeper that gives orders as the holder, and reads the list of
// runners at an address that takes so many calls a second from all daemons.
func New(b bounds.Bounds, holder, listAddress string, listPerSec float64) *Manager {
	k := &Manager{
		bounds: b, selfName: holder, listAddress: listAddress, listIntervalMs: minListIntervalMs,
		services: map[string]*Service{}, runners: map[string]*Runner{}, leavingMs: map[string]int64{}, everLeaving: map[string]bool{},
		pastDisks: map[string]map[string]bool{}, pendingDemand: map[DemandKey]*DemandCount{},
	}
	if listPerSec > 0 {
		k.listIntervalMs = max(minListIntervalMs, int64(1500/listPerSec))
	}
	k.listPauseMs = k.listIntervalMs
	k.store = Limiter{windowMs: max(1, b.OriginWindowMs), reserved: map[uint64]bool{}}
	k.subscriptions = newSubscriptionTable()
	return k
}

// SetMap takes the service map in force.
func (k *Manager) SetMap(m *config.Configuration) {
	if m == nil || m == k.serviceMap {
		return
	}
	k.serviceMap = m
	perSec := 0.0
	named := map[string]bool{}
	for i := range m.Services {
		s := &m.Services[i]
		named[s.Name] = true
		k.serviceNamed(s.Name).SetEngine(s.Engine)
		// One store serves all; the slowest pace that any engine names holds.
		if e := s.Engine; e != nil && e.LoadsPerSec > 0 && (perSec == 0 || e.LoadsPerSec < perSec) {
			perSec = e.LoadsPerSec
		}
	}
	for name, s := range k.services {
		if !named[name] {
			s.SetEngine(nil)
		}
	}
	k.store.perSec = perSec
	k.replanNeeded = true
}

func (k *Manager) serviceNamed(name string) *Service {
	s := k.services[name]
	if s == nil {
		s = NewService(name)
		k.services[name] = s
	}
	return s
}

// BecomePrimary says that this daemon became the primary. No order goes out before
// ordersFromMs. What a follower knew is kept, but no runner takes an order
// before it has told its state.
func (k *Manager) BecomePrimary(nowMs int64, epoch uint64, ordersFromMs int64) {
	k.nowMs = nowMs
	k.active, k.epoch, k.ordersFromMs, k.ordersAllowed, k.fenced = true, epoch, ordersFromMs, true, false
	k.listCallOpen, k.listNextMs, k.listPauseMs = false, nowMs, k.listIntervalMs
	k.listReadMs = 0
	ages := make([]int64, len(k.priorLoadAgesMs))
	for i, ageMs := range k.priorLoadAgesMs {
		ages[i] = ageMs + nowMs - k.priorLoadAgesAtMs
	}
	k.store.AssumePriorLoads(nowMs, ages)
	for _, r := range k.sortedRunners {
		r.Order, r.Confirmed, r.confirmAfterMs, r.PollNumber, r.FailedPolls = nil, false, nowMs, 0, 0
		r.LastReplyMs, r.PolledMs, r.ReservedFor, r.Suspect = nowMs, nowMs-callTimeoutMs, Item{}, false
	}
	k.primaryLoads = nil
	for key, c := range k.pendingDemand {
		k.addDemand(nowMs, key, float64(c.Requests), float64(c.Tokens), float64(c.Waits))
	}
	clear(k.pendingDemand)
	k.replanNeeded = true
}

// AllowOrders says from when on orders may go out.
func (k *Manager) AllowOrders(fromMs int64) {
	k.ordersFromMs, k.ordersAllowed, k.replanNeeded = fromMs, true, true
}

// ForbidOrders says that none may go out until they are allowed, which should
// be about risingSinceMs.
func (k *Manager) ForbidOrders(fromMs int64) { k.ordersFromMs, k.ordersAllowed = fromMs, false }

// SetEpoch says that the record's epoch rose while this daemon stayed primary.
func (k *Manager) SetEpoch(epoch uint64) {
	if epoch <= k.epoch {
		return
	}
	k.epoch = epoch
	if k.epoch > k.fencedEpoch {
		k.fenced = false
	}
}

// BecomeFollower says that this daemon is the primary no more: it gives no orders and
// asks nothing. What it knew goes on answering until a primary's image comes.
func (k *Manager) BecomeFollower() {
	k.active, k.listCallOpen = false, false
	k.priorLoadAgesMs = nil
	for _, r := range k.sortedRunners {
		r.Order, r.Confirmed, r.PollNumber = nil, false, 0
	}
	k.calls = nil
}

// HoldersChanged notes that the holders of a model changed.
func (k *Manager) HoldersChanged(m *Model) {
	k.revision++
	k.replanNeeded = true
	if !m.changed {
		m.changed = true
		k.changedModels = append(k.changedModels, m)
	}
}

// runnerChanged notes that a runner came, went, or may be offered or not.
func (k *Manager) runnerChanged(r *Runner) {
	k.HoldersChanged(r.Service.Plain)
	for _, h := range r.Held {
		k.HoldersChanged(h.Model)
	}
}

// Revision rises with each change of the ledger.
func (k *Manager) Revision() uint64 { return k.revision }

// Tick gives the calls that are due, and what routers that asked lately are
// to be told. It may be called at any time, best each 50 ms and after inputs
// that bring an answer nearer.
func (k *Manager) Tick(nowMs, holdUntilMs int64) (calls []protocol.OutboundCall, tells []IndexUpdate) {
	k.nowMs = nowMs
	if k.active {
		k.tickList(nowMs)
		if count := len(k.sortedRunners); nowMs-k.scannedMs >= int64(min(50, count/runnersScannedPerMs)) {
			k.scannedMs = nowMs
			k.pollRunners(nowMs, holdUntilMs)
		}
		if k.mayOrder(nowMs, holdUntilMs) && (k.replanNeeded && nowMs-k.plannedMs >= k.planIntervalMs() || nowMs-k.plannedMs >= max(maxPlanIntervalMs, k.planIntervalMs())) {
			k.planOrders(nowMs, holdUntilMs)
		}
		calls, k.calls = k.calls, nil
	}
	if nowMs-k.tidiedMs > 2_000 {
		k.tidiedMs = nowMs
		k.tidy(nowMs)
	}
	return calls, k.indexUpdates(nowMs)
}

// tidy forgets what nobody asked for in a long time.
func (k *Manager) tidy(nowMs int64) {
	k.subscriptions.expire(nowMs)
	for _, s := range k.services {
		for name, m := range s.Models {
			for a, ad := range m.Adapters {
				if ad.Demand.SinceRequestMs(nowMs) > 120_000 {
					delete(m.Adapters, a)
				}
			}
			if !m.Configured && len(m.Holders) == 0 && len(m.subscribers) == 0 {
				delete(s.Models, name)
			}
		}
	}
}

// Package placement decides on a primary controller which runner loads and
// unloads which models, for runners that come from the platform's list. It also
// answers routers' look-ups, on the primary and on its followers.
//
// The Manager polls the list and the runners' states (runnerlist.go, polling.go),
// measures the demand (demand.go), plans (planning.go) and sends orders
// (orders.go). Its parts have packages of their own: runnerstate for what each
// runner holds, planner for the choice of the next orders, index for the replies
// to look-ups, demand for rates of requests and weightstore for the pace of
// loads. All of it is pure state: it reads no clock and does no I/O.
package placement

import (
	"maps"
	"slices"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/index"
	"myrtlewinch/internal/placement/planner"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/placement/weightstore"
	"myrtlewinch/internal/protocol"
)

const (
	// runnersScannedPerMs and maxScanIntervalMs pace the scans over all runners.
	// Inputs come the more often the more runners there are, and must not each
	// cost as much as there are runners.
	runnersScannedPerMs = 100
	maxScanIntervalMs   = 50
	// expireIntervalMs is the time between two clean-ups of what nobody requests.
	expireIntervalMs = 2_000
	// adapterDemandKeptMs is how long after its last request the demand for an
	// adapter is forgotten.
	adapterDemandKeptMs = 120_000
)

// Manager keeps the state of the runners, orders loads and unloads while its
// daemon is the primary, and answers look-ups.
type Manager struct {
	selfName      string
	configuration *config.Configuration
	// nowMs is the time of the last tick.
	nowMs int64

	// active says that this daemon is the primary, epoch its epoch or that of the
	// last snapshot. Orders carry the epoch as a fencing token.
	active bool
	epoch  uint64
	// fenced says that a runner rejected an order for its low epoch; fencedEpoch
	// is the epoch of this daemon at that time.
	fenced      bool
	fencedEpoch uint64
	// ordersAllowed says that orders may go out from ordersFromMs on.
	ordersAllowed bool
	ordersFromMs  int64

	services map[string]*runnerstate.Service
	runners  map[string]*runnerstate.Runner
	// sortedRunners are all runners by id.
	sortedRunners []*runnerstate.Runner
	// leavingMs holds the ids of runners that drain or are gone, with the time when
	// the list last showed them draining or they went; everLeaving holds those that
	// ever drained.
	leavingMs   map[string]int64
	everLeaving map[string]bool
	// pastDisks holds what runners that are gone had on disk, by diskKey.
	pastDisks map[string]map[string]bool
	list      listReader

	store *weightstore.Limiter
	// priorLoadAgesMs are, at a follower, the ages of the primary's loads at
	// snapshotMs, when its last snapshot came; primaryLoads are the loads that it
	// named, by loadKey.
	priorLoadAgesMs []int64
	snapshotMs      int64
	primaryLoads    map[loadKey]LoadSnapshot

	// indexKnown says that a list or a snapshot was read, so that there is
	// something to answer from; revision rises with each change of the index.
	indexKnown    bool
	revision      uint64
	lister        index.Lister
	subscriptions *index.Subscriptions
	// followerDemand counts look-ups at a follower until they are reported.
	followerDemand demand.Collector

	planner planner.Planner
	// plannedMs is when the last plan was made, and replanNeeded says that
	// something changed since. prefetchedMs is when a model that nobody requests
	// was last loaded.
	plannedMs    int64
	replanNeeded bool
	prefetchedMs int64
	// scannedMs is when the last scan of all runners was made, and nextScanned is
	// the index of the runner with which the next one begins.
	scannedMs   int64
	nextScanned int
	expiredMs   int64
	// lastNumber is the number of the last order or poll.
	lastNumber uint64
	counters   Counters
	// calls are the calls to runners and the platform that the next tick returns.
	calls []protocol.OutboundCall
}

// New makes a manager that gives orders under its daemon's name. It reads the
// list of runners at an address that takes so many calls per second from all
// daemons, 0 for no limit.
func New(b bounds.Bounds, selfName, listAddress string, listPerSec float64) *Manager {
	return &Manager{
		selfName:       selfName,
		services:       map[string]*runnerstate.Service{},
		runners:        map[string]*runnerstate.Runner{},
		leavingMs:      map[string]int64{},
		everLeaving:    map[string]bool{},
		pastDisks:      map[string]map[string]bool{},
		list:           newListReader(listAddress, listPerSec),
		store:          weightstore.NewLimiter(b.OriginWindowMs),
		subscriptions:  index.NewSubscriptions(),
		followerDemand: demand.NewCollector(),
	}
}

// SetConfiguration takes the configuration in force.
func (m *Manager) SetConfiguration(configuration *config.Configuration) {
	if configuration == nil || configuration == m.configuration {
		return
	}
	m.configuration = configuration
	storeRate := 0.0
	named := map[string]bool{}
	for i := range configuration.Services {
		s := &configuration.Services[i]
		named[s.Name] = true
		m.serviceNamed(s.Name).SetEngine(s.Engine)
		// One store serves all services; the slowest rate that any of them names
		// holds.
		if e := s.Engine; e != nil && e.LoadsPerSec > 0 && (storeRate == 0 || e.LoadsPerSec < storeRate) {
			storeRate = e.LoadsPerSec
		}
	}
	for name, s := range m.services {
		if !named[name] {
			s.SetEngine(nil)
		}
	}
	m.store.SetRate(storeRate)
	m.replanNeeded = true
}

// serviceNamed returns a service and makes it if need be.
func (m *Manager) serviceNamed(name string) *runnerstate.Service {
	s := m.services[name]
	if s == nil {
		s = runnerstate.NewService(name)
		m.services[name] = s
	}
	return s
}

// BecomePrimary is called when this daemon has become the primary. No order is sent
// before ordersFromMs. What the follower knew is kept, but no runner gets an order before
// it has answered a poll with its state.
func (m *Manager) BecomePrimary(nowMs int64, epoch uint64, ordersFromMs int64) {
	m.nowMs = nowMs
	m.active, m.epoch, m.fenced = true, epoch, false
	m.AllowOrders(ordersFromMs)
	m.list.begin(nowMs)
	agesMs := make([]int64, len(m.priorLoadAgesMs))
	for i, ageMs := range m.priorLoadAgesMs {
		agesMs[i] = ageMs + nowMs - m.snapshotMs
	}
	m.store.AssumePriorLoads(nowMs, agesMs)
	for _, r := range m.sortedRunners {
		r.ResetForPrimary(nowMs, nowMs-callTimeoutMs)
	}
	m.primaryLoads = nil
	for _, count := range m.followerDemand.Drain() {
		m.addDemand(nowMs, count)
	}
}

// AllowOrders permits orders from a time on.
func (m *Manager) AllowOrders(fromMs int64) {
	m.ordersFromMs, m.ordersAllowed, m.replanNeeded = fromMs, true, true
}

// ForbidOrders stops all orders until AllowOrders, which should come at about
// fromMs.
func (m *Manager) ForbidOrders(fromMs int64) { m.ordersFromMs, m.ordersAllowed = fromMs, false }

// SetEpoch says that the epoch on record rose while this daemon stayed primary.
// Orders stopped for a low epoch may continue.
func (m *Manager) SetEpoch(epoch uint64) {
	if epoch <= m.epoch {
		return
	}
	m.epoch = epoch
	if m.epoch > m.fencedEpoch {
		m.fenced = false
	}
}

// BecomeFollower is called when this daemon is no longer the primary: it
// stops orders and polls. Look-ups are answered from what is known until a
// snapshot of the new primary comes.
func (m *Manager) BecomeFollower() {
	m.active = false
	m.list.stop()
	m.priorLoadAgesMs = nil
	for _, r := range m.sortedRunners {
		r.ClearOrder()
	}
	m.calls = nil
}

// HoldersChanged notes that the holders of a model changed.
func (m *Manager) HoldersChanged(model *runnerstate.Model) {
	m.revision++
	m.replanNeeded = true
	m.subscriptions.HoldersChanged(model)
}

// runnerChanged notes that a runner came, went, or may be offered or not.
func (m *Manager) runnerChanged(r *runnerstate.Runner) {
	m.HoldersChanged(r.Service.Plain)
	for _, h := range r.Held {
		m.HoldersChanged(h.Model)
	}
}

// Revision rises with each change of the index.
func (m *Manager) Revision() uint64 { return m.revision }

// Tick returns the calls that are due, and the updates for routers that looked a
// key up lately. It may be called at any time, best every 50 ms and after inputs
// that someone waits for. The primary's lease ends at leaseUntilMs.
func (m *Manager) Tick(nowMs, leaseUntilMs int64) (calls []protocol.OutboundCall, updates []index.Update) {
	m.nowMs = nowMs
	if m.active {
		m.tickList(nowMs)
		if nowMs-m.scannedMs >= m.scanIntervalMs() {
			m.scannedMs = nowMs
			m.scanRunners(nowMs, leaseUntilMs)
		}
		if m.mayOrder(nowMs, leaseUntilMs) && m.planDue(nowMs) {
			m.planOrders(nowMs, leaseUntilMs)
		}
		calls, m.calls = m.calls, nil
	}
	if nowMs-m.expiredMs > expireIntervalMs {
		m.expiredMs = nowMs
		m.expire(nowMs)
	}
	return calls, m.subscriptions.Updates(nowMs, m.replyForUpdate)
}

func (m *Manager) scanIntervalMs() int64 {
	return int64(min(maxScanIntervalMs, len(m.sortedRunners)/runnersScannedPerMs))
}

// expire forgets what nobody requested for a long time.
func (m *Manager) expire(nowMs int64) {
	m.subscriptions.Expire(nowMs)
	for _, s := range m.services {
		for name, model := range s.Models {
			maps.DeleteFunc(model.Adapters, func(_ string, a *runnerstate.Adapter) bool {
				return a.Demand.SinceRequestMs(nowMs) > adapterDemandKeptMs
			})
			if !model.Configured && len(model.Holders) == 0 && !m.subscriptions.Has(model) {
				delete(s.Models, name)
			}
		}
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

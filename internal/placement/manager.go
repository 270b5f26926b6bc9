// Package placement decides, on the primary controller, which runner loads and unloads which
// models. The runners come from the platform's runner list. The package also answers routers'
// look-ups, on the primary and on its followers. A look-up names a key: a model of a service and,
// if the request needs one, an adapter.
//
// The Manager polls the runner list and the runners' states (runnerlist.go, polling.go),
// measures demand (demand.go), plans (planning.go) and sends orders (orders.go). Subpackages do
// the rest: runnerstate tracks what each runner holds, planner chooses the next orders, index
// builds the replies to look-ups, demand measures request rates and weightstore limits the rate
// of loads. All of them are pure state machines: they read no clock and do no I/O.
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
	// runnersScannedPerMs and maxScanIntervalMs set the interval between scans over all
	// runners. The more runners there are, the more inputs arrive and the more a scan costs, so
	// not every input may cause one.
	runnersScannedPerMs = 100
	maxScanIntervalMs   = 50
	// expireIntervalMs is the time between two calls of expire.
	expireIntervalMs = 2_000
	// adapterDemandKeptMs is how long the demand for an adapter is kept after its last request.
	adapterDemandKeptMs = 120_000
)

// Manager keeps the state of the runners, orders loads and unloads while its daemon is the
// primary, and answers look-ups.
type Manager struct {
	selfName      string
	configuration *config.Configuration
	// nowMs is the time of the last tick.
	nowMs int64

	// active is true while this daemon is the primary. epoch is its epoch, or that of the last
	// snapshot on a follower. Orders carry the epoch as a fencing token.
	active bool
	epoch  uint64
	// fenced is true after a runner rejected an order because its epoch was too low.
	// fencedEpoch is the epoch of this daemon at that time.
	fenced      bool
	fencedEpoch uint64
	// ordersAllowed permits orders from ordersFromMs on.
	ordersAllowed bool
	ordersFromMs  int64

	services map[string]*runnerstate.Service
	runners  map[string]*runnerstate.Runner
	// sortedRunners holds all runners, sorted by id.
	sortedRunners []*runnerstate.Runner
	// leavingSeenMs holds the ids of runners that are draining or gone. The value is the time
	// at which a list last showed the runner as draining or at which it was removed.
	// drainingSeen holds the ids of runners that any list showed as draining.
	leavingSeenMs map[string]int64
	drainingSeen  map[string]bool
	// priorDiskModels holds the models that removed runners had on disk, by diskKey.
	priorDiskModels map[string]map[string]bool
	runnerList      listReader

	storeLimiter *weightstore.Limiter
	// snapshotMs is the time at which the primary's last snapshot arrived on a follower.
	// priorLoadAgesMs are the ages of the primary's loads at that time. primaryLoads holds the
	// loads in progress that the snapshot listed.
	priorLoadAgesMs []int64
	snapshotMs      int64
	primaryLoads    map[loadKey]LoadSnapshot

	// indexKnown is true once a list or a snapshot was applied, so that look-ups can be
	// answered. revision increases with each change of the index.
	indexKnown    bool
	revision      uint64
	holderLister  index.Lister
	subscriptions *index.Subscriptions
	// followerDemand counts look-ups on a follower until they are reported to the primary.
	followerDemand demand.Collector

	planner planner.Planner
	// plannedMs is when the last plan was made. replanNeeded is true if something changed
	// since. prefetchedMs is when a model without requests was last loaded.
	plannedMs    int64
	replanNeeded bool
	prefetchedMs int64
	// scannedMs is when the last scan of all runners was made. nextScanned is the index of the
	// runner with which the next scan begins. expiredMs is when expire was last called.
	scannedMs   int64
	nextScanned int
	expiredMs   int64
	// lastCallNumber is the number of the last order or poll.
	lastCallNumber uint64
	counters       Counters
	// calls holds the calls to runners and the platform that the next tick returns.
	calls []protocol.OutboundCall
}

// New returns a manager whose orders carry the daemon's name. It reads the runner list at
// listAddress. listPerSec is the rate of calls to this address that the platform accepts from
// all daemons together. It is 0 if there is no limit.
func New(b bounds.Bounds, selfName, listAddress string, listPerSec float64) *Manager {
	return &Manager{
		selfName:        selfName,
		services:        map[string]*runnerstate.Service{},
		runners:         map[string]*runnerstate.Runner{},
		leavingSeenMs:   map[string]int64{},
		drainingSeen:    map[string]bool{},
		priorDiskModels: map[string]map[string]bool{},
		runnerList:      newListReader(listAddress, listPerSec),
		storeLimiter:    weightstore.NewLimiter(b.OriginWindowMs),
		subscriptions:   index.NewSubscriptions(),
		followerDemand:  demand.NewCollector(),
	}
}

// SetConfiguration applies the active configuration.
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
		m.ensureService(s.Name).SetEngine(s.Engine)
		// All services share one store, so the lowest rate that any of them sets applies.
		if e := s.Engine; e != nil && e.LoadsPerSec > 0 && (storeRate == 0 || e.LoadsPerSec < storeRate) {
			storeRate = e.LoadsPerSec
		}
	}
	for name, s := range m.services {
		if !named[name] {
			s.SetEngine(nil)
		}
	}
	m.storeLimiter.SetRate(storeRate)
	m.replanNeeded = true
}

// ensureService returns a service and creates it on first use.
func (m *Manager) ensureService(name string) *runnerstate.Service {
	s := m.services[name]
	if s == nil {
		s = runnerstate.NewService(name)
		m.services[name] = s
	}
	return s
}

// BecomePrimary is called when this daemon has become the primary. No order is sent before
// ordersFromMs. The state that it had as a follower is kept, but no runner gets an order until
// it has replied to a poll with its state.
func (m *Manager) BecomePrimary(nowMs int64, epoch uint64, ordersFromMs int64) {
	m.nowMs = nowMs
	m.active, m.epoch, m.fenced = true, epoch, false
	m.AllowOrders(ordersFromMs)
	m.runnerList.reset(nowMs)
	agesMs := make([]int64, len(m.priorLoadAgesMs))
	for i, ageMs := range m.priorLoadAgesMs {
		agesMs[i] = ageMs + nowMs - m.snapshotMs
	}
	m.storeLimiter.AssumePriorLoads(nowMs, agesMs)
	for _, r := range m.sortedRunners {
		r.ResetForPrimary(nowMs, nowMs-callTimeoutMs)
	}
	m.primaryLoads = nil
	for _, count := range m.followerDemand.Drain() {
		m.addDemandCount(nowMs, count)
	}
}

// AllowOrders permits orders from the given time on.
func (m *Manager) AllowOrders(fromMs int64) {
	m.ordersFromMs, m.ordersAllowed, m.replanNeeded = fromMs, true, true
}

// ForbidOrders stops all orders until AllowOrders is called, which is expected at about fromMs.
func (m *Manager) ForbidOrders(fromMs int64) { m.ordersFromMs, m.ordersAllowed = fromMs, false }

// SetEpoch applies a higher epoch that was recorded while this daemon stayed primary. Orders
// that stopped because the epoch was too low may continue.
func (m *Manager) SetEpoch(epoch uint64) {
	if epoch <= m.epoch {
		return
	}
	m.epoch = epoch
	if m.epoch > m.fencedEpoch {
		m.fenced = false
	}
}

// BecomeFollower is called when this daemon is no longer the primary. It stops orders and
// polls. Look-ups are answered from the current state until a snapshot of the new primary
// arrives.
func (m *Manager) BecomeFollower() {
	m.active = false
	m.runnerList.stop()
	m.priorLoadAgesMs = nil
	for _, r := range m.sortedRunners {
		r.ClearOrder()
	}
	m.calls = nil
}

// HoldersChanged records that the holders of a model changed.
func (m *Manager) HoldersChanged(model *runnerstate.Model) {
	m.revision++
	m.replanNeeded = true
	m.subscriptions.HoldersChanged(model)
}

// runnerChanged records that a runner was added or removed, or that its list entry, its
// availability or its Suspect changed.
func (m *Manager) runnerChanged(r *runnerstate.Runner) {
	m.HoldersChanged(r.Service.Placeholder)
	for _, h := range r.Held {
		m.HoldersChanged(h.Model)
	}
}

// Revision returns the revision of the index, which increases with each change.
func (m *Manager) Revision() uint64 { return m.revision }

// Tick returns the calls that are due, and the updates for routers that looked a changed key up
// recently. It may be called at any time, preferably every 50 ms and right after inputs that a
// request waits for. The primary's lease ends at leaseUntilMs.
func (m *Manager) Tick(nowMs, leaseUntilMs int64) (calls []protocol.OutboundCall, updates []index.Update) {
	m.nowMs = nowMs
	if m.active {
		m.readListIfDue(nowMs)
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

// expire removes subscriptions and adapters without recent requests, and models that are not
// configured, have no holders and no subscriptions.
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

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

package placement

import (
	"myrtlewinch/internal/placement/planner"
	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// maxPlanIntervalMs is the time after which a plan is made even if nothing changed.
	maxPlanIntervalMs = 300
	// A plan goes through all runners, and changes are more frequent the more runners there
	// are. Up to undelayedPlanRunners runners, each change may cause a plan at once. Each
	// runnersPlannedPerMs runners beyond that add 1 ms to the least time between two plans.
	undelayedPlanRunners, runnersPlannedPerMs = 20, 10
	// minPrefetchIntervalMs is the least time between two prefetches. With a rate limit of the
	// store, the interval is prefetchIntervalNumeratorMs divided by its loads per second;
	// without one it is defaultPrefetchIntervalMs.
	minPrefetchIntervalMs       = 100
	prefetchIntervalNumeratorMs = 2_000
	defaultPrefetchIntervalMs   = 1_000
)

// planDue reports whether a plan should be made now.
func (m *Manager) planDue(nowMs int64) bool {
	sinceMs, intervalMs := nowMs-m.plannedMs, m.planIntervalMs()
	return m.replanNeeded && sinceMs >= intervalMs || sinceMs >= max(maxPlanIntervalMs, intervalMs)
}

// planIntervalMs returns the least time between two plans.
func (m *Manager) planIntervalMs() int64 {
	return int64(max(0, len(m.sortedRunners)-undelayedPlanRunners) / runnersPlannedPerMs)
}

// planOrders makes a plan for each service and sends its orders.
func (m *Manager) planOrders(nowMs, leaseUntilMs int64) {
	m.plannedMs, m.replanNeeded = nowMs, false
	m.counters.Plans++
	storeLoads := m.storeLimiter.Available(nowMs)
	for _, name := range sortedKeys(m.services) {
		s := m.services[name]
		if s.Engine == nil || len(s.Runners) == 0 {
			continue
		}
		var planned []planner.PlannedOrder
		planned, storeLoads = m.planner.Plan(planner.Input{
			NowMs:        nowMs,
			Service:      s,
			Budget:       m.storeBudget(nowMs, s, storeLoads),
			AcceptsLoads: func(r *runnerstate.Runner) bool { return m.acceptsLoads(nowMs, r) },
		})
		for _, order := range planned {
			loadsModel := order.Load && order.Adapter == ""
			if loadsModel && !s.Models[order.Model].Demand.Requested() {
				m.prefetchedMs = nowMs
			}
			m.startOrder(nowMs, leaseUntilMs, order)
		}
	}
}

// storeBudget returns how many loads from the weight store a service's plan may order. The
// parameter storeLoads is how many may still begin now, over all services. Models without
// requests are prefetched slowly, and only while the store has spare capacity.
func (m *Manager) storeBudget(nowMs int64, s *runnerstate.Service, storeLoads int) planner.Budget {
	loading, longestMs := 0, int64(0)
	for _, r := range s.Runners {
		if r.Order != nil && r.Order.FromStore {
			loading++
		}
	}
	for _, model := range s.Configured {
		longestMs = max(longestMs, model.Spec.LoadMs)
	}
	concurrent := m.storeLimiter.Concurrency(longestMs)
	storeIdle := loading*2 < concurrent && storeLoads*2 > m.storeLimiter.Limit()
	return planner.Budget{
		StoreLoads: storeLoads,
		Concurrent: concurrent - loading,
		Prefetch:   storeIdle && nowMs-m.prefetchedMs >= prefetchIntervalMs(s.Engine.LoadsPerSec),
	}
}

func prefetchIntervalMs(loadsPerSec float64) int64 {
	if loadsPerSec <= 0 {
		return defaultPrefetchIntervalMs
	}
	return max(minPrefetchIntervalMs, int64(prefetchIntervalNumeratorMs/loadsPerSec))
}

package placement

import (
	"myrtlewinch/internal/placement/planner"
	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// maxPlanIntervalMs is the time after which a plan is made though nothing
	// changed.
	maxPlanIntervalMs = 300
	// planRunnersFree runners may be planned for at each change; of more,
	// planRunnersPerMs in each ms. A plan goes through all runners, and changes come
	// the more often the more there are.
	planRunnersFree, planRunnersPerMs = 20, 10
	// minPrefetchIntervalMs is the least time between two prefetches,
	// prefetchShareMs over the store's loads per second their interval, and
	// defaultPrefetchIntervalMs that of a store without a rate.
	minPrefetchIntervalMs     = 100
	prefetchShareMs           = 2_000
	defaultPrefetchIntervalMs = 1_000
)

// planDue says whether a plan should be made now.
func (m *Manager) planDue(nowMs int64) bool {
	sinceMs, intervalMs := nowMs-m.plannedMs, m.planIntervalMs()
	return m.replanNeeded && sinceMs >= intervalMs || sinceMs >= max(maxPlanIntervalMs, intervalMs)
}

// planIntervalMs is the least time between two plans.
func (m *Manager) planIntervalMs() int64 {
	return int64(max(0, len(m.sortedRunners)-planRunnersFree) / planRunnersPerMs)
}

// planOrders works out which orders to give, and gives them.
func (m *Manager) planOrders(nowMs, leaseUntilMs int64) {
	m.plannedMs, m.replanNeeded = nowMs, false
	m.counters.Plans++
	storeLoads := m.store.Available(nowMs)
	for _, name := range sortedKeys(m.services) {
		s := m.services[name]
		if s.Engine == nil || len(s.Runners) == 0 {
			continue
		}
		var moves []planner.Move
		moves, storeLoads = m.planner.Plan(planner.Input{
			NowMs:        nowMs,
			Service:      s,
			Budget:       m.storeBudget(nowMs, s, storeLoads),
			AcceptsLoads: func(r *runnerstate.Runner) bool { return m.acceptsLoads(nowMs, r) },
		})
		for _, move := range moves {
			loadsModel := move.Load && move.Adapter == ""
			if loadsModel && !s.Models[move.Model].Demand.Requested() {
				m.prefetchedMs = nowMs
			}
			m.sendOrder(nowMs, leaseUntilMs, move)
		}
	}
}

// storeBudget is what the weight store allows a service's plan, of the loads
// that may begin now. What nobody requests is loaded slowly, while the store has
// little to do.
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
	concurrent := m.store.Concurrency(longestMs)
	storeIdle := loading*2 < concurrent && storeLoads*2 > m.store.Limit()
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
	return max(minPrefetchIntervalMs, int64(prefetchShareMs/loadsPerSec))
}

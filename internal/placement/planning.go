package placement

const (
	// planRunnersFree runners may be planned for at each change; of more, planRunnersPerMs in
	// each ms.
	planRunnersFree, planRunnersPerMs = 20, 10
	// maxPlanIntervalMs is how often all is planned anew though nothing changed.
	maxPlanIntervalMs = 300
)

// planOrders works out what to order, and orders it.
func (k *Manager) planOrders(nowMs, holdUntilMs int64) {
	k.plannedMs, k.replanNeeded = nowMs, false
	k.counters.Plans++
	left := k.store.Available(nowMs)
	for _, name := range sortedKeys(k.services) {
		s := k.services[name]
		if s.Engine == nil || len(s.Runners) == 0 {
			continue
		}
		loading, longestMs := 0, int64(0)
		for _, r := range s.Runners {
			if r.Order != nil && r.Order.FromStore {
				loading++
			}
		}
		for _, m := range s.Configured {
			longestMs = max(longestMs, m.Spec.LoadMs)
		}
		atOnce := k.store.Concurrency(longestMs)
		b := Budget{StoreLoads: left, Concurrent: atOnce - loading}
		// What nobody asks for comes in slowly, while the store has little to do.
		fillEachMs := int64(1000)
		if s.Engine.LoadsPerSec > 0 {
			fillEachMs = max(100, int64(2000/s.Engine.LoadsPerSec))
		}
		b.Prefetch = loading*2 < atOnce && left*2 > k.store.Limit() && nowMs-k.prefetchedMs >= fillEachMs
		k.planner.Plan(nowMs, s, b, func(r *Runner) bool { return k.acceptsLoads(nowMs, r) })
		for _, mv := range k.planner.Moves {
			if mv.Load && mv.Adapter == "" && s.Models[mv.Model].Demand.requestedMs == 0 {
				k.prefetchedMs = nowMs
			}
			k.sendOrder(nowMs, holdUntilMs, mv.Runner, mv)
		}
		left = k.planner.budget.StoreLoads
	}
}

// planIntervalMs is the least time between two plans. A plan goes through all
// runners, and changes come the more often the more there are.
func (k *Manager) planIntervalMs() int64 {
	return int64(max(0, len(k.sortedRunners)-planRunnersFree) / planRunnersPerMs)
}

package placement

const (
	// planFree runners may be planned for at each change; of more, planShare in
	// each ms.
	planFree, planShare = 20, 10
	// planMs is how often all is planned anew though nothing changed.
	planMs = 300
)

// plan works out what to order, and orders it.
func (k *Keeper) plan(nowMs, holdUntilMs int64) {
	k.planned, k.replan = nowMs, false
	k.counts.Plans++
	left := k.store.left(nowMs)
	for _, name := range sortedKeys(k.services) {
		s := k.services[name]
		if s.engine == nil || len(s.runners) == 0 {
			continue
		}
		loading, longestMs := 0, int64(0)
		for _, r := range s.runners {
			if r.order != nil && r.order.fromStore {
				loading++
			}
		}
		for _, m := range s.names {
			longestMs = max(longestMs, m.spec.LoadMs)
		}
		atOnce := k.store.atOnce(longestMs)
		b := budget{left: left, atOnce: atOnce - loading}
		// What nobody asks for comes in slowly, while the store has little to do.
		fillEachMs := int64(1000)
		if s.engine.LoadsPerSec > 0 {
			fillEachMs = max(100, int64(2000/s.engine.LoadsPerSec))
		}
		b.fill = loading*2 < atOnce && left*2 > k.store.most() && nowMs-k.fillMs >= fillEachMs
		k.planner.plan(nowMs, s, b, func(r *runner) bool { return k.fit(nowMs, r) })
		for _, mv := range k.planner.moves {
			if mv.load && mv.Adapter == "" && s.models[mv.Model].want.askedMs == 0 {
				k.fillMs = nowMs
			}
			k.order(nowMs, holdUntilMs, mv.runner, mv)
		}
		left = k.planner.budget.left
	}
}

// planEachMs is the least time between two plans. A plan goes through all
// runners, and changes come the more often the more there are.
func (k *Keeper) planEachMs() int64 { return int64(max(0, len(k.sorted)-planFree) / planShare) }

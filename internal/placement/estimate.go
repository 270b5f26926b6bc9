package placement

import (
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// minAdapterLoadMs and minModelLoadMs are the least times that a load under way
	// is expected to take yet.
	minAdapterLoadMs = 20
	minModelLoadMs   = 100
	// noticeMs is added to a model's load until a state shows it done.
	noticeMs = 150
	// unloadMs is the expected time of an unload that makes room for a load, with
	// what comes between.
	unloadMs = 300
	// adapterOrderMs is the expected time until a missing adapter of a held model is
	// loaded.
	adapterOrderMs = 200
	// planAheadMs is added to the load time of a model whose load has not
	// been ordered yet.
	planAheadMs = 300
)

// estimateWait works out in how many ms a key will have a holder, -1 if that is
// unknown, and whether it is being loaded. The given holders are those of the
// model.
func (m *Manager) estimateWait(nowMs int64, model *runnerstate.Model, adapter string, holders []protocol.IndexHolder) (waitMs int64, loading bool) {
	if slices.ContainsFunc(holders, func(h protocol.IndexHolder) bool { return h.Adapter }) {
		return 0, false
	}
	if !m.active && len(holders) == 0 {
		if load, ok := m.primaryLoads[loadKey{model.Service.Name, model.Name}]; ok {
			return max(0, load.LeftMs-(nowMs-m.snapshotMs)), true
		}
	}
	if waitMs := m.orderedWaitMs(nowMs, model, adapter); waitMs >= 0 {
		return waitMs, true
	}
	if len(holders) > 0 {
		// Only the adapter is missing.
		return adapterOrderMs, false
	}
	// A new primary orders nothing for a while, and plans nothing until then.
	beforeOrdersMs := int64(0)
	if m.active {
		beforeOrdersMs = max(0, m.ordersFromMs-nowMs)
	}
	queueMs := model.Plan.QueueMs
	if queueMs >= 0 || beforeOrdersMs > 0 {
		return max(0, queueMs) + beforeOrdersMs + model.Spec.LoadMs + planAheadMs, false
	}
	return -1, false
}

// orderedWaitMs is the shortest expected time until an open order has loaded a key,
// -1 if there is none.
func (m *Manager) orderedWaitMs(nowMs int64, model *runnerstate.Model, adapter string) int64 {
	waitMs := int64(-1)
	for _, r := range model.Service.Runners {
		o := r.Order
		if o == nil || o.Assumed || r.Unavailable() || r.Suspect {
			continue
		}
		leftMs := m.orderLeftMs(nowMs, r, model, adapter)
		if leftMs >= 0 && (waitMs < 0 || leftMs < waitMs) {
			waitMs = leftMs
		}
	}
	return waitMs
}

// orderLeftMs is the expected time until a runner's open order has loaded a key, -1
// if it doesn't.
func (m *Manager) orderLeftMs(nowMs int64, r *runnerstate.Runner, model *runnerstate.Model, adapter string) int64 {
	o := r.Order
	wanted := runnerstate.Item{Model: model.Name, Adapter: adapter}
	switch {
	case o.LoadsAdapter() && o.Item == wanted:
		return max(minAdapterLoadMs, assumeLoadedMs-(nowMs-o.FirstSentMs))
	case o.LoadsModel() && o.Model == model.Name:
		return modelLoadLeftMs(nowMs, r, model)
	case !o.Load && r.ReservedFor == wanted:
		if adapter == "" {
			return unloadMs + expectedLoadMs(r, model)
		}
		return unloadMs
	}
	return -1
}

// modelLoadLeftMs is how long a runner's open load of a model should take yet.
func modelLoadLeftMs(nowMs int64, r *runnerstate.Runner, model *runnerstate.Model) int64 {
	return max(minModelLoadMs, expectedLoadMs(r, model)+noticeMs-(nowMs-r.Order.FirstSentMs))
}

// expectedLoadMs is how long the load of a model should take at a runner.
func expectedLoadMs(r *runnerstate.Runner, model *runnerstate.Model) int64 {
	if r.OnDisk[model.Name] {
		return model.WarmLoadMs()
	}
	return model.Spec.LoadMs
}

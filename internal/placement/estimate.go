package placement

import (
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// minAdapterLoadLeftMs and minModelLoadLeftMs are the least remaining times that are
	// estimated for a load in progress.
	minAdapterLoadLeftMs = 20
	minModelLoadLeftMs   = 100
	// loadDetectionMs is added to the load time of a model: the time until a state shows that
	// the load has ended.
	loadDetectionMs = 150
	// expectedUnloadMs is the expected time of an unload that frees memory for a load,
	// including the time until that load is ordered.
	expectedUnloadMs = 300
	// expectedAdapterLoadMs is the expected time until a missing adapter of a held model is
	// loaded.
	expectedAdapterLoadMs = 200
	// planningDelayMs is added to the load time of a model whose load has not been ordered yet.
	planningDelayMs = 300
)

// estimateWait estimates the time until a key has a holder, and reports whether the key is being
// loaded. The time is -1 if it is unknown. A key is a model and, if the request needs one, an
// adapter. The parameter holders lists the holders of the model.
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
		return expectedAdapterLoadMs, false
	}
	// A new primary neither plans nor orders anything before ordersFromMs.
	beforeOrdersMs := int64(0)
	if m.active {
		beforeOrdersMs = max(0, m.ordersFromMs-nowMs)
	}
	queueMs := model.Plan.QueueMs
	if queueMs >= 0 || beforeOrdersMs > 0 {
		return max(0, queueMs) + beforeOrdersMs + model.Spec.LoadMs + planningDelayMs, false
	}
	return -1, false
}

// orderedWaitMs returns the shortest expected time until a key is loaded on a runner whose open
// order loads it or frees memory for it. It returns -1 if no runner has an order of this kind.
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

// orderLeftMs returns the expected time until a key is loaded on a runner whose open order
// loads it or frees memory for it. It returns -1 if the order does neither.
func (m *Manager) orderLeftMs(nowMs int64, r *runnerstate.Runner, model *runnerstate.Model, adapter string) int64 {
	o := r.Order
	wanted := runnerstate.Item{Model: model.Name, Adapter: adapter}
	switch {
	case o.LoadsAdapter() && o.Item == wanted:
		return max(minAdapterLoadLeftMs, assumeLoadedMs-(nowMs-o.FirstSentMs))
	case o.LoadsModel() && o.Model == model.Name:
		return modelLoadLeftMs(nowMs, r, model)
	case !o.Load && r.ReservedFor == wanted:
		if adapter == "" {
			return expectedUnloadMs + expectedLoadMs(r, model)
		}
		return expectedUnloadMs
	}
	return -1
}

// modelLoadLeftMs returns the expected time until a runner whose open order loads a model holds it.
func modelLoadLeftMs(nowMs int64, r *runnerstate.Runner, model *runnerstate.Model) int64 {
	return max(minModelLoadLeftMs, expectedLoadMs(r, model)+loadDetectionMs-(nowMs-r.Order.FirstSentMs))
}

// expectedLoadMs returns how long a runner is expected to take to load a model.
func expectedLoadMs(r *runnerstate.Runner, model *runnerstate.Model) int64 {
	if r.OnDisk[model.Name] {
		return model.WarmLoadMs()
	}
	return model.Spec.LoadMs
}

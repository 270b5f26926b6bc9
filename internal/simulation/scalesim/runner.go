package scalesim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// adapterOrderMs is how long loads of adapters and all unloads take.
	adapterOrderMs = 10
	// diskLoadMs is how long a model takes to load from the runner's disk.
	diskLoadMs = loadMs / 4
)

// simRunner simulates a runner, which carries out every order that it accepts.
type simRunner struct {
	entry protocol.RunnerEntry
	// held are the adapters of each held model, onDisk the models on its disk.
	held   map[string]map[string]bool
	onDisk map[string]bool
	// orderCount is how many orders it accepted; busy says that one is under way.
	orderCount int64
	busy       bool
	// active counts the running requests.
	active int
	// polledMs is when it last showed its state.
	polledMs int64
}

func (r *simRunner) models() []protocol.HeldModel {
	out := make([]protocol.HeldModel, 0, len(r.held))
	for _, name := range slices.Sorted(maps.Keys(r.held)) {
		out = append(out, protocol.HeldModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(r.held[name]))})
	}
	return out
}

func (r *simRunner) state() protocol.RunnerState {
	return protocol.RunnerState{
		Models: r.models(), Busy: r.busy, Calls: r.orderCount, Active: r.active,
		CacheUsed: int64(r.active) * requestTokens, CacheTotal: cacheTokens,
	}
}

// acceptOrder is the runner's answer to an order. An accepted order is under way
// until finishOrder.
func (r *simRunner) acceptOrder(order protocol.RunnerOrder) protocol.OrderOutcome {
	if r.busy || order.Expected != r.orderCount {
		return protocol.OutcomeBusy
	}
	adapters, holds := r.held[order.Model]
	if order.Adapter != "" {
		if !holds {
			return protocol.OutcomeRejected
		}
		holds = adapters[order.Adapter]
	}
	if order.Load == holds {
		return protocol.OutcomeAlreadyInEffect
	}
	r.orderCount++
	r.busy = true
	return protocol.OutcomeAccepted
}

// orderDuration is how long an accepted order takes in ms, and whether it loads
// from the weight store.
func (r *simRunner) orderDuration(order protocol.RunnerOrder) (ms int64, fromStore bool) {
	switch {
	case !order.Load || order.Adapter != "":
		return adapterOrderMs, false
	case r.onDisk[order.Model]:
		return diskLoadMs, false
	}
	return loadMs, true
}

// finishOrder ends the order under way.
func (r *simRunner) finishOrder(order protocol.RunnerOrder) {
	r.busy = false
	switch {
	case order.Load && order.Adapter == "":
		r.held[order.Model], r.onDisk[order.Model] = map[string]bool{}, true
	case order.Load:
		if adapters := r.held[order.Model]; adapters != nil {
			adapters[order.Adapter] = true
		}
	case order.Adapter == "":
		delete(r.held, order.Model)
	default:
		delete(r.held[order.Model], order.Adapter)
	}
}

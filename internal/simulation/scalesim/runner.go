package scalesim

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// adapterOrderMs is how long loads of adapters and all unloads take.
	adapterOrderMs = 10
	// diskLoadMs is how long a model takes to load from the runner's disk.
	diskLoadMs = loadMs / 4
)

// simRunner simulates a runner, which carries out every order that it accepts.
type simRunner struct {
	entry  protocol.RunnerEntry
	memory modelmemory.Memory
	// active counts the running requests.
	active int
	// polledMs is when it last showed its state.
	polledMs int64
}

func (r *simRunner) state() protocol.RunnerState {
	return protocol.RunnerState{
		Models: r.memory.HeldModels(), Busy: r.memory.IsBusy, Calls: r.memory.AcceptedOrders, Active: r.active,
		CacheUsed: int64(r.active) * requestTokens, CacheTotal: cacheTokens,
	}
}

// orderDuration is how long an order takes in ms, and whether it loads from the
// weight store.
func (r *simRunner) orderDuration(order protocol.RunnerOrder) (ms int64, fromStore bool) {
	switch {
	case !order.Load || order.Adapter != "":
		return adapterOrderMs, false
	case r.memory.OnDisk[order.Model]:
		return diskLoadMs, false
	}
	return loadMs, true
}

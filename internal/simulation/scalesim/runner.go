package scalesim

import (
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// adapterOrderMs is how long a load of an adapter takes, or an unload of any kind.
	adapterOrderMs = 10
	// diskLoadMs is how long a model takes to load from the runner's disk.
	diskLoadMs = storeLoadMs / 4
)

// simRunner simulates a runner that executes every order that it accepts.
type simRunner struct {
	entry  protocol.RunnerEntry
	memory modelmemory.Memory
	// activeRequests counts the running requests.
	activeRequests int
	// polledMs is when its state was last polled.
	polledMs int64
}

func (r *simRunner) state() protocol.RunnerState {
	return protocol.RunnerState{
		Models: r.memory.HeldModels(), Busy: r.memory.IsBusy, Calls: r.memory.AcceptedOrders, Active: r.activeRequests,
		CacheUsed: int64(r.activeRequests) * requestTokens, CacheTotal: cacheTokens,
	}
}

// orderDuration returns how long an order takes and whether it loads a model from the
// weight store.
func (r *simRunner) orderDuration(order protocol.RunnerOrder) (ms int64, fromStore bool) {
	switch {
	case !order.Load || order.Adapter != "":
		return adapterOrderMs, false
	case r.memory.OnDisk[order.Model]:
		return diskLoadMs, false
	}
	return storeLoadMs, true
}

package faultsim

import (
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// stateLagMs is the age of the state that a runner reports.
	stateLagMs = 150
	// maxRunnerSnapshots bounds the recorded states of a runner.
	maxRunnerSnapshots = 10
	// adapterLoadMs is how long the load of an adapter takes.
	adapterLoadMs = 10
	// unloadRetryMs is how often an unload checks whether requests still use the model.
	unloadRetryMs = 20
)

// runner is one incarnation of a runner.
type runner struct {
	sim    *Simulation
	entry  protocol.RunnerEntry
	memory modelmemory.Memory
	// loadingOrUnloading holds the models and adapters that are being loaded, and the models that
	// are being unloaded.
	loadingOrUnloading map[string]bool
	// fence is the highest fencing token of the orders that passed the check of fencing tokens.
	fence uint64
	// running are the attempts that are running, and queue those that wait for a slot.
	running, queue []*attempt
	// hasEnded is true once this incarnation has ended. isUnresponsive is true if it accepts
	// connections but does not respond.
	hasEnded, isUnresponsive bool
	// endMs is when a draining runner ends. listedUntilMs is when a runner that has ended is no
	// longer listed.
	endMs, listedUntilMs int64
	snapshots            []runnerSnapshot
}

// runnerSnapshot is a runner's state at one time.
type runnerSnapshot struct {
	atMs  int64
	state protocol.RunnerState
}

func (r *runner) recordState(nowMs int64) {
	state := protocol.RunnerState{
		Models: r.memory.HeldModels(), Busy: r.memory.IsBusy, Calls: r.memory.AcceptedOrders,
		Queued: len(r.queue), Active: len(r.running), CacheTotal: runnerCacheTokens,
	}
	for _, a := range r.running {
		state.CacheUsed += a.request.params.PromptTokens + a.request.params.MaxOutputTokens
	}
	r.snapshots = append(r.snapshots, runnerSnapshot{nowMs, state})
	if len(r.snapshots) > maxRunnerSnapshots {
		r.snapshots = r.snapshots[1:]
	}
}

// reportedState returns the state that the runner reports. It is stateLagMs old.
func (r *runner) reportedState(nowMs int64) protocol.RunnerState {
	var state protocol.RunnerState
	for i, s := range r.snapshots {
		if i == 0 || s.atMs <= nowMs-stateLagMs {
			state = s.state
		}
	}
	return state
}

// usedCapacity returns the memory and the number of adapters that the loaded models use.
func (r *runner) usedCapacity() (mb float64, adapters int) {
	for name, loaded := range r.memory.Models {
		mb += modelMb(name) + adapterSizeMb*float64(len(loaded))
		adapters += len(loaded)
	}
	return mb, adapters
}

// handleOrder accepts or rejects an order, and begins to carry out an accepted one.
func (r *runner) handleOrder(sender string, order protocol.RunnerOrder) protocol.OrderOutcome {
	if r.entry.ID != order.Runner || r.entry.Service != modelService {
		return protocol.OutcomeRejected
	}
	r.sim.Checker.recordOrder(sender, r.entry.ID, order.Holder, order.Fence)
	if r.sim.Bounds.Fenced && order.Fence < r.fence {
		return protocol.OutcomeFenced
	}
	r.fence = max(r.fence, order.Fence)
	outcome := r.memory.Accept(order, r.sim.Bugs.IgnoreExpectedCount)
	if outcome != protocol.OutcomeAccepted {
		return outcome
	}
	r.sim.logf("%s: order %d of %s (fencing token %d), load: %v, model %q, adapter %q",
		r.entry.ID, r.memory.AcceptedOrders, order.Holder, order.Fence, order.Load, order.Model, order.Adapter)
	if order.Load {
		r.load(order)
	} else {
		r.unload(order)
	}
	return outcome
}

// load carries out an order to load a model or an adapter. An order that exceeds the capacity makes
// the runner crash.
func (r *runner) load(order protocol.RunnerOrder) {
	mb, adapters := r.usedCapacity()
	tookMs, loaded := int64(adapterLoadMs), order.Model
	switch {
	case order.Adapter != "":
		mb, adapters, loaded = mb+adapterSizeMb, adapters+1, order.Model+"/"+order.Adapter
	case r.memory.OnDisk[order.Model]:
		mb, tookMs = mb+modelMb(order.Model), reloadMs
	default:
		mb, tookMs = mb+modelMb(order.Model), loadMs
		r.sim.Checker.recordLoad(r.entry.ID, order.Model)
	}
	if r.sim.Checker.exceedsCapacity(r.entry.ID, loaded, mb, adapters) {
		r.sim.after(1, func() { r.sim.crashRunner(r, true) })
	}
	r.loadingOrUnloading[loaded] = true
	r.sim.after(tookMs, func() {
		delete(r.loadingOrUnloading, loaded)
		r.memory.Complete(order)
	})
}

// unload carries out an order to unload a model or an adapter, once no running request uses it.
func (r *runner) unload(order protocol.RunnerOrder) {
	r.loadingOrUnloading[order.Model] = order.Adapter == ""
	isUsed := slices.ContainsFunc(r.running, func(a *attempt) bool {
		params := a.request.params
		return params.Model == order.Model && (order.Adapter == "" || params.Adapter == order.Adapter)
	})
	if isUsed && !r.hasEnded {
		r.sim.after(unloadRetryMs, func() { r.unload(order) })
		return
	}
	delete(r.loadingOrUnloading, order.Model)
	r.memory.Complete(order)
}

// readiness is the state of a request's model and adapter at a runner.
type readiness int

const (
	isReady readiness = iota
	// isLoadingOrUnloading means that the model or adapter of the request is being loaded or
	// unloaded.
	isLoadingOrUnloading
	isMissing
)

// readinessFor returns the readiness of the runner for a request with the given model and adapter.
// Runners of services without models are always ready.
func (r *runner) readinessFor(model, adapter string) readiness {
	if r.entry.Service != modelService {
		return isReady
	}
	if r.loadingOrUnloading[model] || adapter != "" && r.loadingOrUnloading[model+"/"+adapter] {
		return isLoadingOrUnloading
	}
	adapters, isLoaded := r.memory.Models[model]
	if isLoaded && (adapter == "" || adapters[adapter]) {
		return isReady
	}
	return isMissing
}

// release removes an attempt from its slot or from the queue, and starts queued attempts in the
// free slots.
func (r *runner) release(ended *attempt) {
	isEnded := func(a *attempt) bool { return a == ended }
	r.running = slices.DeleteFunc(r.running, isEnded)
	r.queue = slices.DeleteFunc(r.queue, isEnded)
	for len(r.queue) > 0 && len(r.running) < runnerSlots && !r.hasEnded {
		next := r.queue[0]
		r.queue = r.queue[1:]
		if !next.isCancelled {
			next.start()
		}
	}
}

package faultsim

import (
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// stateLagMs is how old the state is that a runner reports.
	stateLagMs = 150
	// maxSnapshots bounds the recorded states of a runner.
	maxSnapshots = 10
	// shortOrderMs is how long an order takes that loads no model.
	shortOrderMs = 10
	// unloadRetryMs is how often an unload looks whether its model is unused.
	unloadRetryMs = 20
)

// runner is one incarnation of a runner.
type runner struct {
	sim    *Simulation
	entry  protocol.RunnerEntry
	memory modelmemory.Memory
	// loading holds the models and adapters whose state an order changes.
	loading map[string]bool
	// fence is the highest fencing token of an accepted sender.
	fence uint64
	// running are the requests that run, and queue those that wait for a slot.
	running, queue []*attempt
	// hasEnded says that this incarnation has ended; isSilent that it accepts
	// everything and answers nothing.
	hasEnded, isSilent bool
	// endMs is when a draining runner ends, listedUntilMs until when one that has
	// ended is listed.
	endMs, listedUntilMs int64
	snapshots            []snapshot
}

// snapshot is a runner's state at a time.
type snapshot struct {
	atMs  int64
	state protocol.RunnerState
}

func (r *runner) recordState(nowMs int64) {
	state := protocol.RunnerState{
		Models: r.memory.HeldModels(), Busy: r.memory.IsBusy, Calls: r.memory.AcceptedOrders,
		Queued: len(r.queue), Active: len(r.running), CacheTotal: cacheTokens,
	}
	for _, a := range r.running {
		state.CacheUsed += a.request.attributes.PromptTokens + a.request.attributes.MaxOutputTokens
	}
	r.snapshots = append(r.snapshots, snapshot{nowMs, state})
	if len(r.snapshots) > maxSnapshots {
		r.snapshots = r.snapshots[1:]
	}
}

// reportedState is what the runner says of itself, which is a little old.
func (r *runner) reportedState(nowMs int64) protocol.RunnerState {
	var state protocol.RunnerState
	for i, s := range r.snapshots {
		if i == 0 || s.atMs <= nowMs-stateLagMs {
			state = s.state
		}
	}
	return state
}

// usedCapacity is the capacity that the loaded models and adapters take.
func (r *runner) usedCapacity() (mb float64, adapters int) {
	for name, loaded := range r.memory.Models {
		mb += modelMb(name) + adapterMb*float64(len(loaded))
		adapters += len(loaded)
	}
	return mb, adapters
}

// handleOrder decides on an order and begins to carry it out if it is accepted.
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
	r.sim.logf("%s: order %d of %s (fence %d): load %v %s %s",
		r.entry.ID, r.memory.AcceptedOrders, order.Holder, order.Fence, order.Load, order.Model, order.Adapter)
	if order.Load {
		r.load(order)
	} else {
		r.unload(order)
	}
	return outcome
}

// load carries out an order to load a model or an adapter.
func (r *runner) load(order protocol.RunnerOrder) {
	mb, adapters := r.usedCapacity()
	tookMs, loaded := int64(shortOrderMs), order.Model
	switch {
	case order.Adapter != "":
		mb, adapters, loaded = mb+adapterMb, adapters+1, order.Model+"/"+order.Adapter
	case r.memory.OnDisk[order.Model]:
		mb, tookMs = mb+modelMb(order.Model), reloadMs
	default:
		mb, tookMs = mb+modelMb(order.Model), loadMs
		r.sim.Checker.recordLoad(r.entry.ID, order.Model)
	}
	if r.sim.Checker.exceedsCapacity(r.entry.ID, loaded, mb, adapters) {
		r.sim.after(1, func() { r.sim.crashRunner(r, true) })
	}
	r.loading[loaded] = true
	r.sim.after(tookMs, func() {
		delete(r.loading, loaded)
		r.memory.Complete(order)
	})
}

// unload carries out an order to unload, once no request uses what it names.
func (r *runner) unload(order protocol.RunnerOrder) {
	r.loading[order.Model] = order.Adapter == ""
	isUsed := slices.ContainsFunc(r.running, func(a *attempt) bool {
		asked := a.request.attributes
		return asked.Model == order.Model && (order.Adapter == "" || asked.Adapter == order.Adapter)
	})
	if isUsed && !r.hasEnded {
		r.sim.after(unloadRetryMs, func() { r.unload(order) })
		return
	}
	delete(r.loading, order.Model)
	r.memory.Complete(order)
}

// readiness says whether a request can run at a runner.
type readiness int

const (
	isReady readiness = iota
	// isLoading: what the request needs is being loaded or unloaded.
	isLoading
	isMissing
)

// readinessFor says whether the runner has what a request needs.
func (r *runner) readinessFor(model, adapter string) readiness {
	if r.entry.Service != modelService {
		return isReady
	}
	if r.loading[model] || adapter != "" && r.loading[model+"/"+adapter] {
		return isLoading
	}
	adapters, isLoaded := r.memory.Models[model]
	if isLoaded && (adapter == "" || adapters[adapter]) {
		return isReady
	}
	return isMissing
}

// release frees the slot or the place in the queue of an attempt, and starts
// those that wait.
func (r *runner) release(ended *attempt) {
	isEnded := func(a *attempt) bool { return a == ended }
	r.running = slices.DeleteFunc(r.running, isEnded)
	r.queue = slices.DeleteFunc(r.queue, isEnded)
	for len(r.queue) > 0 && len(r.running) < slots && !r.hasEnded {
		next := r.queue[0]
		r.queue = r.queue[1:]
		if !next.isCancelled {
			next.start()
		}
	}
}

package faultsim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

// runner is one life of a stand-in runner.
type runner struct {
	sim   *Simulation
	entry protocol.RunnerEntry
	// loaded are models with their adapters, loading what an order brings.
	loaded  map[string]map[string]bool
	loading map[string]bool
	// weightsOnDisk is what its machine has loaded before.
	weightsOnDisk  map[string]bool
	acceptedOrders int64
	fence          uint64
	busy           bool
	// running run, and queue waits for a place.
	running, queue []*attempt
	// ended says that this life has ended; silent that it takes everything and
	// says nothing.
	ended, silent     bool
	listedToMs, endMs int64
	snapshots         []snapshot
}

type snapshot struct {
	atMs  int64
	state protocol.RunnerState
}

func (r *runner) loadedModels() []protocol.HeldModel {
	var out []protocol.HeldModel
	for _, name := range slices.Sorted(maps.Keys(r.loaded)) {
		out = append(out, protocol.HeldModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(r.loaded[name]))})
	}
	return out
}

func (r *runner) recordState(nowMs int64) {
	state := protocol.RunnerState{
		Models: r.loadedModels(), Busy: r.busy, Calls: r.acceptedOrders, Queued: len(r.queue), Active: len(r.running), CacheTotal: cacheTokens,
	}
	for _, j := range r.running {
		state.CacheUsed += j.request.attributes.PromptTokens + j.request.attributes.MaxOutputTokens
	}
	r.snapshots = append(r.snapshots, snapshot{nowMs, state})
	if len(r.snapshots) > 10 {
		r.snapshots = r.snapshots[1:]
	}
}

// reportedState is the runner's own word on itself, a little old.
func (r *runner) reportedState(nowMs int64) protocol.RunnerState {
	var said protocol.RunnerState
	for i, s := range r.snapshots {
		if i == 0 || s.atMs <= nowMs-stateLagMs {
			said = s.state
		}
	}
	return said
}

// usedCapacity is the room that is held or being filled.
func (r *runner) usedCapacity() (mb float64, adapters int) {
	for name, of := range r.loaded {
		mb += modelMb(name) + adapterMb*float64(len(of))
		adapters += len(of)
	}
	return mb, adapters
}

// handleOrder is the runner's side of an order.
func (r *runner) handleOrder(sim *Simulation, sender string, c protocol.RunnerOrder) protocol.OrderOutcome {
	if r.entry.ID != c.Runner || r.entry.Service != modelService {
		return protocol.OutcomeRejected
	}
	sim.Checker.recordOrder(sender, r.entry.ID, c.Holder, c.Fence)
	if sim.Bounds.Fenced && c.Fence < r.fence {
		return protocol.OutcomeFenced
	}
	r.fence = max(r.fence, c.Fence)
	if r.busy || c.Expected != r.acceptedOrders && !sim.Bugs.IgnoreExpectedCount {
		return protocol.OutcomeBusy
	}
	of, there := r.loaded[c.Model]
	if c.Adapter != "" {
		if !there {
			return protocol.OutcomeRejected
		}
		there = of[c.Adapter]
	}
	if c.Load == there {
		return protocol.OutcomeAlreadyInEffect
	}
	r.acceptedOrders++
	r.busy = true
	sim.logf("%s: order %d of %s (fence %d): load %v %s %s", r.entry.ID, r.acceptedOrders, c.Holder, c.Fence, c.Load, c.Model, c.Adapter)
	if c.Load {
		r.load(c)
	} else {
		r.unload(c)
	}
	return protocol.OutcomeAccepted
}

func (r *runner) load(c protocol.RunnerOrder) {
	mb, adapters := r.usedCapacity()
	tookMs, what := int64(10), c.Model
	if c.Adapter != "" {
		mb, adapters, what = mb+adapterMb, adapters+1, c.Model+"/"+c.Adapter
	} else {
		mb += modelMb(c.Model)
		if tookMs = reloadMs; !r.weightsOnDisk[c.Model] {
			tookMs = loadMs
			r.sim.Checker.recordLoad(r.entry.ID, c.Model)
		}
	}
	if r.sim.Checker.exceedsCapacity(r.entry.ID, what, mb, adapters) {
		// One that is told to hold too much falls.
		r.sim.after(1, func() { r.sim.crashRunner(r, true) })
	}
	r.loading[what] = true
	r.sim.after(tookMs, func() {
		delete(r.loading, what)
		r.busy = false
		if c.Adapter != "" {
			r.loaded[c.Model][c.Adapter] = true
			return
		}
		r.loaded[c.Model], r.weightsOnDisk[c.Model] = map[string]bool{}, true
	})
}

// unload waits until what runs with it has ended.
func (r *runner) unload(c protocol.RunnerOrder) {
	r.loading[c.Model] = c.Adapter == ""
	used := slices.ContainsFunc(r.running, func(j *attempt) bool {
		return j.request.attributes.Model == c.Model && (c.Adapter == "" || j.request.attributes.Adapter == c.Adapter)
	})
	if used && !r.ended {
		r.sim.after(20, func() { r.unload(c) })
		return
	}
	delete(r.loading, c.Model)
	r.busy = false
	if c.Adapter == "" {
		delete(r.loaded, c.Model)
	} else {
		delete(r.loaded[c.Model], c.Adapter)
	}
}

// canRun says whether a request can run here; wait that it soon may, or not.
func (r *runner) canRun(model, adapter string) (there, wait bool) {
	if r.entry.Service != modelService {
		return true, false
	}
	of, there := r.loaded[model]
	if r.loading[model] || adapter != "" && r.loading[model+"/"+adapter] {
		return false, true
	}
	return there && (adapter == "" || of[adapter]), false
}

// release takes a job off, and lets the next of the queue begin.
func (r *runner) release(j *attempt) {
	r.running = slices.DeleteFunc(r.running, func(o *attempt) bool { return o == j })
	r.queue = slices.DeleteFunc(r.queue, func(o *attempt) bool { return o == j })
	for len(r.queue) > 0 && len(r.running) < slots && !r.ended {
		next := r.queue[0]
		r.queue = r.queue[1:]
		if !next.cancelled {
			next.start()
		}
	}
}

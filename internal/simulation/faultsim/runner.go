package faultsim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

// runner is one life of a stand-in runner.
type runner struct {
	w     *World
	entry protocol.RunnerEntry
	// held are models with their adapters, loading what an order brings.
	held    map[string]map[string]bool
	loading map[string]bool
	// disk is what its machine has loaded before.
	disk  map[string]bool
	calls int64
	fence uint64
	busy  bool
	// jobs run, and queue waits for a place.
	jobs, queue []*job
	// gone says that this life has ended; silent that it takes everything and
	// says nothing.
	gone, silent      bool
	listedToMs, endMs int64
	past              []snapshot
}

type snapshot struct {
	atMs  int64
	state protocol.RunnerState
}

func (r *runner) models() []protocol.HeldModel {
	var out []protocol.HeldModel
	for _, name := range slices.Sorted(maps.Keys(r.held)) {
		out = append(out, protocol.HeldModel{Name: name, Version: 1, Adapters: slices.Sorted(maps.Keys(r.held[name]))})
	}
	return out
}

func (r *runner) note(nowMs int64) {
	state := protocol.RunnerState{
		Models: r.models(), Busy: r.busy, Calls: r.calls, Queued: len(r.queue), Active: len(r.jobs), CacheTotal: cacheTokens,
	}
	for _, j := range r.jobs {
		state.CacheUsed += j.p.asked.PromptTokens + j.p.asked.OutTokens
	}
	r.past = append(r.past, snapshot{nowMs, state})
	if len(r.past) > 10 {
		r.past = r.past[1:]
	}
}

// told is the runner's own word on itself, a little old.
func (r *runner) told(nowMs int64) protocol.RunnerState {
	var said protocol.RunnerState
	for i, s := range r.past {
		if i == 0 || s.atMs <= nowMs-stateLagMs {
			said = s.state
		}
	}
	return said
}

// taken is the room that is held or being filled.
func (r *runner) taken() (mb float64, adapters int) {
	for name, of := range r.held {
		mb += modelMb(name) + adapterMb*float64(len(of))
		adapters += len(of)
	}
	return mb, adapters
}

// command is the runner's side of an order.
func (r *runner) command(w *World, sender string, c protocol.RunnerOrder) protocol.OrderOutcome {
	if r.entry.ID != c.Runner || r.entry.Service != llm {
		return protocol.OutcomeRefused
	}
	w.Book.order(sender, r.entry.ID, c.Holder, c.Fence)
	if w.Bounds.Fenced && c.Fence < r.fence {
		return protocol.OutcomeFenced
	}
	r.fence = max(r.fence, c.Fence)
	if r.busy || c.Expected != r.calls && !w.Breaks.NoExpected {
		return protocol.OutcomeBusy
	}
	of, there := r.held[c.Model]
	if c.Adapter != "" {
		if !there {
			return protocol.OutcomeRefused
		}
		there = of[c.Adapter]
	}
	if c.Load == there {
		return protocol.OutcomeAlreadyInEffect
	}
	r.calls++
	r.busy = true
	w.note("%s: order %d of %s (fence %d): load %v %s %s", r.entry.ID, r.calls, c.Holder, c.Fence, c.Load, c.Model, c.Adapter)
	if c.Load {
		r.load(c)
	} else {
		r.unload(c)
	}
	return protocol.OutcomeAccepted
}

func (r *runner) load(c protocol.RunnerOrder) {
	mb, adapters := r.taken()
	tookMs, what := int64(10), c.Model
	if c.Adapter != "" {
		mb, adapters, what = mb+adapterMb, adapters+1, c.Model+"/"+c.Adapter
	} else {
		mb += modelMb(c.Model)
		if tookMs = loadAgainMs; !r.disk[c.Model] {
			tookMs = loadMs
			r.w.Book.load(r.entry.ID, c.Model)
		}
	}
	if r.w.Book.room(r.entry.ID, what, mb, adapters) {
		// One that is told to hold too much falls.
		r.w.after(1, func() { r.w.crash(r, true) })
	}
	r.loading[what] = true
	r.w.after(tookMs, func() {
		delete(r.loading, what)
		r.busy = false
		if c.Adapter != "" {
			r.held[c.Model][c.Adapter] = true
			return
		}
		r.held[c.Model], r.disk[c.Model] = map[string]bool{}, true
	})
}

// unload waits until what runs with it has ended.
func (r *runner) unload(c protocol.RunnerOrder) {
	r.loading[c.Model] = c.Adapter == ""
	used := slices.ContainsFunc(r.jobs, func(j *job) bool {
		return j.p.asked.Model == c.Model && (c.Adapter == "" || j.p.asked.Adapter == c.Adapter)
	})
	if used && !r.gone {
		r.w.after(20, func() { r.unload(c) })
		return
	}
	delete(r.loading, c.Model)
	r.busy = false
	if c.Adapter == "" {
		delete(r.held, c.Model)
	} else {
		delete(r.held[c.Model], c.Adapter)
	}
}

// holds says whether a request can run here; wait that it soon may, or not.
func (r *runner) holds(model, adapter string) (there, wait bool) {
	if r.entry.Service != llm {
		return true, false
	}
	of, there := r.held[model]
	if r.loading[model] || adapter != "" && r.loading[model+"/"+adapter] {
		return false, true
	}
	return there && (adapter == "" || of[adapter]), false
}

// end takes a job off, and lets the next of the queue begin.
func (r *runner) end(j *job) {
	r.jobs = slices.DeleteFunc(r.jobs, func(o *job) bool { return o == j })
	r.queue = slices.DeleteFunc(r.queue, func(o *job) bool { return o == j })
	for len(r.queue) > 0 && len(r.jobs) < slots && !r.gone {
		next := r.queue[0]
		r.queue = r.queue[1:]
		if !next.dropped {
			next.begin()
		}
	}
}

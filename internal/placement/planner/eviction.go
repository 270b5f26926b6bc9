package planner

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// minStayMs is how long a model stays at least after its load, unless nobody
	// requested it for minStayUnrequestedMs.
	minStayMs            = 4_000
	minStayUnrequestedMs = 2_000
	// answerMs is how long a model stays at least that was loaded for a request
	// made within loadWaitMs before: the request must still reach the runner.
	answerMs   = 1_500
	loadWaitMs = 10_000
	// urgentModelValue is the value above which waiting requests override that.
	urgentModelValue = 8
	// runningMs is how long after its last request a model may still have requests
	// running, and requestSeconds how long one runs, as assumed.
	runningMs      = 3_000
	requestSeconds = 1.5
	// minAdapterStayMs is how long an adapter stays at least after its load if it
	// is requested, and urgentAdapterValue the value that overrides that.
	minAdapterStayMs   = 1_500
	urgentAdapterValue = 3
)

// eviction is what a runner would have to unload to free enough memory.
type eviction struct {
	// value is what the evicted models are worth together.
	value float64
	// running is how likely one of them has requests running.
	running float64
	// first is what is unloaded first.
	first runnerstate.Item
}

// evictable is a held model that may go.
type evictable struct {
	held  *runnerstate.HeldModel
	value float64
}

// chooseModelEviction finds the models of least value that would have to go from
// a runner for so much room.
func (p *Planner) chooseModelEviction(r *runnerstate.Runner, needMb float64, shortage modelShortage) (out eviction, ok bool) {
	for _, e := range p.evictableModels(r, shortage) {
		m := e.held.Model
		if out.first.Model == "" {
			out.first = runnerstate.Item{Model: m.Name}
		}
		out.value += e.value
		if m.Demand.SinceRequestMs(p.nowMs) < runningMs {
			perCopy := -m.Demand.FastRate() * requestSeconds / float64(max(1, m.Plan.Copies))
			out.running = max(out.running, 1-math.Exp(perCopy))
		}
		needMb -= m.Spec.SizeMb + float64(len(e.held.Adapters))*m.Spec.AdapterSizeMb
		if needMb <= 0 {
			return out, true
		}
	}
	return eviction{}, false
}

// evictableModels lists the models on a runner that may go for another one,
// least valuable first.
func (p *Planner) evictableModels(r *runnerstate.Runner, shortage modelShortage) []evictable {
	var out []evictable
	for _, h := range r.Held {
		switch {
		case h.Unloading || h.Model == shortage.model:
		case !h.Model.Configured:
			out = append(out, evictable{held: h})
		case !p.mustStay(h, shortage):
			out = append(out, evictable{h, p.modelValue(h.Model, h.Model.Plan.Copies)})
		}
	}
	slices.SortFunc(out, func(a, b evictable) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.held.Model.Name, b.held.Model.Name))
	})
	return out
}

// mustStay says whether a model was loaded too recently to go: one that is in
// use and no surplus stays, unless many requests wait for the other.
func (p *Planner) mustStay(h *runnerstate.HeldModel, shortage modelShortage) bool {
	heldMs := p.nowMs - h.SinceMs
	loadedForRequest := h.Model.Demand.SinceRequestMs(p.nowMs) < heldMs+loadWaitMs
	if heldMs < answerMs && loadedForRequest && h.Model.Plan.Copies <= 1 {
		return true
	}
	loadedLately := heldMs < minStayMs
	inUse := h.Model.Demand.SinceRequestMs(p.nowMs) < minStayUnrequestedMs
	surplus := h.Model.Plan.Copies > h.Model.Plan.Wanted
	urgent := shortage.waiting && shortage.value > urgentModelValue
	return loadedLately && inUse && !surplus && !urgent
}

// chooseAdapterEviction finds the adapter of least value on a runner that may go
// for another one.
func (p *Planner) chooseAdapterEviction(r *runnerstate.Runner, shortage adapterShortage) (victim runnerstate.Item, value float64, ok bool) {
	lowest := math.Inf(1)
	for _, h := range r.Held {
		if h.Unloading {
			continue
		}
		for name, held := range h.Adapters {
			if held.Unloading {
				continue
			}
			value, fresh := p.heldAdapterValue(h.Model.Adapters[name], held)
			if fresh && shortage.value < urgentAdapterValue {
				continue
			}
			item := runnerstate.Item{Model: h.Model.Name, Adapter: name}
			if value < lowest || value == lowest && itemLess(item, victim) {
				lowest, victim, ok = value, item, true
			}
		}
	}
	return victim, lowest, ok
}

// heldAdapterValue is what the copy of an adapter on a runner is worth, 0 if it
// was never requested, and whether it was loaded and requested just now.
func (p *Planner) heldAdapterValue(a *runnerstate.Adapter, held *runnerstate.HeldAdapter) (value float64, fresh bool) {
	if a == nil {
		return 0, false
	}
	loadedLately := p.nowMs-held.SinceMs < minAdapterStayMs
	inUse := a.Demand.SinceRequestMs(p.nowMs) < minAdapterStayMs
	return p.adapterValue(a, a.Copies), loadedLately && inUse
}

// itemLess orders items by model, then adapter.
func itemLess(a, b runnerstate.Item) bool {
	return a.Model < b.Model || a.Model == b.Model && a.Adapter < b.Adapter
}

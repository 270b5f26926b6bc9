package planner

import (
	"cmp"
	"math"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// minStayMs is the least time that a model stays after its load, unless nobody requested it
	// for minStayUnrequestedMs.
	minStayMs            = 4_000
	minStayUnrequestedMs = 2_000
	// minStayForRequestMs is the least time that the only copy of a model stays if it was
	// loaded for a request made no more than maxLoadWaitMs before the load: that request must
	// still reach the runner.
	minStayForRequestMs = 1_500
	maxLoadWaitMs       = 10_000
	// urgentModelValue is the value above which a model with waiting requests overrides
	// minStayMs.
	urgentModelValue = 8
	// requestsRunningMs is how long after its last request a model may still have running
	// requests. assumedRequestSec is the assumed duration of a request.
	requestsRunningMs = 3_000
	assumedRequestSec = 1.5
	// minAdapterStayMs is the least time after its load for which an adapter that was requested
	// recently stays. An adapter whose value is at least urgentAdapterValue may replace it
	// earlier.
	minAdapterStayMs   = 1_500
	urgentAdapterValue = 3
)

// eviction is what a runner would have to unload to free enough memory.
type eviction struct {
	// value is the sum of the values of the evicted models.
	value float64
	// running is the highest probability, among the evicted models, that a model has running
	// requests.
	running float64
	// first is the model that is unloaded first.
	first runnerstate.Item
}

// evictable is a held model that may be unloaded.
type evictable struct {
	held  *runnerstate.HeldModel
	value float64
}

// chooseModelEviction returns the least valuable models that a runner must unload to free
// needMb.
func (p *Planner) chooseModelEviction(r *runnerstate.Runner, needMb float64, shortage modelShortage) (out eviction, ok bool) {
	for _, e := range p.evictableModels(r, shortage) {
		m := e.held.Model
		if out.first.Model == "" {
			out.first = runnerstate.Item{Model: m.Name}
		}
		out.value += e.value
		if m.Demand.SinceRequestMs(p.nowMs) < requestsRunningMs {
			perCopy := -m.Demand.FastRate() * assumedRequestSec / float64(max(1, m.Plan.Copies))
			out.running = max(out.running, 1-math.Exp(perCopy))
		}
		needMb -= m.Spec.SizeMb + float64(len(e.held.Adapters))*m.Spec.AdapterSizeMb
		if needMb <= 0 {
			return out, true
		}
	}
	return eviction{}, false
}

// evictableModels lists the models that a runner may unload for another one, least valuable
// first.
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

// mustStay reports whether a model was loaded too recently to be unloaded. For minStayMs after its
// load, a model that is in use and not surplus stays, unless the other model is urgent and has
// waiting requests. An only copy that was loaded for a request always stays for
// minStayForRequestMs, so that the request can reach it.
func (p *Planner) mustStay(h *runnerstate.HeldModel, shortage modelShortage) bool {
	heldMs := p.nowMs - h.SinceMs
	loadedForRequest := h.Model.Demand.SinceRequestMs(p.nowMs) < heldMs+maxLoadWaitMs
	if heldMs < minStayForRequestMs && loadedForRequest && h.Model.Plan.Copies <= 1 {
		return true
	}
	loadedRecently := heldMs < minStayMs
	inUse := h.Model.Demand.SinceRequestMs(p.nowMs) < minStayUnrequestedMs
	surplus := h.Model.Plan.Copies > h.Model.Plan.Target
	urgent := shortage.waiting && shortage.value > urgentModelValue
	return loadedRecently && inUse && !surplus && !urgent
}

// chooseAdapterEviction returns the least valuable adapter that a runner may unload for another
// one.
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
			value, recent := p.heldAdapterValue(h.Model.Adapters[name], held)
			if recent && shortage.value < urgentAdapterValue {
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

// heldAdapterValue returns the value of an adapter's copy on a runner, and whether the adapter was
// both loaded and requested recently. The value is 0 if the adapter was never requested.
func (p *Planner) heldAdapterValue(a *runnerstate.Adapter, held *runnerstate.HeldAdapter) (value float64, recent bool) {
	if a == nil {
		return 0, false
	}
	loadedRecently := p.nowMs-held.SinceMs < minAdapterStayMs
	inUse := a.Demand.SinceRequestMs(p.nowMs) < minAdapterStayMs
	return p.adapterValue(a, a.Copies), loadedRecently && inUse
}

// itemLess orders items by model, then adapter.
func itemLess(a, b runnerstate.Item) bool {
	return a.Model < b.Model || a.Model == b.Model && a.Adapter < b.Adapter
}

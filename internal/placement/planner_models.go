package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minStayMs is how long what was loaded stays at least; minStayUnrequestedMs how long
	// it must not have been asked for to go sooner.
	minStayMs            = 4_000
	minStayUnrequestedMs = 2_000
	// storeLoadCost and waitingLoadCost are what a load from the store counts against one
	// from the runner's own disk, and more where someone waits for it.
	storeLoadCost, waitingLoadCost = 0.8, 0.8
	// evictionFactor is by how much what comes must be worth more than what goes.
	evictionFactor = 1.5
	evictionMargin = 0.1
)

// modelShortage is a model that should be held more often than it is.
type modelShortage struct {
	model   *Model
	value   float64
	waiting bool
	// prefetch says that nobody asks for it: it only takes room that is free.
	prefetch bool
}

// placeModels gives each model that lacks a copy its best runner, dearest first.
func (p *Planner) placeModels() {
	free := p.roomToPrefetch()
	for _, m := range p.service.Configured {
		have := m.Copies + m.Coming
		m.QueueMs = -1
		switch {
		case have < m.Wanted:
			p.shortages = append(p.shortages, modelShortage{model: m, value: p.modelValue(m, have+1), waiting: have == 0 && m.Demand.HasWaiting(p.nowMs)})
		case have == 0 && free && p.budget.Prefetch:
			p.shortages = append(p.shortages, modelShortage{model: m, value: p.modelValue(m, 1), prefetch: true})
		}
	}
	slices.SortStableFunc(p.shortages, func(a, b modelShortage) int {
		// What someone waits for is worth more, but a crowd on one copy of a
		// busy model still goes before the first copy of a rare one.
		if a.prefetch != b.prefetch {
			if b.prefetch {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.value, a.value)
	})
	filled := false
	for i, l := range p.shortages {
		if i >= maxCandidates {
			break
		}
		if l.prefetch && filled {
			break
		}
		if p.placeModel(l, !l.prefetch) && l.prefetch {
			filled = true
		}
	}
	if p.service.Engine.LoadsPerSec <= 0 {
		return
	}
	for i, l := range p.shortages {
		if l.model.Copies+l.model.Coming == 0 {
			l.model.QueueMs = int64(float64(i+1) * 1000 / p.service.Engine.LoadsPerSec)
		}
	}
}

// roomToPrefetch says whether what nobody asks for may take free room: one of the
// runners must have room for it, and one for the largest model, or it will once
// what it unloads is gone.
func (p *Planner) roomToPrefetch() bool {
	smallestMb, largestMb := math.Inf(1), 0.0
	for _, m := range p.service.Configured {
		largestMb = max(largestMb, m.Spec.SizeMb)
		if m.Copies+m.Coming == 0 {
			smallestMb = min(smallestMb, m.Spec.SizeMb)
		}
	}
	small, large := false, false
	for _, r := range p.service.Runners {
		if !p.acceptsLoads(r) || p.reservedForOther(r, Item{}) {
			continue
		}
		freeMb := p.service.Engine.WeightMemoryMb - r.UsedMb()
		small = small || freeMb >= smallestMb
		large = large || freeMb >= largestMb || r.Order != nil && !r.Order.Load && r.Order.Adapter == ""
	}
	return small && large
}

// placeModel loads a model where it fits, or makes room for it where least is
// lost by that.
func (p *Planner) placeModel(l modelShortage, evict bool) bool {
	m := l.model
	x := Item{Model: m.Name}
	cold := p.budget.StoreLoads > 0 && p.budget.Concurrent > 0
	zones := map[string]int{}
	for _, r := range m.Holders {
		if !r.Unavailable() {
			zones[r.Entry.Zone]++
		}
	}
	var best *Runner
	var victim Item
	lowest := math.Inf(1)
	for _, r := range p.service.Runners {
		if p.used[r] || !p.acceptsLoads(r) || !r.CanTakeLoad(p.nowMs, true) || r.Has(x) || p.reservedForOther(r, x) {
			continue
		}
		warm, hint := r.OnDisk[m.Name]
		if !warm && !cold {
			continue
		}
		score := 0.5*p.utilization(r) + 0.1*float64(zones[r.Entry.Zone])
		switch {
		case warm:
		case hint:
			score += 0.1
		default:
			// A load from the store takes longer, and counts; most for those who
			// wait for it.
			score += storeLoadCost
			if l.waiting {
				score += waitingLoadCost
			}
		}
		if r.Entry.SlowMs > 0 {
			score += 0.3
		}
		first := Item{}
		left := p.service.Engine.WeightMemoryMb - r.UsedMb() - m.Spec.SizeMb
		if left < 0 {
			if !evict || r.Order != nil {
				continue
			}
			cost, running, out, ok := p.chooseModelEviction(r, -left, m, l)
			if !ok || l.value <= evictionFactor*cost+evictionMargin {
				continue
			}
			first = out
			// An unload waits until its runs have finished.
			score += cost + running + 0.05
		} else if left < m.Spec.AdapterSizeMb*float64(p.service.Engine.MaxAdapters) && m.Spec.AdapterCount > 0 {
			score += 0.05
		}
		if score < lowest {
			best, victim, lowest = r, first, score
		}
	}
	if best == nil {
		return false
	}
	if victim.Model == "" {
		return p.load(best, x)
	}
	p.unload(best, victim, x)
	return true
}

// chooseModelEviction finds the models of least value that would have to go for so much
// room: what that costs, how likely they have requests running, and the first.
func (p *Planner) chooseModelEviction(r *Runner, needMb float64, by *Model, l modelShortage) (cost, running float64, first Item, ok bool) {
	type group struct {
		h     *HeldModel
		value float64
	}
	var groups []group
	for _, h := range r.Held {
		if h.Unloading || h.Model == by {
			continue
		}
		if !h.Model.Configured {
			groups = append(groups, group{h, 0})
			continue
		}
		ago := h.Model.Demand.SinceRequestMs(p.nowMs)
		surplus := h.Model.Copies > h.Model.Wanted
		// What came lately stays, unless nobody asks for it or many wait.
		if p.nowMs-h.SinceMs < minStayMs && ago < minStayUnrequestedMs && !surplus && !(l.waiting && l.value > 8) {
			continue
		}
		groups = append(groups, group{h, p.modelValue(h.Model, h.Model.Copies)})
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.h.Model.Name, b.h.Model.Name))
	})
	for _, g := range groups {
		if first.Model == "" {
			first = Item{Model: g.h.Model.Name}
		}
		cost += g.value
		w := &g.h.Model.Demand
		if w.SinceRequestMs(p.nowMs) < 3_000 {
			running = max(running, 1-math.Exp(-w.fast*1.5/float64(max(1, g.h.Model.Copies))))
		}
		needMb -= g.h.Model.Spec.SizeMb + float64(len(g.h.Adapters))*g.h.Model.Spec.AdapterSizeMb
		if needMb <= 0 {
			return cost, running, first, true
		}
	}
	return 0, 0, Item{}, false
}

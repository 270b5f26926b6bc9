package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// stayMs is how long what was loaded stays at least; silentStayMs how long
	// it must not have been asked for to go sooner.
	stayMs       = 4_000
	silentStayMs = 2_000
	// coldCost and waitCost are what a load from the store counts against one
	// from the runner's own disk, and more where someone waits for it.
	coldCost, waitCost = 0.8, 0.8
	// thrash is by how much what comes must be worth more than what goes.
	thrash      = 1.5
	thrashFloor = 0.1
)

// lack is a model that should be held more often than it is.
type lack struct {
	model   *model
	value   float64
	waiting bool
	// fill says that nobody asks for it: it only takes room that is free.
	fill bool
}

// models gives each model that lacks a copy its best runner, dearest first.
func (p *planner) models() {
	free := p.roomToFill()
	for _, m := range p.service.names {
		have := m.copies + m.coming
		m.queueMs = -1
		switch {
		case have < m.wanted:
			p.lacks = append(p.lacks, lack{model: m, value: p.value(m, have+1), waiting: have == 0 && m.want.waiting(p.nowMs)})
		case have == 0 && free && p.budget.fill:
			p.lacks = append(p.lacks, lack{model: m, value: p.value(m, 1), fill: true})
		}
	}
	slices.SortStableFunc(p.lacks, func(a, b lack) int {
		// What someone waits for is worth more, but a crowd on one copy of a
		// busy model still goes before the first copy of a rare one.
		if a.fill != b.fill {
			if b.fill {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.value, a.value)
	})
	filled := false
	for i, l := range p.lacks {
		if i >= candidates {
			break
		}
		if l.fill && filled {
			break
		}
		if p.placeModel(l, !l.fill) && l.fill {
			filled = true
		}
	}
	if p.service.engine.LoadsPerSec <= 0 {
		return
	}
	for i, l := range p.lacks {
		if l.model.copies+l.model.coming == 0 {
			l.model.queueMs = int64(float64(i+1) * 1000 / p.service.engine.LoadsPerSec)
		}
	}
}

// roomToFill says whether what nobody asks for may take free room: one of the
// runners must have room for it, and one for the largest model, or it will once
// what it unloads is gone.
func (p *planner) roomToFill() bool {
	smallestMb, largestMb := math.Inf(1), 0.0
	for _, m := range p.service.names {
		largestMb = max(largestMb, m.spec.Mb)
		if m.copies+m.coming == 0 {
			smallestMb = min(smallestMb, m.spec.Mb)
		}
	}
	small, large := false, false
	for _, r := range p.service.runners {
		if !p.fit(r) || p.kept(r, thing{}) {
			continue
		}
		freeMb := p.service.engine.RoomMb - r.takenMb()
		small = small || freeMb >= smallestMb
		large = large || freeMb >= largestMb || r.order != nil && !r.order.load && r.order.Adapter == ""
	}
	return small && large
}

// placeModel loads a model where it fits, or makes room for it where least is
// lost by that.
func (p *planner) placeModel(l lack, evict bool) bool {
	m := l.model
	x := thing{Model: m.name}
	cold := p.budget.left > 0 && p.budget.atOnce > 0
	zones := map[string]int{}
	for _, r := range m.holders {
		if !r.away() {
			zones[r.entry.Zone]++
		}
	}
	var best *runner
	var victim thing
	lowest := math.Inf(1)
	for _, r := range p.service.runners {
		if p.used[r] || !p.fit(r) || !r.idle(p.nowMs, true) || r.has(x) || p.kept(r, x) {
			continue
		}
		warm, hint := r.disk[m.name]
		if !warm && !cold {
			continue
		}
		score := 0.5*p.pressed(r) + 0.1*float64(zones[r.entry.Zone])
		switch {
		case warm:
		case hint:
			score += 0.1
		default:
			// A load from the store takes longer, and counts; most for those who
			// wait for it.
			score += coldCost
			if l.waiting {
				score += waitCost
			}
		}
		if r.entry.SlowMs > 0 {
			score += 0.3
		}
		first := thing{}
		left := p.service.engine.RoomMb - r.takenMb() - m.spec.Mb
		if left < 0 {
			if !evict || r.order != nil {
				continue
			}
			cost, running, out, ok := p.evict(r, -left, m, l)
			if !ok || l.value <= thrash*cost+thrashFloor {
				continue
			}
			first = out
			// An unload waits until its runs have finished.
			score += cost + running + 0.05
		} else if left < m.spec.AdapterMb*float64(p.service.engine.AdapterRoom) && m.spec.Adapters > 0 {
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

// evict finds the models of least value that would have to go for so much
// room: what that costs, how likely they have requests running, and the first.
func (p *planner) evict(r *runner, needMb float64, by *model, l lack) (cost, running float64, first thing, ok bool) {
	type group struct {
		h     *heldModel
		value float64
	}
	var groups []group
	for _, h := range r.held {
		if h.going || h.model == by {
			continue
		}
		if !h.model.mapped {
			groups = append(groups, group{h, 0})
			continue
		}
		ago := h.model.want.askedAgoMs(p.nowMs)
		surplus := h.model.copies > h.model.wanted
		// What came lately stays, unless nobody asks for it or many wait.
		if p.nowMs-h.sinceMs < stayMs && ago < silentStayMs && !surplus && !(l.waiting && l.value > 8) {
			continue
		}
		groups = append(groups, group{h, p.value(h.model, h.model.copies)})
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.h.model.name, b.h.model.name))
	})
	for _, g := range groups {
		if first.Model == "" {
			first = thing{Model: g.h.model.name}
		}
		cost += g.value
		w := &g.h.model.want
		if w.askedAgoMs(p.nowMs) < 3_000 {
			running = max(running, 1-math.Exp(-w.fast*1.5/float64(max(1, g.h.model.copies))))
		}
		needMb -= g.h.model.spec.Mb + float64(len(g.h.adapters))*g.h.model.spec.AdapterMb
		if needMb <= 0 {
			return cost, running, first, true
		}
	}
	return 0, 0, thing{}, false
}

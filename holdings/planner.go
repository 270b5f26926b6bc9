package holdings

import (
	"cmp"
	"math"
	"slices"
)

// The figures of the placement.
const (
	// planKeptMs is for how long room made at a runner is kept for what it was
	// made for.
	planKeptMs = 8_000
	// stayMs is how long what was loaded stays at least; silentStayMs how long
	// it must not have been asked for to go sooner.
	stayMs       = 4_000
	silentStayMs = 2_000
	// adapterStayMs is the same for adapters, which come and go quickly.
	adapterStayMs = 1_500
	// askedKeptMs is for how long after a request a model is wanted once.
	askedKeptMs        = 60_000
	adapterAskedKeptMs = 20_000
	// safeRate is the rate at which a crash must not leave a model unheld.
	safeRate = 2.0
	// copyShare is the part of a runner's slots that one copy of a model may
	// keep busy before a further copy is wanted.
	copyShare = 0.35
	// slotsARequest: a copy takes a request a second for so many slots, as
	// long as nothing is known of how long its requests run.
	slotsARequest = 3.0
	// readShare is the part of a copy's time that the reading of prompts may
	// take: while one is read, all streams of the runner stand still.
	readShare = 0.22
	// crowdValue is what a request on a crowded copy counts against one that
	// waits for a load: it is only slowed.
	crowdValue = 0.5
	// coldCost and waitCost are what a load from the store counts against one
	// from the runner's own disk, and more where someone waits for it.
	coldCost, waitCost = 0.8, 0.8
	// riseAhead is by how much the need of a model is put ahead of its rate
	// while it rises: a load takes seconds.
	riseAhead = 1.5
	// needHalfMs is how slowly a need comes down: copies that go with a chance
	// in the rate come back for seconds of a runner's time.
	needHalfMs = 5_000
	// busyAdapterRate earns an adapter a second copy.
	busyAdapterRate = 3.0
	adapterCopyRate = 8.0
	// thrash is by how much what comes must be worth more than what goes.
	thrash      = 1.5
	thrashFloor = 0.1
	// peakHalfMs is how quickly it is forgotten that a model was in demand:
	// demand that moved away often comes back.
	peakHalfMs = 30_000
	// adapterPrior: a model that has adapters was worth the making of them, so
	// it is likelier to be asked for than one of which nothing is known.
	adapterPrior, adapterPriorMost = 0.04, 0.6
	// candidates bounds how much is planned at one time.
	candidates = 24
)

// move is an order that the planner wants given.
type move struct {
	runner *runner
	thing
	load, fromStore bool
	// plan is what an unload makes room for.
	plan thing
}

// budget is what the store allows now.
type budget struct {
	// left is how many loads may begin; atOnce how many more may run side by
	// side; fill that there is time for what nobody asks for.
	left, atOnce int
	fill         bool
}

// planner works out which orders bring a service closer to what is asked of
// it. It changes nothing but the models' scratch figures.
type planner struct {
	nowMs   int64
	service *service
	budget  budget
	fit     func(r *runner) bool
	moves   []move
	used    map[*runner]bool
	lacks   []lack
}

// lack is a model that should be held more often than it is.
type lack struct {
	model   *model
	value   float64
	waiting bool
	// fill says that nobody asks for it: it only takes room that is free.
	fill bool
}

// plan fills the moves for one service.
func (p *planner) plan(nowMs int64, s *service, b budget, fit func(r *runner) bool) {
	p.nowMs, p.service, p.budget, p.fit = nowMs, s, b, fit
	p.moves, p.lacks = p.moves[:0], p.lacks[:0]
	if p.used == nil {
		p.used = map[*runner]bool{}
	}
	clear(p.used)
	p.weigh()
	p.planned()
	p.adapters()
	p.models()
}

// weigh counts the copies there are and works out those there should be.
func (p *planner) weigh() {
	s := p.service
	for _, m := range s.names {
		m.copies, m.coming, m.running = 0, 0, 0
		m.want.turn(p.nowMs)
		m.rate = m.want.rate()
		m.peak = max(m.want.slow, m.peak*halved(p.nowMs, m.peakMs, peakHalfMs))
		m.peakMs = p.nowMs
		for _, a := range m.adapters {
			a.want.turn(p.nowMs)
			a.copies, a.coming = 0, 0
		}
	}
	usable := 0
	for _, r := range s.runners {
		if r.away() || r.suspect {
			continue
		}
		usable++
		for _, h := range r.held {
			if h.going || !h.model.mapped {
				continue
			}
			h.model.copies++
			for name, ha := range h.adapters {
				if a := h.model.adapters[name]; a != nil && !ha.going {
					a.copies++
				}
			}
		}
		if o := r.order; o != nil && o.load && !o.assumed && !r.has(o.thing) {
			p.comes(o.thing)
		}
		if r.plan.Model != "" && p.nowMs < r.planMs && !(r.order != nil && r.order.load && r.order.thing == r.plan) {
			p.comes(r.plan)
		}
	}
	for _, m := range s.names {
		// By the latest rate: what ran before a shift is soon done.
		each := 1.0
		if m.want.slow > 0 {
			each += m.want.tokens / m.want.slow
		}
		m.share = m.rate * each / float64(max(1, m.copies))
	}
	// What runs on a runner is shared out among its models by their work.
	for _, r := range s.runners {
		busy := float64(r.state.Active + r.state.Queued)
		if r.away() || r.suspect || busy == 0 {
			continue
		}
		sum := 0.0
		for _, h := range r.held {
			sum += h.model.share
		}
		if sum <= 0 {
			continue
		}
		for _, h := range r.held {
			h.model.running += busy * h.model.share / sum
		}
	}
	for _, m := range s.names {
		p.wish(m, usable)
	}
}

func (p *planner) comes(x thing) {
	m := p.service.models[x.Model]
	if m == nil {
		return
	}
	if x.Adapter == "" {
		m.coming++
	} else if a := m.adapters[x.Adapter]; a != nil {
		a.coming++
	}
}

// wish works out how many copies of a model there should be.
func (p *planner) wish(m *model, usable int) {
	// What runs goes up at once and comes down slowly.
	if m.running > m.atOnce {
		m.atOnce += (m.running - m.atOnce) / 2
	} else {
		m.atOnce = m.running + (m.atOnce-m.running)*halved(p.nowMs, m.atOnceMs, fastHalfMs)
	}
	m.atOnceMs = p.nowMs
	slots := float64(max(1, p.service.engine.Slots))
	before := m.need * halved(p.nowMs, m.needMs, needHalfMs)
	m.need, m.adapterCopies, m.needMs = 0, 0, p.nowMs
	if m.rate > 0.02 {
		// Slots show only part of the work: prompts are read one after the
		// other. So the guess stays a floor also where little runs at once.
		m.need = max(m.rate*slotsARequest/slots, m.atOnce/(copyShare*slots), m.rate*m.prompts*m.readMs/1e6/readShare)
		if m.want.rising() {
			m.need *= riseAhead
		}
		m.need = max(m.need, before)
	}
	m.wanted = int(math.Ceil(m.need))
	if m.rate >= safeRate {
		m.wanted = max(m.wanted, 2)
	}
	if m.want.askedAgoMs(p.nowMs) < askedKeptMs || m.want.waiting(p.nowMs) {
		m.wanted = max(m.wanted, 1)
	}
	// The adapters in use need their places.
	asked := 0
	for _, a := range m.adapters {
		if a.want.slow > 0.05 {
			asked++
		}
	}
	if places := p.service.engine.AdapterRoom; places > 0 && asked > places {
		m.adapterCopies = (asked + places - 1) / places
		m.wanted = max(m.wanted, m.adapterCopies)
	}
	m.wanted = min(m.wanted, usable)
}

// value is what the k-th copy of a model is worth, in requests a second or so.
func (p *planner) value(m *model, k int) float64 {
	v := 0.0
	if m.need > 0 {
		// A copy keeps its worth until the load is clearly below it, so that
		// chance in the rate doesn't send it away and back. The fewer there are,
		// the more each relieves.
		part := min(1, max(0, m.need-float64(k-1)+0.5))
		v = crowdValue * part * m.rate / max(1, min(float64(k), m.need))
	}
	if k <= m.adapterCopies {
		v = max(v, 0.1*m.rate/float64(m.adapterCopies))
	}
	if k == 2 && m.rate >= safeRate {
		v = max(v, 0.2*m.rate)
	}
	if k == 2 {
		v = max(v, 0.05*m.peak)
	}
	ago := m.want.askedAgoMs(p.nowMs)
	if k <= 1 {
		if ago < askedKeptMs {
			v = max(v, 0.2+m.rate+0.8*math.Exp2(-float64(ago)/slowHalfMs))
		} else {
			v = max(v, 0.05)
		}
		v = max(v, 0.1*m.peak, min(adapterPriorMost, adapterPrior*float64(m.spec.Adapters)))
		if m.want.waiting(p.nowMs) {
			v += 2 * min(m.want.waits+0.5, 5)
		}
	}
	// Among the surplus, what was asked for more stays longer.
	return v + 0.01*m.rate/float64(max(1, k)) + 0.001*m.peak/float64(max(1, k))
}

// planned orders the loads that room was made for.
func (p *planner) planned() {
	for _, r := range p.service.runners {
		x := r.plan
		if x.Model == "" {
			continue
		}
		if p.nowMs >= r.planMs || !p.fit(r) || r.offers(x) {
			r.plan = thing{}
			continue
		}
		if !r.idle(p.nowMs, true) || !p.roomFor(r, x) {
			continue
		}
		if x.Adapter != "" && !r.offers(thing{Model: x.Model}) {
			r.plan = thing{}
			continue
		}
		p.load(r, x)
	}
}

// load orders a load if the store permits it.
func (p *planner) load(r *runner, x thing) bool {
	mv := move{runner: r, thing: x, load: true}
	if x.Adapter == "" && !r.disk[x.Model] {
		if p.budget.left <= 0 || p.budget.atOnce <= 0 {
			return false
		}
		p.budget.left--
		p.budget.atOnce--
		mv.fromStore = true
	}
	p.moves = append(p.moves, mv)
	p.used[r] = true
	if r.plan != x || p.nowMs >= r.planMs {
		p.comes(x)
	}
	return true
}

func (p *planner) unload(r *runner, x, why thing) {
	p.moves = append(p.moves, move{runner: r, thing: x, plan: why})
	p.used[r] = true
	if m := p.service.models[x.Model]; m != nil {
		if x.Adapter == "" {
			m.copies--
		} else if a := m.adapters[x.Adapter]; a != nil {
			a.copies--
		}
	}
	if why.Model != "" && r.plan != why {
		p.comes(why)
	}
}

// roomFor says whether a thing fits beside all that a runner holds.
func (p *planner) roomFor(r *runner, x thing) bool {
	m := p.service.models[x.Model]
	if m == nil || !m.mapped || r.has(x) {
		return false
	}
	free := p.service.engine.RoomMb - r.takenMb()
	if x.Adapter == "" {
		return m.spec.Mb <= free
	}
	return m.spec.AdapterMb <= free && r.takenAdapters() < p.service.engine.AdapterRoom
}

// kept says whether the room of a runner is kept for something else.
func (p *planner) kept(r *runner, x thing) bool {
	return r.plan.Model != "" && r.plan != x && p.nowMs < r.planMs
}

// pressed is how full a runner is with work.
func (p *planner) pressed(r *runner) float64 {
	out := float64(r.state.Active+r.state.Queued) / float64(max(1, p.service.engine.Slots))
	if r.state.CacheTotal > 0 {
		out = max(out, float64(r.state.CacheUsed)/float64(r.state.CacheTotal))
	}
	return out
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

// adapterLack is an adapter that should be held more often than it is.
type adapterLack struct {
	model   *model
	adapter *adapter
	value   float64
	waiting bool
}

// adapterValue is what the k-th copy of an adapter is worth.
func (p *planner) adapterValue(a *adapter, k int) float64 {
	rate := a.want.rate()
	v := 0.01 * rate
	if k <= adapterWish(rate) {
		v = rate / float64(k)
	}
	if ago := a.want.askedAgoMs(p.nowMs); k <= 1 && ago < 4*adapterAskedKeptMs {
		v += 0.05 + 0.3*math.Exp2(-float64(ago)/slowHalfMs)
		if a.want.waiting(p.nowMs) {
			v += a.want.waits + 0.5
		}
	}
	return v
}

// adapterWish is how many copies an adapter with a rate should have.
func adapterWish(rate float64) int {
	if rate <= busyAdapterRate {
		return 1
	}
	return 1 + int(math.Ceil(rate/adapterCopyRate))
}

// adapters gives each adapter that lacks a copy a runner of its model.
func (p *planner) adapters() {
	var lacks []adapterLack
	for _, m := range p.service.names {
		for _, a := range m.adapters {
			ago := a.want.askedAgoMs(p.nowMs)
			if ago > adapterAskedKeptMs || m.copies == 0 {
				continue
			}
			have := a.copies + a.coming
			if have < min(m.copies, adapterWish(a.want.rate())) {
				lacks = append(lacks, adapterLack{m, a, p.adapterValue(a, have+1), have == 0 && a.want.waiting(p.nowMs)})
			}
		}
	}
	slices.SortFunc(lacks, func(x, y adapterLack) int {
		if x.waiting != y.waiting {
			if x.waiting {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(x.model.name, y.model.name), cmp.Compare(x.adapter.name, y.adapter.name))
	})
	for i, l := range lacks {
		if i >= candidates {
			break
		}
		p.placeAdapter(l)
	}
}

func (p *planner) placeAdapter(l adapterLack) {
	x := thing{l.model.name, l.adapter.name}
	var best *runner
	var victim thing
	lowest := math.Inf(1)
	for _, r := range l.model.holders {
		if p.used[r] || !p.fit(r) || !r.idle(p.nowMs, true) || !r.offers(thing{Model: x.Model}) || r.has(x) {
			continue
		}
		score := 0.05*float64(r.takenAdapters()) + 0.5*p.pressed(r)
		first := thing{}
		if !p.roomFor(r, x) || p.kept(r, x) && p.tight(r, l.model) {
			if r.order != nil || p.kept(r, x) {
				continue
			}
			out, cost, ok := p.evictAdapter(r, l)
			if !ok || l.value <= thrash*cost+0.02 {
				continue
			}
			first = out
			score += 1 + cost
		}
		if score < lowest {
			best, victim, lowest = r, first, score
		}
	}
	if best == nil {
		return
	}
	if victim.Model == "" {
		p.load(best, x)
		return
	}
	p.unload(best, victim, x)
}

// tight says whether an adapter would take the room that is kept.
func (p *planner) tight(r *runner, m *model) bool {
	if r.plan.Adapter != "" {
		return r.takenAdapters()+1 >= p.service.engine.AdapterRoom
	}
	planned := p.service.models[r.plan.Model]
	return planned == nil || p.service.engine.RoomMb-r.takenMb()-m.spec.AdapterMb < planned.spec.Mb
}

// evictAdapter finds the adapter that is worth least on a runner.
func (p *planner) evictAdapter(r *runner, l adapterLack) (first thing, cost float64, ok bool) {
	lowest := math.Inf(1)
	for _, h := range r.held {
		if h.going {
			continue
		}
		for name, ha := range h.adapters {
			if ha.going {
				continue
			}
			v, fresh := 0.0, false
			if a := h.model.adapters[name]; a != nil {
				v = p.adapterValue(a, a.copies)
				fresh = p.nowMs-ha.sinceMs < adapterStayMs && a.want.askedAgoMs(p.nowMs) < adapterStayMs
			}
			if fresh && l.value < 3 {
				continue
			}
			x := thing{h.model.name, name}
			if v < lowest || v == lowest && (x.Model < first.Model || x.Model == first.Model && x.Adapter < first.Adapter) {
				lowest, first, ok = v, x, true
			}
		}
	}
	return first, lowest, ok
}

package placement

// The figures of the placement.
const (
	// planKeptMs is for how long room made at a runner is kept for what it was
	// made for.
	planKeptMs = 8_000
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

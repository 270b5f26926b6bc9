package placement

// The figures of the placement.
const (
	// reservationMs is for how long room made at a runner is kept for what it was
	// made for.
	reservationMs = 8_000
	// maxCandidates bounds how much is planned at one time.
	maxCandidates = 24
)

// Move is an order that the planner wants given.
type Move struct {
	Runner *Runner
	Item
	Load, FromStore bool
	// ReserveFor is what an unload makes room for.
	ReserveFor Item
}

// Budget is what the store allows now.
type Budget struct {
	// StoreLoads is how many loads may begin; Concurrency how many more may run side by
	// side; fill that there is time for what nobody asks for.
	StoreLoads, Concurrent int
	Prefetch               bool
}

// Planner works out which orders bring a service closer to what is asked of
// it. It changes nothing but the models' scratch figures.
type Planner struct {
	nowMs        int64
	service      *Service
	budget       Budget
	acceptsLoads func(r *Runner) bool
	Moves        []Move
	used         map[*Runner]bool
	shortages    []modelShortage
}

// Plan fills the moves for one service.
func (p *Planner) Plan(nowMs int64, s *Service, b Budget, fit func(r *Runner) bool) {
	p.nowMs, p.service, p.budget, p.acceptsLoads = nowMs, s, b, fit
	p.Moves, p.shortages = p.Moves[:0], p.shortages[:0]
	if p.used == nil {
		p.used = map[*Runner]bool{}
	}
	clear(p.used)
	p.computeTargets()
	p.loadReserved()
	p.placeAdapters()
	p.placeModels()
}

// loadReserved orders the loads that room was made for.
func (p *Planner) loadReserved() {
	for _, r := range p.service.Runners {
		x := r.ReservedFor
		if x.Model == "" {
			continue
		}
		if p.nowMs >= r.ReservedUntilMs || !p.acceptsLoads(r) || r.Offers(x) {
			r.ReservedFor = Item{}
			continue
		}
		if !r.CanTakeLoad(p.nowMs, true) || !p.fits(r, x) {
			continue
		}
		if x.Adapter != "" && !r.Offers(Item{Model: x.Model}) {
			r.ReservedFor = Item{}
			continue
		}
		p.load(r, x)
	}
}

// load orders a load if the store permits it.
func (p *Planner) load(r *Runner, x Item) bool {
	mv := Move{Runner: r, Item: x, Load: true}
	if x.Adapter == "" && !r.OnDisk[x.Model] {
		if p.budget.StoreLoads <= 0 || p.budget.Concurrent <= 0 {
			return false
		}
		p.budget.StoreLoads--
		p.budget.Concurrent--
		mv.FromStore = true
	}
	p.Moves = append(p.Moves, mv)
	p.used[r] = true
	if r.ReservedFor != x || p.nowMs >= r.ReservedUntilMs {
		p.countComing(x)
	}
	return true
}

func (p *Planner) unload(r *Runner, x, why Item) {
	p.Moves = append(p.Moves, Move{Runner: r, Item: x, ReserveFor: why})
	p.used[r] = true
	if m := p.service.Models[x.Model]; m != nil {
		if x.Adapter == "" {
			m.Copies--
		} else if a := m.Adapters[x.Adapter]; a != nil {
			a.Copies--
		}
	}
	if why.Model != "" && r.ReservedFor != why {
		p.countComing(why)
	}
}

// fits says whether a thing fits beside all that a runner holds.
func (p *Planner) fits(r *Runner, x Item) bool {
	m := p.service.Models[x.Model]
	if m == nil || !m.Configured || r.Has(x) {
		return false
	}
	free := p.service.Engine.WeightMemoryMb - r.UsedMb()
	if x.Adapter == "" {
		return m.Spec.SizeMb <= free
	}
	return m.Spec.AdapterSizeMb <= free && r.UsedAdapterSlots() < p.service.Engine.MaxAdapters
}

// reservedForOther says whether the room of a runner is kept for something else.
func (p *Planner) reservedForOther(r *Runner, x Item) bool {
	return r.ReservedFor.Model != "" && r.ReservedFor != x && p.nowMs < r.ReservedUntilMs
}

// utilization is how full a runner is with work.
func (p *Planner) utilization(r *Runner) float64 {
	out := float64(r.State.Active+r.State.Queued) / float64(max(1, p.service.Engine.Slots))
	if r.State.CacheTotal > 0 {
		out = max(out, float64(r.State.CacheUsed)/float64(r.State.CacheTotal))
	}
	return out
}

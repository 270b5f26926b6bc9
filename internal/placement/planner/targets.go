package planner

import (
	"math"

	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// modelWantedMs is for how long after a request one copy of a model is wanted.
	modelWantedMs = 60_000
	// secondCopyRate is the rate per second at which the loss of one runner must
	// not leave a model without a copy.
	secondCopyRate = 2.0
	// minDemandRate is the rate per second below which a model needs no copies for
	// its load.
	minDemandRate = 0.02
	// slotShare is the part of a runner's slots that one copy of a model may keep
	// busy before a further copy is wanted.
	slotShare = 0.35
	// slotSecondsPerRequest is how many slots a copy takes for each request per
	// second, as long as nothing is known of how long its requests run.
	slotSecondsPerRequest = 3.0
	// prefillShare is the part of a copy's time that the prefill of prompts may
	// take: meanwhile all streams of the runner stand still. Chosen by trial, see
	// docs/design.md, "Placement".
	prefillShare = 0.22
	// prefillUnits converts requests per second times tokens times ms per 1,000
	// tokens into seconds of prefill per second.
	prefillUnits = 1e6
	// risingFactor puts the need of a model ahead of its rate while the rate
	// rises, because a load takes seconds.
	risingFactor = 1.5
	// needHalfLifeMs is how slowly the need comes down. A copy that is dropped for
	// a chance dip of the rate costs seconds of a runner's time to load again.
	needHalfLifeMs = 5_000
	// peakHalfLifeMs is how slowly a past peak is forgotten, since demand that
	// moved away often comes back.
	peakHalfLifeMs = 30_000
	// adapterInUseRate is the slow rate per second above which an adapter counts
	// as in use.
	adapterInUseRate = 0.05
)

// computeTargets counts the copies that there are and works out how many there
// should be.
func (p *Planner) computeTargets() {
	for _, m := range p.service.Configured {
		p.resetFigures(m)
	}
	usable := 0
	for _, r := range p.service.Runners {
		if r.Unavailable() || r.Suspect {
			continue
		}
		usable++
		countHeld(r)
		p.countOrdered(r)
	}
	for _, m := range p.service.Configured {
		// By the latest rate, because what ran before a shift is soon done.
		workPerRequest := 1 + m.Demand.TokensPerRequest()
		m.Plan.WorkShare = m.Plan.Rate * workPerRequest / float64(max(1, m.Plan.Copies))
	}
	for _, r := range p.service.Runners {
		shareRunningRequests(r)
	}
	for _, m := range p.service.Configured {
		p.computeTarget(m, usable)
	}
}

// resetFigures updates a model's demand to the present time and resets its counts.
func (p *Planner) resetFigures(m *runnerstate.Model) {
	m.Plan.Copies, m.Plan.Coming, m.Plan.Running = 0, 0, 0
	m.Demand.Decay(p.nowMs)
	m.Plan.Rate = m.Demand.Rate()
	decay := demand.DecayFactor(p.nowMs, m.Plan.PeakMs, peakHalfLifeMs)
	m.Plan.PeakRate = max(m.Demand.SlowRate(), m.Plan.PeakRate*decay)
	m.Plan.PeakMs = p.nowMs
	for _, a := range m.Adapters {
		a.Demand.Decay(p.nowMs)
		a.Copies, a.Coming = 0, 0
	}
}

// countHeld counts the copies that a runner holds and will keep.
func countHeld(r *runnerstate.Runner) {
	for _, h := range r.Held {
		if h.Unloading || !h.Model.Configured {
			continue
		}
		h.Model.Plan.Copies++
		for name, held := range h.Adapters {
			if a := h.Model.Adapters[name]; a != nil && !held.Unloading {
				a.Copies++
			}
		}
	}
}

// countOrdered counts the copies that a runner is loading or has memory reserved for.
func (p *Planner) countOrdered(r *runnerstate.Runner) {
	o := r.Order
	if o != nil && o.Load && !o.Assumed && !r.Has(o.Item) {
		p.countComing(o.Item)
	}
	loadsReserved := o != nil && o.Load && o.Item == r.ReservedFor
	if r.HasReservation(p.nowMs) && !loadsReserved {
		p.countComing(r.ReservedFor)
	}
}

// shareRunningRequests divides what runs on a runner among its models by their
// work.
func shareRunningRequests(r *runnerstate.Runner) {
	running := float64(r.State.Active + r.State.Queued)
	if r.Unavailable() || r.Suspect || running == 0 {
		return
	}
	sum := 0.0
	for _, h := range r.Held {
		sum += h.Model.Plan.WorkShare
	}
	if sum <= 0 {
		return
	}
	for _, h := range r.Held {
		h.Model.Plan.Running += running * h.Model.Plan.WorkShare / sum
	}
}

// computeTarget works out how many copies of a model there should be, of so many
// usable runners.
func (p *Planner) computeTarget(m *runnerstate.Model, usable int) {
	p.updateConcurrency(m)
	p.updateNeed(m)
	plan := &m.Plan
	plan.Wanted = int(math.Ceil(plan.Need))
	if plan.Rate >= secondCopyRate {
		plan.Wanted = max(plan.Wanted, 2)
	}
	if m.Demand.SinceRequestMs(p.nowMs) < modelWantedMs || m.Demand.HasWaiting(p.nowMs) {
		plan.Wanted = max(plan.Wanted, 1)
	}
	plan.AdapterCopies = p.copiesForAdapters(m)
	plan.Wanted = max(plan.Wanted, plan.AdapterCopies)
	plan.Wanted = min(plan.Wanted, usable)
}

// updateConcurrency smooths the number of running requests: it goes up fast and
// comes down slowly.
func (p *Planner) updateConcurrency(m *runnerstate.Model) {
	plan := &m.Plan
	if plan.Running > plan.Concurrency {
		plan.Concurrency += (plan.Running - plan.Concurrency) / 2
	} else {
		decay := demand.DecayFactor(p.nowMs, plan.ConcurrencyMs, demand.FastHalfLifeMs)
		plan.Concurrency = plan.Running + (plan.Concurrency-plan.Running)*decay
	}
	plan.ConcurrencyMs = p.nowMs
}

// updateNeed works out how many copies the demand for a model fills.
func (p *Planner) updateNeed(m *runnerstate.Model) {
	plan := &m.Plan
	slots := float64(max(1, p.service.Engine.Slots))
	before := plan.Need * demand.DecayFactor(p.nowMs, plan.NeedMs, needHalfLifeMs)
	plan.Need, plan.NeedMs = 0, p.nowMs
	if plan.Rate <= minDemandRate {
		return
	}
	// Slots show only part of the work, because prompts are processed one after
	// the other. So the estimate by rate stays a floor where little runs at once.
	byRate := plan.Rate * slotSecondsPerRequest / slots
	bySlots := plan.Concurrency / (slotShare * slots)
	byPrefill := plan.Rate * m.PromptTokens * m.PrefillMs / prefillUnits / prefillShare
	plan.Need = max(byRate, bySlots, byPrefill)
	if m.Demand.Rising() {
		plan.Need *= risingFactor
	}
	plan.Need = max(plan.Need, before)
}

// copiesForAdapters is how many copies of a model its adapters in use need, 0 if
// one has slots for all of them.
func (p *Planner) copiesForAdapters(m *runnerstate.Model) int {
	inUse := 0
	for _, a := range m.Adapters {
		if a.Demand.SlowRate() > adapterInUseRate {
			inUse++
		}
	}
	slots := p.service.Engine.MaxAdapters
	if slots <= 0 || inUse <= slots {
		return 0
	}
	return (inUse + slots - 1) / slots
}

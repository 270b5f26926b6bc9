package planner

import (
	"math"

	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/runnerstate"
)

const (
	// modelWantedMs is how long after a request at least one copy of a model is wanted.
	modelWantedMs = 60_000
	// secondCopyRate is the rate per second from which a model gets a second copy, so that the
	// loss of one runner leaves it a copy.
	secondCopyRate = 2.0
	// minDemandRate is the rate per second up to which no copies are computed from the demand.
	minDemandRate = 0.02
	// maxSlotShare is the share of a runner's slots that one copy of a model may use before a
	// further copy is wanted.
	maxSlotShare = 0.35
	// slotSecondsPerRequest is how many slots a copy uses for each request per second while the
	// real duration of its requests is unknown.
	slotSecondsPerRequest = 3.0
	// maxPrefillShare is the share of a copy's time that the prefill of prompts may take before
	// a further copy is wanted: all streams of the runner pause during a prefill.
	maxPrefillShare = 0.22
	// prefillUnitDivisor converts the product of requests per second, tokens and ms per 1,000
	// tokens into seconds of prefill per second.
	prefillUnitDivisor = 1e6
	// risingFactor raises the copies that a model's demand requires while its rate rises,
	// because a load takes seconds.
	risingFactor = 1.5
	// demandCopiesHalfLifeMs is the half-life with which the copies that the demand requires
	// decrease. A copy that is dropped because of a random dip of the rate costs seconds of a
	// runner's time to load again.
	demandCopiesHalfLifeMs = 5_000
	// peakHalfLifeMs is the half-life of a past peak rate. It is long because demand that moved
	// away often returns.
	peakHalfLifeMs = 30_000
	// adapterInUseRate is the slow rate per second above which an adapter counts as in use.
	adapterInUseRate = 0.05
)

// computeTargets counts the copies of each model and computes how many there should be.
func (p *Planner) computeTargets() {
	for _, m := range p.service.Configured {
		p.refreshModel(m)
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
		// The latest rate is used because requests from before a shift of demand finish soon.
		workPerRequest := 1 + m.Demand.TokensPerRequest()
		m.Plan.WorkWeight = m.Plan.Rate * workPerRequest / float64(max(1, m.Plan.Copies))
	}
	for _, r := range p.service.Runners {
		shareRunningRequests(r)
	}
	for _, m := range p.service.Configured {
		p.computeTarget(m, usable)
	}
}

// refreshModel updates a model's demand figures to the current time and resets its counts of
// copies.
func (p *Planner) refreshModel(m *runnerstate.Model) {
	m.Plan.Copies, m.Plan.Pending, m.Plan.Running = 0, 0, 0
	m.Demand.Decay(p.nowMs)
	m.Plan.Rate = m.Demand.Rate()
	decay := demand.DecayFactor(p.nowMs, m.Plan.PeakMs, peakHalfLifeMs)
	m.Plan.PeakRate = max(m.Demand.SlowRate(), m.Plan.PeakRate*decay)
	m.Plan.PeakMs = p.nowMs
	for _, a := range m.Adapters {
		a.Demand.Decay(p.nowMs)
		a.Copies, a.Pending = 0, 0
	}
}

// countHeld counts the copies that a runner holds and does not unload.
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
		p.countPending(o.Item)
	}
	loadsReserved := o != nil && o.Load && o.Item == r.ReservedFor
	if r.HasReservation(p.nowMs) && !loadsReserved {
		p.countPending(r.ReservedFor)
	}
}

// shareRunningRequests divides the running requests of a runner among its models in proportion
// to their WorkWeight.
func shareRunningRequests(r *runnerstate.Runner) {
	running := float64(r.State.Active + r.State.Queued)
	if r.Unavailable() || r.Suspect || running == 0 {
		return
	}
	sum := 0.0
	for _, h := range r.Held {
		sum += h.Model.Plan.WorkWeight
	}
	if sum <= 0 {
		return
	}
	for _, h := range r.Held {
		h.Model.Plan.Running += running * h.Model.Plan.WorkWeight / sum
	}
}

// computeTarget computes how many copies of a model there should be, at most one on each usable
// runner.
func (p *Planner) computeTarget(m *runnerstate.Model, usable int) {
	p.updateConcurrency(m)
	p.updateDemandCopies(m)
	plan := &m.Plan
	plan.Target = int(math.Ceil(plan.DemandCopies))
	if plan.Rate >= secondCopyRate {
		plan.Target = max(plan.Target, 2)
	}
	if m.Demand.SinceRequestMs(p.nowMs) < modelWantedMs || m.Demand.HasWaiting(p.nowMs) {
		plan.Target = max(plan.Target, 1)
	}
	plan.AdapterCopies = p.copiesForAdapters(m)
	plan.Target = max(plan.Target, plan.AdapterCopies)
	plan.Target = min(plan.Target, usable)
}

// updateConcurrency smooths the number of running requests: it rises fast and decreases slowly.
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

// updateDemandCopies computes how many copies the demand for a model requires.
func (p *Planner) updateDemandCopies(m *runnerstate.Model) {
	plan := &m.Plan
	slots := float64(max(1, p.service.Engine.Slots))
	decayed := plan.DemandCopies * demand.DecayFactor(p.nowMs, plan.DemandCopiesMs, demandCopiesHalfLifeMs)
	plan.DemandCopies, plan.DemandCopiesMs = 0, p.nowMs
	if plan.Rate <= minDemandRate {
		return
	}
	// The slots in use show only part of the work, because prompts are processed one after the
	// other. So the estimate from the rate remains the lower bound while few requests run at
	// the same time.
	byRate := plan.Rate * slotSecondsPerRequest / slots
	bySlots := plan.Concurrency / (maxSlotShare * slots)
	byPrefill := plan.Rate * m.PromptTokens * m.PrefillMs / prefillUnitDivisor / maxPrefillShare
	plan.DemandCopies = max(byRate, bySlots, byPrefill)
	if m.Demand.Rising() {
		plan.DemandCopies *= risingFactor
	}
	plan.DemandCopies = max(plan.DemandCopies, decayed)
}

// copiesForAdapters returns how many copies of a model its adapters in use need, or 0 if one
// copy has slots for all of them.
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

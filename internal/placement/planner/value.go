package planner

import (
	"math"

	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/runnerstate"
)

// The values of copies, roughly in requests per second. Most were chosen by
// trial; docs/design.md, "Placement", tells of those that were compared.
const (
	// crowdedRequestValue is what a request on a crowded copy counts against one
	// that waits for a load, since it is only slowed.
	crowdedRequestValue = 0.7
	// adapterCopiesValue is the value per request of the copies that the adapters
	// in use need.
	adapterCopiesValue = 0.1
	// secondCopyValue and secondCopyPeakValue are the value of a second copy per
	// request, and per request of the past peak.
	secondCopyValue     = 0.2
	secondCopyPeakValue = 0.05
	// firstCopyValue and recentRequestValue are the value of the first copy of a
	// model that was requested lately; the second part decays.
	firstCopyValue     = 0.2
	recentRequestValue = 0.8
	// idleFirstCopyValue is the value of the first copy of any other model, and
	// firstCopyPeakValue that per request of its past peak.
	idleFirstCopyValue = 0.05
	firstCopyPeakValue = 0.1
	// valuePerAdapter raises it for a model with adapters, up to maxAdapterValue:
	// such a model was worth the making of them, so it is likelier to be requested
	// than one of which nothing is known.
	valuePerAdapter, maxAdapterValue = 0.04, 0.6
	// waitingValue is the value of each waiting request; waitingOffset and
	// maxWaitingCounted shift and bound their number.
	waitingValue      = 2
	waitingOffset     = 0.5
	maxWaitingCounted = 5
	// surplusValue and surplusPeakValue, per request, order the copies that are
	// not needed: what was requested more stays longer.
	surplusValue, surplusPeakValue = 0.01, 0.001

	// firstAdapterCopyValue and recentAdapterValue are the value of the first copy
	// of an adapter that was requested lately; the second part decays.
	firstAdapterCopyValue = 0.05
	recentAdapterValue    = 0.3
	// adapterValueMs is for how long after a request those two count.
	adapterValueMs = 4 * adapterWantedMs
	// waitingAdapterValue is added to the number of requests that wait for it.
	waitingAdapterValue = 0.5
	// surplusAdapterValue is the value per request of a copy beyond the target.
	surplusAdapterValue = 0.01
)

// modelValue is what the n-th copy of a model is worth.
func (p *Planner) modelValue(m *runnerstate.Model, n int) float64 {
	plan := &m.Plan
	value := crowdRelief(m, n)
	if n <= plan.AdapterCopies {
		value = max(value, adapterCopiesValue*plan.Rate/float64(plan.AdapterCopies))
	}
	if n == 2 {
		if plan.Rate >= secondCopyRate {
			value = max(value, secondCopyValue*plan.Rate)
		}
		value = max(value, secondCopyPeakValue*plan.PeakRate)
	}
	if n <= 1 {
		value = p.firstModelCopyValue(m, value)
	}
	count := float64(max(1, n))
	return value + surplusValue*plan.Rate/count + surplusPeakValue*plan.PeakRate/count
}

// crowdRelief is what the n-th copy of a model does for the requests on the
// others: the fewer copies there are, the more each relieves.
func crowdRelief(m *runnerstate.Model, n int) float64 {
	return crowdedRequestValue * m.Plan.Rate * (crowding(m, n-1) - crowding(m, n))
}

// crowding estimates how much requests delay each other where n copies share
// them. Prompts that are read at the same time do; that two or more meet grows
// with the square of the time for which a copy reads. Beyond all of its time it
// grows on evenly, as the queue does. It is convex, so that of two models the one
// whose copies are busier gains more by a further one.
func crowding(m *runnerstate.Model, n int) float64 {
	busyPart := m.Plan.Need * prefillShare / float64(max(1, n))
	if busyPart > 1 {
		return 2*busyPart - 1
	}
	return busyPart * busyPart
}

// firstModelCopyValue is the value of the first copy of a model, no lower than
// the given one.
func (p *Planner) firstModelCopyValue(m *runnerstate.Model, value float64) float64 {
	sinceMs := m.Demand.SinceRequestMs(p.nowMs)
	if sinceMs < modelWantedMs {
		recent := recentRequestValue * math.Exp2(-float64(sinceMs)/demand.SlowHalfLifeMs)
		value = max(value, firstCopyValue+m.Plan.Rate+recent)
	} else {
		value = max(value, idleFirstCopyValue)
	}
	byAdapters := min(maxAdapterValue, valuePerAdapter*float64(m.Spec.AdapterCount))
	value = max(value, firstCopyPeakValue*m.Plan.PeakRate, byAdapters)
	if m.Demand.HasWaiting(p.nowMs) {
		value += waitingValue * min(m.Demand.Waiting()+waitingOffset, maxWaitingCounted)
	}
	return value
}

// adapterValue is what the n-th copy of an adapter is worth.
func (p *Planner) adapterValue(a *runnerstate.Adapter, n int) float64 {
	rate := a.Demand.Rate()
	value := surplusAdapterValue * rate
	if n <= adapterTarget(rate) {
		value = rate / float64(n)
	}
	sinceMs := a.Demand.SinceRequestMs(p.nowMs)
	if n <= 1 && sinceMs < adapterValueMs {
		value += firstAdapterCopyValue + recentAdapterValue*math.Exp2(-float64(sinceMs)/demand.SlowHalfLifeMs)
		if a.Demand.HasWaiting(p.nowMs) {
			value += a.Demand.Waiting() + waitingAdapterValue
		}
	}
	return value
}

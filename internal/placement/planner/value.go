package planner

import (
	"math"

	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/runnerstate"
)

// The values of copies, roughly in requests per second.
const (
	// congestedRequestValue is the value of a request on a congested copy, relative to one that
	// waits for a load. It is less than 1 because the request is only slowed.
	congestedRequestValue = 0.7
	// adapterCopiesValue is the value per request of the copies that are needed to hold all
	// adapters in use.
	adapterCopiesValue = 0.1
	// secondCopyValue is multiplied by the model's rate to get the value of a second copy.
	// secondCopyPeakValue is multiplied by the past peak rate.
	secondCopyValue     = 0.2
	secondCopyPeakValue = 0.05
	// firstCopyValue and recentRequestValue, added to the rate, are the value of the first copy
	// of a model that was requested recently. recentRequestValue decays after the last request.
	firstCopyValue     = 0.2
	recentRequestValue = 0.8
	// idleFirstCopyValue is the value of the first copy of any other model. firstCopyPeakValue
	// times the past peak rate is the least value of a first copy.
	idleFirstCopyValue = 0.05
	firstCopyPeakValue = 0.1
	// valuePerAdapter is the least value of a first copy for each adapter that the model has,
	// up to maxAdapterValue. Somebody made the effort to create these adapters. The model is
	// therefore likelier to be requested than a model about which nothing is known.
	valuePerAdapter, maxAdapterValue = 0.04, 0.6
	// waitingValue is the value of each waiting request. waitingOffset is added to their
	// number, and maxWaitingCounted limits the sum.
	waitingValue      = 2
	waitingOffset     = 0.5
	maxWaitingCounted = 5
	// surplusValue and surplusPeakValue, per request, rank the copies that are not needed:
	// copies of models with more requests stay longer.
	surplusValue, surplusPeakValue = 0.01, 0.001

	// firstAdapterCopyValue and recentAdapterValue, added to the rate, are the value of the
	// first copy of an adapter that was requested recently. recentAdapterValue decays after the
	// last request.
	firstAdapterCopyValue = 0.05
	recentAdapterValue    = 0.3
	// adapterValueMs is how long after a request firstAdapterCopyValue and recentAdapterValue
	// apply.
	adapterValueMs = 4 * adapterWantedMs
	// waitingAdapterValue is added to the number of requests that wait for the adapter.
	waitingAdapterValue = 0.5
	// surplusAdapterValue is the value per request of a copy beyond the target.
	surplusAdapterValue = 0.01
)

// modelValue returns the value of the n-th copy of a model.
func (p *Planner) modelValue(m *runnerstate.Model, n int) float64 {
	plan := &m.Plan
	value := congestionRelief(m, n)
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

// congestionRelief returns the value of the n-th copy of a model to the requests on the model's
// other copies. The fewer copies there are, the more a further copy reduces their congestion.
func congestionRelief(m *runnerstate.Model, n int) float64 {
	return congestedRequestValue * m.Plan.Rate * (congestion(m, n-1) - congestion(m, n))
}

// congestion estimates how much requests delay each other when n copies share them. Prompts
// whose prefills overlap delay each other, and the probability of an overlap grows with the
// square of the time that a copy spends on prefill. Beyond full use it grows linearly, as the
// queue does. The function is convex, so of two models the one whose copies are busier gains
// more from a further copy.
func congestion(m *runnerstate.Model, n int) float64 {
	busyShare := m.Plan.DemandCopies * maxPrefillShare / float64(max(1, n))
	if busyShare > 1 {
		return 2*busyShare - 1
	}
	return busyShare * busyShare
}

// firstModelCopyValue returns the value of the first copy of a model, no lower than the given
// value.
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

// adapterValue returns the value of the n-th copy of an adapter.
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

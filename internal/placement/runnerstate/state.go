package runnerstate

import "myrtlewinch/internal/protocol"

// maxLowerCounts is how many consecutive states must show a lower order count before that count is
// accepted.
const maxLowerCounts = 4

// OrderResult is what a reported state shows about the open order.
type OrderResult int

const (
	// OrderOpen means that the order is still open, or that the state was too old to show its
	// result.
	OrderOpen OrderResult = iota
	// OrderDone means that the order has ended, or that another primary's order followed it.
	OrderDone
	// OrderAbandoned means that the order was abandoned, or that there was none.
	OrderAbandoned
)

// ApplyState applies a state that the runner reported to a poll sent at requestedMs.
//
// States arrive with a delay: one with a lower order count than the known one is too old to
// use. The count falls only at a restart, after which the runner has a new id. A lower count is
// accepted nonetheless if further states repeat it.
func (r *Runner) ApplyState(nowMs, requestedMs int64, state protocol.RunnerState, observer Observer) OrderResult {
	r.State, r.StateMs, r.LastReplyMs = state, nowMs, nowMs
	if state.Calls < r.orderCount {
		r.lowerCounts++
		if r.lowerCounts < maxLowerCounts {
			return OrderOpen
		}
		r.Order = nil
	}
	r.lowerCounts = 0
	o := r.Order
	switch {
	case o == nil:
		r.orderCount = state.Calls
		r.Confirmed = !state.Busy && requestedMs >= r.confirmAfterMs
		r.ApplyModels(nowMs, state.Models, observer)
		return OrderAbandoned
	case state.Calls == o.ExpectedCount:
		return r.applyStateBeforeOrder(nowMs, requestedMs, state, observer)
	case state.Calls == o.ExpectedCount+1 && state.Busy:
		if o.Phase != OrderAccepted {
			o.setPhase(OrderAccepted, nowMs)
		}
		o.RetryNeeded = false
		return OrderOpen
	case state.Busy:
		// Another primary's order followed this one.
		r.abandonOrder(observer)
		r.orderCount, r.Confirmed = state.Calls, false
		r.ApplyModels(nowMs, state.Models, observer)
		return OrderDone
	}
	r.Order = nil
	r.orderCount, r.Confirmed = state.Calls, true
	r.ApplyModels(nowMs, state.Models, observer)
	return OrderDone
}

// applyStateBeforeOrder applies a state that does not show the open order yet.
func (r *Runner) applyStateBeforeOrder(nowMs, requestedMs int64, state protocol.RunnerState, observer Observer) OrderResult {
	if state.Busy {
		return OrderOpen
	}
	r.ApplyModels(nowMs, state.Models, observer)
	o := r.Order
	if o.Phase == OrderUnknown && requestedMs >= o.PhaseSinceMs {
		if o.canAbandon(nowMs) {
			return r.abandonAndConfirm(observer)
		}
		o.RetryNeeded = true
	}
	// The runner reported that it accepted the order, but a state requested long after that still
	// does not show it.
	if o.Phase == OrderAccepted && requestedMs-o.PhaseSinceMs > 2*abandonAfterMs {
		return r.abandonAndConfirm(observer)
	}
	return OrderOpen
}

// abandonAndConfirm abandons an order that the runner does not show. The state that showed this
// confirms what the runner holds.
func (r *Runner) abandonAndConfirm(observer Observer) OrderResult {
	r.abandonOrder(observer)
	r.Confirmed = true
	return OrderAbandoned
}

package runnerstate

import "myrtlewinch/internal/protocol"

// maxLowerCounts is how many states in a row may show a lower count of orders
// before the count is trusted.
const maxLowerCounts = 4

// OrderResult is what a reported state shows about the order that was open.
type OrderResult int

const (
	// OrderOpen means that the order still is open, or the state was too old to
	// show anything.
	OrderOpen OrderResult = iota
	// OrderDone means that the order has ended, or another primary's order came
	// after it.
	OrderDone
	// OrderLost means that the order was abandoned, or there was none.
	OrderLost
)

// ApplyState applies a state that the runner reported to a poll sent at
// requestedMs.
//
// States show the past: one with a lower count than is known is too old to use.
// The count falls only at a restart, after which the runner has a new id; it is
// trusted nonetheless if further states repeat it.
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
		return OrderLost
	case state.Calls == o.ExpectedCount:
		return r.applyStateBeforeOrder(nowMs, requestedMs, state, observer)
	case state.Calls == o.ExpectedCount+1 && state.Busy:
		if o.Phase != OrderAccepted {
			o.setPhase(OrderAccepted, nowMs)
		}
		o.RetryNeeded = false
		return OrderOpen
	case state.Busy:
		// Another primary's order came after this one.
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

// applyStateBeforeOrder takes a state that does not show the open order yet.
func (r *Runner) applyStateBeforeOrder(nowMs, requestedMs int64, state protocol.RunnerState, observer Observer) OrderResult {
	if state.Busy {
		return OrderOpen
	}
	r.ApplyModels(nowMs, state.Models, observer)
	o := r.Order
	if o.Phase == OrderUnknown && requestedMs >= o.PhaseSinceMs {
		if o.canAbandon(nowMs) {
			return r.loseOrder(observer)
		}
		o.RetryNeeded = true
	}
	// The runner said that it accepted the order, yet knows nothing of it long
	// after.
	if o.Phase == OrderAccepted && requestedMs-o.PhaseSinceMs > 2*abandonMs {
		return r.loseOrder(observer)
	}
	return OrderOpen
}

// loseOrder gives up an order that the runner does not know. What it holds is
// confirmed by the state that showed this.
func (r *Runner) loseOrder(observer Observer) OrderResult {
	r.abandonOrder(observer)
	r.Confirmed = true
	return OrderLost
}

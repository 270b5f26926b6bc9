package placement

import (
	"myrtlewinch/internal/placement/planner"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// orderTimeoutMs is the longest time that an order may wait to be written to its runner.
	orderTimeoutMs = 600
	// leaseMarginMs is the time before the end of the lease in which no order is sent.
	leaseMarginMs = 100
	// reservationMs is how long the memory that an unload frees is reserved for the load that
	// needs it.
	reservationMs = 8_000
)

// HandleOrderResult applies the result of an order's call.
func (m *Manager) HandleOrderResult(nowMs int64, in protocol.RunnerOrderResult) {
	r := m.runners[in.Runner]
	if !m.active || r == nil {
		return
	}
	if in.Outcome == protocol.OutcomeFenced {
		m.stopOrdering()
	}
	if r.Order == nil || r.Order.Number != in.Number {
		m.counters.Late++
		return
	}
	m.counters.countOutcome(in.Outcome)
	mayHaveBegun := r.ApplyOutcome(nowMs, in.Outcome, m)
	// The load of an order of unknown outcome stays reserved in the store's limiter until a state
	// shows whether the order was executed.
	if !mayHaveBegun || in.Outcome == protocol.OutcomeAccepted {
		m.storeLimiter.EndReservation(nowMs, in.Number, mayHaveBegun)
	}
	m.replanNeeded = true
}

// stopOrdering stops all orders because a runner has seen a higher epoch, so another daemon is
// the primary. Orders resume only if this daemon's epoch rises.
func (m *Manager) stopOrdering() { m.fenced, m.fencedEpoch = true, m.epoch }

// mayOrder reports whether orders may be sent now.
func (m *Manager) mayOrder(nowMs, leaseUntilMs int64) bool {
	allowed := m.active && m.ordersAllowed && !m.fenced && nowMs >= m.ordersFromMs
	hasInputs := m.configuration != nil && m.runnerList.readMs > 0
	return allowed && hasInputs && nowMs < leaseUntilMs-leaseMarginMs
}

// startOrder records an order and sends it.
func (m *Manager) startOrder(nowMs, leaseUntilMs int64, planned planner.PlannedOrder) {
	r := planned.Runner
	m.lastCallNumber++
	order := &runnerstate.Order{Item: planned.Item, Number: m.lastCallNumber, Load: planned.Load, FromStore: planned.FromStore}
	r.BeginOrder(nowMs, order, m)
	m.counters.countOrder(order)
	if order.FromStore {
		m.storeLimiter.Reserve(order.Number)
	}
	if planned.Load && r.ReservedFor == planned.Item {
		r.ReservedFor = runnerstate.Item{}
	}
	if !planned.Load && planned.ReserveFor.Model != "" {
		r.ReservedFor, r.ReservedUntilMs = planned.ReserveFor, nowMs+reservationMs
	}
	m.sendOpenOrder(nowMs, leaseUntilMs, r)
	if order.LoadsModel() {
		// Routers with waiting requests are notified that the model is being loaded.
		m.HoldersChanged(r.Service.Model(planned.Model))
	}
}

// sendOpenOrder sends a runner its open order.
func (m *Manager) sendOpenOrder(nowMs, leaseUntilMs int64, r *runnerstate.Runner) {
	o := r.Order
	o.DeadlineMs = min(nowMs+orderTimeoutMs, leaseUntilMs)
	m.calls = append(m.calls, protocol.OutboundCall{Address: r.Entry.Address, Body: protocol.RunnerOrder{
		Runner: r.Entry.ID, Number: o.Number, Holder: m.selfName, Fence: m.epoch,
		Load: o.Load, Model: o.Model, Adapter: o.Adapter, Expected: o.ExpectedCount, UntilMs: o.DeadlineMs,
	}})
}

// advanceOrder updates a runner's open order as time passes. If its call brought no result in
// time, the outcome is marked as unknown. An accepted load of an adapter counts as finished
// after assumeLoadedMs. A due retry is sent.
func (m *Manager) advanceOrder(nowMs, leaseUntilMs int64, r *runnerstate.Runner) {
	o := r.Order
	if o == nil {
		return
	}
	accepted := o.Phase == runnerstate.OrderAccepted
	switch {
	case o.Phase == runnerstate.OrderSent && nowMs > o.DeadlineMs+callTimeoutMs:
		// No result of the call arrived in time.
		o.MarkUnknown(nowMs)
	case accepted && o.LoadsAdapter() && !o.Assumed && nowMs-o.PhaseSinceMs >= assumeLoadedMs:
		r.AssumeLoaded(nowMs, m)
	case o.RetryDue(nowMs) && m.mayOrder(nowMs, leaseUntilMs) && !r.Unavailable():
		m.retryOrder(nowMs, leaseUntilMs, r)
	}
}

// retryOrder sends an order again if the weight store's rate limit allows it, because the load
// may begin only with the retry.
func (m *Manager) retryOrder(nowMs, leaseUntilMs int64, r *runnerstate.Runner) {
	o := r.Order
	if o.FromStore {
		if !m.storeLimiter.IsReserved(o.Number) && m.storeLimiter.Available(nowMs) <= 0 {
			return
		}
		m.storeLimiter.Reserve(o.Number)
	}
	o.MarkRetried(nowMs)
	m.sendOpenOrder(nowMs, leaseUntilMs, r)
}

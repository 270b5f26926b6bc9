package placement

import (
	"myrtlewinch/internal/placement/planner"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// orderTimeoutMs is the longest that an order may wait to be written to its
	// runner.
	orderTimeoutMs = 600
	// leaseMarginMs is kept clear of the end of the lease.
	leaseMarginMs = 100
	// reservationMs is how long the room that an unload makes is kept for what it
	// was made for.
	reservationMs = 8_000
)

// HandleOrderResult applies the result of the call of an order.
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
	// An order of unknown outcome stays reserved until a state shows what became
	// of it.
	if !mayHaveBegun || in.Outcome == protocol.OutcomeAccepted {
		m.store.Settle(nowMs, in.Number, mayHaveBegun)
	}
	m.replanNeeded = true
}

// stopOrdering stops all orders, since a runner has seen a higher epoch: another
// daemon is the primary. They continue only if this one's epoch rises.
func (m *Manager) stopOrdering() { m.fenced, m.fencedEpoch = true, m.epoch }

// mayOrder says whether orders may go out now.
func (m *Manager) mayOrder(nowMs, leaseUntilMs int64) bool {
	allowed := m.active && m.ordersAllowed && !m.fenced && nowMs >= m.ordersFromMs
	informed := m.configuration != nil && m.list.readMs > 0
	return allowed && informed && nowMs < leaseUntilMs-leaseMarginMs
}

// sendOrder records an order and sends it.
func (m *Manager) sendOrder(nowMs, leaseUntilMs int64, move planner.Move) {
	r := move.Runner
	m.lastNumber++
	order := &runnerstate.Order{Item: move.Item, Number: m.lastNumber, Load: move.Load, FromStore: move.FromStore}
	r.BeginOrder(nowMs, order, m)
	m.counters.countOrder(order)
	if order.FromStore {
		m.store.Reserve(order.Number)
	}
	if move.Load && r.ReservedFor == move.Item {
		r.ReservedFor = runnerstate.Item{}
	}
	if !move.Load && move.ReserveFor.Model != "" {
		r.ReservedFor, r.ReservedUntilMs = move.ReserveFor, nowMs+reservationMs
	}
	m.callRunner(nowMs, leaseUntilMs, r)
	if order.LoadsModel() {
		// Routers with waiting requests learn that it is under way.
		m.HoldersChanged(r.Service.Model(move.Model))
	}
}

// callRunner sends a runner its open order.
func (m *Manager) callRunner(nowMs, leaseUntilMs int64, r *runnerstate.Runner) {
	o := r.Order
	o.DeadlineMs = min(nowMs+orderTimeoutMs, leaseUntilMs)
	m.calls = append(m.calls, protocol.OutboundCall{Address: r.Entry.Address, Body: protocol.RunnerOrder{
		Runner: r.Entry.ID, Number: o.Number, Holder: m.selfName, Fence: m.epoch,
		Load: o.Load, Model: o.Model, Adapter: o.Adapter, Expected: o.ExpectedCount, UntilMs: o.DeadlineMs,
	}})
}

// followOrder advances a runner's open order by the time: a call without a
// result has an unknown outcome, an accepted adapter load counts as ended
// after assumeLoadedMs, and a due retry is sent.
func (m *Manager) followOrder(nowMs, leaseUntilMs int64, r *runnerstate.Runner) {
	o := r.Order
	if o == nil {
		return
	}
	accepted := o.Phase == runnerstate.OrderAccepted
	switch {
	case o.Phase == runnerstate.OrderSent && nowMs > o.DeadlineMs+callTimeoutMs:
		// The call has no result yet.
		o.OutcomeUnknown(nowMs)
	case accepted && o.LoadsAdapter() && !o.Assumed && nowMs-o.PhaseSinceMs >= assumeLoadedMs:
		r.AssumeLoaded(nowMs, m)
	case o.RetryDue(nowMs) && m.mayOrder(nowMs, leaseUntilMs) && !r.Unavailable():
		m.retryOrder(nowMs, leaseUntilMs, r)
	}
}

// retryOrder sends an order again if the weight store permits it: the load may
// begin only with the retry.
func (m *Manager) retryOrder(nowMs, leaseUntilMs int64, r *runnerstate.Runner) {
	o := r.Order
	if o.FromStore {
		if !m.store.IsReserved(o.Number) && m.store.Available(nowMs) <= 0 {
			return
		}
		m.store.Reserve(o.Number)
	}
	o.Retry(nowMs)
	m.callRunner(nowMs, leaseUntilMs, r)
}

package placement

import "myrtlewinch/internal/protocol"

const (
	// orderTimeoutMs is the longest an order may wait to be written.
	orderTimeoutMs = 600
	// leaseMarginMs is kept clear of the end of the hold.
	leaseMarginMs = 100
)

// HandleOrderResult takes what became of the call of an order.
func (k *Manager) HandleOrderResult(nowMs int64, in protocol.RunnerOrderResult) {
	r := k.runners[in.Runner]
	if !k.active || r == nil {
		return
	}
	o := r.Order
	if o == nil || o.Number != in.Number {
		k.counters.Late++
		if in.Outcome == protocol.OutcomeFenced {
			k.stopOrdering()
		}
		return
	}
	switch in.Outcome {
	case protocol.OutcomeAccepted:
		k.counters.Taken++
	case protocol.OutcomeBusy, protocol.OutcomeAlreadyInEffect, protocol.OutcomeNotSent:
		k.counters.Busy++
	case protocol.OutcomeRejected:
		k.counters.Refused++
	case protocol.OutcomeUnknown:
		k.counters.Unknown++
	case protocol.OutcomeFenced:
		k.stopOrdering()
	}
	if !r.ApplyOutcome(nowMs, in.Outcome, k) {
		k.store.Settle(nowMs, in.Number, false)
	} else if in.Outcome == protocol.OutcomeAccepted {
		k.store.Settle(nowMs, in.Number, true)
	}
	k.replanNeeded = true
}

// stopOrdering stops all orders: another holder has a higher fence.
func (k *Manager) stopOrdering() {
	k.fenced, k.fencedEpoch = true, k.epoch
}

// mayOrder says whether orders may go out now.
func (k *Manager) mayOrder(nowMs, holdUntilMs int64) bool {
	return k.ordersAllowed && k.active && !k.fenced && k.serviceMap != nil && k.listReadMs > 0 && nowMs >= k.ordersFromMs && nowMs < holdUntilMs-leaseMarginMs
}

// sendOrder writes an order into the ledger and sends it.
func (k *Manager) sendOrder(nowMs, holdUntilMs int64, r *Runner, mv Move) {
	k.lastNumber++
	o := &Order{Item: mv.Item, Number: k.lastNumber, Load: mv.Load, FromStore: mv.FromStore}
	r.BeginOrder(nowMs, o, k)
	switch {
	case mv.Load && mv.Adapter != "":
		k.counters.AdapterLoads++
	case mv.Adapter != "":
		k.counters.AdapterUnloads++
	case mv.Load:
		k.counters.Loads++
	default:
		k.counters.Unloads++
	}
	if mv.FromStore {
		k.counters.StoreLoads++
		k.store.Reserve(o.Number)
	}
	if mv.Load && r.ReservedFor == mv.Item {
		r.ReservedFor = Item{}
	}
	if !mv.Load && mv.ReserveFor.Model != "" {
		r.ReservedFor, r.ReservedUntilMs = mv.ReserveFor, nowMs+reservationMs
	}
	k.callRunner(nowMs, holdUntilMs, r)
	if mv.Load && mv.Adapter == "" {
		// Those who wait learn that it is under way.
		k.HoldersChanged(r.Service.Model(mv.Model))
	}
}

func (k *Manager) callRunner(nowMs, holdUntilMs int64, r *Runner) {
	o := r.Order
	o.DeadlineMs = min(nowMs+orderTimeoutMs, holdUntilMs)
	k.calls = append(k.calls, protocol.OutboundCall{Address: r.Entry.Address, Body: protocol.RunnerOrder{
		Runner: r.Entry.ID, Number: o.Number, Holder: k.selfName, Fence: k.epoch,
		Load: o.Load, Model: o.Model, Adapter: o.Adapter, Expected: o.ExpectedCount, UntilMs: o.DeadlineMs,
	}})
}

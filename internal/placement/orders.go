package placement

import "myrtlewinch/internal/protocol"

const (
	// orderMs is the longest an order may wait to be written.
	orderMs = 600
	// holdMarginMs is kept clear of the end of the hold.
	holdMarginMs = 100
)

// Commanded takes what became of the call of an order.
func (k *Keeper) Commanded(nowMs int64, in protocol.RunnerOrderResult) {
	r := k.runners[in.Runner]
	if !k.active || r == nil {
		return
	}
	o := r.order
	if o == nil || o.number != in.Number {
		k.counts.Late++
		if in.Outcome == protocol.OutcomeFenced {
			k.lowFence()
		}
		return
	}
	switch in.Outcome {
	case protocol.OutcomeAccepted:
		k.counts.Taken++
	case protocol.OutcomeBusy, protocol.OutcomeAlreadyInEffect, protocol.OutcomeNotSent:
		k.counts.Busy++
	case protocol.OutcomeRefused:
		k.counts.Refused++
	case protocol.OutcomeUnknown:
		k.counts.Unknown++
	case protocol.OutcomeFenced:
		k.lowFence()
	}
	if !r.said(nowMs, in.Outcome, k) {
		k.store.settled(nowMs, in.Number, false)
	} else if in.Outcome == protocol.OutcomeAccepted {
		k.store.settled(nowMs, in.Number, true)
	}
	k.replan = true
}

// lowFence stops all orders: another holder has a higher fence.
func (k *Keeper) lowFence() {
	k.fenced, k.fencedAt = true, k.epoch
}

// mayOrder says whether orders may go out now.
func (k *Keeper) mayOrder(nowMs, holdUntilMs int64) bool {
	return k.allowed && k.active && !k.fenced && k.m != nil && k.listOkMs > 0 && nowMs >= k.ordersFromMs && nowMs < holdUntilMs-holdMarginMs
}

// order writes an order into the ledger and sends it.
func (k *Keeper) order(nowMs, holdUntilMs int64, r *runner, mv move) {
	k.number++
	o := &command{thing: mv.thing, number: k.number, load: mv.load, fromStore: mv.fromStore}
	r.intend(nowMs, o, k)
	switch {
	case mv.load && mv.Adapter != "":
		k.counts.AdapterLoads++
	case mv.Adapter != "":
		k.counts.AdapterUnloads++
	case mv.load:
		k.counts.Loads++
	default:
		k.counts.Unloads++
	}
	if mv.fromStore {
		k.counts.StoreLoads++
		k.store.sent(o.number)
	}
	if mv.load && r.plan == mv.thing {
		r.plan = thing{}
	}
	if !mv.load && mv.plan.Model != "" {
		r.plan, r.planMs = mv.plan, nowMs+planKeptMs
	}
	k.send(nowMs, holdUntilMs, r)
	if mv.load && mv.Adapter == "" {
		// Those who wait learn that it is under way.
		k.touch(r.service.model(mv.Model))
	}
}

func (k *Keeper) send(nowMs, holdUntilMs int64, r *runner) {
	o := r.order
	o.untilMs = min(nowMs+orderMs, holdUntilMs)
	k.calls = append(k.calls, protocol.OutboundCall{Address: r.entry.Address, Body: protocol.RunnerOrder{
		Runner: r.entry.ID, Number: o.number, Holder: k.holder, Fence: k.epoch,
		Load: o.load, Model: o.Model, Adapter: o.Adapter, Expected: o.expected, UntilMs: o.untilMs,
	}})
}

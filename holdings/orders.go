package holdings

import "myrtlewinch/wire"

const (
	// orderMs is the longest an order may wait to be written.
	orderMs = 600
	// holdMarginMs is kept clear of the end of the hold.
	holdMarginMs = 100
)

// Commanded takes what became of the call of an order.
func (k *Keeper) Commanded(nowMs int64, in wire.CommandSaid) {
	r := k.runners[in.Runner]
	if !k.active || r == nil {
		return
	}
	o := r.order
	if o == nil || o.number != in.Number {
		k.counts.Late++
		if in.Outcome == wire.CommandFenced {
			k.lowFence()
		}
		return
	}
	switch in.Outcome {
	case wire.CommandTaken:
		k.counts.Taken++
	case wire.CommandBusy, wire.CommandInEffect, wire.CommandNotSent:
		k.counts.Busy++
	case wire.CommandRefused:
		k.counts.Refused++
	case wire.CommandUnknown:
		k.counts.Unknown++
	case wire.CommandFenced:
		k.lowFence()
	}
	if !r.said(nowMs, in.Outcome, k) {
		k.store.settled(nowMs, in.Number, false)
	} else if in.Outcome == wire.CommandTaken {
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
	k.calls = append(k.calls, wire.Call{Address: r.entry.Address, Body: wire.CommandCall{
		Runner: r.entry.ID, Number: o.number, Holder: k.holder, Fence: k.epoch,
		Load: o.load, Model: o.Model, Adapter: o.Adapter, Expected: o.expected, UntilMs: o.untilMs,
	}})
}

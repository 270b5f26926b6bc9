package runnerstate

import "myrtlewinch/internal/protocol"

const (
	// orderCooldownMs is the pause after an order that the runner rejected.
	orderCooldownMs = 150
	// retryMs is the least time between two sends of one order.
	retryMs = 250
	// abandonMs is how long after its first sending an order of unknown outcome
	// that no state shows is abandoned. A runner executes at most one order for
	// each value of its count of orders, so a later one can't be executed twice.
	abandonMs = 2_500
	// minAbandonRetries is how often such an order must have been sent again.
	minAbandonRetries = 2
)

// OrderPhase is what is known of an order.
type OrderPhase int

const (
	// OrderSent means that the call has not ended yet.
	OrderSent OrderPhase = iota
	// OrderAccepted means that the runner said that it began.
	OrderAccepted
	// OrderUnknown means that the runner may have accepted it, or may yet.
	OrderUnknown
)

// String is the phase as the status page shows it.
func (p OrderPhase) String() string { return [...]string{"sent", "taken", "unknown"}[p] }

// Item is what a runner may hold: a model, or an adapter of one.
type Item struct{ Model, Adapter string }

// Order is an order to a runner whose end is not known yet. It is recorded here
// before it is sent.
type Order struct {
	Item
	// Number tells orders apart; it rises over all runners.
	Number uint64
	// Load is false for an unload.
	Load bool
	// ExpectedCount is how many orders the runner had accepted before. The runner
	// rejects the order at any other count, so a retry can't run twice.
	ExpectedCount int64
	Phase         OrderPhase
	// FromStore says that the load counts against the weight store's rate.
	FromStore bool
	// FirstSentMs and LastSentMs are when it was sent first and last,
	// PhaseSinceMs when its phase became known, and DeadlineMs when the last call
	// may be written at latest.
	FirstSentMs, LastSentMs, PhaseSinceMs, DeadlineMs int64
	// Retries counts how often it was sent again; RetryNeeded asks for it.
	Retries     int
	RetryNeeded bool
	// Assumed says that an adapter counts as held before a state shows it.
	Assumed bool
}

// LoadsModel says that the order loads a model, not an adapter.
func (o *Order) LoadsModel() bool { return o.Load && o.Adapter == "" }

// LoadsAdapter says that the order loads an adapter.
func (o *Order) LoadsAdapter() bool { return o.Load && o.Adapter != "" }

// isAssumedLoad says that the order is an accepted load of an adapter that
// counts as done.
func (o *Order) isAssumedLoad() bool { return o.Assumed && o.Load && o.Phase == OrderAccepted }

func (o *Order) setPhase(phase OrderPhase, nowMs int64) { o.Phase, o.PhaseSinceMs = phase, nowMs }

// OutcomeUnknown notes that the order's call brought no answer.
func (o *Order) OutcomeUnknown(nowMs int64) { o.setPhase(OrderUnknown, nowMs) }

// RetryDue says whether the order should be sent again.
func (o *Order) RetryDue(nowMs int64) bool {
	return o.RetryNeeded && o.Phase == OrderUnknown && nowMs-o.LastSentMs >= retryMs
}

// Retry notes that the order is sent again.
func (o *Order) Retry(nowMs int64) {
	o.RetryNeeded, o.LastSentMs, o.Phase = false, nowMs, OrderSent
	o.Retries++
}

// canAbandon says whether an order of unknown outcome that a state does not
// show may be abandoned.
func (o *Order) canAbandon(nowMs int64) bool {
	return nowMs-o.FirstSentMs > abandonMs && o.Retries >= minAbandonRetries
}

// CanTakeLoad says whether a load may be ordered: the held models are confirmed
// at a known count of orders, and no order is open. A load may also follow an
// adapter's load that is as good as done, since the held models are known at
// the count after it.
func (r *Runner) CanTakeLoad(nowMs int64) bool {
	if !r.Confirmed || nowMs < r.cooldownUntilMs || r.Unavailable() {
		return false
	}
	return r.Order == nil || r.Order.isAssumedLoad()
}

// BeginOrder records an order, which is sent only afterwards.
func (r *Runner) BeginOrder(nowMs int64, o *Order, observer Observer) {
	if r.Order != nil {
		// Its adapter is as good as held: the runner accepts the next order only at
		// the count after it.
		r.orderCount++
	}
	o.ExpectedCount = r.orderCount
	o.FirstSentMs, o.LastSentMs, o.PhaseSinceMs = nowMs, nowMs, nowMs
	r.Order = o
	if !o.Load {
		r.setUnloading(o.Item, true, observer)
	}
}

// AssumeLoaded counts an accepted adapter as held before a state shows it.
func (r *Runner) AssumeLoaded(nowMs int64, observer Observer) {
	o := r.Order
	h := r.Held[o.Model]
	o.Assumed = true
	if h != nil && h.Adapters[o.Adapter] == nil {
		r.addAdapter(nowMs, h, o.Adapter)
		observer.HoldersChanged(h.Model)
	}
}

// ApplyOutcome applies the result of the open order's call. It returns false
// if the order surely never began, and true if it did or may have.
func (r *Runner) ApplyOutcome(nowMs int64, outcome protocol.OrderOutcome, observer Observer) (mayHaveBegun bool) {
	o := r.Order
	retried := o.Retries > 0
	switch {
	case outcome == protocol.OutcomeAccepted:
		o.setPhase(OrderAccepted, nowMs)
		return true
	case outcome == protocol.OutcomeUnknown, retried:
		// Whatever became of a retry, the first send may have been accepted.
		if o.Phase != OrderAccepted {
			o.setPhase(OrderUnknown, nowMs)
		}
		return true
	}
	r.Order, r.Confirmed, r.confirmAfterMs = nil, false, nowMs
	if !o.Load {
		r.setUnloading(o.Item, false, observer)
	}
	if outcome == protocol.OutcomeRejected || outcome == protocol.OutcomeBusy {
		r.cooldownUntilMs = nowMs + orderCooldownMs
	}
	return false
}

// abandonOrder ends the open order without a known outcome.
func (r *Runner) abandonOrder(observer Observer) {
	o := r.Order
	r.Order = nil
	if o != nil && !o.Load {
		r.setUnloading(o.Item, false, observer)
	}
}

// setUnloading marks a held item as being unloaded, or not any more.
func (r *Runner) setUnloading(item Item, unloading bool, observer Observer) {
	h := r.Held[item.Model]
	if h == nil {
		return
	}
	if item.Adapter == "" {
		h.Unloading = unloading
	} else if a := h.Adapters[item.Adapter]; a != nil {
		a.Unloading = unloading
	}
	observer.HoldersChanged(h.Model)
}

package runnerstate

import "myrtlewinch/internal/protocol"

const (
	// orderCooldownMs is the pause after an order that the runner rejected.
	orderCooldownMs = 150
	// retryIntervalMs is the least time between two attempts to send one order.
	retryIntervalMs = 250
	// abandonAfterMs is how long after the first attempt an order of unknown outcome is
	// abandoned if no state shows it. A runner executes at most one order for each value of its
	// order count, so an attempt that arrives later can't be executed in addition to the next
	// order.
	abandonAfterMs = 2_500
	// minAbandonRetries is the least number of retries before an order of unknown outcome is
	// abandoned.
	minAbandonRetries = 2
)

// OrderPhase is what is known of an order.
type OrderPhase int

const (
	// OrderSent means that the order's call has not ended yet.
	OrderSent OrderPhase = iota
	// OrderAccepted means that the runner accepted the order.
	OrderAccepted
	// OrderUnknown means that the runner may have accepted the order, or may still do so.
	OrderUnknown
)

// String returns the phase as the status page shows it.
func (p OrderPhase) String() string { return [...]string{"sent", "taken", "unknown"}[p] }

// Item is what a runner may hold: a model, or an adapter of a model.
type Item struct{ Model, Adapter string }

// Order is an order to a runner that is not known to have ended. It is recorded before it is
// sent.
type Order struct {
	Item
	// Number identifies the order. Numbers increase over all runners.
	Number uint64
	// Load is false for an unload.
	Load bool
	// ExpectedCount is how many orders the runner had accepted before. The runner rejects the
	// order at any other count, so a retry can't run twice.
	ExpectedCount int64
	Phase         OrderPhase
	// FromStore is true if the load counts against the weight store's rate limit.
	FromStore bool
	// FirstSentMs and LastSentMs are the times of the first and the last attempt. PhaseSinceMs
	// is when the phase became known. The last attempt may be written no later than DeadlineMs.
	FirstSentMs, LastSentMs, PhaseSinceMs, DeadlineMs int64
	// Retries is the number of retries. RetryNeeded is true if another one should be sent.
	Retries     int
	RetryNeeded bool
	// Assumed is true if the loaded adapter counts as held before a state shows it.
	Assumed bool
}

// LoadsModel reports whether the order loads a model, not an adapter.
func (o *Order) LoadsModel() bool { return o.Load && o.Adapter == "" }

// LoadsAdapter reports whether the order loads an adapter.
func (o *Order) LoadsAdapter() bool { return o.Load && o.Adapter != "" }

// isAssumedLoad reports whether the order is an accepted load of an adapter that counts as
// finished.
func (o *Order) isAssumedLoad() bool { return o.Assumed && o.Load && o.Phase == OrderAccepted }

func (o *Order) setPhase(phase OrderPhase, nowMs int64) { o.Phase, o.PhaseSinceMs = phase, nowMs }

// MarkUnknown records that no result of the order's call arrived.
func (o *Order) MarkUnknown(nowMs int64) { o.setPhase(OrderUnknown, nowMs) }

// RetryDue reports whether the order should be sent again now.
func (o *Order) RetryDue(nowMs int64) bool {
	return o.RetryNeeded && o.Phase == OrderUnknown && nowMs-o.LastSentMs >= retryIntervalMs
}

// MarkRetried records that the order is sent again.
func (o *Order) MarkRetried(nowMs int64) {
	o.RetryNeeded, o.LastSentMs, o.Phase = false, nowMs, OrderSent
	o.Retries++
}

// canAbandon reports whether the order may be abandoned now. It applies to an order whose
// outcome is unknown and that the runner's states do not show.
func (o *Order) canAbandon(nowMs int64) bool {
	return nowMs-o.FirstSentMs > abandonAfterMs && o.Retries >= minAbandonRetries
}

// ReadyForOrder reports whether the runner's state allows a new order. The runner must be
// available and not in the pause after a rejected order, its held models must be confirmed at a
// known order count, and no order may be open. A load may also follow an adapter's load that
// counts as finished, because the held models are then known at the next count.
func (r *Runner) ReadyForOrder(nowMs int64) bool {
	if !r.Confirmed || nowMs < r.cooldownUntilMs || r.Unavailable() {
		return false
	}
	return r.Order == nil || r.Order.isAssumedLoad()
}

// BeginOrder records an order. It must be called before the order is sent.
func (r *Runner) BeginOrder(nowMs int64, o *Order, observer Observer) {
	if r.Order != nil {
		// The open order is an adapter's load that counts as finished. The runner accepts the
		// next order only at the count after it.
		r.orderCount++
	}
	o.ExpectedCount = r.orderCount
	o.FirstSentMs, o.LastSentMs, o.PhaseSinceMs = nowMs, nowMs, nowMs
	r.Order = o
	if !o.Load {
		r.setUnloading(o.Item, true, observer)
	}
}

// AssumeLoaded counts the adapter of an accepted load as held before a state shows it.
func (r *Runner) AssumeLoaded(nowMs int64, observer Observer) {
	o := r.Order
	h := r.Held[o.Model]
	o.Assumed = true
	if h != nil && h.Adapters[o.Adapter] == nil {
		r.addAdapter(nowMs, h, o.Adapter)
		observer.HoldersChanged(h.Model)
	}
}

// ApplyOutcome applies the result of the open order's call. It returns false if the order
// certainly never began, and true if it did or may have.
func (r *Runner) ApplyOutcome(nowMs int64, outcome protocol.OrderOutcome, observer Observer) (mayHaveBegun bool) {
	o := r.Order
	retried := o.Retries > 0
	switch {
	case outcome == protocol.OutcomeAccepted:
		o.setPhase(OrderAccepted, nowMs)
		return true
	case outcome == protocol.OutcomeUnknown, retried:
		// Whatever the outcome of a retry, the first attempt may have been accepted.
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

// abandonOrder removes the open order without a known outcome.
func (r *Runner) abandonOrder(observer Observer) {
	o := r.Order
	r.Order = nil
	if o != nil && !o.Load {
		r.setUnloading(o.Item, false, observer)
	}
}

// setUnloading sets or clears Unloading of a held item.
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

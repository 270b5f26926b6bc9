package placement

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// OrderPhase is what is known of an order.
type OrderPhase int

const (
	// OrderSent: its call has not ended yet.
	OrderSent OrderPhase = iota
	// OrderAccepted: the runner said that it is under way.
	OrderAccepted
	// OrderUnknown: it may have been taken, or may still be.
	OrderUnknown
)

// Item is what a runner may hold: a model, or an adapter of one.
type Item struct{ Model, Adapter string }

// Order is an order to a runner whose end is not known yet. It stands here
// before it is sent.
type Order struct {
	Item
	Number uint64
	Load   bool
	// ExpectedCount is how many orders the runner had taken before.
	ExpectedCount int64
	Phase         OrderPhase
	// FromStore says that the load counts against the pace of the store.
	FromStore bool
	// FirstSentMs and LastSentMs are when it was first and last sent; PhaseSinceMs since
	// when its phase is known; seenMs when a state first showed it under way.
	FirstSentMs, LastSentMs, PhaseSinceMs, seenMs int64
	DeadlineMs                                    int64
	// Retries counts how often it was sent again; repeat asks for it.
	Retries     int
	RetryNeeded bool
	// Assumed says that an adapter counts as there before a state shows it.
	Assumed bool
}

// HeldModel is a model on a runner.
type HeldModel struct {
	Model   *Model
	version int64
	SinceMs int64
	// Unloading says that its unload was ordered: it is offered no more, but
	// takes its room until a state shows it gone.
	Unloading bool
	Adapters  map[string]*HeldAdapter
}

type HeldAdapter struct {
	SinceMs   int64
	Unloading bool
}

// Runner is the ledger of one life of a runner.
type Runner struct {
	Entry protocol.RunnerEntry
	// Hash gives it its place among the holders that a router is offered.
	Hash    uint64
	Service *Service
	Held    map[string]*HeldModel
	// OnDisk lists what it has held in this life: it comes back from there
	// sooner, and without the store.
	OnDisk map[string]bool
	// Order is the one under way or unknown, or nil.
	Order *Order
	// orderCount is the count of orders at which held is the truth, where clean.
	orderCount int64
	Confirmed  bool
	// confirmAfterMs: only a state asked for after it may make the runner clean.
	confirmAfterMs int64
	lowerCounts    int
	State          protocol.RunnerState
	// StateMs is when the last state came; LastReplyMs when it last answered.
	StateMs, LastReplyMs int64
	PollNumber           uint64
	PolledMs             int64
	FailedPolls          int
	Suspect              bool
	// Leaving is for ever; gone is not listed any more.
	Leaving     bool
	MissedLists int
	goneMs      int64
	leftAtMs    int64
	// ReservedFor is what room is kept for here until ReservedUntilMs.
	ReservedFor     Item
	ReservedUntilMs int64
	// cooldownUntilMs holds off orders after one that was refused.
	cooldownUntilMs int64
}

// Observer is told of each model whose holders changed.
type Observer interface{ HoldersChanged(m *Model) }

func NewRunner(e protocol.RunnerEntry, s *Service) *Runner {
	return &Runner{Entry: e, Hash: hashName(e.ID), Service: s, Held: map[string]*HeldModel{}, OnDisk: map[string]bool{}}
}

// Unavailable says that it may not be sent new requests.
func (r *Runner) Unavailable() bool { return r.Leaving || r.MissedLists > 0 }

// UsedMb is the room that counts as taken, at full size: also what is being
// unloaded, and what an order may be loading.
func (r *Runner) UsedMb() float64 {
	sum := 0.0
	for _, h := range r.Held {
		sum += h.Model.Spec.SizeMb + float64(len(h.Adapters))*h.Model.Spec.AdapterSizeMb
	}
	if o := r.Order; o != nil && o.Load && !r.Has(o.Item) {
		m := r.Service.Model(o.Model)
		if o.Adapter == "" {
			sum += m.Spec.SizeMb
		} else {
			sum += m.Spec.AdapterSizeMb
		}
	}
	return sum
}

// UsedAdapterSlots counts the places for adapters, likewise.
func (r *Runner) UsedAdapterSlots() int {
	sum := 0
	for _, h := range r.Held {
		sum += len(h.Adapters)
	}
	if o := r.Order; o != nil && o.Load && o.Adapter != "" && !r.Has(o.Item) {
		sum++
	}
	return sum
}

// Has says whether the ledger holds it, also if it is going.
func (r *Runner) Has(t Item) bool {
	h := r.Held[t.Model]
	return h != nil && (t.Adapter == "" || h.Adapters[t.Adapter] != nil)
}

// Offers says whether requests for it may be sent here.
func (r *Runner) Offers(t Item) bool {
	h := r.Held[t.Model]
	if h == nil || h.Unloading {
		return false
	}
	if t.Adapter == "" {
		return true
	}
	a := h.Adapters[t.Adapter]
	return a != nil && !a.Unloading
}

// CanTakeLoad says whether an order may be given: the ledger is the truth at a known
// count, and nothing is open. A load may also follow an adapter's load that is
// as good as done: at the count after it the ledger is the truth as well.
func (r *Runner) CanTakeLoad(nowMs int64, load bool) bool {
	if !r.Confirmed || nowMs < r.cooldownUntilMs || r.Unavailable() {
		return false
	}
	return r.Order == nil || load && r.Order.Assumed && r.Order.Load && r.Order.Phase == OrderAccepted
}

// ApplyModels takes what the runner says for the truth.
func (r *Runner) ApplyModels(nowMs int64, models []protocol.HeldModel, t Observer) {
	said := map[string]bool{}
	for _, m := range models {
		said[m.Name] = true
		h := r.Held[m.Name]
		if h == nil {
			h = &HeldModel{Model: r.Service.Model(m.Name), SinceMs: nowMs, Adapters: map[string]*HeldAdapter{}}
			r.Held[m.Name] = h
			r.OnDisk[m.Name] = true
			h.Model.Holders = append(h.Model.Holders, r)
			t.HoldersChanged(h.Model)
		}
		h.version = m.Version
		for _, a := range m.Adapters {
			if h.Adapters[a] == nil {
				r.addAdapter(nowMs, h, a)
				t.HoldersChanged(h.Model)
			}
		}
		for a := range h.Adapters {
			if !slices.Contains(m.Adapters, a) && !r.hasAssumed(Item{m.Name, a}) {
				r.removeAdapter(h, a)
				t.HoldersChanged(h.Model)
			}
		}
	}
	for name := range r.Held {
		if !said[name] {
			r.RemoveModel(name, t)
		}
	}
	// What was going and still stands, with no order about it, stays after all.
	for name, h := range r.Held {
		if h.Unloading && !r.isUnloading(Item{name, ""}) {
			h.Unloading = false
			t.HoldersChanged(h.Model)
		}
		for a, ha := range h.Adapters {
			if ha.Unloading && !r.isUnloading(Item{name, a}) {
				ha.Unloading = false
				t.HoldersChanged(h.Model)
			}
		}
	}
}

func (r *Runner) hasAssumed(x Item) bool {
	return r.Order != nil && r.Order.Assumed && r.Order.Item == x
}

func (r *Runner) isUnloading(x Item) bool {
	return r.Order != nil && !r.Order.Load && r.Order.Item == x
}

// addAdapter notes that it holds an adapter, and leave that it does no more.
func (r *Runner) addAdapter(nowMs int64, h *HeldModel, adapter string) {
	h.Adapters[adapter] = &HeldAdapter{SinceMs: nowMs}
	if h.Model.AdapterHolders == nil {
		h.Model.AdapterHolders = map[string][]*Runner{}
	}
	h.Model.AdapterHolders[adapter] = append(h.Model.AdapterHolders[adapter], r)
}

func (r *Runner) removeAdapter(h *HeldModel, adapter string) {
	delete(h.Adapters, adapter)
	with := h.Model.AdapterHolders[adapter]
	if i := slices.Index(with, r); i >= 0 {
		with = slices.Delete(with, i, i+1)
	}
	if h.Model.AdapterHolders[adapter] = with; len(with) == 0 {
		delete(h.Model.AdapterHolders, adapter)
	}
}

func (r *Runner) RemoveModel(name string, t Observer) {
	h := r.Held[name]
	if h == nil {
		return
	}
	delete(r.Held, name)
	for a := range h.Adapters {
		r.removeAdapter(h, a)
	}
	if i := slices.Index(h.Model.Holders, r); i >= 0 {
		h.Model.Holders = slices.Delete(h.Model.Holders, i, i+1)
	}
	t.HoldersChanged(h.Model)
}

// BeginOrder writes an order into the ledger; it is sent only afterwards.
func (r *Runner) BeginOrder(nowMs int64, o *Order, t Observer) {
	if r.Order != nil {
		// Its adapter is as good as there: the runner takes the next order only
		// at the count after it.
		r.orderCount++
	}
	o.ExpectedCount, o.FirstSentMs, o.LastSentMs, o.PhaseSinceMs = r.orderCount, nowMs, nowMs, nowMs
	r.Order = o
	if !o.Load {
		r.setUnloading(o.Item, true, t)
	}
}

func (r *Runner) setUnloading(x Item, going bool, t Observer) {
	h := r.Held[x.Model]
	if h == nil {
		return
	}
	if x.Adapter == "" {
		h.Unloading = going
	} else if a := h.Adapters[x.Adapter]; a != nil {
		a.Unloading = going
	}
	t.HoldersChanged(h.Model)
}

// AssumeLoaded counts a taken adapter as there ahead of the state that shows it.
func (r *Runner) AssumeLoaded(nowMs int64, t Observer) {
	o := r.Order
	h := r.Held[o.Model]
	o.Assumed = true
	if h != nil && h.Adapters[o.Adapter] == nil {
		r.addAdapter(nowMs, h, o.Adapter)
		t.HoldersChanged(h.Model)
	}
}

// ApplyOutcome settles what the call of an order brought. It says whether the load
// may count as never begun (false) or not be known (true).
func (r *Runner) ApplyOutcome(nowMs int64, outcome protocol.OrderOutcome, t Observer) (open bool) {
	o := r.Order
	repeated := o.Retries > 0
	switch {
	case outcome == protocol.OutcomeAccepted:
		o.Phase, o.PhaseSinceMs = OrderAccepted, nowMs
		return true
	case outcome == protocol.OutcomeUnknown, repeated:
		// Whatever became of a repeat, the first one may have been taken.
		if o.Phase != OrderAccepted {
			o.Phase, o.PhaseSinceMs = OrderUnknown, nowMs
		}
		return true
	}
	r.Order, r.Confirmed, r.confirmAfterMs = nil, false, nowMs
	if !o.Load {
		r.setUnloading(o.Item, false, t)
	}
	if outcome == protocol.OutcomeRejected || outcome == protocol.OutcomeBusy {
		r.cooldownUntilMs = nowMs + orderCooldownMs
	}
	return false
}

const (
	orderCooldownMs = 150
	// maxLowerCounts is how many states in a row may tell a lower count before it
	// is believed.
	maxLowerCounts = 4
	// retryMs is the least time between two sends of one order; abandonMs after
	// which an unknown order that no state shows is given up. Its runner takes
	// no more than one order at a count, so a later one can't double it.
	retryMs   = 250
	abandonMs = 2_500
)

// OrderResult is what a state did to the order that was open.
type OrderResult int

const (
	OrderOpen OrderResult = iota
	OrderDone
	OrderLost
)

// ApplyState takes a state that was asked for at subscriptionMs.
func (r *Runner) ApplyState(nowMs, askedMs int64, s protocol.RunnerState, t Observer) OrderResult {
	r.State, r.StateMs, r.LastReplyMs = s, nowMs, nowMs
	// States are as of some time before: an older one than the ledger says
	// nothing. The count falls only with a restart, which has a new id.
	if s.Calls < r.orderCount {
		r.lowerCounts++
		if r.lowerCounts < maxLowerCounts {
			return OrderOpen
		}
		r.Order = nil
	}
	r.lowerCounts = 0
	o := r.Order
	if o == nil {
		r.orderCount = s.Calls
		r.Confirmed = !s.Busy && askedMs >= r.confirmAfterMs
		r.ApplyModels(nowMs, s.Models, t)
		return OrderLost
	}
	switch {
	case s.Calls == o.ExpectedCount:
		if s.Busy {
			return OrderOpen
		}
		r.ApplyModels(nowMs, s.Models, t)
		if o.Phase == OrderUnknown && askedMs >= o.PhaseSinceMs {
			if nowMs-o.FirstSentMs > abandonMs && o.Retries > 1 {
				r.abandonOrder(t)
				r.Confirmed = true
				return OrderLost
			}
			o.RetryNeeded = true
		}
		// It was said to be taken, yet long after the runner knows nothing.
		if o.Phase == OrderAccepted && askedMs-o.PhaseSinceMs > 2*abandonMs {
			r.abandonOrder(t)
			r.Confirmed = true
			return OrderLost
		}
		return OrderOpen
	case s.Calls == o.ExpectedCount+1 && s.Busy:
		if o.Phase != OrderAccepted {
			o.Phase, o.PhaseSinceMs = OrderAccepted, nowMs
		}
		if o.seenMs == 0 {
			o.seenMs = nowMs
		}
		o.RetryNeeded = false
		return OrderOpen
	case s.Busy:
		// Another holder's order came after ours.
		r.abandonOrder(t)
		r.orderCount, r.Confirmed = s.Calls, false
		r.ApplyModels(nowMs, s.Models, t)
		return OrderDone
	}
	r.Order = nil
	r.orderCount, r.Confirmed = s.Calls, true
	r.ApplyModels(nowMs, s.Models, t)
	return OrderDone
}

func (r *Runner) abandonOrder(t Observer) {
	o := r.Order
	r.Order = nil
	if o != nil && !o.Load {
		r.setUnloading(o.Item, false, t)
	}
}

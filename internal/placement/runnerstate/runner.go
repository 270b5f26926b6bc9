// Package runnerstate tracks the state of each runner: the models and adapters that it holds
// and its open order. It is a pure state machine: the caller passes the time in and sends the
// orders.
//
// A runner counts the orders that it accepted and reports the count in its state. An order
// names the count that it expects, so it runs at most once. The held models are confirmed when
// a state shows them at a known count.
package runnerstate

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// Observer is notified of each model whose holders changed.
type Observer interface{ HoldersChanged(m *Model) }

// HeldModel is a model on a runner.
type HeldModel struct {
	Model *Model
	// SinceMs is when the model was first known to be held.
	SinceMs int64
	// Unloading is true once the unload was ordered. No requests are sent to the runner for it
	// any more, but it counts as using memory until a state shows that it is gone.
	Unloading bool
	Adapters  map[string]*HeldAdapter
}

// HeldAdapter is an adapter on a runner. Its fields mean the same as in HeldModel.
type HeldAdapter struct {
	SinceMs   int64
	Unloading bool
}

// Runner is the state of one incarnation of a runner; after a restart it has a new id.
type Runner struct {
	// Entry is the runner's last entry in the platform's list, without models.
	Entry protocol.RunnerEntry
	// Hash determines for which routers the runner is listed if there are many holders.
	Hash    uint64
	Service *Service
	Held    map[string]*HeldModel
	// OnDisk holds the models that the runner has on its own disk. Loads from there are faster
	// and don't use the weight store. The value is false for models that only the previous
	// incarnation is known to have held.
	OnDisk map[string]bool
	// Order is the open order: in progress, or of unknown outcome. It is nil if there is none.
	Order *Order
	// Confirmed is true if Held is what the runner holds after orderCount orders.
	Confirmed  bool
	orderCount int64
	// confirmAfterMs is the earliest time at which a state must have been requested to confirm
	// Held.
	confirmAfterMs int64
	// lowerCounts is how many consecutive states showed fewer orders than orderCount.
	lowerCounts int
	// State is the last state and StateMs when it arrived, 0 for never.
	State   protocol.RunnerState
	StateMs int64
	// LastReplyMs is when the runner last replied to a poll.
	LastReplyMs int64
	// PollNumber is the number of the open poll, or 0 if no poll is open. PolledMs is when the
	// last poll was sent. FailedPolls is how many consecutive polls have failed.
	PollNumber  uint64
	PolledMs    int64
	FailedPolls int
	// Suspect is true if the runner may be down. Requests are sent to it only if no other
	// runner can serve them.
	Suspect bool
	// Draining is true once the list or a snapshot showed the runner as draining; it never
	// becomes false again.
	Draining bool
	// MissedLists is how many consecutive lists of the platform did not contain the runner.
	MissedLists int
	// ReservedFor is the item that memory is reserved for until ReservedUntilMs. Its Model is
	// empty if nothing is reserved.
	ReservedFor     Item
	ReservedUntilMs int64
	// cooldownUntilMs is the time before which no order is sent because one was rejected.
	cooldownUntilMs int64
}

// New returns a runner that holds nothing yet. See Runner.Hash for hash.
func New(entry protocol.RunnerEntry, hash uint64, s *Service) *Runner {
	return &Runner{Entry: entry, Hash: hash, Service: s, Held: map[string]*HeldModel{}, OnDisk: map[string]bool{}}
}

// Unavailable reports whether no new requests may be sent to the runner because it is draining
// or missing from the platform's list.
func (r *Runner) Unavailable() bool { return r.Draining || r.MissedLists > 0 }

// ResetForPrimary prepares the runner for a new primary. It gets no order until a state that is
// requested from now on confirms what it holds. The next poll is due at once if polledMs is far
// enough in the past.
func (r *Runner) ResetForPrimary(nowMs, polledMs int64) {
	r.ClearOrder()
	r.confirmAfterMs, r.FailedPolls = nowMs, 0
	r.LastReplyMs, r.PolledMs = nowMs, polledMs
	r.ReservedFor, r.Suspect = Item{}, false
}

// ClearOrder discards the open order and the open poll.
func (r *Runner) ClearOrder() { r.Order, r.Confirmed, r.PollNumber = nil, false, 0 }

// HasReservation reports whether memory is reserved for a load now.
func (r *Runner) HasReservation(nowMs int64) bool {
	return r.ReservedFor.Model != "" && nowMs < r.ReservedUntilMs
}

// loadOfNewItem returns the open order if it loads an item that the runner is not known to
// hold, or nil.
func (r *Runner) loadOfNewItem() *Order {
	if o := r.Order; o != nil && o.Load && !r.Has(o.Item) {
		return o
	}
	return nil
}

// UsedMb returns the memory in MB that counts as used: everything that the runner holds, at
// full size even while it is unloaded, and what the open order may be loading.
func (r *Runner) UsedMb() float64 {
	sum := 0.0
	for _, h := range r.Held {
		sum += h.Model.Spec.SizeMb + float64(len(h.Adapters))*h.Model.Spec.AdapterSizeMb
	}
	if o := r.loadOfNewItem(); o != nil {
		m := r.Service.Model(o.Model)
		if o.Adapter == "" {
			sum += m.Spec.SizeMb
		} else {
			sum += m.Spec.AdapterSizeMb
		}
	}
	return sum
}

// UsedAdapterSlots returns the number of adapter slots that count as used, by the same rules as
// in UsedMb.
func (r *Runner) UsedAdapterSlots() int {
	sum := 0
	for _, h := range r.Held {
		sum += len(h.Adapters)
	}
	if o := r.loadOfNewItem(); o != nil && o.Adapter != "" {
		sum++
	}
	return sum
}

// Has reports whether the runner is known to hold an item, even if it is being unloaded.
func (r *Runner) Has(item Item) bool {
	h := r.Held[item.Model]
	return h != nil && (item.Adapter == "" || h.Adapters[item.Adapter] != nil)
}

// Offers reports whether requests for an item may be sent to the runner.
func (r *Runner) Offers(item Item) bool {
	h := r.Held[item.Model]
	if h == nil || h.Unloading {
		return false
	}
	if item.Adapter == "" {
		return true
	}
	a := h.Adapters[item.Adapter]
	return a != nil && !a.Unloading
}

// ApplyModels replaces what the runner holds with a complete list of its models.
func (r *Runner) ApplyModels(nowMs int64, models []protocol.HeldModel, observer Observer) {
	listed := map[string]bool{}
	for _, m := range models {
		listed[m.Name] = true
		r.applyModel(nowMs, m, observer)
	}
	for name := range r.Held {
		if !listed[name] {
			r.RemoveModel(name, observer)
		}
	}
	r.clearStaleUnloading(observer)
}

// applyModel applies the listed state of one held model and its adapters.
func (r *Runner) applyModel(nowMs int64, m protocol.HeldModel, observer Observer) {
	h := r.Held[m.Name]
	if h == nil {
		h = &HeldModel{Model: r.Service.Model(m.Name), SinceMs: nowMs, Adapters: map[string]*HeldAdapter{}}
		r.Held[m.Name] = h
		r.OnDisk[m.Name] = true
		h.Model.Holders = append(h.Model.Holders, r)
		observer.HoldersChanged(h.Model)
	}
	for _, adapter := range m.Adapters {
		if h.Adapters[adapter] == nil {
			r.addAdapter(nowMs, h, adapter)
			observer.HoldersChanged(h.Model)
		}
	}
	for adapter := range h.Adapters {
		listed := slices.Contains(m.Adapters, adapter)
		if !listed && !r.isAssumed(Item{m.Name, adapter}) {
			r.removeAdapter(h, adapter)
			observer.HoldersChanged(h.Model)
		}
	}
}

// clearStaleUnloading clears Unloading for items that are still held and that no open order
// unloads.
func (r *Runner) clearStaleUnloading(observer Observer) {
	for name, h := range r.Held {
		if h.Unloading && !r.isUnloading(Item{name, ""}) {
			h.Unloading = false
			observer.HoldersChanged(h.Model)
		}
		for adapter, held := range h.Adapters {
			if held.Unloading && !r.isUnloading(Item{name, adapter}) {
				held.Unloading = false
				observer.HoldersChanged(h.Model)
			}
		}
	}
}

func (r *Runner) isAssumed(item Item) bool {
	return r.Order != nil && r.Order.Assumed && r.Order.Item == item
}

func (r *Runner) isUnloading(item Item) bool {
	return r.Order != nil && !r.Order.Load && r.Order.Item == item
}

func (r *Runner) addAdapter(nowMs int64, h *HeldModel, adapter string) {
	h.Adapters[adapter] = &HeldAdapter{SinceMs: nowMs}
	h.Model.addAdapterHolder(adapter, r)
}

func (r *Runner) removeAdapter(h *HeldModel, adapter string) {
	delete(h.Adapters, adapter)
	h.Model.removeAdapterHolder(adapter, r)
}

// RemoveModel removes a held model and its adapters.
func (r *Runner) RemoveModel(name string, observer Observer) {
	h := r.Held[name]
	if h == nil {
		return
	}
	delete(r.Held, name)
	for adapter := range h.Adapters {
		r.removeAdapter(h, adapter)
	}
	h.Model.removeHolder(r)
	observer.HoldersChanged(h.Model)
}

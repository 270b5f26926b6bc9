// Package runnerstate keeps what is known of each runner: the models and
// adapters that it holds and the order that it carries out. It is a pure state
// machine: the caller passes the time in and sends what is to be sent.
//
// A runner counts the orders that it accepted and shows the count in its state.
// An order names the count that it expects, so it runs at most once. The held
// models are confirmed when a state shows them at a known count.
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
	// SinceMs is when it was first known to be held.
	SinceMs int64
	// Unloading says that its unload was ordered. Requests are sent there no more,
	// but it counts as using memory until a state shows it gone.
	Unloading bool
	Adapters  map[string]*HeldAdapter
}

// HeldAdapter is an adapter on a runner. Its fields mean the same as in
// HeldModel.
type HeldAdapter struct {
	SinceMs   int64
	Unloading bool
}

// Runner is the state of one incarnation of a runner; after a restart it has a
// new id.
type Runner struct {
	// Entry is the runner's last entry in the platform's list, without models.
	Entry protocol.RunnerEntry
	// Hash ranks the runner among the holders that a router is offered.
	Hash    uint64
	Service *Service
	Held    map[string]*HeldModel
	// OnDisk holds what this incarnation has held: it loads from there sooner and
	// without the weight store. The value is false for what only the incarnation
	// before is known to have held.
	OnDisk map[string]bool
	// Order is the one that is under way or of unknown outcome, or nil.
	Order *Order
	// Confirmed says that Held is what the runner holds at orderCount orders.
	Confirmed  bool
	orderCount int64
	// confirmAfterMs: only a state that was requested at or after it confirms.
	confirmAfterMs int64
	// lowerCounts is how many states in a row showed fewer orders than orderCount.
	lowerCounts int
	// State is the last state and StateMs when it came, 0 for never.
	State   protocol.RunnerState
	StateMs int64
	// LastReplyMs is when the runner last answered a poll.
	LastReplyMs int64
	// PollNumber is that of the open poll, 0 for none; PolledMs is when the last
	// one was sent, and FailedPolls how many in a row failed.
	PollNumber  uint64
	PolledMs    int64
	FailedPolls int
	// Suspect says that the runner may be down; it is offered only where nobody
	// else is.
	Suspect bool
	// Leaving says that the runner drains; it never ends.
	Leaving bool
	// MissedLists is how many of the platform's lists in a row lacked it.
	MissedLists int
	// ReservedFor is what room is kept for until ReservedUntilMs; its Model is
	// empty for nothing.
	ReservedFor     Item
	ReservedUntilMs int64
	// cooldownUntilMs holds off orders after one that was rejected.
	cooldownUntilMs int64
}

// New makes a runner that holds nothing yet. Hash ranks it in the index.
func New(entry protocol.RunnerEntry, hash uint64, s *Service) *Runner {
	return &Runner{Entry: entry, Hash: hash, Service: s, Held: map[string]*HeldModel{}, OnDisk: map[string]bool{}}
}

// Unavailable says that no new requests may be sent to the runner, since it
// drains or the platform's list lacks it.
func (r *Runner) Unavailable() bool { return r.Leaving || r.MissedLists > 0 }

// ResetForPrimary prepares the runner for a new primary: it gets no order before
// a state requested from now on confirms what it holds. The next poll is due at
// once if polledMs lies far enough back.
func (r *Runner) ResetForPrimary(nowMs, polledMs int64) {
	r.ClearOrder()
	r.confirmAfterMs, r.FailedPolls = nowMs, 0
	r.LastReplyMs, r.PolledMs = nowMs, polledMs
	r.ReservedFor, r.Suspect = Item{}, false
}

// ClearOrder forgets the open order and the open poll.
func (r *Runner) ClearOrder() { r.Order, r.Confirmed, r.PollNumber = nil, false, 0 }

// HasReservation says whether memory is reserved for a load now.
func (r *Runner) HasReservation(nowMs int64) bool {
	return r.ReservedFor.Model != "" && nowMs < r.ReservedUntilMs
}

// loadOfNewItem returns the open order if it loads what the runner is not known
// to hold, or nil.
func (r *Runner) loadOfNewItem() *Order {
	if o := r.Order; o != nil && o.Load && !r.Has(o.Item) {
		return o
	}
	return nil
}

// UsedMb is the memory in MB that counts as used: all that the runner holds, at
// full size also while it is unloaded, and what an order may be loading.
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

// UsedAdapterSlots counts the adapter slots that are used, in the same way.
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

// Has says whether the runner is known to hold an item, also while it is
// unloaded.
func (r *Runner) Has(item Item) bool {
	h := r.Held[item.Model]
	return h != nil && (item.Adapter == "" || h.Adapters[item.Adapter] != nil)
}

// Offers says whether requests for an item may be sent to the runner.
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

// ApplyModels takes a list of models as the whole of what the runner holds.
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

// applyModel takes the listed state of one held model and its adapters.
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
		if !listed && !r.hasAssumed(Item{m.Name, adapter}) {
			r.removeAdapter(h, adapter)
			observer.HoldersChanged(h.Model)
		}
	}
}

// clearStaleUnloading marks what is still held, and which no open order unloads,
// as staying.
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

func (r *Runner) hasAssumed(item Item) bool {
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

// RemoveModel forgets a held model and its adapters.
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

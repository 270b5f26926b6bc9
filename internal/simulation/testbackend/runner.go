// Package testbackend holds the stand-ins for what lies outside the system: the
// runners with their weight store, the platform, and the senders.
package testbackend

import (
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// Runner is a back end: it holds what it is told to, within its room, and
// runs what it holds. It is a state machine too; its door is elsewhere.
type Runner struct {
	Name, Incarnation string
	Capacity          int64
	LoadMs            int64
	Checker           *invariants.Checker
	// AcceptOldRevisions makes it run under any revision, for showing that the system
	// does not lean on the runners' guard alone.
	AcceptOldRevisions bool

	epoch       uint64
	lastOrder   uint64
	lastState   string
	order       protocol.Order
	orderEndsMs int64
	held        map[string]protocol.HeldItem
	revision    uint64
	started     map[string]bool
	running     int64
}

// NewRunner makes a runner that holds nothing.
func NewRunner(name, incarnation string, room, loadMs int64, checker *invariants.Checker) *Runner {
	return &Runner{
		Name: name, Incarnation: incarnation, Capacity: room, LoadMs: loadMs, Checker: checker,
		held: map[string]protocol.HeldItem{}, started: map[string]bool{},
	}
}

// completeOrder ends an order whose time has come.
func (r *Runner) completeOrder(nowMs int64) {
	if r.lastState != protocol.OrderUnderWay || nowMs < r.orderEndsMs {
		return
	}
	r.lastState = protocol.OrderDone
	item := ledger.Item{Model: r.order.Model, Adapter: r.order.Adapter}.String()
	if r.order.Action == protocol.ActionLoad {
		r.held[item] = protocol.HeldItem{Model: r.order.Model, Adapter: r.order.Adapter, Size: r.order.Size}
		return
	}
	delete(r.held, item)
}

// Report is the runner's word on itself.
func (r *Runner) Report(nowMs int64) protocol.RunnerReport {
	r.completeOrder(nowMs)
	report := protocol.RunnerReport{
		Runner: r.Name, Incarnation: r.Incarnation, Room: r.Capacity, Burden: r.running, Epoch: r.epoch,
		LastOrder: r.lastOrder, LastState: r.lastState, Held: []protocol.HeldItem{},
	}
	for _, held := range r.held {
		report.Held = append(report.Held, held)
	}
	sort.Slice(report.Held, func(i, j int) bool {
		a, b := report.Held[i], report.Held[j]
		return a.Model < b.Model || a.Model == b.Model && a.Adapter < b.Adapter
	})
	return report
}

// RaiseEpoch takes the epoch of whoever reads the report as the least that is heeded.
func (r *Runner) RaiseEpoch(epoch uint64) { r.epoch = max(r.epoch, epoch) }

// AcceptOrder takes an order, or refuses one of a lower epoch, for another
// incarnation, or while another is under way. A repeat changes nothing.
func (r *Runner) AcceptOrder(nowMs int64, o protocol.Order) (protocol.RunnerReport, errkind.Kind) {
	r.completeOrder(nowMs)
	switch {
	case o.Incarnation != r.Incarnation:
		return protocol.RunnerReport{}, errkind.WrongIncarnation
	case o.Epoch < r.epoch:
		return protocol.RunnerReport{}, errkind.LowerEpoch
	}
	if r.Checker != nil {
		r.Checker.OrderReceived(nowMs, r.Name, o.Holder, o.Epoch)
	}
	r.epoch = o.Epoch
	if o.Number <= r.lastOrder {
		return r.Report(nowMs), ""
	}
	if r.lastState == protocol.OrderUnderWay {
		return protocol.RunnerReport{}, errkind.RunnerRejected
	}
	r.order, r.lastOrder, r.lastState = o, o.Number, protocol.OrderUnderWay
	r.orderEndsMs = nowMs + r.LoadMs/10
	if o.Action == protocol.ActionLoad {
		r.orderEndsMs = nowMs + r.LoadMs
		taken := o.Size
		for _, held := range r.held {
			taken += held.Size
		}
		if r.Checker != nil {
			r.Checker.LoadStarted(nowMs, r.Name, o.Model)
			r.Checker.CapacityAssigned(nowMs, r.Name, taken, r.Capacity)
		}
		if taken > r.Capacity {
			r.lastState = protocol.OrderFailed
		}
	}
	return r.Report(nowMs), ""
}

// StartRequest starts a request, or says that it did not run it.
func (r *Runner) StartRequest(nowMs int64, call router.RunRequest, routerName string) *router.RunRejection {
	r.completeOrder(nowMs)
	no := false
	drop := func(kind errkind.Kind) *router.RunRejection {
		return &router.RunRejection{Kind: string(kind), Request: call.Request, Ran: &no, Revision: r.revision}
	}
	if r.Checker != nil {
		r.Checker.RequestArrived(nowMs, call.Service, call.Request, r.Name, r.Incarnation)
	}
	if call.Incarnation != r.Incarnation {
		return drop(errkind.WrongIncarnation)
	}
	if call.Revision < r.revision && !r.AcceptOldRevisions {
		return drop(errkind.StaleRevision)
	}
	r.revision = call.Revision
	if call.Model != "" {
		_, model := r.held[call.Model]
		_, adapter := r.held[ledger.Item{Model: call.Model, Adapter: call.Adapter}.String()]
		if !model || !adapter {
			return drop(errkind.NotHeld)
		}
	}
	id := call.Service + "/" + call.Request
	if r.started[id] && !call.Repeatable {
		return drop(errkind.DuplicateRequest)
	}
	r.started[id] = true
	r.running++
	if r.Checker != nil {
		r.Checker.RequestStarted(nowMs, call.Service, call.Request, r.Name, call.Repeatable, routerName, call.Revision)
	}
	return nil
}

// UnloadAll drops everything that is held, without a new incarnation.
func (r *Runner) UnloadAll() { r.held = map[string]protocol.HeldItem{} }

// FinishRequest ends a request that Run started.
func (r *Runner) FinishRequest() { r.running-- }

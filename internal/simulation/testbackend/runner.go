// Package testbackend holds the stand-ins for what lies outside the system on
// its own interface: runners with their weight store, the platform that lists
// them, and clients.
package testbackend

import (
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// Runner is a back end: it loads and unloads models as ordered, within its
// capacity, and runs requests for those that it holds. It is a state machine
// that is told the time; RunnerServer puts it on the network. It is not safe
// for use by several goroutines at once.
type Runner struct {
	Name string
	// Incarnation distinguishes a runner's process from the one after a restart.
	Incarnation string
	// Capacity bounds the sum of the sizes of what it holds.
	Capacity int64
	// LoadMs is how long a load takes; an unload takes a tenth of it.
	LoadMs int64
	// Checker is notified of what happens; nil for none.
	Checker *invariants.Checker
	// AcceptOldRevisions makes it run requests under any revision, to show that
	// the system does not rely on the runners' own guard.
	AcceptOldRevisions bool

	// epoch is the least one whose orders are accepted.
	epoch     uint64
	lastOrder uint64
	lastState string
	// order is the one under way, which ends at orderEndsMs.
	order       protocol.Order
	orderEndsMs int64
	held        map[ledger.Item]protocol.HeldItem
	// revision is that of the newest request that was run.
	revision uint64
	// started holds the requests that have begun to run.
	started map[string]bool
	running int64
}

// NewRunner makes a runner that holds nothing.
func NewRunner(name, incarnation string, capacity, loadMs int64, checker *invariants.Checker) *Runner {
	return &Runner{
		Name: name, Incarnation: incarnation, Capacity: capacity, LoadMs: loadMs, Checker: checker,
		held: map[ledger.Item]protocol.HeldItem{}, started: map[string]bool{},
	}
}

// completeOrder ends the order under way once its time has come.
func (r *Runner) completeOrder(nowMs int64) {
	if r.lastState != protocol.OrderUnderWay || nowMs < r.orderEndsMs {
		return
	}
	r.lastState = protocol.OrderDone
	item := ledger.Item{Model: r.order.Model, Adapter: r.order.Adapter}
	if r.order.Action == protocol.ActionLoad {
		r.held[item] = protocol.HeldItem{Model: r.order.Model, Adapter: r.order.Adapter, Size: r.order.Size}
		return
	}
	delete(r.held, item)
}

// Report is the runner's report on itself.
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

// RaiseEpoch makes orders of lower epochs be rejected from now on.
func (r *Runner) RaiseEpoch(epoch uint64) { r.epoch = max(r.epoch, epoch) }

// AcceptOrder begins an order. It rejects one of a lower epoch, for another
// incarnation, or while another is under way. A repeat changes nothing.
func (r *Runner) AcceptOrder(nowMs int64, order protocol.Order) (report protocol.RunnerReport, rejected errkind.Kind) {
	r.completeOrder(nowMs)
	switch {
	case order.Incarnation != r.Incarnation:
		return protocol.RunnerReport{}, errkind.WrongIncarnation
	case order.Epoch < r.epoch:
		return protocol.RunnerReport{}, errkind.LowerEpoch
	}
	if r.Checker != nil {
		r.Checker.OrderReceived(nowMs, r.Name, order.Holder)
	}
	r.epoch = order.Epoch
	if order.Number <= r.lastOrder {
		return r.Report(nowMs), ""
	}
	if r.lastState == protocol.OrderUnderWay {
		return protocol.RunnerReport{}, errkind.RunnerRejected
	}
	r.order, r.lastOrder, r.lastState = order, order.Number, protocol.OrderUnderWay
	if order.Action == protocol.ActionLoad {
		r.beginLoad(nowMs)
	} else {
		r.orderEndsMs = nowMs + r.LoadMs/10
	}
	return r.Report(nowMs), ""
}

// beginLoad begins the load that was ordered; it fails if the capacity does not
// suffice.
func (r *Runner) beginLoad(nowMs int64) {
	r.orderEndsMs = nowMs + r.LoadMs
	assigned := r.order.Size
	for _, held := range r.held {
		assigned += held.Size
	}
	if r.Checker != nil {
		r.Checker.LoadStarted(nowMs, r.Name, r.order.Model)
		r.Checker.CapacityAssigned(nowMs, r.Name, assigned, r.Capacity)
	}
	if assigned > r.Capacity {
		r.lastState = protocol.OrderFailed
	}
}

// StartRequest begins to run a request of a router, or says that it did not.
// FinishRequest ends it.
func (r *Runner) StartRequest(nowMs int64, call router.RunRequest, routerName string) *router.RunRejection {
	r.completeOrder(nowMs)
	if r.Checker != nil {
		r.Checker.RequestArrived(nowMs, call.Service, call.Request, r.Name, r.Incarnation)
	}
	if kind := r.reasonToDrop(call); kind != "" {
		ran := false
		return &router.RunRejection{Kind: string(kind), Request: call.Request, Ran: &ran, Revision: r.revision}
	}
	r.started[call.Service+"/"+call.Request] = true
	r.running++
	if r.Checker != nil {
		r.Checker.RequestStarted(nowMs, invariants.Execution{
			Service: call.Service, Request: call.Request, Runner: r.Name, Router: routerName,
			Repeatable: call.Repeatable, Revision: call.Revision,
		})
	}
	return nil
}

// reasonToDrop says why a request is not run, or nothing. It notes the revision
// of a request that is not too old.
func (r *Runner) reasonToDrop(call router.RunRequest) errkind.Kind {
	if call.Incarnation != r.Incarnation {
		return errkind.WrongIncarnation
	}
	if call.Revision < r.revision && !r.AcceptOldRevisions {
		return errkind.StaleRevision
	}
	r.revision = call.Revision
	if call.Model != "" && !r.holds(call.Model, call.Adapter) {
		return errkind.NotHeld
	}
	if r.started[call.Service+"/"+call.Request] && !call.Repeatable {
		return errkind.DuplicateRequest
	}
	return ""
}

// holds reports whether a model is held, and the adapter if one is named.
func (r *Runner) holds(model, adapter string) bool {
	_, modelHeld := r.held[ledger.Item{Model: model}]
	_, adapterHeld := r.held[ledger.Item{Model: model, Adapter: adapter}]
	return modelHeld && adapterHeld
}

// FinishRequest ends a request that StartRequest began.
func (r *Runner) FinishRequest() { r.running-- }

// UnloadAll forgets everything that is held, without a new incarnation.
func (r *Runner) UnloadAll() { r.held = map[ledger.Item]protocol.HeldItem{} }

// Package testbackend contains stubs of what the system communicates with on its native
// interface: runners with their weight store, the platform that lists them, and
// clients.
package testbackend

import (
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/invariants"
)

// Runner is a test backend: it loads and unloads models as ordered, within its
// capacity, and runs requests for the models that it holds. It is a state machine that
// takes the time as an argument; RunnerServer serves it over HTTP. It is not safe for
// concurrent use.
type Runner struct {
	Name string
	// Incarnation distinguishes the processes of a runner before and after a restart.
	Incarnation string
	// Capacity bounds the sum of the sizes of the models and adapters that it holds.
	Capacity int64
	// LoadMs is how long a load takes; an unload takes a tenth of it.
	LoadMs int64
	// Checker is notified of orders, loads and requests. It may be nil.
	Checker *invariants.Checker
	// AcceptStaleRevisions makes it run requests with stale revisions too, to show that
	// the system does not rely on the check by the runners.
	AcceptStaleRevisions bool

	// epoch is the lowest epoch whose orders are accepted.
	epoch     uint64
	lastOrder uint64
	lastState string
	// order is the order in progress, which ends at orderEndsMs.
	order       protocol.Order
	orderEndsMs int64
	held        map[ledger.Item]protocol.HeldItem
	// revision is the last accepted revision of a request. Requests with a lower
	// revision are stale.
	revision uint64
	// started holds the requests that were started, as service/ID.
	started map[string]bool
	running int64
}

// NewRunner returns a runner that holds no models.
func NewRunner(name, incarnation string, capacity, loadMs int64, checker *invariants.Checker) *Runner {
	return &Runner{
		Name: name, Incarnation: incarnation, Capacity: capacity, LoadMs: loadMs, Checker: checker,
		held: map[ledger.Item]protocol.HeldItem{}, started: map[string]bool{},
	}
}

// completeOrder completes the order in progress if it ends by now.
func (r *Runner) completeOrder(nowMs int64) {
	if r.lastState != protocol.OrderInProgress || nowMs < r.orderEndsMs {
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

// Report returns the runner's report on its state.
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

// RaiseEpoch makes the runner reject orders of lower epochs from now on.
func (r *Runner) RaiseEpoch(epoch uint64) { r.epoch = max(r.epoch, epoch) }

// AcceptOrder starts an order. It rejects an order of a lower epoch, for another
// incarnation, or while another one is in progress. A repeated order has no effect.
func (r *Runner) AcceptOrder(nowMs int64, order protocol.Order) (report protocol.RunnerReport, rejected errkind.Kind) {
	r.completeOrder(nowMs)
	switch {
	case order.Incarnation != r.Incarnation:
		return protocol.RunnerReport{}, errkind.WrongIncarnation
	case order.Epoch < r.epoch:
		return protocol.RunnerReport{}, errkind.StaleEpoch
	}
	if r.Checker != nil {
		r.Checker.OrderReceived(nowMs, r.Name, order.Holder)
	}
	r.epoch = order.Epoch
	if order.Number <= r.lastOrder {
		return r.Report(nowMs), ""
	}
	if r.lastState == protocol.OrderInProgress {
		return protocol.RunnerReport{}, errkind.RunnerRejected
	}
	r.order, r.lastOrder, r.lastState = order, order.Number, protocol.OrderInProgress
	if order.Action == protocol.ActionLoad {
		r.startLoad(nowMs)
	} else {
		r.orderEndsMs = nowMs + r.LoadMs/10
	}
	return r.Report(nowMs), ""
}

// startLoad starts the ordered load, which fails if it exceeds the capacity.
func (r *Runner) startLoad(nowMs int64) {
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

// StartRequest starts a request of a router, or returns why it was rejected. A started
// request is ended by FinishRequest.
func (r *Runner) StartRequest(nowMs int64, call router.RunRequest, routerName string) *router.RunRejection {
	r.completeOrder(nowMs)
	if r.Checker != nil {
		r.Checker.RequestArrived(nowMs, call.Service, call.Request, r.Name, r.Incarnation)
	}
	if kind := r.rejectionKind(call); kind != "" {
		ran := false
		return &router.RunRejection{Kind: string(kind), Request: call.Request, Ran: &ran, Revision: r.revision}
	}
	r.started[call.Service+"/"+call.Request] = true
	r.running++
	if r.Checker != nil {
		r.Checker.RequestStarted(nowMs, invariants.Execution{
			Service: call.Service, Request: call.Request, Runner: r.Name, Router: routerName,
			Idempotent: call.Idempotent, Revision: call.Revision,
		})
	}
	return nil
}

// rejectionKind returns why a request is not run, or "". It stores the request's revision
// unless that is rejected as stale.
func (r *Runner) rejectionKind(call router.RunRequest) errkind.Kind {
	if call.Incarnation != r.Incarnation {
		return errkind.WrongIncarnation
	}
	if call.Revision < r.revision && !r.AcceptStaleRevisions {
		return errkind.StaleRevision
	}
	r.revision = call.Revision
	if call.Model != "" && !r.holds(call.Model, call.Adapter) {
		return errkind.NotHeld
	}
	if r.started[call.Service+"/"+call.Request] && !call.Idempotent {
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

// FinishRequest ends a request that StartRequest started.
func (r *Runner) FinishRequest() { r.running-- }

// UnloadAll unloads all models and adapters without a new incarnation.
func (r *Runner) UnloadAll() { r.held = map[ledger.Item]protocol.HeldItem{} }

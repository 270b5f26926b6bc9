package controller

import (
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// orderResendMs is the interval at which an order that no report names is sent again.
const orderResendMs = 600

// mayOrder reports whether this primary may give orders: it is active, has a description, and
// orders of an earlier primary can no longer reach the runners that answer. An order to a runner
// also requires that this runner is fenced.
func (a *application) mayOrder() bool {
	waited := a.host.NowMs() >= a.host.OrdersFromMs()
	return a.host.Serves() && waited && a.description != nil && a.allRunnersFenced()
}

// allRunnersFenced reports whether every listed runner is fenced or unreachable. Once that was
// so it stays true: a runner that answers or is listed later delays only its own orders.
func (a *application) allRunnersFenced() bool {
	p := &a.primary
	if p.allFenced {
		return true
	}
	if p.listReceivedMs == 0 {
		return false
	}
	for name := range p.listedRunners {
		if !a.fencedOrUnreachable(p.runners[name]) {
			return false
		}
	}
	p.allFenced = true
	return true
}

func (a *application) fencedOrUnreachable(runner *runnerState) bool {
	if runner == nil {
		return false
	}
	if runner.fencedMs == 0 {
		return runner.unreachable
	}
	return a.fenced(runner)
}

// fenced reports whether no order of an earlier primary can still reach the runner.
func (a *application) fenced(runner *runnerState) bool {
	return runner.fenced(a.host.NowMs(), a.settings.OrderDelayMs)
}

// giveOrder records an order in the ledger, and sends it once the record is committed.
func (a *application) giveOrder(row *ledger.RunnerRow, action string, item ledger.Item, size int64) {
	name := row.Runner
	if action == protocol.ActionLoad {
		a.primary.lastLoadMs[a.serviceOf(item.Model)] = a.host.NowMs()
	}
	a.primary.runners[name].ordersGiven++
	a.host.Logf("ordering runner %s to %s %s", name, action, item)
	a.submit(func(ok bool) {
		if ok {
			a.sendOrder(name)
		}
	}, ledger.RecordOrder{Runner: name, Incarnation: row.Incarnation, Action: action, Item: item, Size: size})
}

// resendOrders sends each open order again until a report of the runner names this order or a
// later one. Repeating an order is harmless because the runner recognises it by its number.
func (a *application) resendOrders() {
	for _, name := range a.primary.runnerNames() {
		row, runner := a.state().Rows[name], a.primary.runners[name]
		if row == nil || runner == nil || row.Order == nil || a.host.NowMs()-runner.orderResentMs < orderResendMs {
			continue
		}
		reported := runner.report.Incarnation == row.Incarnation && runner.report.LastOrder >= row.Order.Number
		// An order that is not committed must not reach a runner.
		if reported || !a.host.AllCommitted() || !a.fenced(runner) {
			continue
		}
		// A load that is sent again may not have begun yet, and after a failover many may be open
		// at once. So each needs a token of the rate limiter.
		if row.Order.Action == protocol.ActionLoad && !a.acquireLoad() {
			continue
		}
		a.sendOrder(name)
	}
}

// acquireLoad takes the token for a load. It returns false if there is none.
func (a *application) acquireLoad() bool {
	return a.primary.loadLimiter.tryAcquire(a.host.NowMs(), a.description.Store.LoadsPer10s)
}

// sendOrder sends a runner its open order if orders may be given now.
func (a *application) sendOrder(name string) {
	row, runner := a.state().Rows[name], a.primary.runners[name]
	if row == nil || runner == nil || row.Order == nil || !a.mayOrder() || !a.fenced(runner) {
		return
	}
	if runner.sentOrder != row.Order.Number {
		runner.sentOrder, runner.orderSentMs = row.Order.Number, a.host.NowMs()
	}
	runner.orderResentMs = a.host.NowMs()
	a.host.Call(row.Address, protocol.NativeOrderCall{
		Runner: name, UntilMs: a.host.LeaseUntilMs(),
		Order: protocol.Order{
			Holder: a.host.Self().Name, Epoch: a.host.Epoch(), Number: row.Order.Number, Incarnation: row.Incarnation,
			Action: row.Order.Action, Model: row.Order.Model, Adapter: row.Order.Adapter, Size: row.Order.Size,
		},
	})
}

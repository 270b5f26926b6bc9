package controller

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// listIntervalMs is the interval between two calls for the platform's runner list.
	listIntervalMs = 300
	// reportIntervalMs is the interval between two calls for a runner's report.
	reportIntervalMs = 400
	// runnerTimeoutMs is how long after its last report a runner is still offered to routers.
	runnerTimeoutMs = 1500
	// loadTimeDivisor gives the newest load a weight of 1/4 in the moving average, so that a
	// single slow load changes it little.
	loadTimeDivisor = 4
)

// runnerState is what this primary knows of a runner from its reports and orders.
type runnerState struct {
	// sentOrder is the number of the order that was sent last, orderSentMs the time when it
	// was first sent, and orderResentMs the time when it was last sent.
	sentOrder     uint64
	orderSentMs   int64
	orderResentMs int64
	// pendingCall is the number of the call for a report that is in flight, or 0. Only one call
	// is in flight at a time, so that reports arrive in the order in which they were made.
	pendingCall       uint64
	reportRequestedMs int64
	// fencedMs is when the runner first reported an epoch of this primary, or 0. From then on
	// it executes no order of an earlier primary.
	fencedMs int64
	// unreachable is true once a call for a report has failed.
	unreachable bool
	// reportedMs is when the last report arrived.
	reportedMs int64
	// reportedLoad is the load that the runner last reported.
	reportedLoad int64
	report       protocol.RunnerReport
	// heldSinceMs holds, by item, the time since which the runner has held it. See
	// minResidenceMs.
	heldSinceMs map[string]int64
	// ordersGiven counts the orders that were recorded for the runner. idleAtRequest is true if
	// no order was open when the last report was requested; ordersAtRequest is the value of
	// ordersGiven at that time.
	ordersGiven, ordersAtRequest int
	idleAtRequest                bool
}

// fenced reports whether no order of an earlier primary can still be in flight to the runner.
// orderDelayMs is the longest time that one may take.
func (r *runnerState) fenced(nowMs, orderDelayMs int64) bool {
	return r.fencedMs > 0 && nowMs >= r.fencedMs+orderDelayMs
}

// unresponsive reports whether the last report is too old to offer the runner to routers.
func (r *runnerState) unresponsive(nowMs int64) bool { return nowMs-r.reportedMs > runnerTimeoutMs }

// requestRunnerList sends the call for the platform's runner list when it is due.
func (a *application) requestRunnerList() {
	p := &a.primary
	if p.listRequested || a.host.NowMs()-p.listRequestedMs < listIntervalMs {
		return
	}
	p.listRequestedMs, p.listRequested = a.host.NowMs(), true
	a.host.Call(a.settings.RunnerListAddress, protocol.NativeRunnerListCall{})
}

// requestReport sends the call for a runner's report when it is due.
func (a *application) requestReport(name string) {
	p, nowMs := &a.primary, a.host.NowMs()
	runner := p.runners[name]
	if runner == nil {
		runner = &runnerState{reportRequestedMs: nowMs - reportIntervalMs, reportedMs: nowMs, heldSinceMs: map[string]int64{}}
		p.runners[name] = runner
	}
	if runner.pendingCall != 0 || nowMs-runner.reportRequestedMs < reportIntervalMs {
		return
	}
	p.reportCalls++
	runner.reportRequestedMs, runner.pendingCall = nowMs, p.reportCalls
	row := a.state().Rows[name]
	runner.idleAtRequest = row != nil && row.Order == nil
	runner.ordersAtRequest = runner.ordersGiven
	a.host.Call(p.listedRunners[name].Address, protocol.NativeReportCall{Runner: name, Number: runner.pendingCall, Epoch: a.host.Epoch()})
}

// handleRunnerList handles the platform's runner list.
func (a *application) handleRunnerList(result protocol.NativeRunnerListResult) {
	if !a.host.IsPrimary() {
		return
	}
	p := &a.primary
	p.listRequested = false
	if !result.Ok {
		// The last list stays valid: an incarnation that is leaving never stops leaving.
		a.host.Count("platform unread")
		return
	}
	p.listReceivedMs = a.host.NowMs()
	p.listedRunners = map[string]protocol.ListedRunner{}
	for _, listed := range result.Runners {
		p.listedRunners[listed.Name] = listed
		leaving := protocol.LeavingRunner{Runner: listed.Name, Incarnation: listed.Incarnation}
		if listed.Leaving && !a.state().LeavingRunners[leaving] {
			a.host.Logf("runner %s is leaving", listed.Name)
			a.submit(func(bool) {}, ledger.MarkLeaving{Mark: leaving})
		}
	}
	// A runner that is no longer listed counts as unresponsive.
	for name, runner := range p.runners {
		if _, listed := p.listedRunners[name]; !listed {
			runner.reportedMs = min(runner.reportedMs, a.host.NowMs()-runnerTimeoutMs-1)
		}
	}
}

// handleRunnerReport handles a runner's report, or the failure of the call for it.
func (a *application) handleRunnerReport(result protocol.NativeReportResult) {
	runner := a.primary.runners[result.Runner]
	if !a.host.IsPrimary() || runner == nil {
		return
	}
	// Number 0 is the reply to an order. It may arrive before the reply to an earlier call for
	// a report, so it is not used as a report but only has a new one requested.
	if result.Number == 0 {
		runner.reportRequestedMs = 0
		return
	}
	if result.Number != runner.pendingCall {
		return
	}
	runner.pendingCall = 0
	if !result.Ok {
		runner.unreachable = true
		return
	}
	if a.acceptReport(runner, result) {
		a.updateLedger(runner, result)
	}
}

// acceptReport stores a report. It returns false if the report is from another runner, or if a
// later primary has fenced the runner.
func (a *application) acceptReport(runner *runnerState, result protocol.NativeReportResult) bool {
	report := result.Report
	if report.Runner != result.Runner {
		a.countKind(errkind.WrongIncarnation)
		return false
	}
	if report.Epoch > a.host.Epoch() {
		a.countKind(errkind.StaleEpoch)
		return false
	}
	if runner.fencedMs == 0 && report.Epoch >= a.primary.firstEpoch {
		runner.fencedMs = a.host.NowMs()
	}
	runner.reportedMs, runner.reportedLoad, runner.report = a.host.NowMs(), report.Burden, report
	return true
}

// updateLedger submits the changes of the runner's row that follow from its report.
func (a *application) updateLedger(runner *runnerState, result protocol.NativeReportResult) {
	report, row := result.Report, a.state().Rows[result.Runner]
	if row == nil || row.Incarnation != report.Incarnation || row.Address != result.Address || row.Capacity != report.Room {
		runner.heldSinceMs = map[string]int64{}
		a.submit(func(bool) {}, ledger.RegisterRunner{Report: report, Address: result.Address})
		return
	}
	for item := range row.Held {
		if _, known := runner.heldSinceMs[item]; !known {
			runner.heldSinceMs[item] = a.host.NowMs()
		}
	}
	orderInProgress := report.LastState == protocol.OrderInProgress
	// A report is certain to list all held items only if no order was open, and none was given,
	// during the call for it.
	crossedNoOrder := runner.idleAtRequest && runner.ordersGiven == runner.ordersAtRequest
	if crossedNoOrder && row.Order == nil && !orderInProgress && !row.MatchesReport(report) {
		a.host.Logf("runner %s reports other items than the ledger has; correcting the ledger", result.Runner)
		a.submit(func(bool) {}, ledger.CorrectHoldings{Report: report})
		return
	}
	// An open order is completed only by a report that names it.
	if row.Order != nil && report.LastOrder == row.Order.Number && !orderInProgress {
		a.completeOrder(runner, row, report)
	}
}

// completeOrder records the reported outcome of a runner's open order.
func (a *application) completeOrder(runner *runnerState, row *ledger.RunnerRow, report protocol.RunnerReport) {
	order, done := row.Order, report.LastState == protocol.OrderDone
	if !done {
		a.host.Logf("runner %s failed to %s %s", row.Runner, order.Action, order.Model)
	}
	if done && order.Action == protocol.ActionLoad && runner.orderSentMs > 0 {
		tookMs := a.host.NowMs() - runner.orderSentMs
		a.primary.meanLoadMs += (tookMs - a.primary.meanLoadMs) / loadTimeDivisor
	}
	if done && order.Action == protocol.ActionUnload {
		delete(runner.heldSinceMs, order.Item().String())
	}
	a.submit(func(bool) {}, ledger.CompleteOrder{
		Runner: row.Runner, Incarnation: report.Incarnation, Number: order.Number, Done: done,
	})
}

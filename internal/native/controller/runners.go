package controller

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// listIntervalMs passes between two calls for the platform's list of runners.
	listIntervalMs = 300
	// reportIntervalMs passes between two calls for a runner's report.
	reportIntervalMs = 400
	// runnerTimeoutMs is how long a runner may be silent and still be offered.
	runnerTimeoutMs = 1500
	// loadTimeWeight is the weight of the newest load in the mean, as a divisor, so
	// that one slow load says little.
	loadTimeWeight = 4
)

// runnerState is what the reports of a runner said to this primacy.
type runnerState struct {
	// sentOrder is the number of the order that was last sent, orderSentMs when it was
	// first sent, and orderResentMs when it was last sent.
	sentOrder     uint64
	orderSentMs   int64
	orderResentMs int64
	// pendingCall is the number of the call that is on its way, or 0. There is one at
	// a time, so that reports come in the order in which they were made.
	pendingCall       uint64
	reportRequestedMs int64
	// fencedMs is when the runner first reported this primacy's epoch, and so heeds
	// no order of an earlier one; 0 is never.
	fencedMs int64
	// unreachable says that a call got no answer.
	unreachable bool
	// reportedMs is when the last report came.
	reportedMs int64
	burden     int64
	report     protocol.RunnerReport
	// heldSinceMs says since when each item has been held, for the minimum residence.
	heldSinceMs map[string]int64
	// ordersGiven counts the orders that were recorded for the runner. idleAtRequest
	// says that none was open when the last report was asked for, and
	// ordersAtRequest how many there had been.
	ordersGiven, ordersAtRequest int
	idleAtRequest                bool
}

// fenced says whether no order of an earlier primary can still be on its way to the
// runner: gapMs is the longest that one may take.
func (r *runnerState) fenced(nowMs, gapMs int64) bool {
	return r.fencedMs > 0 && nowMs >= r.fencedMs+gapMs
}

// silent says whether the runner has not reported for too long to be offered.
func (r *runnerState) silent(nowMs int64) bool { return nowMs-r.reportedMs > runnerTimeoutMs }

// requestRunnerList reads the platform's list when it is due.
func (a *application) requestRunnerList() {
	p := &a.primary
	if p.listRequested || a.host.NowMs()-p.listRequestedMs < listIntervalMs {
		return
	}
	p.listRequestedMs, p.listRequested = a.host.NowMs(), true
	a.host.Call(a.settings.Platform, protocol.PlatformCall{})
}

// requestReport reads a runner's report when it is due.
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
	a.host.Call(p.listed[name].Address, protocol.ReportCall{Runner: name, Number: runner.pendingCall, Epoch: a.host.Epoch()})
}

// handleRunnerList takes the platform's list of runners.
func (a *application) handleRunnerList(result protocol.RunnerListResult) {
	if !a.host.IsPrimary() {
		return
	}
	p := &a.primary
	p.listRequested = false
	if !result.Ok {
		// The last list stays valid: incarnations only ever begin to leave.
		a.host.Count("platform unread")
		return
	}
	p.listReceivedMs = a.host.NowMs()
	p.listed = map[string]protocol.ListedRunner{}
	for _, listed := range result.Runners {
		p.listed[listed.Name] = listed
		leaving := protocol.LeavingRunner{Runner: listed.Name, Incarnation: listed.Incarnation}
		if listed.Leaving && !a.state().LeavingRunners[leaving] {
			a.host.Logf("%s is leaving", listed.Name)
			a.submit(func(bool) {}, ledger.MarkLeaving{Mark: leaving})
		}
	}
	// One that is not listed any more counts as silent.
	for name, runner := range p.runners {
		if _, listed := p.listed[name]; !listed {
			runner.reportedMs = min(runner.reportedMs, a.host.NowMs()-runnerTimeoutMs-1)
		}
	}
}

// handleRunnerReport takes a runner's report, or that none came.
func (a *application) handleRunnerReport(result protocol.RunnerReportResult) {
	runner := a.primary.runners[result.Runner]
	if !a.host.IsPrimary() || runner == nil {
		return
	}
	// The answer to an order may overtake that to a call for a report, so it only
	// has the report asked for again.
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

// acceptReport notes what a report says of the runner; false says that it is not the
// runner's, or that a later primary has fenced the runner.
func (a *application) acceptReport(runner *runnerState, result protocol.RunnerReportResult) bool {
	report := result.Report
	if report.Runner != result.Runner {
		a.countKind(errkind.WrongIncarnation)
		return false
	}
	if report.Epoch > a.host.Epoch() {
		a.countKind(errkind.LowerEpoch)
		return false
	}
	if runner.fencedMs == 0 && report.Epoch >= a.primary.firstEpoch {
		runner.fencedMs = a.host.NowMs()
	}
	runner.reportedMs, runner.burden, runner.report = a.host.NowMs(), report.Burden, report
	return true
}

// updateLedger brings the runner's row up to its report.
func (a *application) updateLedger(runner *runnerState, result protocol.RunnerReportResult) {
	report, row := result.Report, a.state().Rows[result.Runner]
	if row == nil || row.Incarnation != report.Incarnation || row.Address != result.Address || row.Room != report.Room {
		runner.heldSinceMs = map[string]int64{}
		a.submit(func(bool) {}, ledger.RegisterRunner{Report: report, Address: result.Address})
		return
	}
	for item := range row.Held {
		if _, known := runner.heldSinceMs[item]; !known {
			runner.heldSinceMs[item] = a.host.NowMs()
		}
	}
	underWay := report.LastState == protocol.OrderUnderWay
	// Only a report that can't have crossed an order lists all that is held.
	crossedNoOrder := runner.idleAtRequest && runner.ordersGiven == runner.ordersAtRequest
	if crossedNoOrder && row.Order == nil && !underWay && !row.Matches(report) {
		a.host.Logf("%s holds other things than the ledger says; the ledger is corrected", result.Runner)
		a.submit(func(bool) {}, ledger.CorrectHoldings{Report: report})
		return
	}
	// An open order ends only with a report that names it.
	if row.Order != nil && report.LastOrder == row.Order.Number && !underWay {
		a.completeOrder(runner, row, report)
	}
}

// completeOrder ends a runner's open order as its report says.
func (a *application) completeOrder(runner *runnerState, row *ledger.RunnerRow, report protocol.RunnerReport) {
	order, done := row.Order, report.LastState == protocol.OrderDone
	if !done {
		a.host.Logf("%s could not %s %s", row.Runner, order.Action, order.Model)
	}
	if done && order.Action == protocol.ActionLoad && runner.orderSentMs > 0 {
		tookMs := a.host.NowMs() - runner.orderSentMs
		a.primary.meanLoadMs += (tookMs - a.primary.meanLoadMs) / loadTimeWeight
	}
	if done && order.Action == protocol.ActionUnload {
		delete(runner.heldSinceMs, order.Item().String())
	}
	a.submit(func(bool) {}, ledger.CompleteOrder{
		Runner: row.Runner, Incarnation: report.Incarnation, Number: order.Number, Done: done,
	})
}

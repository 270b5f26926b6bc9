package proxy

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// prefillReportMaxAgeMs is how long this router sends prefill reports to a controller
	// after the controller's last report. A controller of the previous release sends no
	// prefill reports and would not understand them.
	prefillReportMaxAgeMs = 10_000
)

// prefillExchange is the state of the prefill reports between this router and a
// controller. Reports of runners are some hundred milliseconds old, so that in a burst
// all routers would choose by figures from before the burst. Therefore each router
// reports to a controller which prefill it begins and ends, and the controller replies
// with the sum over all routers.
type prefillExchange struct {
	// controller sent the last report, at reportedMs.
	controller string
	reportedMs int64
	// changed is the set of runners at which this router's own prefill has changed since
	// its last report.
	changed map[string]bool
	// refreshedMs is when all prefill in progress was last reported.
	refreshedMs int64
}

// beginPrefill records that the prompt of a request is being sent to a runner, and
// reports it if it can delay streams: the prefill of a hit at once with its look-up,
// otherwise with the next prefill report.
func (m *Machine) beginPrefill(r *request, runnerID string) {
	runner := m.runnerState(runnerID)
	r.prefillMs = m.expectedPrefillMs(r)
	r.prefillAlone = runner.waitingPrefillMs(m.nowMs) == 0
	m.recordMeanPrefill(r.service.Name, r.prefillMs)
	if !m.prefillDelaysStreams(r) {
		r.prefillMs = 0
	}
	runner.prefillTokens += r.Params.PromptTokens
	runner.changePrefill(r.prefillMs)
	r.attemptStartMs, r.prefillPending = m.nowMs, true
	if announced := m.sendLookUpWith(r, runnerID); !announced {
		m.prefillChanged(r)
	}
}

// endPrefill records that the prefill of a request has ended, or that it will not take
// place.
func (m *Machine) endPrefill(r *request) {
	if !r.prefillPending {
		return
	}
	r.prefillPending = false
	runner := m.runnerState(r.runnerID)
	runner.prefillTokens -= r.Params.PromptTokens
	runner.changePrefill(-r.prefillMs)
	m.prefillChanged(r)
}

// prefillChanged marks the runner of a request for the next report, unless the request's
// prefill is not reported.
func (m *Machine) prefillChanged(r *request) {
	if r.prefillMs > 0 {
		m.prefillExchange.changed[r.runnerID] = true
	}
}

// reportPrefill reports to the controller what changed since the last tick, and every
// protocol.PrefillRefreshMs all prefill in progress.
func (m *Machine) reportPrefill() {
	exchange := &m.prefillExchange
	node, known := m.detector.Node(exchange.controller)
	if !known || m.nowMs-exchange.reportedMs > prefillReportMaxAgeMs {
		clear(exchange.changed)
		return
	}
	if m.nowMs-exchange.refreshedMs >= protocol.PrefillRefreshMs {
		exchange.refreshedMs = m.nowMs
		for id, runner := range m.runners {
			if runner.ownPrefillMs > 0 {
				exchange.changed[id] = true
			}
		}
	}
	if len(exchange.changed) == 0 {
		return
	}
	var report protocol.PrefillReport
	for _, id := range slices.Sorted(maps.Keys(exchange.changed)) {
		report.Runners = append(report.Runners, protocol.RunnerPrefill{Runner: id, Ms: m.runnerState(id).ownPrefillMs})
	}
	clear(exchange.changed)
	m.outbox.Send(node, report)
}

// applyPrefillReport applies a controller's report of the prefill at each runner, summed
// over all routers. Runners that are unknown to this router are ignored.
func (m *Machine) applyPrefillReport(from protocol.Node, report protocol.PrefillReport) {
	m.prefillExchange.controller, m.prefillExchange.reportedMs = from.Name, m.nowMs
	for _, one := range report.Runners {
		if runner := m.runners[one.Runner]; runner != nil {
			runner.applySitePrefill(m.nowMs, one.Ms)
		}
	}
}

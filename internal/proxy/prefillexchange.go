package proxy

import (
	"maps"
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// prefillControllerMs is for how long after its last report a controller is
	// told of this router's prefill. One of the release before sends none, and
	// would not understand it.
	prefillControllerMs = 10_000
)

// prefillExchange is the state of what this router reports of its own prefill.
// Reports of runners are some hundred milliseconds old, and in a burst all routers
// would choose by figures from before it. So each tells a controller what it
// begins and ends, and gets the sum over all routers back.
type prefillExchange struct {
	// controller sent the last report, at heardMs.
	controller string
	heardMs    int64
	// changed are the runners whose own figure the controller does not know.
	changed     map[string]bool
	refreshedMs int64
}

// beginPrefill notes that the prompt of a request is being sent to a runner, and
// announces it where that matters: with the look-up of a hit at once, else with
// the next report.
func (m *Machine) beginPrefill(r *request, runnerID string) {
	runner := m.runnerState(runnerID)
	r.prefillMs = m.expectedPrefillMs(r)
	r.prefillAlone = runner.waitingPrefillMs(m.nowMs) == 0
	m.noteMeanPrefill(r.service.Name, r.prefillMs)
	if !m.prefillMatters(r) {
		r.prefillMs = 0
	}
	runner.prefillTokens += r.Params.PromptTokens
	runner.changePrefill(r.prefillMs)
	r.attemptStartMs, r.prefillPending = m.nowMs, true
	if announced := m.sendLookUpWith(r, runnerID); !announced {
		m.prefillChanged(r)
	}
}

// endPrefill notes that the prompt of a request has been read, or never will be.
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

// prefillChanged has the runner of a request reported, unless its prompt is too
// short to matter.
func (m *Machine) prefillChanged(r *request) {
	if r.prefillMs > 0 {
		m.prefillExchange.changed[r.runnerID] = true
	}
}

// reportPrefill tells the controller of the changes since the last tick, and from
// time to time of all prefill under way.
func (m *Machine) reportPrefill() {
	exchange := &m.prefillExchange
	node, known := m.detector.Node(exchange.controller)
	if !known || m.nowMs-exchange.heardMs > prefillControllerMs {
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

// applyPrefillReport takes a controller's figures for all routers. Runners that no
// request has been offered here are ignored.
func (m *Machine) applyPrefillReport(from protocol.Node, report protocol.PrefillReport) {
	m.prefillExchange.controller, m.prefillExchange.heardMs = from.Name, m.nowMs
	for _, one := range report.Runners {
		if runner := m.runners[one.Runner]; runner != nil {
			runner.reportPrefill(m.nowMs, one.Ms)
		}
	}
}

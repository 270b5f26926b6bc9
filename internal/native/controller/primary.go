package controller

import (
	"slices"
	"sort"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// primaryState is what only a primary knows: the platform's runner list, the runners'
// reports, the demand and the state of the placement. It is not replicated, and it is
// discarded when this daemon is elected again.
type primaryState struct {
	// firstEpoch is the epoch in which this daemon became the primary.
	firstEpoch uint64
	// reportCalls is the number of the last call for a report.
	reportCalls uint64
	// allFenced is true once all listed runners were fenced or unreachable at the same time.
	allFenced bool
	// listRequested is true while a call for the platform's runner list is in flight.
	listRequested   bool
	listRequestedMs int64
	// listReceivedMs is when the list was last received, or 0.
	listReceivedMs int64
	listedRunners  map[string]protocol.ListedRunner
	runners        map[string]*runnerState
	demand         map[ledger.Item]*itemDemand
	placedMs       int64
	loadLimiter    loadLimiter
	// capacityUsed is the capacity that the items of each service use; fairShare is the total
	// capacity divided by the number of services with models.
	capacityUsed map[string]int64
	fairShare    int64
	// lastLoadMs is when a load was last ordered for a service.
	lastLoadMs map[string]int64
	// waitEstimatesMs is the estimated time in ms until a runner has loaded an item. It has an
	// entry for each wanted item that no runner holds.
	waitEstimatesMs map[string]int64
	// meanLoadMs is the moving average of the time that a load takes.
	meanLoadMs int64
}

func newPrimaryState() primaryState {
	return primaryState{
		meanLoadMs:    initialLoadMs,
		lastLoadMs:    map[string]int64{},
		listedRunners: map[string]protocol.ListedRunner{},
		runners:       map[string]*runnerState{},
		demand:        map[ledger.Item]*itemDemand{},
	}
}

// reset is called when this daemon is elected. It discards the state of an earlier term, and
// the load limiter starts without a token. Numbers of calls are not reused.
func (p *primaryState) reset(nowMs int64, epoch uint64) {
	calls := p.reportCalls
	*p = newPrimaryState()
	p.reportCalls, p.firstEpoch = calls, epoch
	p.listRequestedMs = nowMs - listIntervalMs
	p.loadLimiter = loadLimiter{updatedMs: nowMs}
}

// hints returns the information that followers need to answer look-ups, in addition to the
// replicated rows.
func (p *primaryState) hints(nowMs int64) protocol.Hints {
	hints := protocol.Hints{Burdens: map[string]int64{}, Turns: p.waitEstimatesMs}
	for name, runner := range p.runners {
		hints.Burdens[name] = runner.reportedLoad
		if runner.unresponsive(nowMs) {
			hints.Dark = append(hints.Dark, name)
		}
	}
	sort.Strings(hints.Dark)
	return hints
}

// leavingRunners lists the leaving incarnations, including those that the platform has
// listed and that are not in the ledger yet.
func (p *primaryState) leavingRunners(state *ledger.State) []protocol.LeavingRunner {
	var leaving []protocol.LeavingRunner
	for runner := range state.LeavingRunners {
		if row := state.Rows[runner.Runner]; row == nil || row.Incarnation == runner.Incarnation {
			leaving = append(leaving, runner)
		}
	}
	for _, listed := range p.listedRunners {
		runner := protocol.LeavingRunner{Runner: listed.Name, Incarnation: listed.Incarnation}
		if listed.Leaving && !slices.Contains(leaving, runner) {
			leaving = append(leaving, runner)
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].Runner < leaving[j].Runner })
	return leaving
}

// runnerNames returns the listed runners in sorted order, so that a simulation is repeatable.
func (p *primaryState) runnerNames() []string {
	names := make([]string, 0, len(p.listedRunners))
	for name := range p.listedRunners {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// runPrimary runs the work of a primary at each tick.
func (a *application) runPrimary() {
	if !a.host.IsPrimary() {
		return
	}
	a.requestRunnerList()
	for _, name := range a.primary.runnerNames() {
		a.requestReport(name)
	}
	if a.mayOrder() {
		a.resendOrders()
		a.placeModels()
	}
}

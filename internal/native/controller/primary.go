package controller

import (
	"slices"
	"sort"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// primaryState is what only a primary knows and decides by: the platform's list, the
// runners' reports, the demand and the placement. It is lost with the primacy.
type primaryState struct {
	// firstEpoch is the epoch with which this primacy began.
	firstEpoch uint64
	// reportCalls numbers the calls for reports.
	reportCalls uint64
	// allFenced says that every listed runner that answers was fenced once.
	allFenced bool
	// listRequested says that a call for the platform's list is on its way.
	listRequested   bool
	listRequestedMs int64
	// listReceivedMs is when the list was last read, or 0.
	listReceivedMs int64
	listed         map[string]protocol.ListedRunner
	runners        map[string]*runnerState
	demand         map[ledger.Item]*itemDemand
	placedMs       int64
	loadLimiter    loadLimiter
	// roomUsed is the room that the items of each service take; fairShare is an even
	// share of all room.
	roomUsed  map[string]int64
	fairShare int64
	// lastLoadMs is when a load was last ordered for a service.
	lastLoadMs map[string]int64
	// waitEstimatesMs says in how many ms each item that is held nowhere may be held.
	waitEstimatesMs map[string]int64
	// meanLoadMs is how long loads have lately taken.
	meanLoadMs int64
}

func newPrimaryState() primaryState {
	return primaryState{
		meanLoadMs: initialLoadMs,
		lastLoadMs: map[string]int64{},
		listed:     map[string]protocol.ListedRunner{},
		runners:    map[string]*runnerState{},
		demand:     map[ledger.Item]*itemDemand{},
	}
}

// reset begins a primacy: nothing that an earlier one knew counts, and the load
// limiter has no token. Numbers of calls are not used again.
func (p *primaryState) reset(nowMs int64, epoch uint64) {
	calls := p.reportCalls
	*p = newPrimaryState()
	p.reportCalls, p.firstEpoch = calls, epoch
	p.listRequestedMs = nowMs - listIntervalMs
	p.loadLimiter = loadLimiter{updatedMs: nowMs}
}

// hints is what followers need beside the rows to answer look-ups.
func (p *primaryState) hints(nowMs int64) protocol.Hints {
	hints := protocol.Hints{Burdens: map[string]int64{}, Turns: p.waitEstimatesMs}
	for name, runner := range p.runners {
		hints.Burdens[name] = runner.burden
		if runner.silent(nowMs) {
			hints.Dark = append(hints.Dark, name)
		}
	}
	sort.Strings(hints.Dark)
	return hints
}

// leavingRunners lists the leaving incarnations, with those that the platform has
// listed and the ledger does not hold yet.
func (p *primaryState) leavingRunners(state *ledger.State) []protocol.LeavingRunner {
	var leaving []protocol.LeavingRunner
	for runner := range state.LeavingRunners {
		if row := state.Rows[runner.Runner]; row == nil || row.Incarnation == runner.Incarnation {
			leaving = append(leaving, runner)
		}
	}
	for _, listed := range p.listed {
		runner := protocol.LeavingRunner{Runner: listed.Name, Incarnation: listed.Incarnation}
		if listed.Leaving && !slices.Contains(leaving, runner) {
			leaving = append(leaving, runner)
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].Runner < leaving[j].Runner })
	return leaving
}

// runnerNames lists the platform's runners in order, so that a run repeats exactly.
func (p *primaryState) runnerNames() []string {
	names := make([]string, 0, len(p.listed))
	for name := range p.listed {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// runPrimary does what a primary does at each tick.
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

package controller

import "myrtlewinch/internal/native/ledger"

const (
	// initialLoadMs is the assumed time of a load before the first one was measured.
	initialLoadMs = 3_000
	// retryGraceMs is how much longer an item stays wanted than the wait after which clients were
	// asked to retry.
	retryGraceMs = 10_000
	// maxWaitEstimateMs is the maximum estimate; longer waits cannot be predicted.
	maxWaitEstimateMs = 120_000
)

// estimateWaits estimates in how many ms each wanted item that no runner holds will be loaded:
// from the load rate of the weight store and, where capacity must be freed first, from the
// minimum residence of held items. It must be presented to clients as an estimate.
func (a *application) estimateWaits(needs []need) {
	p := &a.primary
	p.waitEstimatesMs = map[string]int64{}
	intervalMs := a.loadIntervalMs()
	free, total := a.usableCapacity()
	readyMs := p.meanLoadMs
	for _, n := range needs {
		if n.copies > 0 {
			continue
		}
		free -= n.size
		readyMs += intervalMs
		if free < 0 && total > 0 {
			// Capacity is freed only after a held item has been loaded for minResidenceMs.
			readyMs += max(0, (minResidenceMs+p.meanLoadMs)*n.size/total-intervalMs)
		}
		a.setWaitEstimate(n.item, readyMs, intervalMs)
	}
	// An adapter waits for its model, even if that comes later in the list.
	for _, n := range needs {
		modelMs := p.waitEstimatesMs[ledger.Item{Model: n.item.Model}.String()]
		if n.item.Adapter != "" && modelMs > p.waitEstimatesMs[n.item.String()] {
			p.waitEstimatesMs[n.item.String()] = min(modelMs+intervalMs, maxWaitEstimateMs)
		}
	}
}

// setWaitEstimate stores the estimated wait for an item. An item in demand stays wanted for that
// time plus a grace period, so that it is still wanted when clients retry after the estimated
// wait.
func (a *application) setWaitEstimate(item ledger.Item, waitMs, intervalMs int64) {
	p := &a.primary
	if item.Adapter != "" {
		// Its model is loaded first.
		if modelMs := p.waitEstimatesMs[ledger.Item{Model: item.Model}.String()]; modelMs >= waitMs {
			waitMs = modelMs + intervalMs
		}
	}
	waitMs = min(waitMs, maxWaitEstimateMs)
	p.waitEstimatesMs[item.String()] = waitMs
	if demand := p.demand[item]; demand != nil && demand.scoreAt(a.host.NowMs()) >= 1 {
		demand.wantedUntilMs = max(demand.wantedUntilMs, demand.lastRequestMs+waitMs+retryGraceMs)
	}
}

// loadIntervalMs returns the time between two loads at the load rate of the weight store.
func (a *application) loadIntervalMs() int64 {
	rate := float64(max(1, a.description.Store.LoadsPer10s)) * (1 - unusedFraction)
	return int64(limiterPeriodMs / rate)
}

// usableCapacity sums the free and the total capacity of the usable runners.
func (a *application) usableCapacity() (free, total int64) {
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		if row, ok := a.usableRunner(runner); ok {
			usable := min(runner.Capacity, row.Capacity)
			total += usable
			free += usable - row.UsedCapacity()
		}
	}
	return free, total
}

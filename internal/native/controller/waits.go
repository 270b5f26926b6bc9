package controller

import "myrtlewinch/internal/native/ledger"

const (
	// initialLoadMs is taken as the time of a load until one has been seen.
	initialLoadMs = 3_000
	// returnGraceMs is for how long an item stays wanted beyond the wait that clients
	// were told.
	returnGraceMs = 10_000
	// maxWaitEstimateMs bounds what is told: beyond it nothing is known.
	maxWaitEstimateMs = 120_000
)

// estimateWaits works out in how many ms each item that is asked for and held nowhere
// may be held: by the rate of the weight store and, where room must be made first, by
// how long held items stay. It is an estimate, and must be told as one.
func (a *application) estimateWaits(needs []need) {
	p := &a.primary
	p.waitEstimatesMs = map[string]int64{}
	intervalMs := a.loadIntervalMs()
	free, room := a.freeRoom()
	readyMs := p.meanLoadMs
	for _, n := range needs {
		if n.replicas > 0 {
			continue
		}
		free -= n.size
		readyMs += intervalMs
		if free < 0 && room > 0 {
			// A held item makes room after its residence.
			readyMs += max(0, (minResidenceMs+p.meanLoadMs)*n.size/room-intervalMs)
		}
		a.setWaitEstimate(n.item, readyMs, intervalMs)
	}
	// An adapter waits for its model, also where that comes later in the list.
	for _, n := range needs {
		modelMs := p.waitEstimatesMs[ledger.Item{Model: n.item.Model}.String()]
		if n.item.Adapter != "" && modelMs > p.waitEstimatesMs[n.item.String()] {
			p.waitEstimatesMs[n.item.String()] = min(modelMs+intervalMs, maxWaitEstimateMs)
		}
	}
}

// setWaitEstimate notes when an item may be held, and keeps it wanted until those who
// are told so can be back.
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
		demand.keepUntilMs = max(demand.keepUntilMs, demand.lastRequestMs+waitMs+returnGraceMs)
	}
}

// loadIntervalMs is the time between two loads at the rate of the weight store.
func (a *application) loadIntervalMs() int64 {
	rate := float64(max(1, a.description.Store.LoadsPer10s)) * (1 - unusedFraction)
	return int64(limiterPeriodMs / rate)
}

// freeRoom sums the room of the usable runners, and what of it is free.
func (a *application) freeRoom() (free, room int64) {
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		if row, ok := a.usableRunner(runner); ok {
			usable := min(runner.Room, row.Room)
			room += usable
			free += usable - row.UsedRoom()
		}
	}
	return free, room
}

package controller

import "myrtlewinch/internal/native/ledger"

const (
	// initialLoadMs is taken for a load until one has been seen.
	initialLoadMs = 3_000
	// returnGraceMs is for how long the place of those who come back is kept beyond
	// their turn.
	returnGraceMs = 10_000
	// maxWaitEstimateMs bounds what is told: beyond it nothing is known.
	maxWaitEstimateMs = 120_000
)

// estimateWaits works out in how many ms each thing that is asked for and held
// nowhere may be held: by the pace of the store, and where room must be made
// first also by how long what is held stays. It is an estimate; what is built
// on it must only be told honestly.
func (a *application) estimateWaits(needs []need) {
	d := &a.primary
	d.waitEstimatesMs = map[string]int64{}
	stepMs := int64(10_000 / (float64(max(1, a.description.Store.LoadsPer10s)) * (1 - unusedFraction)))
	free, rooms := a.freeRoom()
	atMs := d.meanLoadMs
	for _, n := range needs {
		if n.replicas > 0 {
			continue
		}
		free -= n.size
		atMs += stepMs
		if free < 0 && rooms > 0 {
			// A thing makes room for the next after its stay.
			atMs += max(0, (minResidenceMs+d.meanLoadMs)*n.size/rooms-stepMs)
		}
		turnMs := atMs
		if n.item.Adapter != "" {
			// Its model goes first.
			if before := d.waitEstimatesMs[ledger.Item{Model: n.item.Model}.String()]; before >= turnMs {
				turnMs = before + stepMs
			}
		}
		turnMs = min(turnMs, maxWaitEstimateMs)
		d.waitEstimatesMs[n.item.String()] = turnMs
		if w := d.demand[n.item]; w != nil && w.scoreAt(a.host.NowMs()) >= 1 {
			w.keepUntilMs = max(w.keepUntilMs, w.lastRequestMs+turnMs+returnGraceMs)
		}
	}
	// An adapter whose model lacks waits for it, whatever is asked for.
	for _, n := range needs {
		model := d.waitEstimatesMs[ledger.Item{Model: n.item.Model}.String()]
		if n.item.Adapter != "" && model > d.waitEstimatesMs[n.item.String()] {
			d.waitEstimatesMs[n.item.String()] = min(model+stepMs, maxWaitEstimateMs)
		}
	}
}

// freeRoom sums the room of the runners that may be given things, and what of it
// is free.
func (a *application) freeRoom() (free, rooms int64) {
	for i := range a.description.Runners {
		runner := &a.description.Runners[i]
		if row, ok := a.usableRunner(runner); ok {
			room := min(runner.Room, row.Room)
			rooms += room
			free += room - row.UsedRoom()
		}
	}
	return free, rooms
}

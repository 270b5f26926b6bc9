package controller

import "myrtlewinch/internal/native/ledger"

const (
	// firstLoadMs is taken for a load until one has been seen.
	firstLoadMs = 3_000
	// backMs is for how long the place of those who come back is kept beyond
	// their turn.
	backMs = 10_000
	// turnMost bounds what is told: beyond it nothing is known.
	turnMost = 120_000
)

// takeTurns works out in how many ms each thing that is asked for and held
// nowhere may be held: by the pace of the store, and where room must be made
// first also by how long what is held stays. It is an estimate; what is built
// on it must only be told honestly.
func (a *application) takeTurns(needs []need) {
	d := &a.duty
	d.turns = map[string]int64{}
	stepMs := int64(10_000 / (float64(max(1, a.described.Store.LoadsPer10s)) * (1 - spare)))
	free, rooms := a.space()
	atMs := d.loadMs
	for _, n := range needs {
		if n.copies > 0 {
			continue
		}
		free -= n.size
		atMs += stepMs
		if free < 0 && rooms > 0 {
			// A thing makes room for the next after its stay.
			atMs += max(0, (stayMs+d.loadMs)*n.size/rooms-stepMs)
		}
		turnMs := atMs
		if n.item.Adapter != "" {
			// Its model goes first.
			if before := d.turns[ledger.Item{Model: n.item.Model}.String()]; before >= turnMs {
				turnMs = before + stepMs
			}
		}
		turnMs = min(turnMs, turnMost)
		d.turns[n.item.String()] = turnMs
		if w := d.wants[n.item]; w != nil && w.now(a.host.NowMs()) >= 1 {
			w.untilMs = max(w.untilMs, w.askedMs+turnMs+backMs)
		}
	}
	// An adapter whose model lacks waits for it, whatever is asked for.
	for _, n := range needs {
		model := d.turns[ledger.Item{Model: n.item.Model}.String()]
		if n.item.Adapter != "" && model > d.turns[n.item.String()] {
			d.turns[n.item.String()] = min(model+stepMs, turnMost)
		}
	}
}

// space sums the room of the runners that may be given things, and what of it
// is free.
func (a *application) space() (free, rooms int64) {
	for i := range a.described.Runners {
		runner := &a.described.Runners[i]
		if row, ok := a.usable(runner); ok {
			room := min(runner.Room, row.Room)
			rooms += room
			free += room - row.Taken()
		}
	}
	return free, rooms
}

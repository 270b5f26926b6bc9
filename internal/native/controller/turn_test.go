package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/ledger"
)

// Turns are worked out by the pace, and by how long things stay once the room
// is taken; they grow along the line and are bounded.
func TestTakeTurns(t *testing.T) {
	p := newTestPrimary(t)
	p.described.Store.LoadsPer10s = 10
	p.duty.listing = nil
	for i := range p.described.Runners {
		name := p.described.Runners[i].Name
		p.state().Rows[name] = &ledger.Row{Runner: name, Incarnation: "1", Room: 10, Held: map[string]ledger.Holding{}}
		p.duty.seen[name] = &seenRunner{okMs: p.nowMs(), fencedMs: 1}
	}
	line := func(count int, size int64) []need {
		var needs []need
		for i := range count {
			needs = append(needs, need{item: ledger.Item{Model: string(rune('a' + i))}, size: size, wanted: 1})
		}
		return needs
	}
	cases := []struct {
		about  string
		needs  []need
		lastMs int64
	}{
		{"one, with room", line(1, 5), firstLoadMs + 1111},
		{"four, with room for all", line(4, 5), firstLoadMs + 4*1111},
		{"six, two of them beyond the room", line(6, 5), firstLoadMs + 6*1111 + 2*((stayMs+firstLoadMs)*5/20-1111)},
		{"more than is worth telling", line(26, 20), turnMost},
	}
	for _, test := range cases {
		p.takeTurns(test.needs)
		qt.Assert(t, p.duty.turns, qt.HasLen, len(test.needs), qt.Commentf(test.about))
		beforeMs := int64(0)
		for _, n := range test.needs {
			turnMs := p.duty.turns[n.item.String()]
			qt.Assert(t, turnMs >= beforeMs, qt.IsTrue, qt.Commentf(test.about))
			beforeMs = turnMs
		}
		qt.Assert(t, beforeMs, qt.Equals, test.lastMs, qt.Commentf(test.about))
	}
}

// Who was told when to come back is still wanted then.
func TestPlacesAreKept(t *testing.T) {
	p := newTestPrimary(t)
	item := ledger.Item{Model: "m"}
	p.duty.want(p.nowMs(), item, 1)
	p.takeTurns([]need{{item: item, size: 6, wanted: 1, score: 1}})
	w := p.duty.wants[item]
	turnMs := p.duty.turns["m"]
	qt.Assert(t, turnMs > 0, qt.IsTrue)
	qt.Assert(t, w.wanted(p.nowMs()+turnMs+backMs-1), qt.IsTrue)
	qt.Assert(t, w.wanted(p.nowMs()+turnMs+backMs+1), qt.IsFalse)
}

package consensus

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// placing makes a primary with two runners of room 10 that answer, and two
// models of size 6.
func placing(t *testing.T) nativePrimary {
	t.Helper()
	m := serving(t)
	text := strings.Replace(described, `{"name": "m", "size": 6, "copies": 1}`, `{"name": "m", "size": 6}, {"name": "n", "size": 6}`, 1)
	d, faults := description.Read([]byte(strings.Replace(text, `"models": ["m"]`, `"models": ["m", "n"]`, 1)), "s")
	qt.Assert(t, faults, qt.HasLen, 0)
	m.described = d
	for _, name := range []string{"r", "q"} {
		m.state.Rows[name] = &ledger.Row{Runner: name, Incarnation: "1", Room: 10, Held: map[string]ledger.Holding{}}
		m.duty.seen[name] = &seenRunner{okMs: m.nowMs, fencedMs: 1, since: map[string]int64{}}
	}
	return m
}

// What is needed: what is asked for, described with copies, or about to go
// with a runner that leaves.
func TestNeeds(t *testing.T) {
	held := ledger.Holding{Size: 6}
	cases := []struct {
		about string
		do    func(m nativePrimary)
		items []string
	}{
		{"nobody asks", func(nativePrimary) {}, nil},
		{"one is asked for", func(m nativePrimary) { m.duty.want(m.nowMs, ledger.Item{Model: "m"}, 1) }, []string{"m"}},
		{"it is held", func(m nativePrimary) {
			m.duty.want(m.nowMs, ledger.Item{Model: "m"}, 1)
			m.state.Rows["r"].Held["m"] = held
		}, nil},
		{"its runner is dark", func(m nativePrimary) {
			m.duty.want(m.nowMs, ledger.Item{Model: "m"}, 1)
			m.state.Rows["r"].Held["m"] = held
			m.duty.seen["r"].okMs = m.nowMs - darkMs - 1
		}, []string{"m"}},
		{"it was asked for a while ago", func(m nativePrimary) { m.duty.want(m.nowMs-20_000, ledger.Item{Model: "m"}, 1) }, nil},
		{"and goes with its runner", func(m nativePrimary) {
			m.duty.want(m.nowMs-20_000, ledger.Item{Model: "m"}, 1)
			m.state.Rows["r"].Held["m"] = held
			m.state.Marks[protocol.LeavingRunner{Runner: "r", Incarnation: "1"}] = true
		}, []string{"m"}},
		{"goes with one runner and is held by another", func(m nativePrimary) {
			m.duty.want(m.nowMs-20_000, ledger.Item{Model: "m"}, 1)
			m.state.Rows["r"].Held["m"], m.state.Rows["q"].Held["m"] = held, held
			m.state.Marks[protocol.LeavingRunner{Runner: "r", Incarnation: "1"}] = true
		}, nil},
		{"goes with its runner, and nobody has asked for long", func(m nativePrimary) {
			m.duty.want(m.nowMs-60_000, ledger.Item{Model: "m"}, 1)
			m.state.Rows["r"].Held["m"] = held
			m.state.Marks[protocol.LeavingRunner{Runner: "r", Incarnation: "1"}] = true
		}, nil},
		{"a crowd earns a second copy, after first ones", func(m nativePrimary) {
			m.duty.want(m.nowMs, ledger.Item{Model: "m"}, busyScore)
			m.state.Rows["r"].Held["m"] = held
			m.duty.want(m.nowMs, ledger.Item{Model: "n"}, 1)
		}, []string{"n", "m"}},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			m := placing(t)
			test.do(m)
			var items []string
			for _, n := range m.needs() {
				items = append(items, n.item.String())
			}
			qt.Assert(t, items, qt.DeepEquals, test.items)
		})
	}
}

// Where a need goes, and what must go for it.
func TestPlaceOne(t *testing.T) {
	held := ledger.Holding{Size: 6}
	cases := []struct {
		about  string
		do     func(m nativePrimary)
		placed bool
		runner string
		action string
	}{
		{"where there is room", func(m nativePrimary) { m.state.Rows["r"].Held["n"] = held }, true, "q", protocol.ActionLoad},
		{"not where the report says something else", func(m nativePrimary) {
			m.duty.seen["r"].report = protocol.RunnerReport{Held: []protocol.HeldItem{{Model: "x", Size: 9}}}
			m.duty.seen["q"].report = protocol.RunnerReport{Held: []protocol.HeldItem{{Model: "x", Size: 9}}}
		}, false, "", ""},
		{"not where an order of someone else is under way", func(m nativePrimary) {
			m.duty.seen["r"].report.LastState = protocol.OrderUnderWay
			m.duty.seen["q"].report.LastState = protocol.OrderUnderWay
		}, false, "", ""},
		{"not where a late order may still come", func(m nativePrimary) {
			m.duty.seen["r"].fencedMs, m.duty.seen["q"].fencedMs = m.nowMs, 0
		}, false, "", ""},
		{"nothing goes before its stay is over", func(m nativePrimary) {
			for _, name := range []string{"r", "q"} {
				m.state.Rows[name].Held["n"] = held
				m.duty.seen[name].report.Held = []protocol.HeldItem{{Model: "n", Size: 6}}
				m.duty.seen[name].since["n"] = m.nowMs - stayMs + 1
			}
		}, false, "", ""},
		{"the second copy goes once it is", func(m nativePrimary) {
			for _, name := range []string{"r", "q"} {
				m.state.Rows[name].Held["n"] = held
				m.duty.seen[name].report.Held = []protocol.HeldItem{{Model: "n", Size: 6}}
				m.duty.seen[name].since["n"] = m.nowMs - stayMs
			}
		}, true, "r", protocol.ActionUnload},
		{"what operators want held stays", func(m nativePrimary) {
			m.described.Models[1].Copies = 2
			for _, name := range []string{"r", "q"} {
				m.state.Rows[name].Held["n"] = held
				m.duty.seen[name].report.Held = []protocol.HeldItem{{Model: "n", Size: 6}}
				m.duty.seen[name].since["n"] = m.nowMs - stayMs
			}
		}, false, "", ""},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			m := placing(t)
			// Reports agree with the rows unless the case says otherwise.
			m.state.Rows["r"].Held, m.state.Rows["q"].Held = map[string]ledger.Holding{}, map[string]ledger.Holding{}
			test.do(m)
			if test.about == "where there is room" {
				m.duty.seen["r"].report.Held = []protocol.HeldItem{{Model: "n", Size: 6}}
			}
			m.duty.pace.tokens = 1
			m.takeShares()
			placed := m.placeOne(need{item: ledger.Item{Model: "m"}, size: 6, wanted: 1, score: 5})
			qt.Assert(t, placed, qt.Equals, test.placed)
			for name, row := range m.state.Rows {
				if name != test.runner {
					qt.Assert(t, row.Intent, qt.IsNil)
					continue
				}
				qt.Assert(t, row.Intent.Action, qt.Equals, test.action)
			}
		})
	}
}

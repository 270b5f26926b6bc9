package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// asks brings a router's look-up and gives the answers that leave.
func asks(m nativePrimary, nowMs int64, service, model string) []protocol.LookUpReply {
	return indexed(m.Step(nowMs, protocol.Envelope{
		Site: "s", To: "a", From: protocol.Node{Name: "e", Address: "e:1", Part: protocol.RoleRouter, Incarnation: "1"},
		Body: protocol.LookUp{ID: 7, Service: service, Model: model},
	}))
}

func indexed(effects protocol.Effects) []protocol.LookUpReply {
	var out []protocol.LookUpReply
	for _, send := range effects.Sends {
		if index, ok := send.Body.(protocol.LookUpReply); ok {
			out = append(out, index)
		}
	}
	return out
}

// A look-up gets one answer: who holds the thing, or when it may be held.
func TestLookUp(t *testing.T) {
	item := ledger.Holding{Size: 6}
	cases := []struct {
		about          string
		do             func(m nativePrimary)
		service, model string
		holders        int
		loading        bool
		turnMs         int64
		counted        bool
	}{
		{"held by one", func(m nativePrimary) { m.state.Rows["r"].Held["m"] = item }, "v", "m", 1, false, 0, true},
		{"held by two", func(m nativePrimary) { m.state.Rows["r"].Held["m"], m.state.Rows["q"].Held["m"] = item, item }, "v", "m", 2, false, 0, true},
		{"held by a leaver", func(m nativePrimary) {
			m.state.Rows["r"].Held["m"] = item
			m.state.Marks[protocol.LeavingRunner{Runner: "r", Incarnation: "1"}] = true
		}, "v", "m", 0, false, 0, true},
		{"held by a dark one", func(m nativePrimary) {
			m.state.Rows["r"].Held["m"] = item
			m.duty.seen["r"].okMs = m.nowMs - darkMs - 100
		}, "v", "m", 0, false, 0, true},
		{"being loaded", func(m nativePrimary) {
			m.state.Rows["r"].Intent = &ledger.Intent{Action: protocol.ActionLoad, Model: "m", Size: 6}
		}, "v", "m", 0, true, 0, true},
		{"being unloaded", func(m nativePrimary) {
			m.state.Rows["r"].Held["m"] = item
			m.state.Rows["r"].Intent = &ledger.Intent{Action: protocol.ActionUnload, Model: "m"}
		}, "v", "m", 0, false, 0, true},
		{"its turn is known", func(m nativePrimary) { m.duty.turns = map[string]int64{"m": 900} }, "v", "m", 0, false, 900, true},
		{"no such service", func(nativePrimary) {}, "x", "m", 0, false, 0, false},
		{"not a model of the service", func(nativePrimary) {}, "v", "x", 0, false, 0, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			m := placing(t)
			test.do(m)
			m.table.Forget()
			answers := asks(m, m.nowMs+1, test.service, test.model)
			qt.Assert(t, answers, qt.HasLen, 1)
			got := answers[0]
			qt.Assert(t, got.ID, qt.Equals, uint64(7))
			qt.Assert(t, got.Holders, qt.HasLen, test.holders)
			qt.Assert(t, got.Loading, qt.Equals, test.loading)
			qt.Assert(t, got.TurnMs, qt.Equals, test.turnMs)
			qt.Assert(t, m.index.counts[test.service+"/"+test.model+"/"] == 1, qt.Equals, test.counted)
		})
	}
}

// A router that asked in vain is told once the thing is loaded, and once only.
func TestWaitingRoutersAreTold(t *testing.T) {
	m := placing(t)
	nowMs := m.nowMs + 1
	qt.Assert(t, asks(m, nowMs, "v", "m")[0].Holders, qt.HasLen, 0)
	m.state.Rows["r"].Held["m"] = ledger.Holding{Size: 6}
	m.table.Forget()
	told := 0
	for range 40 {
		nowMs += 50
		m.election.leaseUntilMs = nowMs + 1000
		for _, s := range m.duty.seen {
			s.okMs = nowMs
		}
		for _, index := range indexed(m.Step(nowMs, protocol.Tick{})) {
			qt.Assert(t, index.Holders, qt.HasLen, 1)
			qt.Assert(t, index.ID, qt.Equals, uint64(0))
			told++
		}
	}
	qt.Assert(t, told, qt.Equals, 1)
}

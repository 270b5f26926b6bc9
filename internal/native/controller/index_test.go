package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

// asks handles a router's look-up and gives the replies.
func asks(p *testPrimary, nowMs int64, service, model string) []protocol.LookUpReply {
	return indexed(p.step(nowMs, protocol.Envelope{
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

// A look-up gets one answer: who holds the item, or when it may be held.
func TestLookUp(t *testing.T) {
	item := ledger.Holding{Size: 6}
	cases := []struct {
		about          string
		do             func(p *testPrimary)
		service, model string
		holders        int
		loading        bool
		turnMs         int64
		counted        bool
	}{
		{"held by one", func(p *testPrimary) { p.state().Rows["r"].Held["m"] = item }, "v", "m", 1, false, 0, true},
		{"held by two", func(p *testPrimary) {
			p.state().Rows["r"].Held["m"], p.state().Rows["q"].Held["m"] = item, item
		}, "v", "m", 2, false, 0, true},
		{"held by a leaving runner", func(p *testPrimary) {
			p.state().Rows["r"].Held["m"] = item
			p.state().LeavingRunners[protocol.LeavingRunner{Runner: "r", Incarnation: "1"}] = true
		}, "v", "m", 0, false, 0, true},
		{"held by a silent runner", func(p *testPrimary) {
			p.state().Rows["r"].Held["m"] = item
			p.primary.runners["r"].reportedMs = p.nowMs() - runnerTimeoutMs - 100
		}, "v", "m", 0, false, 0, true},
		{"being loaded", func(p *testPrimary) {
			p.state().Rows["r"].Order = &ledger.OpenOrder{Action: protocol.ActionLoad, Model: "m", Size: 6}
		}, "v", "m", 0, true, 0, true},
		{"being unloaded", func(p *testPrimary) {
			p.state().Rows["r"].Held["m"] = item
			p.state().Rows["r"].Order = &ledger.OpenOrder{Action: protocol.ActionUnload, Model: "m"}
		}, "v", "m", 0, false, 0, true},
		{"its wait is known", func(p *testPrimary) { p.primary.waitEstimatesMs = map[string]int64{"m": 900} }, "v", "m", 0, false, 900, true},
		{"no such service", func(*testPrimary) {}, "x", "m", 0, false, 0, false},
		{"not a model of the service", func(*testPrimary) {}, "v", "x", 0, false, 0, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			p := newPlacingPrimary(t)
			test.do(p)
			p.table.Invalidate()
			answers := asks(p, p.nowMs()+1, test.service, test.model)
			qt.Assert(t, answers, qt.HasLen, 1)
			got := answers[0]
			qt.Assert(t, got.ID, qt.Equals, uint64(7))
			qt.Assert(t, got.Holders, qt.HasLen, test.holders)
			qt.Assert(t, got.Loading, qt.Equals, test.loading)
			qt.Assert(t, got.TurnMs, qt.Equals, test.turnMs)
			qt.Assert(t, p.index.pendingDemand[test.service+"/"+test.model+"/"] == 1, qt.Equals, test.counted)
		})
	}
}

// A router that asked in vain is notified once the item is loaded, and once only.
func TestWaitingRoutersAreNotified(t *testing.T) {
	p := newPlacingPrimary(t)
	nowMs := p.nowMs() + 1
	qt.Assert(t, asks(p, nowMs, "v", "m")[0].Holders, qt.HasLen, 0)
	p.state().Rows["r"].Held["m"] = ledger.Holding{Size: 6}
	p.table.Invalidate()
	told := 0
	for range 40 {
		nowMs += 50
		for _, s := range p.primary.runners {
			s.reportedMs = nowMs
		}
		for _, index := range indexed(p.step(nowMs, protocol.Tick{})) {
			qt.Assert(t, index.Holders, qt.HasLen, 1)
			qt.Assert(t, index.ID, qt.Equals, uint64(0))
			told++
		}
	}
	qt.Assert(t, told, qt.Equals, 1)
}

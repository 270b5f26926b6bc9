package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// answer answers a question to a runner of the given epoch.
func (p *testPrimary) answer(nowMs int64, call protocol.ReportCall, epoch uint64) protocol.Effects {
	p.t.Helper()
	return p.step(nowMs, protocol.RunnerReportResult{
		Runner: call.Runner, Address: call.Runner + ":1", Number: call.Number, Ok: true,
		Report: protocol.RunnerReport{Runner: call.Runner, Incarnation: "1", Room: 10, Epoch: epoch},
	})
}

var bothRunners = protocol.RunnerListResult{Ok: true, Runners: []protocol.ListedRunner{
	{Name: "r", Address: "r:1", Incarnation: "1"}, {Name: "q", Address: "q:1", Incarnation: "1"},
}}

// Reports count only in the order in which they were made: one question to a
// runner at a time, and an answer to no other.
func TestReportsInOrder(t *testing.T) {
	cases := []struct {
		about string
		say   func(asked protocol.ReportCall) protocol.RunnerReportResult
		row   bool
	}{
		{"the answer", func(asked protocol.ReportCall) protocol.RunnerReportResult {
			return protocol.RunnerReportResult{Runner: "r", Address: "r:1", Number: asked.Number, Ok: true}
		}, true},
		{"a late one of another question", func(asked protocol.ReportCall) protocol.RunnerReportResult {
			return protocol.RunnerReportResult{Runner: "r", Address: "r:1", Number: asked.Number + 7, Ok: true}
		}, false},
		{"the answer to an order", func(protocol.ReportCall) protocol.RunnerReportResult {
			return protocol.RunnerReportResult{Runner: "r", Address: "r:1", Ok: true}
		}, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			p := newTestPrimary(t)
			p.step(100_010, bothRunners)
			asked := callsOf[protocol.ReportCall](p.step(100_020, protocol.Tick{}))
			qt.Assert(t, asked, qt.HasLen, 2)
			for _, nowMs := range []int64{100_500, 101_000, 101_500} {
				qt.Assert(t, callsOf[protocol.ReportCall](p.step(nowMs, protocol.Tick{})), qt.HasLen, 0)
			}
			for _, call := range asked {
				if call.Runner == "r" {
					said := test.say(call)
					said.Report = protocol.RunnerReport{Runner: "r", Incarnation: "1", Room: 10, Epoch: p.host.Epoch()}
					p.step(101_510, said)
				}
			}
			qt.Assert(t, p.state().Rows["r"] != nil, qt.Equals, test.row)
		})
	}
}

// A runner that may still be reached by a late order of an earlier primary is
// given none, and none is given at all before those that answer are fenced.
func TestOrdersWaitForFences(t *testing.T) {
	cases := []struct {
		about string
		// epochsBefore is how many epochs ago the runners last heard of.
		epochsBefore uint64
		// silent never answers.
		silent string
		waitMs int64
		orders int
	}{
		{"all heed this epoch, the gap is not over", 0, "", 2900, 0},
		{"all heed this epoch and the gap is over", 0, "", 3300, 1},
		{"none says that it heeds this epoch", 1, "", 9000, 0},
		{"one is silent: the others go on", 0, "q", 3600, 1},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			p := newTestPrimary(t)
			p.step(100_010, bothRunners)
			var orders []protocol.OrderCall
			for nowMs := int64(100_020); nowMs <= 100_020+test.waitMs; nowMs += 50 {
				effects := p.step(nowMs, protocol.Tick{})
				orders = append(orders, callsOf[protocol.OrderCall](effects)...)
				for _, call := range callsOf[protocol.ReportCall](effects) {
					if call.Runner == test.silent {
						effects = p.step(nowMs, protocol.RunnerReportResult{Runner: call.Runner, Address: call.Runner + ":1", Number: call.Number})
					} else {
						effects = p.answer(nowMs, call, p.host.Epoch()-test.epochsBefore)
					}
					orders = append(orders, callsOf[protocol.OrderCall](effects)...)
				}
			}
			// One that is not answered is repeated under its number.
			numbers := map[uint64]bool{}
			for _, call := range orders {
				numbers[call.Order.Number] = true
				qt.Assert(t, call.Runner, qt.Not(qt.Equals), test.silent)
			}
			qt.Assert(t, numbers, qt.HasLen, test.orders)
		})
	}
}

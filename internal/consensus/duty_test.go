package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/replication"
)

const described = `{
  "site": "s",
  "controllers": [{"name": "a", "zone": "z"}, {"name": "b", "zone": "y"}, {"name": "c", "zone": "x"}],
  "routers": [{"name": "e", "zone": "z"}],
  "runners": [{"name": "r", "pool": "p", "zone": "z", "room": 10}, {"name": "q", "pool": "p", "zone": "y", "room": 10}],
  "models": [{"name": "m", "size": 6, "copies": 1}],
  "services": [{"name": "v", "pools": ["p"], "models": ["m"], "deadlineMs": 5000, "holding": 4}],
  "store": {"loadsPer10s": 100},
  "secondGoes": 5
}`

// nativePrimary is a primary of the own interface with its application.
type nativePrimary struct {
	*Machine
	*nativeApplication
}

// serving makes a primary whose pair is whole, at 100 s of its clock.
func serving(t *testing.T) nativePrimary {
	t.Helper()
	self := protocol.Node{Name: "a", Address: "a:1", Zone: "z", Part: protocol.RoleController, Incarnation: "1"}
	machine, application, err := newNative(NativeSettings{Site: "s", Self: self, Platform: "platform"}, map[string]string{}, 100_000)
	qt.Assert(t, err, qt.IsNil)
	m := nativePrimary{machine, application}
	a, b, c := protocol.MemberID{Name: "a", Incarnation: "1"}, protocol.MemberID{Name: "b", Incarnation: "1"}, protocol.MemberID{Name: "c", Incarnation: "1"}
	set := []protocol.MemberID{a, b, c}
	for _, name := range []string{"b", "c"} {
		m.roster.Observe(100_000, protocol.Node{Name: name, Address: name + ":1", Zone: "y", Part: protocol.RoleController, Incarnation: "1"})
	}
	m.state.Do(protocol.Position{Epoch: 1, Number: 1}, []ledger.Command{ledger.Accept{Text: described, Epoch: 1}})
	qt.Assert(t, m.describe(), qt.IsNil)
	m.follower = replication.NewFollower(m.state.Position)
	m.election.grants = map[protocol.MemberID]int64{a: 1 << 40, b: 1 << 40}
	m.becomePrimary(protocol.EpochRecord{Epoch: 1, Primary: "a", Replicas: []protocol.MemberID{a, b}, Witnesses: set, Before: set})
	settle(m, 100_000)
	qt.Assert(t, m.active(), qt.IsTrue)
	return m
}

// settle ends all writes, on this disk and on the backup's.
func settle(m nativePrimary, nowMs int64) {
	for number := range m.saves {
		m.Step(nowMs, protocol.DiskWriteDone{Number: number, Ok: true})
	}
	m.Step(nowMs, protocol.Envelope{
		Site: "s", To: "a", From: protocol.Node{Name: "b", Address: "b:1", Zone: "y", Part: protocol.RoleController, Incarnation: "1"},
		Body: protocol.AppendReply{Epoch: 1, At: m.state.Position},
	})
}

func calls[T any](effects protocol.Effects) []T {
	var out []T
	for _, call := range effects.Calls {
		if body, ok := call.Body.(T); ok {
			out = append(out, body)
		}
	}
	return out
}

// answerAll answers each question to a runner but those that are left out.
func answerAll(m nativePrimary, nowMs int64, asked []protocol.ReportCall, epoch uint64, out ...string) {
	for _, call := range asked {
		said := protocol.RunnerReportResult{Runner: call.Runner, Address: call.Runner + ":1", Number: call.Number}
		if len(out) == 0 || call.Runner != out[0] {
			said.Ok = true
			said.Report = protocol.RunnerReport{Runner: call.Runner, Incarnation: "1", Room: 10, Epoch: epoch}
		}
		m.Step(nowMs, said)
	}
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
			m := serving(t)
			m.Step(100_010, bothRunners)
			asked := calls[protocol.ReportCall](m.Step(100_020, protocol.Tick{}))
			qt.Assert(t, asked, qt.HasLen, 2)
			qt.Assert(t, calls[protocol.ReportCall](m.Step(101_500, protocol.Tick{})), qt.HasLen, 0)
			for _, call := range asked {
				if call.Runner == "r" {
					said := test.say(call)
					said.Report = protocol.RunnerReport{Runner: "r", Incarnation: "1", Room: 10, Epoch: 1}
					m.Step(101_510, said)
				}
			}
			qt.Assert(t, m.state.Rows["r"] != nil, qt.Equals, test.row)
		})
	}
}

// A runner that may still be reached by a late order of the holder before is
// given none, and none is given at all before those that answer are fenced.
func TestOrdersWaitForFences(t *testing.T) {
	cases := []struct {
		about string
		epoch uint64
		// silent never answers.
		silent string
		waitMs int64
		orders int
	}{
		{"all heed this epoch, the gap is not over", 1, "", 2900, 0},
		{"all heed this epoch and the gap is over", 1, "", 3300, 1},
		{"none says that it heeds this epoch", 0, "", 9000, 0},
		{"one is dark: the others go on", 1, "q", 3600, 1},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			m := serving(t)
			m.Step(100_010, bothRunners)
			var orders []protocol.OrderCall
			for nowMs := int64(100_020); nowMs <= 100_020+test.waitMs; nowMs += 50 {
				effects := m.Step(nowMs, protocol.Tick{})
				orders = append(orders, calls[protocol.OrderCall](effects)...)
				answerAll(m, nowMs, calls[protocol.ReportCall](effects), test.epoch, test.silent)
				// The hold and the backup live on.
				m.election.leaseUntilMs = nowMs + 1000
				for len(m.saves) > 0 {
					for number := range m.saves {
						orders = append(orders, calls[protocol.OrderCall](m.Step(nowMs, protocol.DiskWriteDone{Number: number, Ok: true}))...)
					}
				}
				orders = append(orders, calls[protocol.OrderCall](m.Step(nowMs, protocol.Envelope{
					Site: "s", To: "a", From: protocol.Node{Name: "b", Address: "b:1", Zone: "y", Part: protocol.RoleController, Incarnation: "1"},
					Body: protocol.AppendReply{Epoch: 1, At: m.state.Position},
				}))...)
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

package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/protocol"
)

// engineFormat reads a map of one engine, whatever is written.
type engineFormat struct{ versionFormat }

func (f engineFormat) Parse(text []byte) (*config.Configuration, []string) {
	d, faults := f.versionFormat.Parse(text)
	if d != nil {
		d.Services = []config.Service{{Name: "llm", Engine: &config.Engine{
			Slots: 8, WeightMemoryMb: 100, LoadsPerSec: 10, Models: []config.Model{{Name: "m1", SizeMb: 10, LoadMs: 500}},
		}}}
		d.BuildIndex()
	}
	return d, faults
}

// answerCalls answers what the steward asks outward, and counts its orders.
func answerCalls(h *pendingHost, s *Controller) (orders int) {
	calls := h.calls
	h.calls = nil
	for _, call := range calls {
		switch body := call.Body.(type) {
		case protocol.ListRunners:
			s.HandleInput(h, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{{ID: "i-1", Service: "llm", Address: "a:1", Slots: 8, LeftMs: -1}}})
		case protocol.GetRunnerState:
			s.HandleInput(h, protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number, Ok: true, State: protocol.RunnerState{CacheTotal: 100}})
		case protocol.RunnerOrder:
			orders++
			s.HandleInput(h, protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number, Outcome: protocol.OutcomeAccepted})
		}
	}
	return orders
}

// Who may order is written down before the first order; only who finds
// another's name waits for what that one may still do.
func TestOrdersBegin(t *testing.T) {
	const gapMs, never = 2000, int64(-1)
	for _, test := range []struct {
		name string
		row  string
		// safeMs is how long a write takes; never is that its end is unknown.
		safeMs int64
		// writeMs and orderMs are when the row is written and the first order
		// leaves, after the start; a tick or two may be needed.
		writeMs, orderMs int64
	}{
		{"own name: at once", testSelf.Name, 100, never, 0},
		{"none: at once", "", 0, 0, 0},
		{"none, but not before the row is safe", "", 600, 0, 600},
		{"another's: after the gap", "core-2", 0, gapMs, gapMs},
		{"another's, and not before the row is safe", "core-2", 600, gapMs, gapMs + 600},
		{"a row of unknown end gives no right", "", never, 0, never},
		{"nor after another's", "core-2", never, gapMs, never},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newPendingHost()
			before := New(Settings{Self: testSelf}, engineFormat{})
			before.BecamePrimary(h)
			before.HandleInput(h, SubmitConfig{Text: "version 1"})
			h.end(true)
			if test.row != "" {
				h.rows[ordererRow] = test.row
			}
			beganMs := h.nowMs
			h.ordersMs = beganMs + gapMs
			s := New(Settings{Self: testSelf, Bounds: bounds.Bounds{DrainMs: 3000, LeaseMs: 3000, ThawMs: 300, InTouchMs: 3000, OriginWindowMs: 5000, OriginOver: 1.1}, ListAddress: "list", ListPerSec: 10}, engineFormat{})
			s.BecamePrimary(h)
			writeMs, orderMs, endMs := never, never, never
			for ; h.nowMs < beganMs+4000; h.nowMs += 50 {
				s.HandleMessage(h, protocol.Envelope{From: protocol.Node{Name: "router-1", Part: protocol.RoleRouter}, Body: protocol.IndexLookUp{ID: uint64(h.nowMs), Service: "llm", Model: "m1", Waits: true}})
				s.Tick(h)
				if orders := answerCalls(h, s); orders > 0 && orderMs == never {
					orderMs = h.nowMs - beganMs
				}
				if len(h.writes) > 0 && writeMs == never {
					c.Check(h.writes[0].keys, qt.DeepEquals, []string{ordererRow})
					c.Check(h.rows[ordererRow], qt.Equals, testSelf.Name)
					writeMs, endMs = h.nowMs-beganMs, h.nowMs+test.safeMs
				}
				if len(h.writes) > 0 && test.safeMs != never && h.nowMs >= endMs {
					h.end(true)
				} else if len(h.writes) > 0 && test.safeMs == never && h.nowMs >= beganMs+3000 {
					h.end(false)
				}
			}
			c.Check(writeMs, qt.Equals, test.writeMs)
			if test.orderMs == never {
				c.Check(orderMs, qt.Equals, never)
				return
			}
			c.Check(orderMs >= test.orderMs && orderMs <= test.orderMs+400, qt.IsTrue, qt.Commentf("the first order left after %d ms", orderMs))
		})
	}
}

// A primacy that ended gives no orders, also if its row became safe after all.
func TestOrdersEnd(t *testing.T) {
	c := qt.New(t)
	h := newPendingHost()
	h.rows[ordererRow] = testSelf.Name
	s := New(Settings{Self: testSelf, Bounds: bounds.Bounds{DrainMs: 3000, LeaseMs: 3000, ThawMs: 300, InTouchMs: 3000, OriginWindowMs: 5000, OriginOver: 1.1}, ListAddress: "list", ListPerSec: 10}, engineFormat{})
	s.BecamePrimary(h)
	s.HandleInput(h, SubmitConfig{Text: "version 1"})
	h.end(true)
	s.LostPrimacy(h)
	orders := 0
	for endMs := h.nowMs + 2000; h.nowMs < endMs; h.nowMs += 50 {
		s.HandleMessage(h, protocol.Envelope{From: protocol.Node{Name: "router-1", Part: protocol.RoleRouter}, Body: protocol.IndexLookUp{ID: uint64(h.nowMs), Service: "llm", Model: "m1", Waits: true}})
		s.Tick(h)
		orders += answerCalls(h, s)
	}
	c.Assert(orders, qt.Equals, 0)
	c.Assert(h.writes, qt.HasLen, 0)
}

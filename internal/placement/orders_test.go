package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// harness is a keeper with one runner whose calls the test answers itself.
type harness struct {
	c          *qt.C
	manager    *Manager
	nowMs      int64
	lastPoll   protocol.GetRunnerState
	lastOrder  protocol.RunnerOrder
	ordersSent int
}

func newHarness(c *qt.C, held ...string) *harness {
	h := &harness{c: c, nowMs: 1000, manager: New(simBounds, "one", "list", 47)}
	h.manager.SetMap(newServiceMap(6, 42, 4.2))
	h.manager.BecomePrimary(h.nowMs, 7, h.nowMs)
	h.list("r1", held...)
	return h
}

func (h *harness) list(id string, held ...string) {
	e := protocol.RunnerEntry{ID: id, Service: llm, Address: "10.0.0.1:80", Zone: "a", Slots: 64, LeftMs: -1}
	for _, name := range held {
		e.Models = append(e.Models, protocol.HeldModel{Name: name})
	}
	h.manager.HandleRunnerList(h.nowMs, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{e}})
}

// tick goes on by so many ms, and takes up what is asked and ordered.
func (h *harness) tick(ms int64) {
	for end := h.nowMs + ms; h.nowMs < end; {
		h.nowMs += 50
		calls, _ := h.manager.Tick(h.nowMs, h.nowMs+2000)
		for _, call := range calls {
			switch body := call.Body.(type) {
			case protocol.GetRunnerState:
				h.lastPoll = body
			case protocol.RunnerOrder:
				h.lastOrder = body
				h.ordersSent++
			}
		}
	}
}

func (h *harness) answerPoll(calls int64, busy bool, held ...string) {
	state := protocol.RunnerState{Calls: calls, Busy: busy}
	for _, name := range held {
		state.Models = append(state.Models, protocol.HeldModel{Name: name})
	}
	h.manager.HandleRunnerState(h.nowMs, protocol.RunnerStateResult{Runner: h.lastPoll.Runner, Number: h.lastPoll.Number, Ok: true, State: state})
}

func (h *harness) answerOrder(o protocol.OrderOutcome) {
	h.manager.HandleOrderResult(h.nowMs, protocol.RunnerOrderResult{Runner: h.lastOrder.Runner, Number: h.lastOrder.Number, Outcome: o})
}

func (h *harness) lookUpWaiting(model string) {
	h.manager.LookUp(h.nowMs, protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: llm, Model: model, Waits: true})
}

func (h *harness) offers(model string) bool {
	return len(h.manager.reply(h.nowMs, llm, model, "").Holders) > 0
}

// harnessWithOrder brings the bench to a first order sent: a load of m004 at count 3.
func harnessWithOrder(c *qt.C) *harness {
	h := newHarness(c, "m001")
	h.tick(50)
	h.lookUpWaiting("m004")
	c.Assert(h.ordersSent, qt.Equals, 0)
	h.answerPoll(3, false, "m001")
	h.tick(50)
	c.Assert(h.ordersSent, qt.Equals, 1)
	c.Assert(h.lastOrder.Model, qt.Equals, "m004")
	c.Assert(h.lastOrder.Expected, qt.Equals, int64(3))
	c.Assert(h.lastOrder.Fence, qt.Equals, uint64(7))
	c.Assert(h.lastOrder.Holder, qt.Equals, "one")
	return h
}

// What is heard of an order decides whether it is done, open, or may be
// followed by another.
func TestOrdersSettle(t *testing.T) {
	type word struct {
		outcome protocol.OrderOutcome
		state   bool
		calls   int64
		busy    bool
		held    []string
	}
	said := func(o protocol.OrderOutcome) word { return word{outcome: o} }
	told := func(calls int64, busy bool, held ...string) word {
		return word{state: true, calls: calls, busy: busy, held: held}
	}
	both := []string{"m001", "m004"}
	for _, test := range []struct {
		name  string
		words []word
		// open is that the order is still in the ledger; holds that m004 is
		// offered; sent how often an order for it was sent.
		open, holds bool
		sent        int
	}{
		{"taken alone is not done", []word{said(protocol.OutcomeAccepted)}, true, false, 1},
		{"a state from before says nothing", []word{said(protocol.OutcomeAccepted), told(3, false, "m001")}, true, false, 1},
		{"busy is not done", []word{said(protocol.OutcomeAccepted), told(4, true, "m001")}, true, false, 1},
		{"done", []word{said(protocol.OutcomeAccepted), told(4, true, "m001"), told(4, false, both...)}, false, true, 1},
		{"done before the answer", []word{told(4, false, both...), said(protocol.OutcomeAccepted)}, false, true, 1},
		{"an older state afterwards", []word{told(4, false, both...), told(3, false, "m001")}, false, true, 1},
		{"refused for the count: asks, then orders anew", []word{said(protocol.OutcomeBusy), told(3, false, "m001")}, true, false, 2},
		{"a lower fence: no more orders", []word{said(protocol.OutcomeFenced), told(3, false, "m001")}, false, false, 1},
		{"unknown and not taken: the same again", []word{said(protocol.OutcomeUnknown), told(3, false, "m001")}, true, false, 2},
		{"unknown and under way", []word{said(protocol.OutcomeUnknown), told(4, true, "m001")}, true, false, 1},
		{"unknown and done", []word{said(protocol.OutcomeUnknown), told(4, false, both...)}, false, true, 1},
		{"a repeat refused: the first may be under way", []word{said(protocol.OutcomeUnknown), told(3, false, "m001"), said(protocol.OutcomeBusy)}, true, false, 2},
		{"a repeat refused: the first was done", []word{said(protocol.OutcomeUnknown), told(3, false, "m001"), said(protocol.OutcomeBusy), told(4, false, both...)}, false, true, 2},
		{"already so", []word{said(protocol.OutcomeAlreadyInEffect), told(3, false, both...)}, false, true, 1},
		{"another holder's order came", []word{said(protocol.OutcomeBusy), told(5, false, "m001", "m004")}, false, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := harnessWithOrder(c)
			for _, w := range test.words {
				if w.state {
					h.tick(300)
					h.answerPoll(w.calls, w.busy, w.held...)
				} else {
					h.answerOrder(w.outcome)
				}
				h.tick(100)
			}
			h.tick(250)
			r := h.manager.runners["r1"]
			open := r.Order != nil && r.Order.Model == "m004"
			c.Assert(open, qt.Equals, test.open)
			c.Assert(h.offers("m004"), qt.Equals, test.holds)
			if h.lastOrder.Model == "m004" {
				c.Assert(h.ordersSent, qt.Equals, test.sent)
				c.Assert(h.lastOrder.Expected, qt.Equals, int64(3))
			}
		})
	}
}

// A restart is a new life: empty, with its own counts, under its new id.
func TestRestartIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	h := harnessWithOrder(c)
	h.answerOrder(protocol.OutcomeAccepted)
	h.tick(300)
	h.list("r2")
	c.Assert(h.offers("m001"), qt.IsFalse)
	h.list("r2")
	c.Assert(h.manager.runners["r1"], qt.IsNil)
	c.Assert(h.manager.LeavingRunners(), qt.DeepEquals, []string{"r1"})
	h.tick(500)
	c.Assert(h.lastPoll.Runner, qt.Equals, "r2")
	h.answerPoll(0, false)
	h.tick(100)
	c.Assert(h.lastOrder.Runner, qt.Equals, "r2")
	c.Assert(h.lastOrder.Expected, qt.Equals, int64(0))
	// A late word on the old life's order changes nothing.
	h.manager.HandleOrderResult(h.nowMs, protocol.RunnerOrderResult{Runner: "r1", Number: 1, Outcome: protocol.OutcomeAccepted})
	c.Assert(h.manager.runners["r2"].Order.Phase, qt.Equals, runnerstate.OrderSent)
}

// After a lower fence was refused, orders go on only under a higher one.
func TestOrdersResumeAtHigherEpoch(t *testing.T) {
	c := qt.New(t)
	h := harnessWithOrder(c)
	h.answerOrder(protocol.OutcomeFenced)
	h.manager.SetEpoch(7)
	h.tick(300)
	h.answerPoll(3, false, "m001")
	h.tick(300)
	c.Assert(h.ordersSent, qt.Equals, 1)
	h.manager.SetEpoch(8)
	h.lookUpWaiting("m004")
	h.tick(300)
	c.Assert(h.ordersSent, qt.Equals, 2)
	c.Assert(h.lastOrder.Fence, qt.Equals, uint64(8))
}

// No order goes out before its time, nor close to the end of the hold.
func TestOrdersStayWithinLease(t *testing.T) {
	for _, test := range []struct {
		fromMs, holdMs int64
		sent           bool
		untilMs        int64
	}{
		{1000, 5000, true, 1700},
		{1101, 5000, false, 0},
		{1000, 1200, false, 0},
		{1000, 1300, true, 1300},
	} {
		c := qt.New(t)
		h := &harness{c: c, nowMs: 1000, manager: New(simBounds, "one", "list", 47)}
		h.manager.SetMap(newServiceMap(6, 0, 4.2))
		h.manager.BecomePrimary(h.nowMs, 7, test.fromMs)
		h.list("r1", "m001")
		calls, _ := h.manager.Tick(1000, test.holdMs)
		for _, call := range calls {
			if asked, ok := call.Body.(protocol.GetRunnerState); ok {
				h.lastPoll = asked
			}
		}
		h.answerPoll(0, false, "m001")
		h.lookUpWaiting("m004")
		calls, _ = h.manager.Tick(1100, test.holdMs)
		found := false
		for _, call := range calls {
			if order, ok := call.Body.(protocol.RunnerOrder); ok {
				found = true
				c.Assert(order.UntilMs, qt.Equals, test.untilMs)
			}
		}
		c.Assert(found, qt.Equals, test.sent)
	}
}

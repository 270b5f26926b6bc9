package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// bench is a keeper with one runner whose calls the test answers itself.
type bench struct {
	c     *qt.C
	k     *Keeper
	nowMs int64
	asked protocol.GetRunnerState
	order protocol.RunnerOrder
	sent  int
}

func newBench(c *qt.C, held ...string) *bench {
	b := &bench{c: c, nowMs: 1000, k: New(standBounds, "one", "list", 47)}
	b.k.SetMap(newMap(6, 42, 4.2))
	b.k.Begin(b.nowMs, 7, b.nowMs)
	b.list("r1", held...)
	return b
}

func (b *bench) list(id string, held ...string) {
	e := protocol.RunnerEntry{ID: id, Service: llm, Address: "10.0.0.1:80", Zone: "a", Slots: 64, LeftMs: -1}
	for _, name := range held {
		e.Models = append(e.Models, protocol.HeldModel{Name: name})
	}
	b.k.Fleet(b.nowMs, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{e}})
}

// tick goes on by so many ms, and takes up what is asked and ordered.
func (b *bench) tick(ms int64) {
	for end := b.nowMs + ms; b.nowMs < end; {
		b.nowMs += 50
		calls, _ := b.k.Tick(b.nowMs, b.nowMs+2000)
		for _, call := range calls {
			switch body := call.Body.(type) {
			case protocol.GetRunnerState:
				b.asked = body
			case protocol.RunnerOrder:
				b.order = body
				b.sent++
			}
		}
	}
}

func (b *bench) say(calls int64, busy bool, held ...string) {
	state := protocol.RunnerState{Calls: calls, Busy: busy}
	for _, name := range held {
		state.Models = append(state.Models, protocol.HeldModel{Name: name})
	}
	b.k.State(b.nowMs, protocol.RunnerStateResult{Runner: b.asked.Runner, Number: b.asked.Number, Ok: true, State: state})
}

func (b *bench) outcome(o protocol.OrderOutcome) {
	b.k.Commanded(b.nowMs, protocol.RunnerOrderResult{Runner: b.order.Runner, Number: b.order.Number, Outcome: o})
}

func (b *bench) want(model string) {
	b.k.LookUp(b.nowMs, protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: llm, Model: model, Waits: true})
}

func (b *bench) holds(model string) bool {
	return len(b.k.index(b.nowMs, llm, model, "").Holders) > 0
}

// ordered brings the bench to a first order sent: a load of m004 at count 3.
func ordered(c *qt.C) *bench {
	b := newBench(c, "m001")
	b.tick(50)
	b.want("m004")
	c.Assert(b.sent, qt.Equals, 0)
	b.say(3, false, "m001")
	b.tick(50)
	c.Assert(b.sent, qt.Equals, 1)
	c.Assert(b.order.Model, qt.Equals, "m004")
	c.Assert(b.order.Expected, qt.Equals, int64(3))
	c.Assert(b.order.Fence, qt.Equals, uint64(7))
	c.Assert(b.order.Holder, qt.Equals, "one")
	return b
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
			b := ordered(c)
			for _, w := range test.words {
				if w.state {
					b.tick(300)
					b.say(w.calls, w.busy, w.held...)
				} else {
					b.outcome(w.outcome)
				}
				b.tick(100)
			}
			b.tick(250)
			r := b.k.runners["r1"]
			open := r.order != nil && r.order.Model == "m004"
			c.Assert(open, qt.Equals, test.open)
			c.Assert(b.holds("m004"), qt.Equals, test.holds)
			if b.order.Model == "m004" {
				c.Assert(b.sent, qt.Equals, test.sent)
				c.Assert(b.order.Expected, qt.Equals, int64(3))
			}
		})
	}
}

// A restart is a new life: empty, with its own counts, under its new id.
func TestRestartIsANewLife(t *testing.T) {
	c := qt.New(t)
	b := ordered(c)
	b.outcome(protocol.OutcomeAccepted)
	b.tick(300)
	b.list("r2")
	c.Assert(b.holds("m001"), qt.IsFalse)
	b.list("r2")
	c.Assert(b.k.runners["r1"], qt.IsNil)
	c.Assert(b.k.Leaving(), qt.DeepEquals, []string{"r1"})
	b.tick(500)
	c.Assert(b.asked.Runner, qt.Equals, "r2")
	b.say(0, false)
	b.tick(100)
	c.Assert(b.order.Runner, qt.Equals, "r2")
	c.Assert(b.order.Expected, qt.Equals, int64(0))
	// A late word on the old life's order changes nothing.
	b.k.Commanded(b.nowMs, protocol.RunnerOrderResult{Runner: "r1", Number: 1, Outcome: protocol.OutcomeAccepted})
	c.Assert(b.k.runners["r2"].order.phase, qt.Equals, sent)
}

// After a lower fence was refused, orders go on only under a higher one.
func TestHigherFenceGoesOn(t *testing.T) {
	c := qt.New(t)
	b := ordered(c)
	b.outcome(protocol.OutcomeFenced)
	b.k.SetFence(7)
	b.tick(300)
	b.say(3, false, "m001")
	b.tick(300)
	c.Assert(b.sent, qt.Equals, 1)
	b.k.SetFence(8)
	b.want("m004")
	b.tick(300)
	c.Assert(b.sent, qt.Equals, 2)
	c.Assert(b.order.Fence, qt.Equals, uint64(8))
}

// No order goes out before its time, nor close to the end of the hold.
func TestOrdersKeepWithinTheHold(t *testing.T) {
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
		b := &bench{c: c, nowMs: 1000, k: New(standBounds, "one", "list", 47)}
		b.k.SetMap(newMap(6, 0, 4.2))
		b.k.Begin(b.nowMs, 7, test.fromMs)
		b.list("r1", "m001")
		calls, _ := b.k.Tick(1000, test.holdMs)
		for _, call := range calls {
			if asked, ok := call.Body.(protocol.GetRunnerState); ok {
				b.asked = asked
			}
		}
		b.say(0, false, "m001")
		b.want("m004")
		calls, _ = b.k.Tick(1100, test.holdMs)
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

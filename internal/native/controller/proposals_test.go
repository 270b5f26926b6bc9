package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

// A description waits for every process that may still use the one in force,
// and for a majority of the listed routers.
func TestProposalAcknowledged(t *testing.T) {
	const nowMs = 10_000
	holds := func(seats map[protocol.MemberID]routerLease) map[protocol.MemberID]*routerLease {
		out := map[protocol.MemberID]*routerLease{}
		for s, hold := range seats {
			out[s] = &hold
		}
		return out
	}
	cases := []struct {
		about string
		holds map[protocol.MemberID]routerLease
		ready bool
	}{
		{"nobody was heard", nil, false},
		{"all acknowledged", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t"}, memberID("b", "1"): {acknowledged: "t"}, memberID("c", "1"): {acknowledged: "t"}}, true},
		{"one may still use the old", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t"}, memberID("b", "1"): {acknowledged: "t"}, memberID("c", "1"): {untilMs: nowMs + 1}}, false},
		{"its lease has run out", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t"}, memberID("b", "1"): {acknowledged: "t"}, memberID("c", "1"): {untilMs: nowMs}}, true},
		{"no majority", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t"}, memberID("b", "1"): {untilMs: nowMs}, memberID("c", "1"): {untilMs: nowMs}}, false},
		{"an extension granted to peers may run", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t", extendedUntilMs: nowMs + 1}, memberID("b", "1"): {acknowledged: "t"}}, false},
		{"that extension has run out", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t", extendedUntilMs: nowMs}, memberID("b", "1"): {acknowledged: "t"}}, true},
		{"another proposal was acknowledged", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "u"}, memberID("b", "1"): {acknowledged: "t"}}, false},
		{"an old process of a name may still use the old", map[protocol.MemberID]routerLease{memberID("a", "1"): {untilMs: nowMs + 1}, memberID("a", "2"): {acknowledged: "t"}, memberID("b", "1"): {acknowledged: "t"}}, false},
		{"one who is not listed is no part of the majority", map[protocol.MemberID]routerLease{memberID("a", "1"): {acknowledged: "t"}, memberID("x", "1"): {acknowledged: "t"}}, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			_, a, err := newController(Settings{Site: "s", Self: controllerNode("a", "z")}, map[string]string{}, nowMs)
			qt.Assert(t, err, qt.IsNil)
			a.description = &description.Description{Routers: []description.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
			a.proposals.pending = &proposal{token: "t"}
			a.proposals.leases = holds(test.holds)
			qt.Assert(t, a.proposalAcknowledged(), qt.Equals, test.ready)
		})
	}
}

// Of two processes of a name the one that registered last stays. A question
// that shows no number proves nothing: its sender may be long gone.
func TestRouterRegistration(t *testing.T) {
	var o proposals
	o.resetRouters()
	old, fresh := memberID("e", "old"), memberID("e", "fresh")
	first, retired := o.register(7, old, 0)
	qt.Assert(t, retired, qt.IsFalse)
	second, retired := o.register(7, fresh, 0)
	qt.Assert(t, retired, qt.IsFalse)
	qt.Assert(t, second > first, qt.IsTrue)
	_, retired = o.register(7, old, first)
	qt.Assert(t, retired, qt.IsFalse, qt.Commentf("the fresh one has not shown that it lives"))
	_, retired = o.register(7, fresh, second)
	qt.Assert(t, retired, qt.IsFalse)
	_, retired = o.register(7, old, first)
	qt.Assert(t, retired, qt.IsTrue)
	// The next primacy gives other numbers, so an old one shows nothing there.
	o.resetRouters()
	number, _ := o.register(8, old, first)
	qt.Assert(t, number, qt.Not(qt.Equals), first)
	qt.Assert(t, o.newestNumber["e"], qt.Equals, uint64(0))
}

// A description that comes right after the primary's lease has run out, before
// anything else noticed, is rejected and surely has no effect.
func TestNoDescriptionAfterTheLease(t *testing.T) {
	p := newTestPrimary(t)
	p.silent = true
	base := p.proposals.current.Number
	p.step(p.host.LeaseUntilMs()-1, protocol.Tick{})
	qt.Assert(t, p.host.IsPrimary(), qt.IsTrue)
	effects := p.step(p.host.LeaseUntilMs(), SubmitDescription{ID: 3, Base: base, Text: testDescription})
	qt.Assert(t, p.host.IsPrimary(), qt.IsFalse)
	qt.Assert(t, effects.Responses, qt.HasLen, 1)
	qt.Assert(t, effects.Responses[0].Body.(protocol.Rejection).Kind.Response().NotExecuted, qt.IsTrue)
}

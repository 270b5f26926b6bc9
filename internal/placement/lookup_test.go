package placement

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/placement/index"
	"myrtlewinch/internal/protocol"
)

// A router that looked a model up recently gets an update when the model has a holder.
func TestSubscribersGetUpdates(t *testing.T) {
	c := qt.New(t)
	h := harnessWithOrder(c)
	h.replyToOrder(protocol.OutcomeAccepted)
	h.tick(500)
	h.replyToPoll(4, false, "m001", "m004")
	_, updates := h.manager.Tick(h.nowMs+10, h.nowMs+2000)
	c.Assert(updates, qt.HasLen, 1)
	c.Assert(updates[0].To.Name, qt.Equals, "router")
	c.Assert(updates[0].Reply.Model, qt.Equals, "m004")
	c.Assert(updates[0].Reply.Holders, qt.HasLen, 1)
	_, updates = h.manager.Tick(h.nowMs+60, h.nowMs+2000)
	c.Assert(updates, qt.HasLen, 0)
}

// Only routers that a change concerns get an update: not those that looked up another adapter,
// and not those that already know.
func TestWhichSubscribersGetUpdates(t *testing.T) {
	held := func(adapters ...string) []protocol.HeldModel {
		return []protocol.HeldModel{{Name: "m000", Adapters: adapters}}
	}
	cases := []struct {
		name string
		// adapters are looked up first. The runner's models change laterMs later, and the
		// subscribers of the adapters in updated get an update.
		adapters []string
		models   []protocol.HeldModel
		laterMs  int64
		updated  []string
	}{
		{"another adapter is loaded", []string{"a1"}, held("a1", "a2"), 0, nil},
		{"the adapter is loaded, and routers that wait for another one get an update too", []string{"a2", "a3"}, held("a1", "a2"), 0, []string{"a2", "a3"}},
		{"the adapter is unloaded", []string{"a1"}, held(), 0, []string{"a1"}},
		{"the adapter is unloaded just before the subscription expires", []string{"a1"}, held(), 3_900, []string{"a1"}},
		{"the adapter is unloaded after the subscription expired", []string{"a1"}, held(), 4_001, nil},
		{"the adapter is loaded just before the subscription expires", []string{"a2"}, held("a1", "a2"), 3_900, []string{"a2"}},
		{"one is loaded and one unloaded", []string{"", "a1", "a2"}, held("a2"), 0, []string{"a1", "a2"}},
		{"the model is unloaded", []string{"", "a1"}, nil, 0, []string{"", "a1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newPlatformSim(t, 1, newConfiguration(4, 8, 4.2), 0)
			manager := s.manager("one")
			manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs()+1_000_000)
			e := protocol.RunnerEntry{ID: "r1", Service: llm, Address: "10.0.0.1:80", Slots: 8, LeftMs: -1, Models: held("a1")}
			manager.HandleRunnerList(s.events.NowMs(), protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{e}})
			for _, adapter := range test.adapters {
				for _, router := range []string{"one", "two"} {
					reply := manager.LookUp(s.events.NowMs(), protocol.Node{Name: router}, protocol.IndexLookUp{Service: llm, Model: "m000", Adapter: adapter})
					for _, h := range reply.Holders {
						c.Assert(h.Adapter, qt.IsTrue)
					}
				}
			}
			manager.Tick(s.events.NowMs(), s.events.NowMs()+2000)
			s.events.RunFor(test.laterMs)
			manager.runners["r1"].ApplyModels(s.events.NowMs(), test.models, manager)
			var updated []string
			_, updates := manager.Tick(s.events.NowMs(), s.events.NowMs()+2000)
			for _, update := range updates {
				if update.To.Name == "two" {
					updated = append(updated, update.Reply.Adapter)
				}
			}
			c.Assert(updated, qt.DeepEquals, test.updated)
			c.Assert(updates, qt.HasLen, 2*len(test.updated))
			// No router gets an update twice, except those that still wait for a holder.
			manager.HoldersChanged(manager.services[llm].Models["m000"])
			_, updates = manager.Tick(s.events.NowMs(), s.events.NowMs()+2000)
			for _, update := range updates {
				c.Assert(update.Reply.Holders, qt.HasLen, 0)
			}
		})
	}
}

// The addition of a holder is sent only to routers that looked the key up very recently, its
// removal to all subscribers.
func TestNewHolderIsSentToRecentSubscribers(t *testing.T) {
	for _, test := range []struct {
		laterMs int64
		updates int
	}{{0, 1}, {index.NewHolderNotifyMs, 1}, {index.NewHolderNotifyMs + 1, 0}} {
		t.Run(fmt.Sprint(test.laterMs), func(t *testing.T) {
			c := qt.New(t)
			s := newPlatformSim(t, 1, newConfiguration(4, 8, 4.2), 0)
			manager := s.manager("one")
			manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs()+1_000_000)
			one := protocol.RunnerEntry{ID: "r1", Service: llm, Address: "10.0.0.1:80", Slots: 8, LeftMs: -1, Models: []protocol.HeldModel{{Name: "m000"}}}
			two := one
			two.ID, two.Address = "r2", "10.0.0.2:80"
			manager.HandleRunnerList(s.events.NowMs(), protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{one}})
			manager.LookUp(s.events.NowMs(), protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: llm, Model: "m000"})
			manager.Tick(s.events.NowMs(), s.events.NowMs()+2000)
			s.events.RunFor(test.laterMs)
			manager.HandleRunnerList(s.events.NowMs(), protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{one, two}})
			_, updates := manager.Tick(s.events.NowMs(), s.events.NowMs()+2000)
			c.Assert(updates, qt.HasLen, test.updates)
			manager.HandleRunnerList(s.events.NowMs(), protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{two}})
			_, updates = manager.Tick(s.events.NowMs(), s.events.NowMs()+2000)
			c.Assert(updates, qt.HasLen, 1)
		})
	}
}

// While a model is being loaded, the reply says so and estimates in how many ms the load ends.
func TestReplyEstimatesWait(t *testing.T) {
	c := qt.New(t)
	h := harnessWithOrder(c)
	reply := h.manager.LookUp(h.nowMs, protocol.Node{Name: "router"}, protocol.IndexLookUp{ID: 9, Service: llm, Model: "m004"})
	c.Assert(reply.ID, qt.Equals, uint64(9))
	c.Assert(reply.Known, qt.IsTrue)
	c.Assert(reply.Loading, qt.IsTrue)
	c.Assert(reply.TurnMs > 1500 && reply.TurnMs < 2500, qt.IsTrue)
	c.Assert(h.manager.LookUp(h.nowMs, protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: "other"}).Holders, qt.HasLen, 0)
}

// Before any list was read, the reply says that the index is unknown.
func TestIndexUnknownBeforeList(t *testing.T) {
	c := qt.New(t)
	manager := New(simBounds, "one", "list", 47)
	c.Assert(manager.LookUp(1, protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: llm, Model: "m001"}).Known, qt.IsFalse)
	c.Assert(manager.ListAgeMs(1), qt.Equals, int64(-1))
}

// The reply for a service without models lists its available runners.
func TestServiceWithoutModelsListsItsRunners(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c)
	h.manager.HandleRunnerList(h.nowMs, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{
		{ID: "p1", Service: "plain", Address: "10.0.0.8:80", Slots: 6, LeftMs: -1},
		{ID: "p2", Service: "plain", Address: "10.0.0.9:80", Slots: 6, LeftMs: 2000, Leaving: true},
	}})
	reply := h.manager.LookUp(h.nowMs, protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: "plain"})
	c.Assert(reply.Holders, qt.HasLen, 1)
	c.Assert(reply.Holders[0].ID, qt.Equals, "p1")
	c.Assert(reply.Holders[0].Adapter, qt.IsTrue)
	c.Assert(h.manager.LeavingRunners(), qt.DeepEquals, []string{"p2"})
}

// A runner that is suspected to be down is listed only if it is the only holder.
func TestSuspectRunnerIsListedOnlyAlone(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "m001")
	for range 3 {
		h.tick(1000)
		h.manager.HandleRunnerState(h.nowMs, protocol.RunnerStateResult{Runner: h.lastPoll.Runner, Number: h.lastPoll.Number})
	}
	c.Assert(h.manager.runners["r1"].Suspect, qt.IsTrue)
	c.Assert(h.offers("m001"), qt.IsTrue)
	e := protocol.RunnerEntry{Service: llm, Slots: 64, LeftMs: -1, Models: []protocol.HeldModel{{Name: "m001"}}}
	first, second := e, e
	first.ID, first.Address, second.ID, second.Address = "r1", "10.0.0.1:80", "r2", "10.0.0.2:80"
	h.manager.HandleRunnerList(h.nowMs, protocol.RunnerList{Ok: true, Runners: []protocol.RunnerEntry{first, second}})
	holders := h.manager.reply(h.nowMs, llm, "m001", "").Holders
	c.Assert(holders, qt.HasLen, 1)
	c.Assert(holders[0].ID, qt.Equals, "r2")
}

// A follower with the primary's snapshot answers look-ups as the primary does, and reports the
// look-ups to it.
func TestFollowerAnswersFromSnapshot(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 8, newConfiguration(20, 42, 4.2), 8)
	s.fill(0, 1)
	manager := s.manager("one")
	manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	router := newRouterSim(s, manager)
	simulate(s, router, 6, func(int64) {
		if s.poisson(10) {
			router.request("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(9)))
		}
	})
	var encoded bytes.Buffer
	c.Assert(gob.NewEncoder(&encoded).Encode(manager.Snapshot()), qt.IsNil)
	t.Logf("%d bytes", encoded.Len())
	var snapshot IndexSnapshot
	c.Assert(gob.NewDecoder(&encoded).Decode(&snapshot), qt.IsNil)
	follower := New(s.bounds, "two", "list", 47)
	follower.SetConfiguration(s.configuration)
	follower.ApplySnapshot(s.events.NowMs(), snapshot)
	from := protocol.Node{Name: "router"}
	ids := func(x protocol.IndexReply) map[string]bool {
		out := map[string]bool{}
		for _, h := range x.Holders {
			out[h.ID] = h.Adapter
		}
		return out
	}
	for i := range 9 {
		in := protocol.IndexLookUp{Service: llm, Model: "m000", Adapter: fmt.Sprintf("a%d", i+1), Tokens: 5, Waits: i == 0}
		reply := follower.LookUp(s.events.NowMs(), from, in)
		c.Assert(reply.Known, qt.IsTrue)
		c.Assert(reply.Change, qt.Equals, manager.Revision())
		c.Assert(ids(reply), qt.DeepEquals, ids(manager.reply(s.events.NowMs(), llm, "m000", in.Adapter)))
	}
	// Routers that only confirm a known holder wait for no load.
	c.Assert(follower.HasWaitingRequests(), qt.IsFalse)
	follower.LookUp(s.events.NowMs(), from, protocol.IndexLookUp{Service: llm, Model: "m000", Adapter: "a30", Waits: true})
	c.Assert(follower.HasWaitingRequests(), qt.IsTrue)
	demand := follower.DrainDemand()
	c.Assert(demand, qt.HasLen, 10)
	c.Assert(follower.DrainDemand(), qt.HasLen, 0)
	before := manager.services[llm].Models["m000"].Demand.FastRate()
	manager.AddDemand(s.events.NowMs(), demand)
	c.Assert(manager.services[llm].Models["m000"].Demand.FastRate() > before, qt.IsTrue)
	// The follower sends updates to its subscribers when the holders are removed.
	follower.Tick(s.events.NowMs(), 0)
	snapshot.Change += 5
	for i := range snapshot.Runners {
		snapshot.Runners[i].Models = nil
	}
	follower.ApplySnapshot(s.events.NowMs(), snapshot)
	_, updates := follower.Tick(s.events.NowMs(), 0)
	c.Assert(updates, qt.HasLen, 10)
	c.Assert(updates[0].Reply.Holders, qt.HasLen, 0)
	_, err := json.Marshal(manager.Status())
	c.Assert(err, qt.IsNil)
}

// Nothing is stored about adapters that neither the configuration nor a runner names, since
// clients choose the names: no subscription, and no demand. They get a reply all the same.
func TestLookUpsOfUnknownAdaptersStoreNothing(t *testing.T) {
	const lookUps = 1000
	longName := strings.Repeat("n", 16<<10)
	for _, isPrimary := range []bool{true, false} {
		c := qt.New(t)
		s := newPlatformSim(t, 1, newConfiguration(4, 8, 4.2), 0)
		manager := s.manager("one")
		if isPrimary {
			manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs()+1_000_000)
		}
		model := manager.findModel(llm, "m000")
		c.Assert(model, qt.IsNotNil)
		for i := range lookUps {
			adapter := fmt.Sprint(i) + longName
			reply := manager.LookUp(s.events.NowMs(), protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: llm, Model: "m000", Adapter: adapter, Waits: true})
			c.Assert(reply.Adapter, qt.Equals, adapter)
			c.Assert(reply.Holders, qt.HasLen, 0)
		}
		c.Assert(manager.subscriptions.Has(model), qt.IsFalse)
		c.Assert(model.Adapters, qt.HasLen, 0)
		c.Assert(manager.DrainDemand(), qt.HasLen, 0)
		manager.LookUp(s.events.NowMs(), protocol.Node{Name: "router"}, protocol.IndexLookUp{Service: llm, Model: "m000", Adapter: "a1"})
		c.Assert(manager.subscriptions.Has(model), qt.IsTrue)
	}
}

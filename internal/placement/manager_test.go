package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// play runs a simulation with one manager and a router for so many seconds.
func play(s *platformSim, t *routerSim, seconds int, each func(ms int64)) {
	end := s.events.NowMs() + int64(seconds)*1000
	for s.events.NowMs() < end {
		s.step()
		each(s.events.NowMs())
		t.step()
	}
}

// poisson says how often something of a rate happens within 10 ms.
func (s *platformSim) poisson(perSec float64) bool { return s.rnd.Float64() < perSec/100 }

func (s *platformSim) copies(name string) int {
	n := 0
	for _, r := range s.runners {
		if _, ok := r.memory.Models[name]; ok && !r.dead {
			n++
		}
	}
	return n
}

// Runners take no more than they hold, and the store's pace is kept, whatever
// is lost or late and however demand jumps, also across a take-over.
func TestRoomAndStoreRateHoldUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			// A slow store is the one whose pace binds.
			s := newPlatformSim(t, seed, newServiceMap(39, 42, []float64{4.2, 1.2}[seed%2]), 12)
			s.fill(0, 1)
			s.requestLoss, s.replyLoss = 0.15, 0.15
			manager := s.manager("one")
			manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs()+500)
			load := newRouterSim(s, manager)
			hot := 0
			play(s, load, 40, func(ms int64) {
				if ms%3000 == 0 {
					hot = s.rnd.IntN(39)
				}
				for range 2 {
					if s.poisson(20) {
						adapter := ""
						if hot == 0 || hot == 2 {
							adapter = fmt.Sprintf("a%d", 1+s.rnd.IntN(s.engine.Models[hot].AdapterCount))
						}
						load.ask(s.engine.Models[hot].Name, adapter)
					}
				}
				if s.poisson(12) {
					load.ask(s.engine.Models[s.rnd.IntN(39)].Name, "")
				}
				if s.poisson(5) {
					load.ask("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(42)))
				}
				if ms%7000 == 0 {
					s.crash(s.rnd.IntN(len(s.runners)))
				}
				if ms == 21_000 {
					// Another holder takes over while the first still believes.
					next := s.manager("two")
					next.ApplySnapshot(s.events.NowMs(), manager.Snapshot())
					next.BecomePrimary(s.events.NowMs(), 2, s.events.NowMs()+100)
					load.manager = next
				}
			})
			c.Assert(s.violations, qt.HasLen, 0)
			c.Assert(s.mostStoreLoads() <= s.allowedStoreLoads(), qt.IsTrue, qt.Commentf("%d loads, %d allowed", s.mostStoreLoads(), s.allowedStoreLoads()))
			c.Assert(s.orders > 30, qt.IsTrue)
			c.Assert(s.managers[0].fenced, qt.IsTrue)
		})
	}
}

// crash ends one runner's life; another begins at its address.
func (s *platformSim) crash(n int) {
	ids := sortedKeys(s.runners)
	r := s.runners[ids[n%len(ids)]]
	r.dead = true
	onDisk := r.memory.OnDisk
	s.events.After(2500, func() { delete(s.runners, r.entry.ID) })
	s.events.After(3000, func() {
		next := s.start(r.entry.Address, r.entry.Zone)
		next.memory.OnDisk = onDisk
	})
}

// Demand that moves to another model has its copies within a few seconds.
func TestCopiesFollowDemand(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 3, newServiceMap(39, 42, 4.2), 12)
	s.fill(0, 1)
	manager := s.manager("one")
	manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	load := newRouterSim(s, manager)
	both := func(a, b string) func(ms int64) {
		return func(int64) {
			if s.poisson(47) {
				load.ask(a, "")
			}
			if s.poisson(17) {
				load.ask(b, "")
			}
			if s.poisson(7) {
				load.ask(s.engine.Models[5+s.rnd.IntN(34)].Name, "")
			}
		}
	}
	play(s, load, 10, both("m000", "m001"))
	c.Assert(s.copies("m000") >= 2, qt.IsTrue)
	c.Assert(s.copies("m001") >= 2, qt.IsTrue)
	before := s.copies("m003")
	play(s, load, 5, both("m003", "m004"))
	c.Assert(before <= 2, qt.IsTrue)
	c.Assert(s.copies("m003") >= 3, qt.IsTrue, qt.Commentf("%d copies", s.copies("m003")))
	c.Assert(s.copies("m004") >= 2, qt.IsTrue, qt.Commentf("%d copies", s.copies("m004")))
	play(s, load, 5, both("m000", "m001"))
	c.Assert(s.copies("m000") >= 2, qt.IsTrue)
	c.Assert(s.violations, qt.HasLen, 0)
	t.Logf("late over 0.4 s: %.3f, over 1 s: %.3f, over 3 s: %.3f, loads %d (%d from the store), orders %d, denied %d", load.lateShare(400), load.lateShare(1000), load.lateShare(3000), s.loads, len(s.storeStartsMs), s.orders, load.denied)
	c.Assert(load.lateShare(3000) < 0.01, qt.IsTrue)
}

// Many rare models asked for at once come in turn, none is left out for ever.
func TestBurstOfRareModels(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 4, newServiceMap(39, 0, 4.2), 12)
	s.fill(0, 1)
	manager := s.manager("one")
	manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	load := newRouterSim(s, manager)
	play(s, load, 30, func(ms int64) {
		if s.poisson(40) {
			load.ask("m000", "")
		}
		if s.poisson(17) {
			load.ask("m001", "")
		}
		rare := 7.0
		if ms > 10_000 && ms < 15_000 {
			rare = 17
		}
		if s.poisson(rare) {
			load.ask(s.engine.Models[5+s.rnd.IntN(34)].Name, "")
		}
	})
	t.Logf("late over 0.4 s: %.3f, over 1 s: %.3f, over 3 s: %.3f, loads %d (%d from the store), orders %d, denied %d", load.lateShare(400), load.lateShare(1000), load.lateShare(3000), s.loads, len(s.storeStartsMs), s.orders, load.denied)
	c.Assert(load.lateShare(3000) < 0.02, qt.IsTrue)
	for key, asked := range load.asked {
		c.Assert(load.late[key]*2 <= asked+1, qt.IsTrue, qt.Commentf("%v", key))
	}
	c.Assert(s.violations, qt.HasLen, 0)
}

// The adapters of one model are spread over its runners, each there once
// before any is there often, and nobody waits for long.
func TestAdaptersSpread(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 5, newServiceMap(4, 42, 4.2), 5)
	for _, r := range s.runners {
		r.memory.Models["m000"] = map[string]bool{}
	}
	s.recordList()
	manager := s.manager("one")
	manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	load := newRouterSim(s, manager)
	play(s, load, 20, func(ms int64) {
		if s.poisson(12) {
			load.ask("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(42)))
		}
		if s.poisson(20) {
			load.ask("m000", "")
		}
	})
	held := map[string]bool{}
	for _, r := range s.runners {
		for a := range r.memory.Models["m000"] {
			held[a] = true
		}
		c.Assert(len(r.memory.Models["m000"]) >= 7, qt.IsTrue, qt.Commentf("%v", r.memory.Models))
	}
	t.Logf("held %d; late over 0.2 s: %.3f, 0.4 s: %.3f, over 1 s: %.3f, orders %d, denied %d", len(held), load.lateShare(200), load.lateShare(400), load.lateShare(1000), s.orders, load.denied)
	c.Assert(len(held) >= 36, qt.IsTrue)
	c.Assert(load.lateShare(1000) < 0.02, qt.IsTrue)
	c.Assert(s.violations, qt.HasLen, 0)
}

// What a leaving runner alone holds is loaded elsewhere while it still serves.
func TestModelsOfDrainingRunnerAreLoadedElsewhere(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 6, newServiceMap(9, 0, 4.2), 5)
	s.fill()
	manager := s.manager("one")
	manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	load := newRouterSim(s, manager)
	ask := func(ms int64) {
		if s.poisson(5) {
			load.ask(s.engine.Models[s.rnd.IntN(9)].Name, "")
		}
	}
	play(s, load, 8, ask)
	leaver := s.runners[sortedKeys(s.runners)[0]]
	leaver.entry.Leaving = true
	play(s, load, 6, ask)
	c.Assert(manager.LeavingRunners(), qt.DeepEquals, []string{leaver.entry.ID})
	for name := range leaver.memory.Models {
		c.Assert(s.copies(name) >= 2, qt.IsTrue, qt.Commentf("%s", name))
		for _, h := range manager.LookUp(s.events.NowMs(), load.from, protocol.IndexLookUp{Service: llm, Model: name}).Holders {
			c.Assert(h.ID, qt.Not(qt.Equals), leaver.entry.ID)
		}
	}
	// Leaving stays, whatever a later list says, and while it is gone.
	leaver.entry.Leaving = false
	play(s, load, 2, ask)
	c.Assert(manager.LeavingRunners(), qt.HasLen, 1)
	delete(s.runners, leaver.entry.ID)
	play(s, load, 3, ask)
	c.Assert(manager.LeavingRunners(), qt.HasLen, 1)
	c.Assert(s.violations, qt.HasLen, 0)
}

// Where all fits and demand is steady, nothing moves after the start.
func TestSteadyDemandMovesNothing(t *testing.T) {
	c := qt.New(t)
	s := newPlatformSim(t, 9, newServiceMap(12, 8, 4.2), 8)
	s.fill(0, 1)
	manager := s.manager("one")
	manager.BecomePrimary(s.events.NowMs(), 1, s.events.NowMs())
	load := newRouterSim(s, manager)
	ask := func(int64) {
		if s.poisson(30) {
			load.ask("m000", "")
		}
		if s.poisson(5) {
			load.ask("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(8)))
		}
		if s.poisson(6) {
			load.ask(fmt.Sprintf("m%03d", 1+s.rnd.IntN(11)), "")
		}
	}
	play(s, load, 8, ask)
	before := s.orders
	play(s, load, 20, ask)
	c.Assert(s.orders-before <= 2, qt.IsTrue, qt.Commentf("%d orders", s.orders-before))
}

package placement

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// manyHolders is a keeper of so many runners, in four zones, of which each holds m001
// and every fourth the adapter a1 of m000 too.
func manyHolders(t testing.TB, count int) *Keeper {
	s := newStand(t, 1, newMap(4, 8, 4.2), 0)
	k := s.keeper("one")
	k.Begin(s.events.NowMs(), 1, s.events.NowMs()+1_000_000)
	var list []protocol.RunnerEntry
	for i := range count {
		e := protocol.RunnerEntry{
			ID: fmt.Sprintf("r%05d", i), Service: llm, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%4),
			Slots: 8, LeftMs: -1, Models: []protocol.HeldModel{{Name: "m000"}, {Name: "m001"}},
		}
		if i%4 == 3 {
			e.Models[0].Adapters = []string{"a1"}
		}
		list = append(list, e)
	}
	k.Fleet(s.events.NowMs(), protocol.RunnerList{Ok: true, Runners: list})
	return k
}

func offeredTo(k *Keeper, router, zone, model, adapter string) []string {
	var out []string
	in := protocol.IndexLookUp{Service: llm, Model: model, Adapter: adapter}
	for _, h := range k.LookUp(1000, protocol.Node{Name: router, Zone: zone}, in).Holders {
		out = append(out, h.ID)
	}
	return out
}

// A line lists all holders up to a bound, and some of more; those of the
// router's own zone come first.
func TestLinesAreBounded(t *testing.T) {
	cases := []struct {
		holders        int
		adapter        string
		least, most    int
		own            string
		ownLeast, size int
	}{
		{10, "", 10, 10, "zone-0", 3, 10},
		{offeredMost, "", offeredMost, offeredMost, "zone-0", 16, offeredMost},
		{offeredMost + 1, "", offeredMost, offeredMost, "zone-0", 16, offeredMost},
		{1000, "", offeredMost, offeredMost, "zone-0", 25, offeredMost},
		{100, "a1", 25, 25, "zone-3", 25, 25},
		{1000, "a1", offeredMost, offeredMost, "zone-3", offeredMost, offeredMost},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.holders, test.adapter), func(t *testing.T) {
			k := manyHolders(t, test.holders)
			ids := offeredTo(k, "router-1", test.own, "m000", test.adapter)
			qt.Assert(t, len(ids) >= test.least && len(ids) <= test.most, qt.IsTrue, qt.Commentf("%d", len(ids)))
			own := 0
			for _, id := range ids {
				if k.runners[id].entry.Zone == test.own {
					own++
				}
				qt.Assert(t, test.adapter == "" || k.runners[id].offers(thing{"m000", test.adapter}), qt.IsTrue)
			}
			qt.Assert(t, own >= test.ownLeast, qt.IsTrue, qt.Commentf("%d of the own zone", own))
			// It stays the same while they may be offered.
			qt.Assert(t, offeredTo(k, "router-1", test.own, "m000", test.adapter), qt.DeepEquals, ids)
		})
	}
}

// Many routers use all holders; what may not be offered makes room for others.
func TestAllHoldersAreUsed(t *testing.T) {
	k := manyHolders(t, 1000)
	used := map[string]int{}
	for i := range 100 {
		for _, id := range offeredTo(k, fmt.Sprintf("router-%d", i), fmt.Sprintf("zone-%d", i%4), "m001", "") {
			used[id]++
		}
	}
	qt.Assert(t, len(used) > 970, qt.IsTrue, qt.Commentf("%d used", len(used)))
	for id, count := range used {
		qt.Assert(t, count <= 25, qt.IsTrue, qt.Commentf("%s: %d", id, count))
	}
	before := offeredTo(k, "router-1", "zone-0", "m001", "")
	k.runners[before[0]].leaving = true
	after := offeredTo(k, "router-1", "zone-0", "m001", "")
	qt.Assert(t, after, qt.HasLen, offeredMost)
	for _, id := range before[1:] {
		qt.Assert(t, slices.Contains(after, id), qt.IsTrue)
	}
	// Where all but few are gone, those few are offered; silent ones only where
	// there is no other.
	for i, r := range k.sorted {
		r.leaving, r.suspect = i >= 5, i < 3
	}
	qt.Assert(t, offeredTo(k, "router-1", "zone-0", "m001", ""), qt.DeepEquals, []string{"r00003", "r00004"})
	k.sorted[3].suspect, k.sorted[4].suspect = true, true
	qt.Assert(t, offeredTo(k, "router-1", "zone-0", "m001", ""), qt.HasLen, 5)
}

// The questions and the times that go with them fit together at any size: no
// runner that answers when it is asked is taken for silent.
func TestPaceOfALargeFleet(t *testing.T) {
	for _, count := range []int{10, 450, 1000, 3000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			k := manyHolders(t, count)
			nowMs, asked := int64(1000), 0
			endMs := nowMs + 2000 + 4*k.usualMs()
			for nowMs < endMs {
				nowMs += 50
				calls, _ := k.Tick(nowMs, nowMs+2000)
				for _, call := range calls {
					body, is := call.Body.(protocol.GetRunnerState)
					if !is {
						continue
					}
					if nowMs > endMs-2*k.usualMs() {
						asked++
					}
					r := k.runners[body.Runner]
					var models []protocol.HeldModel
					for _, name := range sortedKeys(r.held) {
						models = append(models, protocol.HeldModel{Name: name, Adapters: sortedKeys(r.held[name].adapters)})
					}
					k.State(nowMs, protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number, Ok: true, State: protocol.RunnerState{Models: models}})
				}
			}
			qt.Assert(t, int64(asked)*1000/(2*k.usualMs()) <= 510, qt.IsTrue, qt.Commentf("%d in %d ms", asked, 2*k.usualMs()))
			for _, r := range k.sorted {
				qt.Assert(t, r.suspect, qt.IsFalse, qt.Commentf("%s", r.entry.ID))
				qt.Assert(t, k.fit(nowMs, r), qt.IsTrue, qt.Commentf("%s, silent for %d ms", r.entry.ID, nowMs-r.okMs))
			}
		})
	}
}

// BenchmarkLineOfMany is an answer about a model that very many hold.
func BenchmarkLineOfMany(b *testing.B) {
	for _, count := range []int{60, 1000, 4000} {
		for _, adapter := range []string{"", "a1"} {
			b.Run(fmt.Sprint(count, adapter), func(b *testing.B) {
				k := manyHolders(b, count)
				for b.Loop() {
					k.index(1000, llm, "m000", adapter)
				}
			})
		}
	}
}

// The lists of the holders of adapters agree with what the runners hold,
// whatever came and went.
func TestHoldersOfAdapters(t *testing.T) {
	s := newStand(t, 3, newMap(8, 16, 4.2), 6)
	s.fill(0)
	s.lossIn, s.lossOut = 0.1, 0.1
	k := s.keeper("one")
	k.Begin(s.events.NowMs(), 1, s.events.NowMs())
	load := newTraffic(s, k)
	seen := 0
	play(s, load, 20, func(ms int64) {
		if s.poisson(30) {
			load.ask("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(16)))
		}
		if s.poisson(5) {
			load.ask(fmt.Sprintf("m%03d", s.rnd.IntN(8)), "")
		}
		if ms%5000 == 0 {
			// One ends, and its place is taken anew.
			delete(s.runners, sortedKeys(s.runners)[0])
			s.start(fmt.Sprintf("10.0.9.%d:80", ms/1000), "a")
			s.noteList()
		}
		for _, m := range k.services[llm].models {
			want := map[string][]string{}
			for _, r := range k.sorted {
				if h := r.held[m.name]; h != nil {
					for a := range h.adapters {
						want[a] = append(want[a], r.entry.ID)
					}
				}
			}
			got := map[string][]string{}
			for a, with := range m.with {
				seen++
				for _, r := range with {
					got[a] = append(got[a], r.entry.ID)
				}
				slices.Sort(got[a])
			}
			qt.Assert(t, got, qt.DeepEquals, want)
		}
	})
	qt.Assert(t, seen > 1000, qt.IsTrue, qt.Commentf("%d", seen))
}

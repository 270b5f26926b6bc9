package holdings

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/outlier"
	"myrtlewinch/wire"
)

// What single routers meet adds up.
func TestWhatRoutersMetAddsUp(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	var list []wire.RunnerEntry
	for i := range 4 {
		id := fmt.Sprint("p", i)
		list = append(list, wire.RunnerEntry{Id: id, Service: "plain", Address: id + ":80", Slots: 6, LeftMs: -1})
	}
	b.k.Fleet(b.nowMs, wire.Fleet{Ok: true, Runners: list})
	states := func() (states []int) {
		for _, h := range b.k.index(b.nowMs, "plain", "", "").Holders {
			states = append(states, h.Outlier)
		}
		return states
	}
	for i := range 3 {
		c.Assert(states(), qt.DeepEquals, []int{0, 0, 0, 0})
		from := wire.Place{Name: fmt.Sprint("router-", i)}
		b.k.LookUp(b.nowMs, from, wire.MapLookUp{Service: "plain", Well: []string{"p1", "p2", "p3", "gone"}})
		b.k.LookUp(b.nowMs, from, wire.MapLookUp{Service: "plain", Ill: []string{"p0", "gone"}})
	}
	c.Assert(states(), qt.DeepEquals, []int{int(outlier.Ejected), 0, 0, 0})
	b.nowMs += 2000
	c.Assert(states(), qt.DeepEquals, []int{int(outlier.Probed), 0, 0, 0})
}

// Followers are asked too: what they are told counts at the primary, and what
// it makes of that at all of them.
func TestWhatFollowersAreToldAddsUp(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	var list []wire.RunnerEntry
	for i := range 4 {
		id := fmt.Sprint("p", i)
		list = append(list, wire.RunnerEntry{Id: id, Service: "plain", Address: id + ":80", Slots: 6, LeftMs: -1})
	}
	b.k.Fleet(b.nowMs, wire.Fleet{Ok: true, Runners: list})
	for range 3 {
		b.k.TakeDemand(b.nowMs, Counts{{Service: "plain", Requests: 4, Well: []string{"p1", "p2", "p3"}, Ill: []string{"p0"}}})
	}
	var told []int
	soft := b.k.Soft()
	for _, r := range soft.Runners {
		if r.Service == "plain" {
			told = append(told, r.Outlier)
		}
	}
	c.Assert(told, qt.DeepEquals, []int{int(outlier.Ejected), 0, 0, 0})
	follower := New(b.k.bounds, "core-9", "list:1", 1)
	follower.SetMap(b.k.m)
	follower.TakeSoft(b.nowMs, soft)
	index := follower.LookUp(b.nowMs, wire.Place{Name: "router"}, wire.MapLookUp{Service: "plain", Well: []string{"p1"}, Ill: []string{"p2"}})
	c.Assert(index.Holders[0].Id, qt.Equals, "p0")
	c.Assert(index.Holders[0].Outlier, qt.Equals, int(outlier.Ejected))
	counts := follower.DrainDemand()
	c.Assert(counts, qt.HasLen, 1)
	c.Assert(counts[0].Well, qt.DeepEquals, []string{"p1"})
	c.Assert(counts[0].Ill, qt.DeepEquals, []string{"p2"})
}

package failuredetector

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

func place(name, address string) protocol.Node {
	return protocol.Node{Name: name, Address: address, Part: protocol.RoleRouter, Incarnation: address}
}

// A place heard of lately is believed over one that is only told.
func TestLearn(t *testing.T) {
	cases := []struct {
		about string
		do    func(r *Detector)
		at    string
	}{
		{"told", func(r *Detector) { r.AddNodes(1000, []protocol.Node{place("b", "old")}) }, "old"},
		{"told anew", func(r *Detector) {
			r.AddNodes(1000, []protocol.Node{place("b", "old")})
			r.AddNodes(1001, []protocol.Node{place("b", "new")})
		}, "new"},
		{"heard, then told otherwise", func(r *Detector) {
			r.Observe(1000, place("b", "heard"))
			r.AddNodes(1000+TimeoutMs, []protocol.Node{place("b", "told")})
		}, "heard"},
		{"heard, silent, then told otherwise", func(r *Detector) {
			r.Observe(1000, place("b", "heard"))
			r.AddNodes(1001+TimeoutMs, []protocol.Node{place("b", "told")})
		}, "told"},
		{"moved", func(r *Detector) { r.Observe(1000, place("b", "heard")); r.Observe(1001, place("b", "moved")) }, "moved"},
		{"a sighting older than what was heard", func(r *Detector) {
			r.Observe(1000, place("b", "heard"))
			r.ObserveReport(1100, protocol.HeartbeatReport{Place: place("b", "seen"), AgoMs: 200})
		}, "heard"},
		{"a later sighting", func(r *Detector) {
			r.Observe(1000, place("b", "heard"))
			r.ObserveReport(1100, protocol.HeartbeatReport{Place: place("b", "seen"), AgoMs: 50})
		}, "seen"},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			r := New(place("a", "here"), nil, nil)
			test.do(r)
			known, ok := r.Node("b")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, known.Address, qt.Equals, test.at)
		})
	}
}

// Each daemon has a few watchers, none of them itself, and all agree on them.
func TestWatchers(t *testing.T) {
	var all []protocol.Node
	for i := range 9 {
		all = append(all, place(fmt.Sprintf("d-%d", i), fmt.Sprint(i)))
	}
	watched := map[string]int{}
	for _, self := range all {
		r := New(self, nil, nil)
		r.AddNodes(0, all)
		watchers := r.Watchers(self.Name)
		qt.Assert(t, watchers, qt.HasLen, Watchers)
		other := New(all[0], nil, nil)
		other.AddNodes(0, all)
		qt.Assert(t, other.Watchers(self.Name), qt.DeepEquals, watchers)
		for _, w := range watchers {
			qt.Assert(t, w.Name, qt.Not(qt.Equals), self.Name)
			watched[w.Name]++
		}
	}
	for _, self := range all {
		qt.Assert(t, watched[self.Name], qt.Equals, Watchers, qt.Commentf("the burden is alike"))
	}
}

// A daemon that hears the primary asks nobody; one that does not asks its
// seeds and one remembered peer after the other.
func TestHellos(t *testing.T) {
	r := New(place("a", "here"), []string{"seed", "here"}, []protocol.Node{place("b", "b"), place("c", "c")})
	asked := map[string]bool{}
	for nowMs := int64(10_000); nowMs < 14_000; nowMs += 50 {
		for _, send := range r.Tick(nowMs, 1, "p", false) {
			if _, ok := send.Body.(protocol.PeersRequest); ok {
				asked[send.Address] = true
			}
		}
	}
	qt.Assert(t, asked, qt.DeepEquals, map[string]bool{"seed": true, "b": true, "c": true})
	for nowMs := int64(14_000); nowMs < 18_000; nowMs += 50 {
		r.Observe(nowMs, place("p", "p"))
		for _, send := range r.Tick(nowMs, 1, "p", false) {
			_, ok := send.Body.(protocol.PeersRequest)
			qt.Assert(t, ok, qt.IsFalse)
		}
	}
}

// The list is named anew when a place of it changes, and only then.
func TestSum(t *testing.T) {
	cases := []struct {
		about   string
		do      func(r *Detector) bool
		changes bool
		took    bool
	}{
		{"told the same", func(r *Detector) bool { return r.AddNodes(2000, []protocol.Node{place("b", "1")}) }, false, true},
		{"heard again", func(r *Detector) bool { r.Observe(2000, place("b", "1")); return true }, false, true},
		{"told of another", func(r *Detector) bool { return r.AddNodes(2000, []protocol.Node{place("c", "1")}) }, true, true},
		{"heard to have moved", func(r *Detector) bool { r.Observe(2000, place("b", "2")); return true }, true, true},
		{"told otherwise of one that lives", func(r *Detector) bool { return r.AddNodes(2000, []protocol.Node{place("b", "2")}) }, false, false},
		{"told otherwise of a silent one", func(r *Detector) bool { return r.AddNodes(9000, []protocol.Node{place("b", "2")}) }, true, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			r := New(place("a", "here"), nil, nil)
			r.Observe(1000, place("b", "1"))
			before, places := r.Digest(), r.Nodes()
			qt.Assert(t, places, qt.HasLen, 2)
			qt.Assert(t, test.do(r), qt.Equals, test.took)
			qt.Assert(t, r.Digest() != before, qt.Equals, test.changes)
			// What was given out before stays as it was.
			qt.Assert(t, places, qt.DeepEquals, []protocol.Node{place("a", "here"), place("b", "1")})
		})
	}
}

// A site of hundreds of routers is known whole.
func TestKnowsALargeSite(t *testing.T) {
	r := New(place("a", "here"), nil, nil)
	for i := range 400 {
		r.Observe(1000, place(fmt.Sprintf("edge-%d", i), fmt.Sprint(i)))
	}
	qt.Assert(t, r.NodesOf(protocol.RoleRouter), qt.HasLen, 400)
}

// Machines that were replaced make room for new ones; those that are there stay.
func TestAFullRosterForgetsTheSilent(t *testing.T) {
	place := func(i int) protocol.Node {
		return protocol.Node{Name: fmt.Sprintf("edge-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250), Part: protocol.RoleRouter}
	}
	cases := []struct {
		about string
		add   func(r *Detector, nowMs int64, p protocol.Node)
	}{
		{"heard", func(r *Detector, nowMs int64, p protocol.Node) { r.Observe(nowMs, p) }},
		{"told", func(r *Detector, nowMs int64, p protocol.Node) { r.AddNodes(nowMs, []protocol.Node{p}) }},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			r := New(protocol.Node{Name: "core-1"}, nil, nil)
			nowMs := int64(1000)
			for i := range 3 * most {
				nowMs += 10
				r.Observe(nowMs, place(0))
				test.add(r, nowMs, place(i+1))
				_, known := r.Node(place(i + 1).Name)
				qt.Assert(t, known, qt.IsTrue, qt.Commentf("%d", i))
				qt.Assert(t, len(r.peers) <= most, qt.IsTrue)
			}
			qt.Assert(t, r.Live(nowMs, place(0).Name), qt.IsTrue)
			_, known := r.Node(place(1).Name)
			qt.Assert(t, known, qt.IsFalse)
		})
	}
}

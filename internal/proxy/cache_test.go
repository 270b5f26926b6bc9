package proxy

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

func TestCacheTakesOnlyNewer(t *testing.T) {
	cases := []struct {
		about         string
		epoch, change uint64
		taken         bool
	}{
		{"the same", 2, 5, true},
		{"a later change", 2, 6, true},
		{"an earlier change", 2, 4, false},
		{"a later epoch", 3, 1, true},
		{"an earlier epoch", 1, 9, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			lines := cache{}
			c.Assert(lines.take(1, protocol.IndexReply{Service: "s", Epoch: 2, Change: 5, TurnMs: -1}), qt.IsTrue)
			c.Assert(lines.take(2, protocol.IndexReply{Service: "s", Epoch: test.epoch, Change: test.change, TurnMs: 7}), qt.Equals, test.taken)
			want := int64(-1)
			if test.taken {
				want = 9
			}
			c.Assert(lines[key{service: "s"}].turnMs, qt.Equals, want)
		})
	}
}

func TestCacheLetsTheUnusedGo(t *testing.T) {
	c := qt.New(t)
	lines := cache{}
	for i := range cacheMost {
		lines.take(int64(i), protocol.IndexReply{Service: "s", Model: fmt.Sprint(i)})
	}
	lines[key{"s", "0", ""}].usedMs = 1 << 40
	lines.take(1<<40, protocol.IndexReply{Service: "s", Model: "new"})
	c.Assert(lines, qt.HasLen, cacheMost)
	c.Assert(lines[key{"s", "0", ""}], qt.IsNotNil)
	c.Assert(lines[key{"s", "1", ""}], qt.IsNil)
}

// A runner that said no is left out until a later word of the index tells of a
// change, or a second has passed.
func TestCacheShuns(t *testing.T) {
	c := qt.New(t)
	lines, at := cache{}, key{service: "s"}
	line := protocol.IndexReply{Service: "s", Epoch: 1, Change: 1, Holders: []protocol.IndexHolder{{ID: "a"}}}
	lines.take(1, line)
	lines[at].shun(1, "a")
	offers := func(nowMs int64) bool { return lines[at].offers(nowMs, at, &lines[at].holders[0]) }
	c.Assert(offers(2), qt.IsFalse)
	lines.take(3, line)
	c.Assert(offers(4), qt.IsFalse)
	c.Assert(offers(1+shunMs), qt.IsTrue)
	line.Change = 2
	lines[at].shun(2000, "a")
	lines.take(2100, line)
	c.Assert(offers(2101), qt.IsFalse)
	line.Change = 3
	lines.take(2200, line)
	c.Assert(offers(2201), qt.IsTrue)
}

package proxy

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

func TestCacheAcceptsOnlyNewerEntries(t *testing.T) {
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
			c.Assert(lines.update(1, protocol.IndexReply{Service: "s", Epoch: 2, Change: 5, TurnMs: -1}), qt.IsTrue)
			c.Assert(lines.update(2, protocol.IndexReply{Service: "s", Epoch: test.epoch, Change: test.change, TurnMs: 7}), qt.Equals, test.taken)
			want := int64(-1)
			if test.taken {
				want = 9
			}
			c.Assert(lines[cacheKey{service: "s"}].loadExpectedMs, qt.Equals, want)
		})
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	lines := cache{}
	for i := range maxCacheEntries {
		lines.update(int64(i), protocol.IndexReply{Service: "s", Model: fmt.Sprint(i)})
	}
	lines[cacheKey{"s", "0", ""}].lastUsedMs = 1 << 40
	lines.update(1<<40, protocol.IndexReply{Service: "s", Model: "new"})
	c.Assert(lines, qt.HasLen, maxCacheEntries)
	c.Assert(lines[cacheKey{"s", "0", ""}], qt.IsNotNil)
	c.Assert(lines[cacheKey{"s", "1", ""}], qt.IsNil)
}

// A runner that does not hold the model is left out until the index reports a
// change, or a second has passed.
func TestCacheExcludesRunners(t *testing.T) {
	c := qt.New(t)
	lines, at := cache{}, cacheKey{service: "s"}
	line := protocol.IndexReply{Service: "s", Epoch: 1, Change: 1, Holders: []protocol.IndexHolder{{ID: "a"}}}
	lines.update(1, line)
	lines[at].exclude(1, "a")
	offers := func(nowMs int64) bool { return lines[at].canServe(nowMs, at, &lines[at].holders[0]) }
	c.Assert(offers(2), qt.IsFalse)
	lines.update(3, line)
	c.Assert(offers(4), qt.IsFalse)
	c.Assert(offers(1+excludeMs), qt.IsTrue)
	line.Change = 2
	lines[at].exclude(2000, "a")
	lines.update(2100, line)
	c.Assert(offers(2101), qt.IsFalse)
	line.Change = 3
	lines.update(2200, line)
	c.Assert(offers(2201), qt.IsTrue)
}

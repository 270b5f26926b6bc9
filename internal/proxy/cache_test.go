package proxy

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

func TestCacheAcceptsOnlyNewerEntries(t *testing.T) {
	cases := []struct {
		about         string
		epoch, change uint64
		accepted      bool
	}{
		{"the same version", 2, 5, true},
		{"a later change", 2, 6, true},
		{"an earlier change", 2, 4, false},
		{"a later epoch", 3, 1, true},
		{"an earlier epoch", 1, 9, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			entries := cache{}
			c.Assert(entries.update(1, protocol.IndexReply{Service: "s", Epoch: 2, Change: 5, TurnMs: -1}), qt.IsTrue)
			c.Assert(entries.update(2, protocol.IndexReply{Service: "s", Epoch: test.epoch, Change: test.change, TurnMs: 7}), qt.Equals, test.accepted)
			want := int64(-1)
			if test.accepted {
				want = 9
			}
			c.Assert(entries.get(cacheKey{service: "s"}).loadExpectedMs, qt.Equals, want)
		})
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	entries := cache{}
	for i := range maxCacheEntries {
		entries.update(int64(i), protocol.IndexReply{Service: "s", Model: fmt.Sprint(i)})
	}
	entries.get(cacheKey{"s", "0", ""}).lastUsedMs = 1 << 40
	entries.update(1<<40, protocol.IndexReply{Service: "s", Model: "new"})
	c.Assert(entries.len(), qt.Equals, maxCacheEntries)
	c.Assert(entries.get(cacheKey{"s", "0", ""}), qt.IsNotNil)
	c.Assert(entries.get(cacheKey{"s", "1", ""}), qt.IsNil)
}

// Names that clients choose are bounded together, whatever their number.
func TestCacheBoundsItsKeys(t *testing.T) {
	c := qt.New(t)
	entries := cache{}
	const nameBytes = 16 << 10
	longName := strings.Repeat("n", nameBytes)
	sum := func() (bytes int) {
		for key := range entries.entries {
			bytes += key.bytes()
		}
		return bytes
	}
	for i := range maxCacheEntries {
		entries.update(int64(i), protocol.IndexReply{Service: "s", Model: "m", Adapter: fmt.Sprint(i) + longName})
		c.Assert(sum() <= maxCacheKeyBytes, qt.IsTrue)
	}
	c.Assert(entries.keyBytes, qt.Equals, sum())
	c.Assert(entries.len() >= maxCacheKeyBytes/nameBytes-1, qt.IsTrue)
	// A key above the bound is stored alone, so that its requests are served.
	key := cacheKey{"s", strings.Repeat("n", maxCacheKeyBytes), ""}
	entries.update(maxCacheEntries, protocol.IndexReply{Service: key.service, Model: key.model})
	c.Assert(entries.get(key), qt.IsNotNil)
	c.Assert(entries.len(), qt.Equals, 1)
	entries.update(maxCacheEntries+1, protocol.IndexReply{Service: "s"})
	c.Assert(entries.keyBytes, qt.Equals, 1)
}

// A runner that does not hold the model is excluded until the index reports a change, but
// for at least excludeMinMs and at most excludeMs.
func TestCacheExcludesRunners(t *testing.T) {
	c := qt.New(t)
	entries, key := cache{}, cacheKey{service: "s"}
	reply := protocol.IndexReply{Service: "s", Epoch: 1, Change: 1, Holders: []protocol.IndexHolder{{ID: "a"}}}
	entries.update(1, reply)
	entries.get(key).exclude(1, "a")
	usable := func(nowMs int64) bool { return entries.get(key).canServe(nowMs, key, &entries.get(key).holders[0]) }
	c.Assert(usable(2), qt.IsFalse)
	entries.update(3, reply)
	c.Assert(usable(4), qt.IsFalse)
	c.Assert(usable(1+excludeMs), qt.IsTrue)
	reply.Change = 2
	entries.get(key).exclude(2000, "a")
	entries.update(2100, reply)
	c.Assert(usable(2101), qt.IsFalse)
	reply.Change = 3
	entries.update(2200, reply)
	c.Assert(usable(2201), qt.IsTrue)
}

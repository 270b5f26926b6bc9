package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A peer keeps up as long as its very disk answers and takes what it lacks.
func TestKeepsUp(t *testing.T) {
	const last = 10
	cases := []struct {
		about string
		// told are how far it said it was, every 300 ms.
		told   []uint64
		keeps  bool
		silent bool
	}{
		{"has all", []uint64{10, 10, 10, 10, 10, 10, 10}, true, false},
		{"lacks some and takes them", []uint64{4, 5, 6, 7, 8, 9, 9}, true, false},
		{"lacks some for a moment", []uint64{10, 10, 10, 10, 9, 9, 9}, true, false},
		{"lacks some and takes none", []uint64{9, 9, 9, 9, 9, 9, 9}, false, false},
		{"has all and is silent now", []uint64{10}, false, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			f := &followerState{incarnation: "1"}
			c := replication{waits: usualTiming, peers: map[string]*followerState{"b": f}}
			nowMs := int64(5000)
			for _, acked := range test.told {
				nowMs += 300
				f.heardMs = nowMs
				f.counted(nowMs, acked, last)
			}
			if test.silent {
				nowMs += usualTiming.ElectionTimeoutMs + 1
			}
			qt.Assert(t, c.keepsUp(nowMs, diskOf("b", "1")), qt.Equals, test.keeps)
			qt.Assert(t, c.keepsUp(nowMs, diskOf("b", "2")), qt.IsFalse, qt.Commentf("another disk of the name"))
		})
	}
}

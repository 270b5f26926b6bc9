package modelcheck

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// Faults are allowed only if no more members are lost at the same time than may
// be.
func TestAllowedFaults(t *testing.T) {
	arrivalAt := func(member int) *event {
		return &event{member: member, body: &message{envelope: protocol.Envelope{Body: protocol.Heartbeat{}}}}
	}
	for _, test := range []struct {
		name      string
		losses    int
		lostMs    []int64
		fault     Fault
		messages  []string
		isAllowed bool
	}{
		{"the first loss", 1, []int64{0, 0, 0}, Fault{Kind: Crash}, nil, true},
		{"a second loss", 1, []int64{0, startMs + 100, 0}, Fault{Kind: Crash}, nil, false},
		{"a second loss after the first has caught up", 1, []int64{0, startMs, 0}, Fault{Kind: Crash}, nil, true},
		{"a second loss where two may be lost", 2, []int64{0, startMs + 100, 0}, Fault{Kind: Freeze}, nil, true},
		{"a loss after all lost power", 1, []int64{startMs + 100, startMs + 100, startMs + 100}, Fault{Kind: Crash}, nil, false},
		{"all lose power, one its disk", 1, []int64{0, 0, 0}, Fault{Kind: PowerLoss, Set: 2}, nil, true},
		{"all lose power, two their disks", 1, []int64{0, 0, 0}, Fault{Kind: PowerLoss, Set: 3}, nil, false},
		{"all lose power beside a loss", 1, []int64{0, startMs + 100, 0}, Fault{Kind: PowerLoss}, nil, true},
		{"all lose power, and a disk beside a loss", 1, []int64{0, startMs + 100, 0}, Fault{Kind: PowerLoss, Set: 1}, nil, false},
		{"the lost member again", 1, []int64{startMs + 100, 0, 0}, Fault{Kind: Crash}, nil, true},
		{"a lost message beside a loss", 1, []int64{0, startMs + 100, 0}, Fault{Kind: DropMessage}, nil, true},
		{"a message that the scope leaves out", 1, []int64{0, 0, 0}, Fault{Kind: DropMessage}, []string{"Snapshot"}, false},
		{"a stalled disk beside a loss", 1, []int64{0, startMs + 100, 0}, Fault{Kind: DelayWrite, Ms: stalledWriteMs}, nil, false},
		{"a slow disk beside a loss", 1, []int64{0, startMs + 100, 0}, Fault{Kind: DelayWrite, Ms: slowWriteMs}, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(Scope{Losses: test.losses, Messages: test.messages}.withDefaults(), nil, true)
			for i, lostMs := range test.lostMs {
				c.members[i].lostUntilMs = lostMs
			}
			qt.Assert(t, c.isAllowed(arrivalAt(0), test.fault), qt.Equals, test.isAllowed)
		})
	}
}

func TestParseFaults(t *testing.T) {
	c := qt.New(t)
	kinds, err := ParseFaults("drop,crash")
	c.Assert(err, qt.IsNil)
	c.Assert(kinds, qt.DeepEquals, []FaultKind{DropMessage, Crash})
	_, err = ParseFaults("drop,lightning")
	c.Assert(err, qt.ErrorMatches, `there is no fault "lightning"`)
	none, err := ParseFaults("")
	c.Assert(err, qt.IsNil)
	c.Assert(none, qt.HasLen, 0)
}

package router

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

func edgeNode(n int) protocol.Node {
	name := fmt.Sprintf("edge-%d", n)
	return protocol.Node{Name: name, Address: name, Part: protocol.RoleRouter, Incarnation: name}
}

// granted says whether the last step renewed a peer's hold.
func (b *bench) granted() bool {
	for _, send := range b.out.Sends {
		if _, ok := send.Body.(protocol.ExtendLeaseReply); ok {
			return true
		}
	}
	return false
}

func (b *bench) receiveFrom(place protocol.Node, body protocol.Message) {
	b.step(protocol.Envelope{Site: "zagreb", From: place, Body: body})
}

func TestLeaseIsExtendedByAMajority(t *testing.T) {
	cases := []struct {
		about    string
		peers    []int
		said     protocol.ExtendLeaseReply
		prolongs bool
	}{
		{"four of nine with itself are five", []int{2, 3, 4, 5}, protocol.ExtendLeaseReply{For: "i", Revision: 1}, true},
		{"three are too few", []int{2, 3, 4}, protocol.ExtendLeaseReply{For: "i", Revision: 1}, false},
		{"one that answers twice is one", []int{2, 3, 4, 4}, protocol.ExtendLeaseReply{For: "i", Revision: 1}, false},
		{"one that is not listed does not count", []int{2, 3, 4, 77}, protocol.ExtendLeaseReply{For: "i", Revision: 1}, false},
		{"for the process before", []int{2, 3, 4, 5}, protocol.ExtendLeaseReply{For: "old", Revision: 1}, false},
		{"of another revision", []int{2, 3, 4, 5}, protocol.ExtendLeaseReply{For: "i", Revision: 2}, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c)
			b.nowMs += 3000
			b.step(protocol.Tick{})
			before := b.m.leaseUntilMs
			for _, n := range test.peers {
				said := test.said
				said.EchoMs = b.nowMs
				b.receiveFrom(edgeNode(n), said)
			}
			c.Assert(b.m.leaseUntilMs > before, qt.Equals, test.prolongs)
			if test.prolongs {
				c.Assert(b.m.leaseUntilMs, qt.Equals, b.nowMs+leaseMs)
			}
		})
	}
}

func TestGrantingExtensions(t *testing.T) {
	text, err := os.ReadFile("../../../examples/zagreb.json")
	qt.Assert(t, err, qt.IsNil)
	next := string(text) + " "
	cases := []struct {
		about string
		do    func(b *bench)
		from  int
		of    uint64
		gives bool
	}{
		{"steady", func(*bench) {}, 2, 1, true},
		{"to one that is not listed", func(*bench) {}, 77, 1, false},
		{"of an older revision", func(b *bench) { b.update(protocol.RouterUpdate{Revision: 2, Sum: "two", Text: next}) }, 2, 1, false},
		{"after it acknowledged a next one", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
		}, 2, 1, false},
		{"after that was given up", func(b *bench) {
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one", Pending: "two", PendingText: next})
			b.update(protocol.RouterUpdate{Revision: 1, Sum: "one"})
		}, 2, 1, true},
		{"a runner told of a higher one", func(b *bench) { b.m.highestSeenRevision = 2 }, 2, 1, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c)
			b.nowMs += leaseMs
			test.do(b)
			b.m.extensionsUntilMs = 0
			b.receiveFrom(edgeNode(test.from), protocol.ExtendLease{EchoMs: 1, Revision: test.of})
			c.Assert(b.granted(), qt.Equals, test.gives)
			c.Assert(b.m.extensionsUntilMs > 0, qt.Equals, test.gives)
		})
	}
	// What the process before may have given is not known, so a new one says
	// that it gave for as long as that may run.
	b := newBench(qt.New(t))
	qt.Assert(t, b.m.extensionsUntilMs, qt.Equals, int64(10_000+leaseMs))
}

package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// A controller that is cut off from a majority hands nothing out: no answer to
// a look-up and no redirect, since what it knows may have been replaced.
func TestNothingIsHandedOutWithoutContact(t *testing.T) {
	primary := protocol.Node{Name: "core-2", Address: "10.0.0.2:7", Part: protocol.RoleController}
	router := protocol.Node{Name: "edge-1", Address: "10.0.1.1:7", Part: protocol.RoleRouter}
	for _, contact := range []bool{true, false} {
		s := New(Settings{Self: testSelf, ControlPort: "80"}, versionFormat{})
		h := &followerHost{stubHost: stubHost{outOfContact: !contact, controllers: []protocol.Node{primary}}, primary: primary}
		s.HandleMessage(h, protocol.Envelope{From: router, Body: protocol.IndexLookUp{ID: 1, Service: "llm"}})
		qt.Assert(t, len(h.sent) > 0, qt.Equals, contact)
		s.HandleInput(h, ReadConfig{ID: 2})
		said := h.answers[0].(protocol.Rejection)
		qt.Assert(t, said.Kind, qt.Equals, errkind.NotPrimary)
		qt.Assert(t, said.Primary != "", qt.Equals, contact)
	}
}

// followerHost is a machine that is not the primary.
type followerHost struct {
	stubHost
	primary protocol.Node
}

func (h *followerHost) Active() bool           { return false }
func (h *followerHost) Primary() protocol.Node { return h.primary }

// A follower's index never goes back to what a late snapshot tells.
func TestLateIndexSnapshots(t *testing.T) {
	cases := []struct {
		about           string
		epoch, sequence uint64
		later           bool
	}{
		{"the next", 3, 8, true},
		{"the same", 3, 7, false},
		{"overtaken", 3, 6, false},
		{"of an earlier primary", 2, 90, false},
		{"of the next primary", 4, 1, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			order := snapshotVersion{3, 7}
			qt.Assert(t, order.advance(IndexSnapshot{Epoch: test.epoch, Sequence: test.sequence}), qt.Equals, test.later)
		})
	}
}

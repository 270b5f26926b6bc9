package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Each order has one answer, and yes only once the copies have the map.
func TestMapsAreTaken(t *testing.T) {
	const (
		stale   = string(errkind.StaleBase)
		faulty  = string(errkind.FaultyDescription)
		gone    = string(errkind.NotPrimary)
		unknown = string(errkind.AcceptanceUnknown)
	)
	type told = map[uint64][]string
	put := func(id, builtOn uint64, text string) SubmitConfig {
		return SubmitConfig{ID: id, BaseVersion: builtOn, Text: text}
	}
	type scene struct {
		h *pendingHost
		s *Controller
	}
	give := func(x scene, orders ...SubmitConfig) {
		for _, order := range orders {
			x.s.HandleInput(x.h, order)
		}
	}
	inForce := func(x scene, text string) {
		give(x, put(100, x.s.config.active.version, text))
		x.h.end(true)
		delete(x.h.told, 100)
	}
	for _, test := range []struct {
		name string
		do   func(x scene)
		want told
		// version is the one in force at the end, writes how many wait then.
		version uint64
		writes  int
	}{
		{"not before it is safe", func(x scene) { give(x, put(1, 0, "version 1")) }, told{}, 0, 1},
		{"taken", func(x scene) { give(x, put(1, 0, "version 1")); x.h.end(true) }, told{1: {"taken 1"}}, 1, 0},
		{"a change is taken", func(x scene) {
			inForce(x, "version 1")
			give(x, SubmitConfig{ID: 1, BaseVersion: 1, Text: "version 4", Partial: true})
			x.h.end(true)
		}, told{1: {"taken 4"}}, 4, 0},
		{"the same again while it is written", func(x scene) {
			give(x, put(1, 0, "version 1"), put(2, 0, "version 1"))
			x.h.end(true)
		}, told{1: {"taken 1"}, 2: {"taken 1"}}, 1, 0},
		{"the same again, with others in force since", func(x scene) {
			inForce(x, "version 1")
			inForce(x, "version 2")
			give(x, put(1, 0, "version 1"))
		}, told{1: {"taken 1"}}, 2, 0},
		{"the same again at the next primary", func(x scene) {
			inForce(x, "version 1")
			inForce(x, "version 2")
			next := New(Settings{Self: testSelf}, versionFormat{})
			next.BecamePrimary(x.h)
			give(scene{x.h, next}, put(1, 1, "version 2"))
		}, told{1: {"taken 2"}}, 2, 0},
		{"the same text on top of another version is another order", func(x scene) {
			inForce(x, "version 1")
			give(x, put(1, 1, "version 1"))
		}, told{1: {faulty}}, 1, 0},
		{"stale base", func(x scene) {
			inForce(x, "version 3")
			give(x, put(1, 0, "version 5"))
		}, told{1: {stale + " 3"}}, 3, 0},
		{"a base that never was", func(x scene) { give(x, put(1, 7, "version 9")); x.h.end(true) }, told{1: {stale}}, 0, 0},
		{"a base that never was, not before its refusal is safe", func(x scene) { give(x, put(1, 7, "version 9")) }, told{}, 0, 1},
		{"faulty", func(x scene) { give(x, put(1, 0, "nonsense")) }, told{1: {faulty}}, 0, 0},
		{"version not above", func(x scene) {
			inForce(x, "version 3")
			give(x, put(1, 3, "version 3 other"), put(2, 3, "version 2"))
		}, told{1: {faulty}, 2: {faulty}}, 3, 0},
		{"of two on one version the second loses", func(x scene) {
			give(x, put(1, 0, "version 1"), put(2, 0, "version 2"))
			x.h.end(true)
		}, told{1: {"taken 1"}, 2: {stale + " 1"}}, 1, 0},
		{"a refused one holds up nobody behind it", func(x scene) {
			give(x, put(1, 0, "version 1"), put(2, 1, "nonsense"), put(3, 1, "version 2"))
			x.h.end(true)
			x.h.end(true)
		}, told{1: {"taken 1"}, 2: {faulty}, 3: {"taken 2"}}, 2, 0},
		{"one is written at a time", func(x scene) {
			give(x, put(1, 0, "version 1"), put(2, 1, "version 2"))
		}, told{}, 0, 1},
		{"a write of unknown end", func(x scene) {
			give(x, put(1, 0, "version 1"))
			x.h.end(false)
		}, told{1: {unknown}}, 0, 0},
		{"a write of unknown end, sent again to a later primacy that has it", func(x scene) {
			give(x, put(1, 0, "version 1"))
			x.h.end(false)
			x.s.LostPrimacy(x.h)
			x.s.BecamePrimary(x.h)
			give(x, put(2, 0, "version 1"), put(3, 0, "version 2"))
		}, told{1: {unknown}, 2: {"taken 1"}, 3: {stale + " 1"}}, 1, 0},
		{"a write of unknown end, sent again to a later primacy that lacks it", func(x scene) {
			give(x, put(1, 0, "version 1"))
			x.h.end(false)
			x.s.LostPrimacy(x.h)
			for _, key := range []string{configRow, historyRow, successorKey(0)} {
				delete(x.h.rows, key)
			}
			x.s.BecamePrimary(x.h)
			give(x, put(2, 0, "version 2"), put(3, 0, "version 1"))
			x.h.end(true)
		}, told{1: {unknown}, 2: {"taken 2"}, 3: {stale + " 2"}}, 2, 0},
		{"faulty, sent again, stays without effect", func(x scene) {
			inForce(x, "version 1")
			give(x, put(1, 1, "nonsense"), put(2, 1, "version 1 other"), put(3, 1, "nonsense"))
			inForce(x, "version 2")
			give(x, put(4, 1, "nonsense"), put(5, 1, "version 1 other"))
		}, told{1: {faulty}, 2: {faulty}, 3: {faulty}, 4: {stale + " 2"}, 5: {stale + " 2"}}, 2, 0},
		{"the end of a primacy answers all", func(x scene) {
			give(x, put(1, 0, "version 1"), put(2, 1, "version 2"), put(3, 0, "version 1"))
			// The machine ends the writes first.
			x.h.end(false)
			x.s.LostPrimacy(x.h)
		}, told{1: {unknown}, 2: {gone}, 3: {gone}}, 0, 0},
		{"after it none is taken", func(x scene) {
			x.s.LostPrimacy(x.h)
			give(x, put(1, 0, "version 1"))
		}, told{1: {gone}}, 0, 0},
		{"elsewhere", func(x scene) {
			x.s.LostPrimacy(x.h)
			x.h.primary = protocol.Node{Name: "core-2", Address: "10.0.0.2:7", Part: protocol.RoleController}
			x.h.controllers = []protocol.Node{x.h.primary}
			give(x, put(1, 0, "version 1"))
		}, told{1: {gone + " 10.0.0.2:80"}}, 0, 0},
		{"elsewhere, and dead as far as is known", func(x scene) {
			x.s.LostPrimacy(x.h)
			x.h.primary = protocol.Node{Name: "core-2", Address: "10.0.0.2:7", Part: protocol.RoleController}
			give(x, put(1, 0, "version 1"))
		}, told{1: {gone}}, 0, 0},
		{"a primary that may not speak takes none", func(x scene) {
			x.h.active = false
			give(x, put(1, 0, "version 1"))
		}, told{1: {gone}}, 0, 0},
		{"one that may not speak for a while goes on later", func(x scene) {
			give(x, put(1, 0, "version 1"), put(2, 1, "version 2"))
			x.h.active = false
			x.h.end(true)
			x.h.active = true
			x.s.Tick(x.h)
			for len(x.h.writes) > 0 {
				x.h.end(true)
			}
		}, told{1: {"taken 1"}, 2: {"taken 2"}}, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newPendingHost()
			// No order to runners is at stake here.
			h.rows[ordererRow] = testSelf.Name
			s := New(Settings{Self: testSelf, Bounds: bounds.Bounds{}, ControlPort: "80"}, versionFormat{})
			s.BecamePrimary(h)
			test.do(scene{h, s})
			c.Check(h.told, qt.DeepEquals, test.want)
			c.Check(s.config.active.version, qt.Equals, test.version)
			c.Check(h.writes, qt.HasLen, test.writes)
		})
	}
}

// More than a bounded number can't wait.
func TestOrdersThatWaitAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newPendingHost()
	h.rows[ordererRow] = testSelf.Name
	s := New(Settings{Self: testSelf}, versionFormat{})
	s.BecamePrimary(h)
	for id := range uint64(maxWaitingSubmissions + 2) {
		s.HandleInput(h, SubmitConfig{ID: id, Text: "version 1"})
	}
	c.Assert(h.told, qt.DeepEquals, map[uint64][]string{maxWaitingSubmissions + 1: {string(errkind.NotAccepted)}})
	h.end(true)
	for id := range uint64(maxWaitingSubmissions + 1) {
		c.Assert(h.told[id], qt.DeepEquals, []string{"taken 1"})
	}
}

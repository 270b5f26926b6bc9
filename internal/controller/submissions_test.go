package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Each submission has exactly one answer, and it is accepted only once the
// configuration is committed.
func TestSubmissions(t *testing.T) {
	const (
		stale   = string(errkind.StaleBase)
		faulty  = string(errkind.FaultyDescription)
		gone    = string(errkind.NotPrimary)
		unknown = string(errkind.AcceptanceUnknown)
	)
	type answered = map[uint64][]string
	put := func(id, base uint64, text string) SubmitConfig {
		return SubmitConfig{ID: id, BaseVersion: base, Text: text}
	}
	type fixture struct {
		host       *pendingHost
		controller *Controller
	}
	submit := func(f fixture, requests ...SubmitConfig) {
		for _, request := range requests {
			f.controller.HandleInput(f.host, request)
		}
	}
	accept := func(f fixture, text string) {
		submit(f, put(100, f.controller.config.active.version, text))
		f.host.endWrite(true)
		delete(f.host.answered, 100)
	}
	for _, test := range []struct {
		name string
		do   func(f fixture)
		want answered
		// version is the one in force at the end, writes how many wait then.
		version uint64
		writes  int
	}{
		{"not answered before it is committed", func(f fixture) { submit(f, put(1, 0, "version 1")) }, answered{}, 0, 1},
		{"accepted", func(f fixture) { submit(f, put(1, 0, "version 1")); f.host.endWrite(true) }, answered{1: {"accepted 1"}}, 1, 0},
		{"a change of items is accepted", func(f fixture) {
			accept(f, "version 1")
			submit(f, SubmitConfig{ID: 1, BaseVersion: 1, Text: "version 4", Partial: true})
			f.host.endWrite(true)
		}, answered{1: {"accepted 4"}}, 4, 0},
		{"repeated while it is being replicated", func(f fixture) {
			submit(f, put(1, 0, "version 1"), put(2, 0, "version 1"))
			f.host.endWrite(true)
		}, answered{1: {"accepted 1"}, 2: {"accepted 1"}}, 1, 0},
		{"repeated after others came into force", func(f fixture) {
			accept(f, "version 1")
			accept(f, "version 2")
			submit(f, put(1, 0, "version 1"))
		}, answered{1: {"accepted 1"}}, 2, 0},
		{"repeated at the next primary", func(f fixture) {
			accept(f, "version 1")
			accept(f, "version 2")
			next := New(Settings{Self: testSelf}, versionFormat{})
			next.BecamePrimary(f.host)
			submit(fixture{f.host, next}, put(1, 1, "version 2"))
		}, answered{1: {"accepted 2"}}, 2, 0},
		{"the same text with another base is another submission", func(f fixture) {
			accept(f, "version 1")
			submit(f, put(1, 1, "version 1"))
		}, answered{1: {faulty}}, 1, 0},
		{"stale base", func(f fixture) {
			accept(f, "version 3")
			submit(f, put(1, 0, "version 5"))
		}, answered{1: {stale + " 3"}}, 3, 0},
		{"unknown base", func(f fixture) { submit(f, put(1, 7, "version 9")); f.host.endWrite(true) }, answered{1: {stale}}, 0, 0},
		{"unknown base, not answered before its rejection is committed", func(f fixture) { submit(f, put(1, 7, "version 9")) }, answered{}, 0, 1},
		{"faulty", func(f fixture) { submit(f, put(1, 0, "nonsense")) }, answered{1: {faulty}}, 0, 0},
		{"version not above", func(f fixture) {
			accept(f, "version 3")
			submit(f, put(1, 3, "version 3 other"), put(2, 3, "version 2"))
		}, answered{1: {faulty}, 2: {faulty}}, 3, 0},
		{"of two with the same base the second is rejected", func(f fixture) {
			submit(f, put(1, 0, "version 1"), put(2, 0, "version 2"))
			f.host.endWrite(true)
		}, answered{1: {"accepted 1"}, 2: {stale + " 1"}}, 1, 0},
		{"a rejected one does not block the next", func(f fixture) {
			submit(f, put(1, 0, "version 1"), put(2, 1, "nonsense"), put(3, 1, "version 2"))
			f.host.endWrite(true)
			f.host.endWrite(true)
		}, answered{1: {"accepted 1"}, 2: {faulty}, 3: {"accepted 2"}}, 2, 0},
		{"one is replicated at a time", func(f fixture) {
			submit(f, put(1, 0, "version 1"), put(2, 1, "version 2"))
		}, answered{}, 0, 1},
		{"write with unknown outcome", func(f fixture) {
			submit(f, put(1, 0, "version 1"))
			f.host.endWrite(false)
		}, answered{1: {unknown}}, 0, 0},
		{"write with unknown outcome, repeated at a later primacy that has it", func(f fixture) {
			submit(f, put(1, 0, "version 1"))
			f.host.endWrite(false)
			f.controller.LostPrimacy(f.host)
			f.controller.BecamePrimary(f.host)
			submit(f, put(2, 0, "version 1"), put(3, 0, "version 2"))
		}, answered{1: {unknown}, 2: {"accepted 1"}, 3: {stale + " 1"}}, 1, 0},
		{"write with unknown outcome, repeated at a later primacy that lacks it", func(f fixture) {
			submit(f, put(1, 0, "version 1"))
			f.host.endWrite(false)
			f.controller.LostPrimacy(f.host)
			for _, key := range []string{configRow, historyRow, successorKey(0)} {
				delete(f.host.rows, key)
			}
			f.controller.BecamePrimary(f.host)
			submit(f, put(2, 0, "version 2"), put(3, 0, "version 1"))
			f.host.endWrite(true)
		}, answered{1: {unknown}, 2: {"accepted 2"}, 3: {stale + " 2"}}, 2, 0},
		{"faulty, repeated, is never accepted", func(f fixture) {
			accept(f, "version 1")
			submit(f, put(1, 1, "nonsense"), put(2, 1, "version 1 other"), put(3, 1, "nonsense"))
			accept(f, "version 2")
			submit(f, put(4, 1, "nonsense"), put(5, 1, "version 1 other"))
		}, answered{1: {faulty}, 2: {faulty}, 3: {faulty}, 4: {stale + " 2"}, 5: {stale + " 2"}}, 2, 0},
		{"all are answered when the primacy ends", func(f fixture) {
			submit(f, put(1, 0, "version 1"), put(2, 1, "version 2"), put(3, 0, "version 1"))
			// The host ends the pending writes first.
			f.host.endWrite(false)
			f.controller.LostPrimacy(f.host)
		}, answered{1: {unknown}, 2: {gone}, 3: {gone}}, 0, 0},
		{"not accepted after the primacy ended", func(f fixture) {
			f.controller.LostPrimacy(f.host)
			submit(f, put(1, 0, "version 1"))
		}, answered{1: {gone}}, 0, 0},
		{"redirected to the primary", func(f fixture) {
			f.controller.LostPrimacy(f.host)
			f.host.primary = protocol.Node{Name: "core-2", Address: "10.0.0.2:7", Part: protocol.RoleController}
			f.host.controllers = []protocol.Node{f.host.primary}
			submit(f, put(1, 0, "version 1"))
		}, answered{1: {gone + " 10.0.0.2:80"}}, 0, 0},
		{"not redirected to a primary that seems dead", func(f fixture) {
			f.controller.LostPrimacy(f.host)
			f.host.primary = protocol.Node{Name: "core-2", Address: "10.0.0.2:7", Part: protocol.RoleController}
			submit(f, put(1, 0, "version 1"))
		}, answered{1: {gone}}, 0, 0},
		{"not accepted without a lease", func(f fixture) {
			f.host.active = false
			submit(f, put(1, 0, "version 1"))
		}, answered{1: {gone}}, 0, 0},
		{"processed once the lease is renewed", func(f fixture) {
			submit(f, put(1, 0, "version 1"), put(2, 1, "version 2"))
			f.host.active = false
			f.host.endWrite(true)
			f.host.active = true
			f.controller.Tick(f.host)
			for len(f.host.writes) > 0 {
				f.host.endWrite(true)
			}
		}, answered{1: {"accepted 1"}, 2: {"accepted 2"}}, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newPendingHost()
			// With its own name in the row the primary writes nothing to claim orders.
			h.rows[ordererRow] = testSelf.Name
			controller := New(Settings{Self: testSelf, Bounds: bounds.Bounds{}, ControlPort: "80"}, versionFormat{})
			controller.BecamePrimary(h)
			test.do(fixture{h, controller})
			c.Check(h.answered, qt.DeepEquals, test.want)
			c.Check(controller.config.active.version, qt.Equals, test.version)
			c.Check(h.writes, qt.HasLen, test.writes)
		})
	}
}

// The submissions that wait are bounded.
func TestWaitingSubmissionsAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newPendingHost()
	h.rows[ordererRow] = testSelf.Name
	controller := New(Settings{Self: testSelf}, versionFormat{})
	controller.BecamePrimary(h)
	for id := range uint64(maxWaitingSubmissions + 2) {
		controller.HandleInput(h, SubmitConfig{ID: id, Text: "version 1"})
	}
	c.Assert(h.answered, qt.DeepEquals, map[uint64][]string{maxWaitingSubmissions + 1: {string(errkind.NotAccepted)}})
	h.endWrite(true)
	for id := range uint64(maxWaitingSubmissions + 1) {
		c.Assert(h.answered[id], qt.DeepEquals, []string{"accepted 1"})
	}
}

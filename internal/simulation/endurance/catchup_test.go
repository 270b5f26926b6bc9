package endurance

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// catchUpMs is the shorter of the times within which a member that is back
// must count again.
const catchUpMs = 4000

// absence is one member or several that are away for some changes.
type absence struct {
	name   string
	losses int
	mbit   int64
	// slowMs is what a sync takes at those that come back, and at all others
	// where slowAll says so; nought is as usual.
	slowMs  int64
	slowAll bool
	changes int
	wiped   bool
	// primary says that the primary is among them; count how many they are.
	primary bool
	count   int
	broke   breaks
}

// outcome is what came of it, in ms after the return; -1 stands for never.
type outcome struct {
	caughtMs, wholeMs int64
	older             []string
	largest           int
	// reads is how many configurations one of them read until then: each takes
	// some 18 ms of a whole core at 1,400 routes.
	reads  int
	detail string
}

const usualSyncMs = 5

// readsMost is how many configurations one may read until it holds all: on a
// quarter of a core each takes some 70 ms at 1,400 routes.
const readsMost = 24

// play loses members, makes changes, brings them back with changes still
// coming, and then loses as many others as may be lost.
func (a absence) play(c *qt.C) outcome {
	s := newSite(a.losses, a.mbit, usualSyncMs)
	c.Assert(s.until(10_000, s.whole) >= 0, qt.IsTrue, qt.Commentf("founding: %s", s.lastNotes(20)))
	c.Assert(s.changes(2), qt.IsTrue)
	s.run(1000)
	s.broke = a.broke
	s.keepReading()
	gone := a.chosen(s)
	for _, m := range gone {
		s.kill(m)
	}
	s.run(3000)
	c.Assert(s.changes(a.changes), qt.IsTrue, qt.Commentf("changes meanwhile: %s", s.lastNotes(20)))
	for _, m := range s.members {
		if a.slowMs > 0 && (a.slowAll || m.down) {
			m.syncMs = a.slowMs
		}
	}
	s.keepChanging()
	for _, m := range gone {
		s.back(m, a.wiped)
	}
	out := a.measure(s, gone)
	a.loseOthers(c, s, gone)
	out.older = s.older
	c.Assert(s.read > 20, qt.IsTrue, qt.Commentf("only %d configurations were read", s.read))
	return out
}

func (a absence) chosen(s *site) (gone []*member) {
	primary := s.primary()
	if a.primary {
		gone = append(gone, primary)
	}
	for i := len(s.members) - 1; len(gone) < max(1, a.count); i-- {
		if s.members[i] != primary {
			gone = append(gone, s.members[i])
		}
	}
	return gone
}

// measure waits until those that came back hold all that is acknowledged, and
// the record names as many live disks as must be.
func (a absence) measure(s *site, gone []*member) outcome {
	out := outcome{caughtMs: -1, wholeMs: -1}
	for began := s.nowMs; s.nowMs-began < 2*catchUpMs; s.run(10) {
		holding := true
		for _, m := range gone {
			holding = holding && holdsVersion(m) >= s.version
		}
		if holding && out.caughtMs < 0 {
			out.caughtMs = s.nowMs - began
			for _, m := range gone {
				out.reads = max(out.reads, m.reads)
			}
		}
		if out.wholeMs < 0 && s.whole() {
			out.wholeMs = s.nowMs - began
		}
	}
	primary := s.primary()
	for _, m := range gone {
		if primary != nil && primary != m {
			if link := primary.links[m.name]; link != nil {
				out.largest = max(out.largest, link.largest)
			}
			out.detail += fmt.Sprintf("%s: %s, %d syncs of %d writes; ", m.name, s.traffic(primary, m), m.syncs, m.saved)
		}
	}
	return out
}

// loseOthers loses as many as may be lost of those that were there all the
// while, the primary first, and expects the site to serve what was acknowledged.
func (a absence) loseOthers(c *qt.C, s *site, gone []*member) {
	if a.broke != (breaks{}) {
		return
	}
	s.quiet = true
	s.run(1000)
	lost := 0
	for _, m := range append([]*member{s.primary()}, s.members...) {
		isBack := false
		for _, g := range gone {
			isBack = isBack || g == m
		}
		if m != nil && !isBack && !m.down && lost < a.losses {
			s.kill(m)
			lost++
		}
	}
	before := s.read
	c.Assert(s.until(12_000, func() bool { return s.read > before }) >= 0, qt.IsTrue, qt.Commentf("serves no more: %s", s.lastNotes(30)))
}

func (o outcome) inTime() bool {
	return o.caughtMs >= 0 && o.caughtMs <= catchUpMs && o.wholeMs >= 0 && o.wholeMs <= catchUpMs && len(o.older) == 0 && o.reads <= readsMost
}

// A member that was away for 10 to 1,000 changes of a large configuration, with
// its disk or an empty one, over thin links and slow disks and with changes
// still coming, holds within the catch-up time all that was acknowledged; then
// as many others may be lost, and nothing older is served.
func TestCatchUp(t *testing.T) {
	for _, a := range []absence{
		{name: "10 changes", losses: 1, mbit: 1000, changes: 10},
		{name: "10 changes, disk lost", losses: 1, mbit: 1000, changes: 10, wiped: true},
		{name: "18 changes, about a MiB", losses: 1, mbit: 1000, changes: 18},
		{name: "18 changes, thin links, slow disks", losses: 1, mbit: 10, changes: 18, slowMs: 150, slowAll: true},
		{name: "100 changes", losses: 1, mbit: 1000, changes: 100},
		{name: "100 changes, slow disk", losses: 1, mbit: 210, changes: 100, slowMs: 150},
		{name: "100 changes, slow disks", losses: 1, mbit: 210, changes: 100, slowMs: 150, slowAll: true},
		{name: "100 changes, thin links, disk lost", losses: 1, mbit: 10, changes: 100, wiped: true},
		{name: "200 changes, more than a frame", losses: 1, mbit: 1000, changes: 200},
		{name: "200 changes, disk lost", losses: 1, mbit: 1000, changes: 200, wiped: true},
		{name: "300 changes, thin links", losses: 1, mbit: 10, changes: 300},
		{name: "1,000 changes", losses: 1, mbit: 210, changes: 1000},
		{name: "1,000 changes, disk lost, slow disks", losses: 1, mbit: 210, changes: 1000, wiped: true, slowMs: 150, slowAll: true},
		{name: "the primary, 10 changes", losses: 1, mbit: 1000, changes: 10, primary: true},
		{name: "the primary, 100 changes, disk lost", losses: 1, mbit: 1000, changes: 100, primary: true, wiped: true},
		{name: "two of five, 100 changes", losses: 2, mbit: 210, changes: 100, count: 2},
		{name: "two of five, 200 changes, disks lost", losses: 2, mbit: 210, changes: 200, count: 2, wiped: true},
		{name: "two of five with the primary, 100 changes, slow disks", losses: 2, mbit: 210, changes: 100, count: 2, primary: true, slowMs: 150},
		{name: "two of five with the primary, disks lost", losses: 2, mbit: 210, changes: 100, count: 2, primary: true, wiped: true},
		{name: "two of five, disks lost, slow disks", losses: 2, mbit: 210, changes: 100, count: 2, wiped: true, slowMs: 150, slowAll: true},
	} {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			out := a.play(qt.New(t))
			t.Logf("holds all after %d ms and %d reads, record whole after %d ms; %s", out.caughtMs, out.reads, out.wholeMs, out.detail)
			qt.New(t).Check(out.inTime(), qt.IsTrue, qt.Commentf("%+v", out))
		})
	}
}

// The check fires on a site that breaks what it promises.
func TestCatchUpFires(t *testing.T) {
	for _, test := range []struct {
		name         string
		broke        breaks
		wiped, older bool
	}{
		{"changes are answered before they are copied", breaks{eagerAnswers: true}, false, true},
		{"nobody hears how far the returned one is", breaks{lostFollowed: true}, true, false},
		{"the disk of the returned one hangs", breaks{hangingDisk: true}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			out := absence{losses: 1, mbit: 1000, changes: 10, wiped: test.wiped, broke: test.broke}.play(c)
			c.Assert(out.inTime(), qt.IsFalse)
			c.Assert(len(out.older) > 0, qt.Equals, test.older)
		})
	}
}

package endurance

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// catchUpMs is the shorter of the times within which a node that is back must
// count again.
const catchUpMs = 4000

const (
	// usualSyncMs is how long a sync takes on a healthy disk.
	usualSyncMs = 5
	// maxParses is how many configurations a node may parse until it has caught up:
	// on a quarter of a core each takes some 70 ms at 1,400 routes.
	maxParses = 24
	// minReads is how many reads must have been answered for a test to count.
	minReads = 20
	// startTimeoutMs bounds the start of a cluster, and failoverMs the time until
	// it serves again after losses.
	startTimeoutMs = 10_000
	failoverMs     = 12_000
)

// outage is one node or several that are away for some changes.
type outage struct {
	name      string
	maxLosses int
	mbit      int64
	// slowMs is how long a sync takes at the nodes that come back, and at all
	// others where allSlow says so; 0 is as usual.
	slowMs  int64
	allSlow bool
	// changes is how many changes are made meanwhile.
	changes int
	// lostDisk says that the nodes come back with empty disks.
	lostDisk bool
	// primary says that the primary is among them; count is how many they are, 0
	// for one.
	primary bool
	count   int
	faults  faults
}

// outcome is what came of an outage, in ms after the return; -1 is never.
type outcome struct {
	// caughtUpMs is when the nodes held all that was acknowledged, replicatedMs
	// when the cluster was fully replicated.
	caughtUpMs, replicatedMs int64
	stale                    []string
	// parses is how many configurations one of them parsed until it had caught up.
	parses int
	detail string
}

// run stops nodes, makes changes, starts them again with changes still coming,
// and then stops as many others as may be lost.
func (o outage) run(t *testing.T) outcome {
	t.Helper()
	check := qt.New(t)
	c := newCluster(o.maxLosses, o.mbit, usualSyncMs)
	check.Assert(c.until(startTimeoutMs, c.fullyReplicated) >= 0, qt.IsTrue, qt.Commentf("start: %s", c.lastNotes(20)))
	check.Assert(c.makeChanges(2), qt.IsTrue)
	c.events.RunFor(1000)
	c.faults = o.faults
	c.keepReading()
	away := o.chooseNodes(c)
	for _, n := range away {
		c.stop(n)
	}
	c.events.RunFor(3000)
	check.Assert(c.makeChanges(o.changes), qt.IsTrue, qt.Commentf("changes meanwhile: %s", c.lastNotes(20)))
	o.slowDisks(c)
	c.keepChanging()
	for _, n := range away {
		c.restart(n, o.lostDisk)
	}
	out := o.measure(c, away)
	o.loseOthers(check, c, away)
	out.stale = c.stale
	check.Assert(c.reads > minReads, qt.IsTrue, qt.Commentf("only %d configurations were read", c.reads))
	return out
}

// chooseNodes chooses the nodes that will be away.
func (o outage) chooseNodes(c *cluster) (away []*node) {
	primary := c.primary()
	if o.primary {
		away = append(away, primary)
	}
	for i := len(c.nodes) - 1; len(away) < max(1, o.count); i-- {
		if c.nodes[i] != primary {
			away = append(away, c.nodes[i])
		}
	}
	return away
}

// slowDisks slows the disks of the nodes that are away, or of all.
func (o outage) slowDisks(c *cluster) {
	for _, n := range c.nodes {
		if o.slowMs > 0 && (o.allSlow || n.down) {
			n.syncMs = o.slowMs
		}
	}
}

// measure waits until the nodes that came back have caught up and the cluster is
// fully replicated.
func (o outage) measure(c *cluster, away []*node) outcome {
	out := outcome{caughtUpMs: -1, replicatedMs: -1}
	behind := func(n *node) bool { return n.storedVersion() < c.version }
	beganMs := c.events.NowMs()
	for c.events.NowMs()-beganMs < 2*catchUpMs {
		sinceMs := c.events.NowMs() - beganMs
		if out.caughtUpMs < 0 && !slices.ContainsFunc(away, behind) {
			out.caughtUpMs = sinceMs
			for _, n := range away {
				out.parses = max(out.parses, n.parsed)
			}
		}
		if out.replicatedMs < 0 && c.fullyReplicated() {
			out.replicatedMs = sinceMs
		}
		c.events.RunFor(pollMs)
	}
	primary := c.primary()
	for _, n := range away {
		if primary != nil && primary != n {
			traffic := "nothing"
			if l := primary.links[n.name]; l != nil {
				traffic = l.String()
			}
			out.detail += fmt.Sprintf("%s: %s, %d syncs of %d writes; ", n.name, traffic, n.syncs, n.writes)
		}
	}
	return out
}

// loseOthers stops as many nodes as may be lost of those that were never away,
// the primary first, and expects that the configuration is served nonetheless.
func (o outage) loseOthers(check *qt.C, c *cluster, away []*node) {
	check.Helper()
	if o.faults != (faults{}) {
		return
	}
	c.quiet = true
	c.events.RunFor(1000)
	lost := 0
	for _, n := range append([]*node{c.primary()}, c.nodes...) {
		if n != nil && !slices.Contains(away, n) && !n.down && lost < o.maxLosses {
			c.stop(n)
			lost++
		}
	}
	before := c.reads
	served := func() bool { return c.reads > before }
	check.Assert(c.until(failoverMs, served) >= 0, qt.IsTrue, qt.Commentf("serves no more: %s", c.lastNotes(30)))
}

func (o outcome) inTime() bool {
	caughtUp := o.caughtUpMs >= 0 && o.caughtUpMs <= catchUpMs
	replicated := o.replicatedMs >= 0 && o.replicatedMs <= catchUpMs
	return caughtUp && replicated && len(o.stale) == 0 && o.parses <= maxParses
}

// A node that was away for 10 to 1,000 changes of a large configuration, with
// its disk or an empty one, over thin links and slow disks and with changes
// still coming, holds within the catch-up time all that was acknowledged; then
// as many others may be lost, and nothing older is served.
func TestCatchUp(t *testing.T) {
	for _, o := range []outage{
		{name: "10 changes", maxLosses: 1, mbit: 1000, changes: 10},
		{name: "10 changes, disk lost", maxLosses: 1, mbit: 1000, changes: 10, lostDisk: true},
		{name: "18 changes, about a MiB", maxLosses: 1, mbit: 1000, changes: 18},
		{name: "18 changes, thin links, slow disks", maxLosses: 1, mbit: 10, changes: 18, slowMs: 150, allSlow: true},
		{name: "100 changes", maxLosses: 1, mbit: 1000, changes: 100},
		{name: "100 changes, slow disk", maxLosses: 1, mbit: 210, changes: 100, slowMs: 150},
		{name: "100 changes, slow disks", maxLosses: 1, mbit: 210, changes: 100, slowMs: 150, allSlow: true},
		{name: "100 changes, thin links, disk lost", maxLosses: 1, mbit: 10, changes: 100, lostDisk: true},
		{name: "200 changes, more than a frame", maxLosses: 1, mbit: 1000, changes: 200},
		{name: "200 changes, disk lost", maxLosses: 1, mbit: 1000, changes: 200, lostDisk: true},
		{name: "300 changes, thin links", maxLosses: 1, mbit: 10, changes: 300},
		{name: "1,000 changes", maxLosses: 1, mbit: 210, changes: 1000},
		{name: "1,000 changes, disk lost, slow disks", maxLosses: 1, mbit: 210, changes: 1000, lostDisk: true, slowMs: 150, allSlow: true},
		{name: "the primary, 10 changes", maxLosses: 1, mbit: 1000, changes: 10, primary: true},
		{name: "the primary, 100 changes, disk lost", maxLosses: 1, mbit: 1000, changes: 100, primary: true, lostDisk: true},
		{name: "two of five, 100 changes", maxLosses: 2, mbit: 210, changes: 100, count: 2},
		{name: "two of five, 200 changes, disks lost", maxLosses: 2, mbit: 210, changes: 200, count: 2, lostDisk: true},
		{name: "two of five with the primary, 100 changes, slow disks", maxLosses: 2, mbit: 210, changes: 100, count: 2, primary: true, slowMs: 150},
		{name: "two of five with the primary, disks lost", maxLosses: 2, mbit: 210, changes: 100, count: 2, primary: true, lostDisk: true},
		{name: "two of five, disks lost, slow disks", maxLosses: 2, mbit: 210, changes: 100, count: 2, lostDisk: true, slowMs: 150, allSlow: true},
	} {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			out := o.run(t)
			t.Logf("caught up after %d ms and %d parses, fully replicated after %d ms; %s", out.caughtUpMs, out.parses, out.replicatedMs, out.detail)
			qt.New(t).Check(out.inTime(), qt.IsTrue, qt.Commentf("%+v", out))
		})
	}
}

// The checks fire on a cluster that breaks what it promises.
func TestCatchUpFires(t *testing.T) {
	for _, test := range []struct {
		name            string
		faults          faults
		lostDisk, stale bool
	}{
		{"changes are acknowledged before they are replicated", faults{acknowledgeEarly: true}, false, true},
		{"the acknowledgements of the returned node are lost", faults{loseReplies: true}, true, false},
		{"the disk of the returned node hangs", faults{hangDisk: true}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			out := outage{maxLosses: 1, mbit: 1000, changes: 10, lostDisk: test.lostDisk, faults: test.faults}.run(t)
			c.Assert(out.inTime(), qt.IsFalse)
			c.Assert(len(out.stale) > 0, qt.Equals, test.stale)
		})
	}
}

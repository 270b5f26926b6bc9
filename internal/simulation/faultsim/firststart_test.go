package faultsim

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/protocol"
)

// Guards against review/4: all controllers were killed 30 ms after their first start, and the site
// never started, because a disk got the mark of the first start with the first tick. Wherever in
// its first moments all controllers are killed, a site starts once they are back.
func TestSiteStartsAfterKillsInItsFirstMoments(t *testing.T) {
	const (
		moments   = 200
		restartMs = 500
		startMs   = 15_000
	)
	for killMs := int64(0); killMs < moments; killMs++ {
		sim := New(killMs, InjectedBugs{})
		sim.Run(killMs)
		for _, name := range sim.nodeNames(protocol.RoleController) {
			n := sim.nodes[name]
			sim.kill(n)
			sim.after(restartMs, func() { sim.startNode(n, false) })
		}
		sim.Run(restartMs + startMs)
		qt.Assert(t, sim.primary(), qt.IsNotNil, qt.Commentf("killed after %d ms", killMs))
	}
}

package faultsim

import (
	"maps"
	"slices"
)

// lateAfterStopMs is how long after a router was told to stop a request must have
// been sent for the router to be blamed for taking it and giving it up.
const lateAfterStopMs = 3000

// recordPlannedExit reports the requests that a router gives up by a planned exit
// although it sent them to a runner long after it was told to stop, and their
// clients still wait.
func (c *Checker) recordPlannedExit(n *node) {
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		p := n.requests[id]
		afterMs := p.client.sentMs - n.stopStartedMs
		isAwaited := c.sim.NowMs() < p.client.sentMs+p.client.timeoutMs
		if afterMs > lateAfterStopMs && isAwaited && p.attempt != nil && !n.isFrozen {
			c.report(RuleLost, c.sim.NowMs(), "%s was sent to %s %d ms after that was told to stop, and is given up", p.client.id, n.name, afterMs)
		}
	}
}

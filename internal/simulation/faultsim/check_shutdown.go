package faultsim

import (
	"maps"
	"slices"
)

// acceptAfterStopMs is how long after the start of its graceful shutdown a router may accept
// requests that it then cannot complete. Accepting later ones violates the LOST rule.
const acceptAfterStopMs = 3000

// recordPlannedExit reports requests that a router abandons by its planned exit. It reports a
// request only if its client sent it more than acceptAfterStopMs after the start of the shutdown
// and still waits, and the router sent it to a runner. Nothing is reported for a frozen router.
func (c *Checker) recordPlannedExit(n *node) {
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		p := n.requests[id]
		afterMs := p.client.sentMs - n.stopStartedMs
		isAwaited := c.sim.NowMs() < p.client.sentMs+p.client.timeoutMs
		if afterMs > acceptAfterStopMs && isAwaited && p.attempt != nil && !n.isFrozen {
			c.report(RuleLost, c.sim.NowMs(), "%s was sent to %s %d ms after that router began its graceful shutdown, and was abandoned", p.client.id, n.name, afterMs)
		}
	}
}

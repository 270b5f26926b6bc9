package faultsim

// storeSlack is how many loads above the ceiling's rate the rule allows in any
// window.
const storeSlack = 3

// recordOrder checks an order that a runner received: at any time one
// controller sends orders, and fencing tokens never go back. For Bounds.ThawMs
// after a thaw or the end of network faults, late orders are allowed for.
func (c *Checker) recordOrder(sender, runner, holder string, fence uint64) {
	sim, nowMs := c.sim, c.sim.NowMs()
	if nowMs-sim.healedAtMs <= sim.Bounds.ThawMs {
		return
	}
	if thawedMs, isKnown := sim.thawedAtMs[sender]; isKnown && nowMs-thawedMs <= sim.Bounds.ThawMs {
		return
	}
	if known, isKnown := c.fenceHolder[fence]; isKnown && known != holder {
		c.report(RuleOne, nowMs, "%s and %s order under fencing token %d", known, holder, fence)
	}
	c.fenceHolder[fence] = holder
	last, hasLast := c.lastOrders[runner]
	if hasLast && last.holder != holder && nowMs-last.atMs < sim.Bounds.LeaseMs {
		c.report(RuleOne, nowMs, "%s orders %s %d ms after %s", holder, runner, nowMs-last.atMs, last.holder)
	}
	if hasLast && fence < last.fence && !sim.Bounds.Fenced {
		c.report(RuleOne, nowMs, "%s gets fencing token %d of %s after %d", runner, fence, holder, last.fence)
	}
	c.lastOrders[runner] = orderRecord{nowMs, holder, max(fence, last.fence)}
}

// exceedsCapacity says whether a runner is ordered to load more than it can
// hold.
func (c *Checker) exceedsCapacity(runner, loaded string, mb float64, adapters int) bool {
	if mb <= capacityMb && adapters <= adapterCapacity {
		return false
	}
	c.report(RuleLimit, c.sim.NowMs(), "%s is ordered to hold %.0f MB and %d adapters with %s", runner, mb, adapters, loaded)
	return true
}

// recordLoad notes that a load from the weight store began, and checks the rate
// of loads while the core and the links have been undisturbed.
func (c *Checker) recordLoad(runner, model string) {
	sim, nowMs := c.sim, c.sim.NowMs()
	areLinksStable := nowMs-sim.connectivity.linkFaultMs >= sim.Bounds.InTouchMs
	if !sim.connectivity.isCoreStableSince(nowMs) || !areLinksStable {
		return
	}
	c.loadsMs = append(c.loadsMs, nowMs)
	within := 0
	for _, atMs := range c.loadsMs {
		if atMs > nowMs-sim.Bounds.OriginWindowMs {
			within++
		}
	}
	windowSeconds := float64(sim.Bounds.OriginWindowMs) / 1000
	if most := sim.storeLoadsPerSec()*windowSeconds*sim.Bounds.OriginOver + storeSlack; float64(within) > most {
		c.report(RuleCeiling, nowMs, "%d loads within the window, %s at %s the last", within, model, runner)
	}
}

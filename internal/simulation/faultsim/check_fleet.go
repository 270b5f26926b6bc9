package faultsim

// extraStoreLoads is how many loads in a window the check of the CEILING rule allows beyond
// Bounds.OriginOver times the rate limit of the weight store.
const extraStoreLoads = 3

// recordOrder checks an order that a runner received: only one controller at a time sends orders,
// and fencing tokens never decrease. A decrease is not reported if runners check fencing tokens,
// because they reject such orders. For Bounds.ThawMs after the sender resumed from a freeze or the
// network healed, nothing is checked, because late orders are allowed then.
func (c *Checker) recordOrder(sender, runner, holder string, fence uint64) {
	sim, nowMs := c.sim, c.sim.NowMs()
	if nowMs-sim.healedAtMs <= sim.Bounds.ThawMs {
		return
	}
	if resumedMs, isKnown := sim.resumedAtMs[sender]; isKnown && nowMs-resumedMs <= sim.Bounds.ThawMs {
		return
	}
	if known, isKnown := c.fenceHolder[fence]; isKnown && known != holder {
		c.report(RuleOne, nowMs, "%s and %s send orders with the same fencing token %d", known, holder, fence)
	}
	c.fenceHolder[fence] = holder
	last, hasLast := c.lastOrders[runner]
	if hasLast && last.holder != holder && nowMs-last.atMs < sim.Bounds.LeaseMs {
		c.report(RuleOne, nowMs, "%s sends an order to %s %d ms after an order of %s", holder, runner, nowMs-last.atMs, last.holder)
	}
	if hasLast && fence < last.fence && !sim.Bounds.Fenced {
		c.report(RuleOne, nowMs, "%s gets fencing token %d from %s after token %d", runner, fence, holder, last.fence)
	}
	c.lastOrders[runner] = orderRecord{nowMs, holder, max(fence, last.fence)}
}

// exceedsCapacity reports whether an order to load exceeds the capacity of a runner, and records a
// violation if so.
func (c *Checker) exceedsCapacity(runner, loaded string, mb float64, adapters int) bool {
	if mb <= capacityMb && adapters <= adapterCapacity {
		return false
	}
	c.report(RuleLimit, c.sim.NowMs(), "%s would exceed its capacity with %.0f MB and %d adapters after an order to load %s", runner, mb, adapters, loaded)
	return true
}

// recordLoad records that a load from the weight store began, and checks the rate of loads. It
// ignores loads shortly after a fault of the controllers or of a link.
func (c *Checker) recordLoad(runner, model string) {
	sim, nowMs := c.sim, c.sim.NowMs()
	areLinksStable := nowMs-sim.connectivity.lastLinkFaultMs >= sim.Bounds.InTouchMs
	if !sim.connectivity.areControllersStableSince(nowMs) || !areLinksStable {
		return
	}
	c.loadTimesMs = append(c.loadTimesMs, nowMs)
	inWindow := 0
	for _, atMs := range c.loadTimesMs {
		if atMs > nowMs-sim.Bounds.OriginWindowMs {
			inWindow++
		}
	}
	windowSeconds := float64(sim.Bounds.OriginWindowMs) / 1000
	if limit := sim.storeLoadsPerSec()*windowSeconds*sim.Bounds.OriginOver + extraStoreLoads; float64(inWindow) > limit {
		c.report(RuleCeiling, nowMs, "%d loads from the weight store in one rate-limit window, the last one of %s by %s", inWindow, model, runner)
	}
}

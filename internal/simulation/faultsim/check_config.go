package faultsim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/controller"
)

// checkConfigVersion checks the version of the configuration by which a router
// handled a request.
func (c *Checker) checkConfigVersion(p *proxiedRequest, version uint64) {
	nowMs := c.sim.NowMs()
	if _, isKnown := c.configs.firstUsedMs[version]; !isKnown {
		c.configs.firstUsedMs[version] = nowMs
	}
	if reason, isRefused := c.configs.refusedReason[version]; isRefused {
		c.report(RuleConfig, nowMs, "%s uses version %d, which was answered with %q", p.router.name, version, reason)
	}
	for _, newer := range slices.Sorted(maps.Keys(c.configs.acceptedMs)) {
		if newer > version {
			c.checkNotOutdated(p, version, newer)
		}
	}
	c.checkNotBackwards(p, version)
}

// checkNotOutdated checks that a router no longer uses a version when a newer
// one was accepted long enough ago: Bounds.ApplyByMs for a connected router, and
// Bounds.StretchMs more for an undisturbed one if the controllers have had a
// majority since the acceptance.
func (c *Checker) checkNotOutdated(p *proxiedRequest, version, newer uint64) {
	sim, router, sentMs := c.sim, p.router.name, p.client.sentMs
	acceptedMs := c.configs.acceptedMs[newer]
	ageMs := sentMs - acceptedMs
	isLateConnected := ageMs > sim.Bounds.ApplyByMs && sim.connectivity.isConnectedSince(router, sentMs)
	hasMajority := sim.connectivity.noMajorityMs < acceptedMs
	isLateUndisturbed := ageMs > sim.Bounds.ApplyByMs+sim.Bounds.StretchMs &&
		sim.connectivity.isUndisturbedSince(router, sentMs) && hasMajority
	if isLateConnected || isLateUndisturbed {
		c.report(RuleConfig, sim.NowMs(), "%s handles %s, sent %d ms after %d was accepted, by version %d",
			router, p.client.id, ageMs, newer, version)
	}
}

// checkNotBackwards checks that a router does not return to an older version.
func (c *Checker) checkNotBackwards(p *proxiedRequest, version uint64) {
	router, isKnown := incarnationName(p.router), false
	for _, use := range c.configs.usedBy[router] {
		isKnown = isKnown || use.version == version
		if version < use.version && p.client.sentMs > use.atMs+c.sim.Bounds.GoBackMs {
			c.report(RuleConfig, c.sim.NowMs(), "%s returns to version %d after %d", router, version, use.version)
		}
	}
	if !isKnown {
		c.configs.usedBy[router] = append(c.configs.usedBy[router], configUse{version, c.sim.NowMs()})
	}
}

// checkRouteExists checks a request that was answered as unknown: the route of
// the newest version must exist once that was accepted long enough ago.
func (c *Checker) checkRouteExists(r *clientRequest) {
	newest := c.sim.operators.submittedVersion
	acceptedMs, isAccepted := c.configs.acceptedMs[newest]
	isDue := isAccepted && r.sentMs > acceptedMs+c.sim.Bounds.ApplyByMs
	if isDue && r.path == onlyPath(newest) && c.sim.connectivity.isConnectedSince(r.router, r.sentMs) {
		c.report(RuleConfig, c.sim.NowMs(), "%s lacks the route of version %d, %d ms after it was accepted",
			r.router, newest, r.sentMs-acceptedMs)
	}
}

// recordAccepted notes that an operator was notified that a version is accepted.
func (c *Checker) recordAccepted(version, baseVersion uint64) {
	if _, isKnown := c.configs.acceptedMs[version]; isKnown {
		return
	}
	c.configs.acceptedMs[version] = c.sim.NowMs()
	if reason, isRefused := c.configs.refusedReason[version]; isRefused {
		c.report(RuleConfig, c.sim.NowMs(), "version %d is accepted after it was answered with %q", version, reason)
	}
	if rival, isKnown := c.configs.successorOf[baseVersion]; isKnown {
		c.report(RuleConfig, c.sim.NowMs(), "versions %d and %d based on %d are both accepted", rival, version, baseVersion)
	}
	c.configs.successorOf[baseVersion] = version
}

// recordRefused notes that an operator was notified that a version has no effect.
func (c *Checker) recordRefused(version uint64, reason string) {
	c.configs.refusedReason[version] = reason
	if _, isAccepted := c.configs.acceptedMs[version]; isAccepted {
		c.report(RuleConfig, c.sim.NowMs(), "version %d was accepted and is then answered with %q", version, reason)
	}
	if atMs, isUsed := c.configs.firstUsedMs[version]; isUsed {
		c.report(RuleConfig, c.sim.NowMs(), "version %d is answered with %q and was in force at %d ms", version, reason, atMs)
	}
}

// checkReadBack checks a configuration that an operator read back.
func (c *Checker) checkReadBack(read *controller.ConfigText, newestAccepted uint64, submittedText string) {
	nowMs := c.sim.NowMs()
	if read.Version < newestAccepted {
		c.report(RuleConfig, nowMs, "version %d is read back and %d was accepted", read.Version, newestAccepted)
	}
	if reason, isRefused := c.configs.refusedReason[read.Version]; isRefused {
		c.report(RuleConfig, nowMs, "version %d is read back and was answered with %q", read.Version, reason)
	}
	if submittedText != "" && submittedText != read.Text {
		c.report(RuleConfig, nowMs, "version %d is read back with another text", read.Version)
	}
}

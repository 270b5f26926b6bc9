package faultsim

import (
	"maps"
	"slices"

	"myrtlewinch/internal/controller"
)

// checkConfigVersion checks the version of the configuration that a router used to route a
// request.
func (c *Checker) checkConfigVersion(p *proxiedRequest, version uint64) {
	nowMs := c.sim.NowMs()
	if _, isKnown := c.configs.firstUsedMs[version]; !isKnown {
		c.configs.firstUsedMs[version] = nowMs
	}
	if reason, isRejected := c.configs.rejectionReason[version]; isRejected {
		c.report(RuleConfig, nowMs, "%s uses version %d, which was rejected as %q", p.router.name, version, reason)
	}
	for _, newer := range slices.Sorted(maps.Keys(c.configs.acceptedMs)) {
		if newer > version {
			c.checkNotOutdated(p, version, newer)
		}
	}
	c.checkNotBackwards(p, version)
}

// checkNotOutdated checks that a router does not use a version for a request that was sent more
// than Bounds.ApplyByMs after a newer version was accepted. The limit is Bounds.StretchMs longer
// if the controllers had faults but have had a majority since the acceptance. Nothing is checked
// for a router with faults.
func (c *Checker) checkNotOutdated(p *proxiedRequest, version, newer uint64) {
	sim, router, sentMs := c.sim, p.router.name, p.client.sentMs
	acceptedMs := c.configs.acceptedMs[newer]
	ageMs := sentMs - acceptedMs
	isLateConnected := ageMs > sim.Bounds.ApplyByMs && sim.connectivity.isConnectedSince(router, sentMs)
	hasMajority := sim.connectivity.lastNoMajorityMs < acceptedMs
	isLateFaultFree := ageMs > sim.Bounds.ApplyByMs+sim.Bounds.StretchMs &&
		sim.connectivity.isFaultFreeSince(router, sentMs) && hasMajority
	if isLateConnected || isLateFaultFree {
		c.report(RuleConfig, sim.NowMs(), "%s routes %s, sent %d ms after version %d was accepted, by the older version %d",
			router, p.client.id, ageMs, newer, version)
	}
}

// checkNotBackwards checks that a router does not return to an older version more than
// Bounds.GoBackMs after it first used a newer one.
func (c *Checker) checkNotBackwards(p *proxiedRequest, version uint64) {
	router, isKnown := incarnationName(p.router), false
	for _, use := range c.configs.usedBy[router] {
		isKnown = isKnown || use.version == version
		if version < use.version && p.client.sentMs > use.atMs+c.sim.Bounds.GoBackMs {
			c.report(RuleConfig, c.sim.NowMs(), "%s returns to version %d after it used version %d", router, version, use.version)
		}
	}
	if !isKnown {
		c.configs.usedBy[router] = append(c.configs.usedBy[router], configUse{version, c.sim.NowMs()})
	}
}

// checkRouteExists checks a request that was rejected as unknown: a connected router must have the
// route of the newest version once that was accepted more than Bounds.ApplyByMs ago.
func (c *Checker) checkRouteExists(r *clientRequest) {
	newest := c.sim.operators.submittedVersion
	acceptedMs, isAccepted := c.configs.acceptedMs[newest]
	isDue := isAccepted && r.sentMs > acceptedMs+c.sim.Bounds.ApplyByMs
	if isDue && r.path == onlyPath(newest) && c.sim.connectivity.isConnectedSince(r.router, r.sentMs) {
		c.report(RuleConfig, c.sim.NowMs(), "%s lacks the route of version %d, %d ms after it was accepted",
			r.router, newest, r.sentMs-acceptedMs)
	}
}

// recordConfigAccepted records that an operator got the response that a version was accepted.
func (c *Checker) recordConfigAccepted(version, baseVersion uint64) {
	if _, isKnown := c.configs.acceptedMs[version]; isKnown {
		return
	}
	c.configs.acceptedMs[version] = c.sim.NowMs()
	if reason, isRejected := c.configs.rejectionReason[version]; isRejected {
		c.report(RuleConfig, c.sim.NowMs(), "version %d is accepted after it was rejected as %q", version, reason)
	}
	if other, isKnown := c.configs.successorOf[baseVersion]; isKnown {
		c.report(RuleConfig, c.sim.NowMs(), "versions %d and %d, both based on version %d, are accepted", other, version, baseVersion)
	}
	c.configs.successorOf[baseVersion] = version
}

// recordConfigRejected records that an operator got a rejection which means that a version has no
// effect.
func (c *Checker) recordConfigRejected(version uint64, reason string) {
	c.configs.rejectionReason[version] = reason
	if _, isAccepted := c.configs.acceptedMs[version]; isAccepted {
		c.report(RuleConfig, c.sim.NowMs(), "version %d was accepted and is then rejected as %q", version, reason)
	}
	if atMs, isUsed := c.configs.firstUsedMs[version]; isUsed {
		c.report(RuleConfig, c.sim.NowMs(), "version %d is rejected as %q although a router used it at %d ms", version, reason, atMs)
	}
}

// checkReadBack checks a configuration that an operator read back.
func (c *Checker) checkReadBack(read *controller.ConfigText, newestAccepted uint64, submittedText string) {
	nowMs := c.sim.NowMs()
	if read.Version < newestAccepted {
		c.report(RuleConfig, nowMs, "version %d is read back although version %d was accepted", read.Version, newestAccepted)
	}
	if reason, isRejected := c.configs.rejectionReason[read.Version]; isRejected {
		c.report(RuleConfig, nowMs, "version %d is read back although it was rejected as %q", read.Version, reason)
	}
	if submittedText != "" && submittedText != read.Text {
		c.report(RuleConfig, nowMs, "version %d is read back with another text than was submitted", read.Version)
	}
}

package faultsim

import (
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// maxLookUps bounds the look-ups of a request. A request that waits until a runner holds its model
// may be looked up a second time, at another controller.
const maxLookUps = 2

// recordRequest records when a client sent a request, for each service that it may be routed to.
func (c *Checker) recordRequest(r *clientRequest) {
	for _, service := range r.possibleServices() {
		c.requestTimesMs[service] = append(c.requestTimesMs[service], c.sim.NowMs())
	}
}

// possibleServices returns the services to which the request is routed in some version of the
// configuration.
func (r *clientRequest) possibleServices() []string {
	switch {
	case r.isStream():
		return []string{modelService}
	case r.path == markPath || r.isOfOneVersion():
		return []string{plainService, otherService}
	}
	return []string{plainService}
}

// isOfOneVersion reports whether only one version of the configuration has a route for the request.
func (r *clientRequest) isOfOneVersion() bool { return strings.HasPrefix(r.path, "/only-") }

// recordSend records that a router wrote a request to a runner.
func (c *Checker) recordSend(p *proxiedRequest) {
	router := incarnationName(p.router)
	if c.sent[router] == nil {
		c.sent[router] = map[string]bool{}
	}
	c.sent[router][p.client.id] = true
}

// recordArrival records that a request reached a runner, whether it runs there or not. It checks
// that a runner gets no requests after its drain time, which begins when the runner is listed as
// draining and the router, the controllers and the links have been without faults for
// Bounds.InTouchMs.
func (c *Checker) recordArrival(p *proxiedRequest, spec proxy.StartAttempt, r *runner) {
	sim, id, runnerID := c.sim, p.client.id, r.entry.ID
	isRetry := c.requests.reachedRunner[id]
	c.requests.reachedRunner[id] = true
	c.arrivals[r.entry.Service] = append(c.arrivals[r.entry.Service], arrival{sim.NowMs(), isRetry})
	listedMs, isDraining := c.listedDrainingMs[runnerID]
	if !isDraining || runnerID != spec.Params.Runner {
		return
	}
	linksStableFromMs := sim.connectivity.lastLinkFaultMs + sim.Bounds.InTouchMs
	fromMs := max(listedMs, sim.connectivity.connectedFromMs(p.router.name), linksStableFromMs)
	if sim.NowMs()-fromMs > sim.Bounds.DrainMs {
		c.report(RuleDrain, sim.NowMs(), "%s reached %s %d ms after the start of its drain time", id, runnerID, sim.NowMs()-fromMs)
	}
}

// recordListedDraining records when the runner list first showed a runner as draining.
func (c *Checker) recordListedDraining(runnerID string) {
	if _, isKnown := c.listedDrainingMs[runnerID]; !isKnown {
		c.listedDrainingMs[runnerID] = c.sim.NowMs()
	}
}

// recordStart records that a runner began to run a request, and checks that it may.
func (c *Checker) recordStart(p *proxiedRequest, spec proxy.StartAttempt, r *runner) {
	nowMs, id, route := c.sim.NowMs(), p.client.id, spec.Route
	c.Runs++
	c.requests.runs[id]++
	if c.requests.runs[id] > 1 && !route.Retryable() {
		c.report(RuleTwice, nowMs, "%s (%s) runs a second time, at %s", id, route.Name, r.entry.ID)
	}
	if kind, isRejected := c.requests.rejected[id]; isRejected && !route.Retryable() {
		c.report(RuleRefused, nowMs, "%s runs at %s after it was rejected as %q", id, r.entry.ID, kind)
	}
	if route.Split[0].Service != r.entry.Service {
		c.report(RuleRoute, nowMs, "%s of route %s runs at a runner of service %s", id, route.Name, r.entry.Service)
	}
	if version := routeVersion(route.Name); version > 0 {
		c.checkConfigVersion(p, version)
	}
}

// recordRequestRejected records that a router rejected a request, and checks that this was allowed.
func (c *Checker) recordRequestRejected(r *clientRequest, kind errkind.Kind) {
	if kind.Response().NotExecuted {
		c.requests.rejected[r.id] = kind
		mayRunOnce := r.path == unsafePath || r.path == oncePath
		if mayRunOnce && c.requests.runs[r.id] > 0 {
			c.report(RuleRefused, c.sim.NowMs(), "%s (%s) was rejected as %q after it ran", r.id, r.path, kind)
		}
	}
	switch kind {
	case errkind.UnknownPage, errkind.UnknownModel, errkind.UnknownAdapter:
		c.checkUnknown(r, kind)
	}
}

// checkUnknown checks a request that was rejected as unknown. That is allowed only if a single
// version of the configuration has the route, because the next version may have removed it.
func (c *Checker) checkUnknown(r *clientRequest, kind errkind.Kind) {
	if !r.isOfOneVersion() {
		c.report(RuleDenied, c.sim.NowMs(), "%s (%s) is rejected as %q although every version of the configuration can route it", r.id, r.path, kind)
		return
	}
	c.checkRouteExists(r)
}

// recordLookUp records that a router looked up a request, and checks how often it did.
func (c *Checker) recordLookUp(router *node, lookUp protocol.IndexLookUp) {
	name := incarnationName(router)
	if c.lookUps[name] == nil {
		c.lookUps[name] = map[uint64]int{}
	}
	c.lookUps[name][lookUp.ID]++
	count := c.lookUps[name][lookUp.ID]
	if count > maxLookUps || count > 1 && !lookUp.Waits {
		c.report(RuleLookUp, c.sim.NowMs(), "%s: request %d was looked up %d times", name, lookUp.ID, count)
	}
}

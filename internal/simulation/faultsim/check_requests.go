package faultsim

import (
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// maxLookUps bounds the look-ups of a request: one that waits until a runner
// holds its model may be looked up at a second controller.
const maxLookUps = 2

// recordRequest notes that a client sent a request, for the services that it
// may go to.
func (c *Checker) recordRequest(r *clientRequest) {
	for _, service := range r.possibleServices() {
		c.requestsMs[service] = append(c.requestsMs[service], c.sim.NowMs())
	}
}

// possibleServices lists the services that some version of the configuration
// may route the request to.
func (r *clientRequest) possibleServices() []string {
	switch {
	case r.isStream():
		return []string{modelService}
	case r.path == markPath || r.isOfOneVersion():
		return []string{plainService, otherService}
	}
	return []string{plainService}
}

// isOfOneVersion says whether only one version of the configuration routes the
// request.
func (r *clientRequest) isOfOneVersion() bool { return strings.HasPrefix(r.path, "/only-") }

// recordSend notes that a router wrote a request to a runner.
func (c *Checker) recordSend(p *proxiedRequest) {
	router := incarnationName(p.router)
	if c.sent[router] == nil {
		c.sent[router] = map[string]bool{}
	}
	c.sent[router][p.client.id] = true
}

// recordArrival notes that a request reached a runner, whether it runs there or
// not. A runner that is listed as draining gets none after the drain time.
func (c *Checker) recordArrival(p *proxiedRequest, send proxy.StartAttempt, r *runner) {
	sim, id, runnerID := c.sim, p.client.id, r.entry.ID
	isRetry := c.requests.reachedRunner[id]
	c.requests.reachedRunner[id] = true
	c.arrivals[r.entry.Service] = append(c.arrivals[r.entry.Service], arrival{sim.NowMs(), isRetry})
	listedMs, isDraining := c.listedDrainingMs[runnerID]
	if !isDraining || runnerID != send.Params.Runner {
		return
	}
	linksWorkFromMs := sim.connectivity.linkFaultMs + sim.Bounds.InTouchMs
	fromMs := max(listedMs, sim.connectivity.connectedFromMs(p.router.name), linksWorkFromMs)
	if sim.NowMs()-fromMs > sim.Bounds.DrainMs {
		c.report(RuleDrain, sim.NowMs(), "%s reached %s %d ms after it was listed as draining", id, runnerID, sim.NowMs()-fromMs)
	}
}

// recordListedDraining notes that the list showed a runner as draining.
func (c *Checker) recordListedDraining(runnerID string) {
	if _, isKnown := c.listedDrainingMs[runnerID]; !isKnown {
		c.listedDrainingMs[runnerID] = c.sim.NowMs()
	}
}

// recordStart notes that a runner began to run a request.
func (c *Checker) recordStart(p *proxiedRequest, send proxy.StartAttempt, r *runner) {
	nowMs, id, route := c.sim.NowMs(), p.client.id, send.Route
	c.Runs++
	c.requests.runs[id]++
	if c.requests.runs[id] > 1 && !route.Retryable() {
		c.report(RuleTwice, nowMs, "%s (%s) runs again, on %s", id, route.Name, r.entry.ID)
	}
	if kind, isRejected := c.requests.rejected[id]; isRejected && !route.Retryable() {
		c.report(RuleRefused, nowMs, "%s runs on %s after it was rejected as %q", id, r.entry.ID, kind)
	}
	if route.Split[0].Service != r.entry.Service {
		c.report(RuleRoute, nowMs, "%s of route %s runs at %s", id, route.Name, r.entry.Service)
	}
	if version := versionOf(route.Name); version > 0 {
		c.checkConfigVersion(p, version)
	}
}

// recordRejection notes an error that a router answered itself.
func (c *Checker) recordRejection(r *clientRequest, kind errkind.Kind) {
	if kind.Response().NotExecuted {
		c.requests.rejected[r.id] = kind
		mayRunOnce := r.path == unsafePath || r.path == oncePath
		if mayRunOnce && c.requests.runs[r.id] > 0 {
			c.report(RuleRefused, c.sim.NowMs(), "%s (%s) has run and was rejected as %q", r.id, r.path, kind)
		}
	}
	switch kind {
	case errkind.UnknownPage, errkind.UnknownModel, errkind.UnknownAdapter:
		c.checkUnknown(r, kind)
	}
}

// checkUnknown checks that a request that is answered as unknown is for a route
// of one version only, which the next version may have removed.
func (c *Checker) checkUnknown(r *clientRequest, kind errkind.Kind) {
	if !r.isOfOneVersion() {
		c.report(RuleDenied, c.sim.NowMs(), "%s (%s) is answered with %q", r.id, r.path, kind)
		return
	}
	c.checkRouteExists(r)
}

// recordLookUp notes that a router looked a request up.
func (c *Checker) recordLookUp(router *node, lookUp protocol.IndexLookUp) {
	name := incarnationName(router)
	if c.lookUps[name] == nil {
		c.lookUps[name] = map[uint64]int{}
	}
	c.lookUps[name][lookUp.ID]++
	count := c.lookUps[name][lookUp.ID]
	if count > maxLookUps || count > 1 && !lookUp.Waits {
		c.report(RuleLookUp, c.sim.NowMs(), "%s looks its request %d up %d times", name, lookUp.ID, count)
	}
}

package faultsim

import (
	"fmt"
	"sort"
)

// checkBudget checks the retries that arrived at a service in every window
// against the requests of that window and of those shortly before, since a
// retry may come later than its request.
func (c *Checker) checkBudget(service string) (violation Violation, isViolated bool) {
	bounds := c.sim.Bounds
	windowMs := bounds.RetryWindowMs
	var retriesMs []int64
	for _, a := range c.arrivals[service] {
		if !a.isRetry {
			continue
		}
		retriesMs = append(retriesMs, a.atMs)
		for a.atMs-retriesMs[0] >= windowMs {
			retriesMs = retriesMs[1:]
		}
		requests := max(
			c.countRequests(service, a.atMs-windowMs, a.atMs),
			c.countRequests(service, a.atMs-windowMs*3/2, a.atMs-windowMs/2),
			c.countRequests(service, a.atMs-2*windowMs, a.atMs-windowMs),
		)
		if float64(len(retriesMs)) > bounds.RetryRatio*float64(requests)+float64(bounds.ExtraTries) {
			message := fmt.Sprintf("%s: %d retries for %d requests", service, len(retriesMs), requests)
			return Violation{RuleBudget, a.atMs, message}, true
		}
	}
	return Violation{}, false
}

// countRequests counts the requests for a service after a time, up to another.
func (c *Checker) countRequests(service string, afterMs, untilMs int64) int {
	requestsMs := c.requestsMs[service]
	until := func(atMs int64) int {
		return sort.Search(len(requestsMs), func(i int) bool { return requestsMs[i] > atMs })
	}
	return until(untilMs) - until(afterMs)
}

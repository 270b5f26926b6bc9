package faultsim

import (
	"fmt"
	"sort"
)

// checkBudget checks for every window whether the retries that arrived at a service stay within the
// retry budget. A retry may arrive in a later window than its request. So the budget is computed
// from the largest number of requests in this window and in the windows that began half a window
// and a whole window earlier.
func (c *Checker) checkBudget(service string) (violation Violation, isViolated bool) {
	bounds := c.sim.Bounds
	windowMs := bounds.RetryWindowMs
	var retryTimesMs []int64
	for _, a := range c.arrivals[service] {
		if !a.isRetry {
			continue
		}
		retryTimesMs = append(retryTimesMs, a.atMs)
		for a.atMs-retryTimesMs[0] >= windowMs {
			retryTimesMs = retryTimesMs[1:]
		}
		requests := max(
			c.countRequests(service, a.atMs-windowMs, a.atMs),
			c.countRequests(service, a.atMs-windowMs*3/2, a.atMs-windowMs/2),
			c.countRequests(service, a.atMs-2*windowMs, a.atMs-windowMs),
		)
		if float64(len(retryTimesMs)) > bounds.RetryRatio*float64(requests)+float64(bounds.ExtraTries) {
			message := fmt.Sprintf("%s: %d retries for %d requests", service, len(retryTimesMs), requests)
			return Violation{RuleBudget, a.atMs, message}, true
		}
	}
	return Violation{}, false
}

// countRequests returns how many requests that may be routed to a service were sent after afterMs
// and no later than untilMs.
func (c *Checker) countRequests(service string, afterMs, untilMs int64) int {
	requestTimesMs := c.requestTimesMs[service]
	until := func(atMs int64) int {
		return sort.Search(len(requestTimesMs), func(i int) bool { return requestTimesMs[i] > atMs })
	}
	return until(untilMs) - until(afterMs)
}

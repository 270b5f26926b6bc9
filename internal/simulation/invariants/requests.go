package invariants

// requestKey identifies a request: clients choose ids that are unique within a
// service.
type requestKey struct{ service, id string }

// String returns the key as "service/id".
func (k requestKey) String() string { return k.service + "/" + k.id }

// outcome is how a request ended for its client.
type outcome struct {
	kind string
	// notExecuted is true if the client was promised that the request did not run.
	notExecuted bool
}

// submissions records how often a client sent one request and how that ended. The
// client is promised that the request did not run only if all of its submissions
// ended with that promise.
type submissions struct {
	// pending counts the submissions that have not ended.
	pending int
	// maybeExecuted is set once a submission ended without that promise.
	maybeExecuted bool
}

// requestLog records the observations of single requests.
type requestLog struct {
	submissions map[requestKey]*submissions
	outcomes    map[requestKey]outcome
	// executions counts how often each request ran.
	executions map[requestKey]int
}

func newRequestLog() requestLog {
	return requestLog{
		submissions: map[requestKey]*submissions{},
		outcomes:    map[requestKey]outcome{},
		executions:  map[requestKey]int{},
	}
}

// Execution is a request that a runner began to run.
type Execution struct {
	Service, Request string
	Runner, Router   string
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Revision is the revision of the description under which the router sent the
	// request.
	Revision uint64
}

// RequestSubmitted records that a client sent a request; it may send the same
// one several times.
func (c *Checker) RequestSubmitted(service, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{service, id}
	if c.requests.submissions[key] == nil {
		c.requests.submissions[key] = &submissions{}
	}
	c.requests.submissions[key].pending++
	// The first attempt after a client sends a request again is not a retry.
	c.retries.forget(key)
	// A client that sends a rejected request again allows it to run.
	delete(c.requests.outcomes, key)
}

// RequestArrived records that a request reached a runner, whether it ran or not.
func (c *Checker) RequestArrived(atMs int64, service, id, runner, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learnedMs, leaving := c.runners.leavingLearnedMs[incarnationKey{runner, incarnation}]; leaving {
		c.WorstLeavingRunnerMs = max(c.WorstLeavingRunnerMs, atMs-learnedMs)
		if atMs-learnedMs > LeavingGraceMs {
			c.report(RuleSentToLeavingRunner, atMs, "%s reached %s %d ms after a daemon learned that the runner is leaving", id, runner, atMs-learnedMs)
		}
	}
	c.retries.arrived.add(atMs, requestKey{service, id})
}

// RequestSent records that a router wrote a request to a runner's connection.
func (c *Checker) RequestSent(atMs int64, router, service, id string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.sent.add(atMs, requestKey{service, id})
	if newest := c.descriptions.newestRevision[router]; revision < newest {
		c.report(RuleRevisionRegressed, atMs, "%s sent a request under revision %d after an earlier one ran under revision %d", router, revision, newest)
	}
}

// RequestStarted records that a runner began to run a request.
func (c *Checker) RequestStarted(atMs int64, e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Executions++
	key := requestKey{e.Service, e.Request}
	c.requests.executions[key]++
	if c.requests.executions[key] > 1 && !e.Idempotent {
		c.report(RuleExecutedTwice, atMs, "%s ran again on %s", key, e.Runner)
	}
	if ended := c.requests.outcomes[key]; ended.notExecuted {
		c.report(RuleRejectedButExecuted, atMs, "%s ran on %s after it was rejected with %q", key, e.Runner, ended.kind)
	}
	newest := c.descriptions.newestRevision
	newest[e.Router] = max(newest[e.Router], e.Revision)
	c.markerServed(atMs, e.Service, e.Router, e.Revision)
	c.checkRevisionAge(atMs, key, e.Revision)
}

// RequestEnded records how a request ended for its client. With notExecuted the
// client was promised that it did not run.
func (c *Checker) RequestEnded(atMs int64, service, id, kind string, notExecuted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{service, id}
	if s := c.requests.submissions[key]; s != nil {
		s.pending--
		s.maybeExecuted = s.maybeExecuted || !notExecuted
		if notExecuted && (s.pending > 0 || s.maybeExecuted) {
			return
		}
	}
	c.requests.outcomes[key] = outcome{kind: kind, notExecuted: notExecuted}
	if notExecuted && c.requests.executions[key] > 0 {
		c.report(RuleRejectedButExecuted, atMs, "%s was rejected with %q, but had run", key, kind)
	}
}

// InvalidResponse records that a client got something other than the runner's
// complete response.
func (c *Checker) InvalidResponse(atMs int64, service, id, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(RuleInvalidResponse, atMs, "%s/%s: %s", service, id, detail)
}

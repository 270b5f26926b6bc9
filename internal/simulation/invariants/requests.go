package invariants

// requestKey identifies a request: clients choose ids that are unique within a
// service.
type requestKey struct{ service, id string }

// String gives the key as "service/id".
func (k requestKey) String() string { return k.service + "/" + k.id }

// outcome is how a request ended for its client.
type outcome struct {
	kind string
	// dropped says that the client was promised that the request did not run.
	dropped bool
}

// submissions counts how often a client sent one request. The client knows that
// the request is dropped only once it was told so of each submission.
type submissions struct {
	open int
	// notDropped is set once one of them ended otherwise than dropped.
	notDropped bool
}

// requestLog is what was observed of single requests.
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
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Revision is the description's revision that the router sent it under.
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
	c.requests.submissions[key].open++
	// The attempts that follow from a client's own repeat count as first ones.
	c.retries.forget(key)
	// A client that asks again after a drop wants the request to run.
	delete(c.requests.outcomes, key)
}

// RequestArrived records that a request reached a runner, whether it ran or not.
func (c *Checker) RequestArrived(atMs int64, service, id, runner, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learnedMs, leaving := c.runners.leavingLearnedMs[incarnationKey{runner, incarnation}]; leaving {
		c.WorstLeaverMs = max(c.WorstLeaverMs, atMs-learnedMs)
		if atMs-learnedMs > LeaverGraceMs {
			c.report(RuleLeaver, atMs, "%s reached %s %d ms after it was marked", id, runner, atMs-learnedMs)
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
		c.report(RuleSlipBack, atMs, "%s sent under revision %d after a runner saw %d from it", router, revision, newest)
	}
}

// RequestStarted records that a runner began to run a request.
func (c *Checker) RequestStarted(atMs int64, e Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Executions++
	key := requestKey{e.Service, e.Request}
	c.requests.executions[key]++
	if c.requests.executions[key] > 1 && !e.Repeatable {
		c.report(RuleTwice, atMs, "%s ran again on %s", key, e.Runner)
	}
	if ended := c.requests.outcomes[key]; ended.dropped {
		c.report(RuleDropRan, atMs, "%s ran on %s after it was dropped as %q", key, e.Runner, ended.kind)
	}
	newest := c.descriptions.newestRevision
	newest[e.Router] = max(newest[e.Router], e.Revision)
	c.markerServed(atMs, e.Service, e.Router, e.Revision)
	c.checkInForce(atMs, key, e.Revision)
}

// RequestEnded records how a request ended for its client. With dropped the
// client was promised that it did not run.
func (c *Checker) RequestEnded(atMs int64, service, id, kind string, dropped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{service, id}
	if s := c.requests.submissions[key]; s != nil {
		s.open--
		s.notDropped = s.notDropped || !dropped
		if dropped && (s.open > 0 || s.notDropped) {
			return
		}
	}
	c.requests.outcomes[key] = outcome{kind: kind, dropped: dropped}
	if dropped && c.requests.executions[key] > 0 {
		c.report(RuleDropRan, atMs, "%s was dropped as %q and had run", key, kind)
	}
}

// InvalidAnswer records that a client got what is not the runner's whole answer.
func (c *Checker) InvalidAnswer(atMs int64, service, id, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(RuleTornAnswer, atMs, "%s/%s: %s", service, id, detail)
}

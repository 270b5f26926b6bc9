package faultsim

import (
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// operatorEndpoint is the name of the operators' endpoint in the network.
	operatorEndpoint = "operator"
	// callTimeoutMs is how long an operator waits for a response, and submissionTimeoutMs how long
	// it keeps retrying.
	callTimeoutMs       = 1000
	submissionTimeoutMs = 20_000
	// maxBackoffMs bounds the exponential backoff between retries.
	maxBackoffMs = 1000
	// maxRedirects is how many redirects in a row a call follows.
	maxRedirects = 2
	// connectFailedMs is how long it takes until a connection to a controller that is down fails.
	connectFailedMs = 5
	// maxCallDelayMs bounds the delay of a delayed call; see operators.delayedCallRate.
	maxCallDelayMs = 8000
)

// operatorCall is one call of an operator for a submission or a read.
type operatorCall struct {
	submission *submission
	node       *node
	isFinished bool
	sentMs     int64
	redirects  int
	// record is the history's record of the submission, or nil for a read.
	record *submissionRecord
}

// callController makes one call to a controller, or to a random one if at is nil. It retries at
// random controllers until the submission ends.
func (sim *Simulation) callController(at *node, s *submission) { sim.callAfterRedirects(at, s, 0) }

// callAfterRedirects is callController for a call that was redirected the given number of times.
func (sim *Simulation) callAfterRedirects(at *node, s *submission, redirects int) {
	o := &sim.operators
	if s.isDone {
		return
	}
	if sim.NowMs()-s.sentMs > submissionTimeoutMs {
		o.complete(s, unknownOutcome)
		return
	}
	if at == nil || at.isRemoved {
		at = sim.randomController()
	}
	o.lastCallID++
	id := o.lastCallID
	call := &operatorCall{submission: s, node: at, sentMs: sim.NowMs(), redirects: redirects}
	o.calls[id] = call
	if !s.isRead {
		call.record = o.history.recordSubmission(sim.NowMs(), submissionKey{s.baseVersion, s.isChange, s.text}, s.version)
	}
	if sim.Bugs.AcknowledgeEarly && !s.isRead {
		o.recordResponse(call, controller.ConfigAccepted{Version: s.version})
		o.handleAccepted(s)
	}
	sim.transmit(operatorEndpoint, at.name, func() {
		sim.after(o.drawCallDelayMs(), func() { sim.arriveAtController(call, id) })
	}, nil)
	sim.after(callTimeoutMs, func() { o.retry(call, nil) })
}

// arriveAtController handles the arrival of a call at its controller.
func (sim *Simulation) arriveAtController(call *operatorCall, id uint64) {
	n, s := call.node, call.submission
	switch {
	case !n.isUp:
		sim.after(connectFailedMs, func() { sim.operators.retry(call, nil) })
	case s.isRead:
		sim.deliver(n, n.incarnation, controller.ReadConfig{ID: id})
	default:
		sim.deliver(n, n.incarnation, controller.SubmitConfig{ID: id, BaseVersion: s.baseVersion, Text: s.text, Partial: s.isChange})
	}
}

// drawCallDelayMs draws the additional delay of a call on its way to a controller.
func (o *operators) drawCallDelayMs() int64 {
	if o.delayedCallRate == 0 || o.sim.random.Float64() >= o.delayedCallRate {
		return 0
	}
	return o.sim.random.Int63n(maxCallDelayMs)
}

// retry repeats a call: immediately at the controller that the call was redirected to, or otherwise
// at a random controller after the backoff.
func (o *operators) retry(call *operatorCall, redirectedTo *node) {
	s := call.submission
	if call.isFinished || s.isDone {
		return
	}
	call.isFinished = true
	if s.noRetry {
		o.complete(s, unknownOutcome)
		return
	}
	if redirectedTo != nil && call.redirects < maxRedirects {
		o.sim.after(1, func() { o.sim.callAfterRedirects(redirectedTo, s, call.redirects+1) })
		return
	}
	backoffMs := s.backoffMs
	s.backoffMs = min(maxBackoffMs, 2*backoffMs)
	o.sim.after(backoffMs, func() { o.sim.callController(nil, s) })
}

// handleNodeCrash forgets the calls at a controller that was killed, so that they time out.
func (o *operators) handleNodeCrash(n *node) {
	for id, call := range o.calls {
		if call.node == n {
			delete(o.calls, id)
		}
	}
}

// sendResponse sends a controller's response to the operator that made the call.
func (o *operators) sendResponse(n *node, response protocol.Response) {
	call := o.calls[response.ID]
	if call == nil {
		return
	}
	delete(o.calls, response.ID)
	if o.lostResponseRate > 0 && o.sim.random.Float64() < o.lostResponseRate {
		return
	}
	o.sim.transmit(n.name, operatorEndpoint, func() {
		// A response that is too late for the operator must be correct too.
		o.recordResponse(call, response.Body)
		if !call.submission.isDone {
			o.handleResponse(call, response.Body)
		}
	}, nil)
}

// recordResponse records a definite response in the history: one that says whether the submission
// was accepted, or what configuration is current.
func (o *operators) recordResponse(call *operatorCall, body protocol.Reply) {
	record := responseRecord{sentMs: call.sentMs, atMs: o.sim.NowMs()}
	switch response := body.(type) {
	case controller.ConfigText:
		o.history.recordRead(call.sentMs, o.sim.NowMs(), response.Version, response.Text)
		return
	case controller.ConfigAccepted:
		record.outcome = outcomeAccepted
	case protocol.Rejection:
		switch response.Kind {
		case errkind.StaleBase:
			record.outcome, record.current = outcomeStale, response.Revision
		case errkind.FaultyDescription:
			record.outcome = outcomeInvalid
		default:
			return
		}
	default:
		return
	}
	call.record.responses = append(call.record.responses, record)
}

// handleResponse ends the submission or retries it, depending on the response to a call.
func (o *operators) handleResponse(call *operatorCall, body protocol.Reply) {
	s := call.submission
	switch response := body.(type) {
	case controller.ConfigAccepted:
		if response.Version != s.version {
			o.sim.Checker.report(RuleConfig, o.sim.NowMs(), "version %d was submitted, but the response acknowledges version %d", s.version, response.Version)
		}
		o.handleAccepted(s)
	case controller.ConfigText:
		s.isDone = true
		s.readResult = &response
	case protocol.Rejection:
		o.handleRejection(call, response)
	}
}

func (o *operators) handleRejection(call *operatorCall, rejection protocol.Rejection) {
	switch rejection.Kind {
	case errkind.NotPrimary:
		o.retry(call, o.sim.redirectTarget(call, rejection.Primary))
	case errkind.StaleBase, errkind.FaultyDescription:
		o.handleFinalRejection(call.submission, rejection)
	default:
		o.retry(call, nil)
	}
}

// redirectTarget returns the controller with the given address for operators. It returns nil if
// there is none, or if that controller sent the redirect.
func (sim *Simulation) redirectTarget(call *operatorCall, address string) *node {
	var target *node
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		if n.address+operatorPort == address && n != call.node {
			target = n
		}
	}
	return target
}

// handleFinalRejection ends a submission whose rejection is final, because its base is stale or it
// is not valid.
func (o *operators) handleFinalRejection(s *submission, rejection protocol.Rejection) {
	if s.mustBeAccepted && !o.isUncertain && s.baseVersion == o.acceptedVersion {
		o.sim.Checker.report(RuleConfig, o.sim.NowMs(), "version %d must be accepted but is rejected: %s %v",
			s.version, rejection.Kind, rejection.Faults)
	}
	if rejection.Kind == errkind.StaleBase {
		o.baseVersion = max(o.baseVersion, rejection.Revision)
	}
	if !s.mayShareVersion {
		o.sim.Checker.recordConfigRejected(s.version, string(rejection.Kind))
	}
	o.complete(s, string(rejection.Kind))
}

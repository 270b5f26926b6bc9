package faultsim

import (
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// operatorEndpoint is the operators' name in the network.
	operatorEndpoint = "operator"
	// callTimeoutMs is how long an operator waits for an answer, and
	// submissionTimeoutMs how long it keeps retrying.
	callTimeoutMs       = 1000
	submissionTimeoutMs = 20_000
	// maxPauseMs bounds the growing pause between retries.
	maxPauseMs = 1000
	// maxRedirects is how many redirects in a row a call follows.
	maxRedirects = 2
	// connectFailedMs is how long it takes to see that a controller is down.
	connectFailedMs = 5
	// maxCallDelayMs bounds how long a delayed call takes; see
	// operators.delayedCallShare.
	maxCallDelayMs = 8000
)

// operatorCall is one call of an operator for a submission or a read.
type operatorCall struct {
	submission *submission
	node       *node
	isFinished bool
	sentMs     int64
	redirects  int
	// record is that of the submission, and nil for a read.
	record *submissionRecord
}

// callController makes one call, and retries elsewhere if it brings nothing.
func (sim *Simulation) callController(at *node, s *submission) { sim.callAfterRedirects(at, s, 0) }

// callAfterRedirects makes one call that follows some redirects.
func (sim *Simulation) callAfterRedirects(at *node, s *submission, redirects int) {
	o := &sim.operators
	if s.isDone {
		return
	}
	if sim.NowMs()-s.sentMs > submissionTimeoutMs {
		o.complete(s, noClearAnswer)
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
		o.recordAnswer(call, controller.ConfigAccepted{Version: s.version})
		o.accept(s)
	}
	sim.transmit(operatorEndpoint, at.name, func() {
		sim.after(o.drawCallDelayMs(), func() { sim.arriveAtController(call, id) })
	}, nil)
	sim.after(callTimeoutMs, func() { o.retry(call, nil) })
}

// arriveAtController is a call reaching its controller.
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

// drawCallDelayMs draws how long a call is delayed on its way.
func (o *operators) drawCallDelayMs() int64 {
	if o.delayedCallShare == 0 || o.sim.random.Float64() >= o.delayedCallShare {
		return 0
	}
	return o.sim.random.Int63n(maxCallDelayMs)
}

// retry goes on at another controller: at once where a call was redirected, or
// after a pause that grows.
func (o *operators) retry(call *operatorCall, redirectedTo *node) {
	s := call.submission
	if call.isFinished || s.isDone {
		return
	}
	call.isFinished = true
	if s.noRetry {
		o.complete(s, noClearAnswer)
		return
	}
	if redirectedTo != nil && call.redirects < maxRedirects {
		o.sim.after(1, func() { o.sim.callAfterRedirects(redirectedTo, s, call.redirects+1) })
		return
	}
	pauseMs := s.pauseMs
	s.pauseMs = min(maxPauseMs, 2*pauseMs)
	o.sim.after(pauseMs, func() { o.sim.callController(nil, s) })
}

// nodeCrashed forgets the calls at a controller that ended; they time out.
func (o *operators) nodeCrashed(n *node) {
	for id, call := range o.calls {
		if call.node == n {
			delete(o.calls, id)
		}
	}
}

// receiveAnswer carries the answer of a controller to its operator.
func (o *operators) receiveAnswer(n *node, answer protocol.Response) {
	call := o.calls[answer.ID]
	if call == nil {
		return
	}
	delete(o.calls, answer.ID)
	if o.lostAnswerShare > 0 && o.sim.random.Float64() < o.lostAnswerShare {
		return
	}
	o.sim.transmit(n.name, operatorEndpoint, func() {
		// An answer that is too late for the operator must be right all the same.
		o.recordAnswer(call, answer.Body)
		if !call.submission.isDone {
			o.handleAnswer(call, answer.Body)
		}
	}, nil)
}

// recordAnswer records a clear answer in the history.
func (o *operators) recordAnswer(call *operatorCall, body protocol.Reply) {
	record := answerRecord{sentMs: call.sentMs, atMs: o.sim.NowMs()}
	switch answer := body.(type) {
	case controller.ConfigText:
		o.history.recordRead(call.sentMs, o.sim.NowMs(), answer.Version, answer.Text)
		return
	case controller.ConfigAccepted:
		record.outcome = outcomeAccepted
	case protocol.Rejection:
		switch answer.Kind {
		case errkind.StaleBase:
			record.outcome, record.current = outcomeStale, answer.Revision
		case errkind.FaultyDescription:
			record.outcome = outcomeInvalid
		default:
			return
		}
	default:
		return
	}
	call.record.answers = append(call.record.answers, record)
}

// handleAnswer lets the operator act on an answer.
func (o *operators) handleAnswer(call *operatorCall, body protocol.Reply) {
	s := call.submission
	switch answer := body.(type) {
	case controller.ConfigAccepted:
		if answer.Version != s.version {
			o.sim.Checker.report(RuleConfig, o.sim.NowMs(), "version %d is acknowledged as %d", s.version, answer.Version)
		}
		o.accept(s)
	case controller.ConfigText:
		s.isDone = true
		s.readResult = &answer
	case protocol.Rejection:
		o.handleRejection(call, answer)
	}
}

func (o *operators) handleRejection(call *operatorCall, rejection protocol.Rejection) {
	switch rejection.Kind {
	case errkind.NotPrimary:
		o.retry(call, o.sim.redirectTarget(call, rejection.Primary))
	case errkind.StaleBase, errkind.FaultyDescription:
		o.handleRefusal(call.submission, rejection)
	default:
		o.retry(call, nil)
	}
}

// redirectTarget finds the controller that a call is redirected to, unless that
// is the one that redirects.
func (sim *Simulation) redirectTarget(call *operatorCall, address string) *node {
	var target *node
	for _, name := range sim.nodeNames(protocol.RoleController) {
		n := sim.nodes[name]
		if n.address+controlPort == address && n != call.node {
			target = n
		}
	}
	return target
}

// handleRefusal ends a submission that has no effect.
func (o *operators) handleRefusal(s *submission, rejection protocol.Rejection) {
	if s.mustBeAccepted && !o.isUncertain && s.baseVersion == o.acceptedVersion {
		o.sim.Checker.report(RuleConfig, o.sim.NowMs(), "version %d must be accepted and is refused: %s %v",
			s.version, rejection.Kind, rejection.Faults)
	}
	if rejection.Kind == errkind.StaleBase {
		o.baseVersion = max(o.baseVersion, rejection.Revision)
	}
	if !s.isRival {
		o.sim.Checker.recordRefused(s.version, string(rejection.Kind))
	}
	o.complete(s, string(rejection.Kind))
}

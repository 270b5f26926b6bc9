package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
)

const (
	// initialBackoffMs is the backoff before an operator's first retry.
	initialBackoffMs = 100
	// unknownOutcome is the outcome of a submission if its operator does not know whether it was
	// accepted.
	unknownOutcome = "no clear answer"
	// acceptedOutcome is the outcome of an accepted submission. A rejected one has the kind of its
	// error as outcome.
	acceptedOutcome = "accepted"
)

// operators submit configurations and changes of them, and read back the current configuration.
type operators struct {
	sim        *Simulation
	lastCallID uint64
	calls      map[uint64]*operatorCall
	// lastVersion is the last version number returned by nextVersion. acceptedVersion is the
	// newest accepted version, submittedVersion the newest submitted version, and baseVersion the
	// version that operators believe to be current.
	lastVersion, acceptedVersion, submittedVersion, baseVersion uint64
	// texts holds the submitted texts by version. An empty text means that the expected text of
	// the version is not known.
	texts map[uint64]string
	// pending holds the pending submissions, and may hold some that have ended.
	pending []*submission
	// isUncertain is true if the outcome of some submission is unknown.
	isUncertain bool
	outcomes    []string
	history     history
	// lostResponseRate is the share of controllers' responses that are lost. delayedCallRate is the
	// share of calls that may arrive long after the operator's timeout.
	lostResponseRate, delayedCallRate float64
}

func newOperators(sim *Simulation) operators {
	return operators{sim: sim, calls: map[uint64]*operatorCall{}, texts: map[uint64]string{}, history: newHistory()}
}

// submission is a configuration or a change that an operator submits, or a read of the
// configuration, with all its retries.
type submission struct {
	baseVersion, version uint64
	text                 string
	// isChange is true if the text is a change of the base version instead of a complete
	// configuration.
	isChange bool
	// mustBeAccepted is true if the system has no reason to reject the submission.
	mustBeAccepted bool
	sentMs         int64
	// backoffMs is the backoff before the next retry.
	backoffMs int64
	isDone    bool
	// isRead is true if the operator only reads the current configuration; readResult is the
	// response.
	isRead     bool
	readResult *controller.ConfigText
	// mayShareVersion is true if another submission may have the same version. The checks by
	// version then do not apply.
	mayShareVersion bool
	// noRetry is true if the operator makes only one call.
	noRetry bool
}

// nextVersion returns a new version number. The numbers increase by random steps.
func (o *operators) nextVersion() uint64 {
	o.lastVersion += 1 + uint64(o.sim.random.Intn(3))
	return o.lastVersion
}

// submitConfig submits a complete configuration.
func (sim *Simulation) submitConfig(to *node) *submission {
	o := &sim.operators
	version := o.nextVersion()
	return sim.submit(to, &submission{
		baseVersion: o.baseVersion, version: version, text: string(encode(sim.newConfig(version))),
		mustBeAccepted: o.baseVersion == o.acceptedVersion,
	})
}

// submitChange submits a change of some routes.
func (sim *Simulation) submitChange(to *node) *submission {
	o := &sim.operators
	if o.baseVersion == 0 {
		return sim.submitConfig(to)
	}
	version := o.nextVersion()
	return sim.submit(to, &submission{
		baseVersion: o.baseVersion, version: version, text: string(encode(newChange(o.baseVersion, version))),
		isChange: true, mustBeAccepted: o.baseVersion == o.acceptedVersion,
	})
}

// submitInvalidConfig submits a configuration that must not be accepted.
func (sim *Simulation) submitInvalidConfig(to *node) {
	o := &sim.operators
	version := o.nextVersion()
	text := string(encode(sim.newConfig(version)))
	switch sim.random.Intn(3) {
	case 0:
		text = strings.Replace(text, `"Service":"plain"`, `"Service":"nowhere"`, 1)
	case 1:
		text = strings.Replace(text, `"GiveUpMs":3000`, `"GiveUpMs":0`, 1)
	default:
		text = text[:len(text)/2]
	}
	sim.submit(to, &submission{baseVersion: o.baseVersion, version: version, text: text})
}

// randomController draws a controller.
func (sim *Simulation) randomController() *node {
	names := sim.nodeNames(protocol.RoleController)
	return sim.nodes[names[sim.random.Intn(len(names))]]
}

// submit begins a submission at a controller.
func (sim *Simulation) submit(to *node, s *submission) *submission {
	o := &sim.operators
	s.sentMs, s.backoffMs = sim.NowMs(), initialBackoffMs
	o.addPending(s)
	o.submittedVersion = max(o.submittedVersion, s.version)
	o.texts[s.version] = s.text
	// The check of the history covers what text a change leads to, and which of two texts with one
	// version was accepted.
	if s.isChange || s.mayShareVersion {
		o.texts[s.version] = ""
	}
	sim.logf("operator submits version %d based on version %d to %s, as a change: %v", s.version, s.baseVersion, to.name, s.isChange)
	sim.callController(to, s)
	if s.mustBeAccepted && !o.isUncertain {
		sim.after(sim.Bounds.AckMs, func() { sim.checkAcknowledged(s) })
	}
	return s
}

// addPending adds a pending submission. Of several pending submissions only one can be accepted and
// it is not known which, so addPending clears mustBeAccepted for all of them.
func (o *operators) addPending(s *submission) {
	o.pending = slices.DeleteFunc(append(o.pending, s), func(s *submission) bool { return s.isDone })
	if len(o.pending) < 2 {
		return
	}
	for _, other := range o.pending {
		other.mustBeAccepted = false
	}
}

// checkAcknowledged checks that a submission that must be accepted has ended by now, unless the
// controllers or the links had a fault.
func (sim *Simulation) checkAcknowledged(s *submission) {
	s.mustBeAccepted = s.mustBeAccepted && !sim.operators.isUncertain
	if !s.mustBeAccepted || s.isDone {
		return
	}
	areLinksStable := sim.NowMs()-sim.connectivity.lastLinkFaultMs >= sim.Bounds.AckMs+sim.Bounds.InTouchMs
	if areLinksStable && sim.connectivity.areControllersStableSince(s.sentMs) {
		sim.Checker.report(RuleAck, sim.NowMs(), "version %d is not acknowledged in time", s.version)
	}
}

// handleAccepted ends a submission that was accepted.
func (o *operators) handleAccepted(s *submission) {
	if s.isDone {
		return
	}
	if !s.mayShareVersion {
		o.sim.Checker.recordConfigAccepted(s.version, s.baseVersion)
	}
	o.acceptedVersion = max(o.acceptedVersion, s.version)
	o.baseVersion = max(o.baseVersion, s.version)
	o.complete(s, acceptedOutcome)
}

// complete ends a submission or a read, and records the outcome of a submission.
func (o *operators) complete(s *submission, outcome string) {
	if s.isDone {
		return
	}
	s.isDone = true
	if s.isRead {
		return
	}
	o.isUncertain = o.isUncertain || outcome == unknownOutcome
	o.outcomes = append(o.outcomes, fmt.Sprintf("%d: %s", s.version, outcome))
	o.sim.logf("operator: version %d: %s", s.version, outcome)
}

// readBack reads the current configuration from a controller, or from a random one if it is nil.
func (sim *Simulation) readBack(from *node) *submission {
	read := &submission{isRead: true, sentMs: sim.NowMs(), backoffMs: initialBackoffMs}
	sim.callController(from, read)
	return read
}

// CheckConfig reads back the current configuration several times. It must have the text that was
// submitted, must not be older than the newest accepted version, and must not have been rejected.
func (sim *Simulation) CheckConfig() {
	const reads, waitSteps, waitStepMs = 3, 60, 100
	o := &sim.operators
	for range reads {
		read := sim.readBack(nil)
		sim.runUntil(waitSteps, waitStepMs, func() bool { return read.isDone })
		read.isDone = true
		if read.readResult == nil {
			sim.Checker.report(RuleConfig, sim.NowMs(), "reading back the configuration got no response")
			return
		}
		sim.Checker.checkReadBack(read.readResult, o.acceptedVersion, o.texts[read.readResult.Version])
	}
}

// CheckHistory checks that the operators' calls and responses are linearizable as operations on one
// register with compare-and-set.
func (sim *Simulation) CheckHistory() {
	for _, message := range sim.operators.history.check() {
		sim.Checker.report(RuleRegister, sim.NowMs(), "%s", message)
	}
}

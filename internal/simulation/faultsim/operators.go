package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
)

const (
	// firstPauseMs is the pause before an operator's first retry.
	firstPauseMs = 100
	// noClearAnswer is the outcome of a submission whose fate its operator does
	// not know.
	noClearAnswer = "no clear answer"
	// acceptedOutcome is the outcome of an accepted submission; a refused one has
	// the kind of its error.
	acceptedOutcome = "accepted"
)

// operators submit configurations and changes of them, and read the current
// configuration back.
type operators struct {
	sim        *Simulation
	lastCallID uint64
	calls      map[uint64]*operatorCall
	// lastVersion is the last version that was given out, acceptedVersion the
	// newest accepted, submittedVersion the newest submitted one, and baseVersion
	// the one that operators believe to be current.
	lastVersion, acceptedVersion, submittedVersion, baseVersion uint64
	// texts are the submitted texts by version; an empty one is not known.
	texts map[uint64]string
	// pending are the submissions under way, with some that have ended.
	pending []*submission
	// isUncertain says that some submission got no clear answer.
	isUncertain bool
	outcomes    []string
	history     history
	// lostAnswerShare of the answers get lost; delayedCallShare of the calls
	// arrive long after the operator has gone on.
	lostAnswerShare, delayedCallShare float64
}

func newOperators(sim *Simulation) operators {
	return operators{sim: sim, calls: map[uint64]*operatorCall{}, texts: map[uint64]string{}, history: newHistory()}
}

// submission is a configuration or a change that an operator submits, or a
// read, until it ends.
type submission struct {
	baseVersion, version uint64
	text                 string
	// isChange says that the text is a change of the base version.
	isChange bool
	// mustBeAccepted says that the system has no reason to refuse it.
	mustBeAccepted bool
	sentMs         int64
	// pauseMs is the pause before the next retry.
	pauseMs int64
	isDone  bool
	// isRead says that it only reads the current configuration; readResult is the
	// answer.
	isRead     bool
	readResult *controller.ConfigText
	// isRival says that another submission may have the same version, so that the
	// checks by version do not apply to it.
	isRival bool
	// noRetry says that the operator makes one call and gives up.
	noRetry bool
}

// nextVersion gives out a version number; they rise by uneven steps.
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
	s.sentMs, s.pauseMs = sim.NowMs(), firstPauseMs
	o.addPending(s)
	o.submittedVersion = max(o.submittedVersion, s.version)
	o.texts[s.version] = s.text
	// What text a change leads to, and which of two texts of one version was
	// accepted, is left to the check of the history.
	if s.isChange || s.isRival {
		o.texts[s.version] = ""
	}
	sim.logf("operator submits version %d based on %d to %s, change: %v", s.version, s.baseVersion, to.name, s.isChange)
	sim.callController(to, s)
	if s.mustBeAccepted && !o.isUncertain {
		sim.after(sim.Bounds.AckMs, func() { sim.checkAcknowledged(s) })
	}
	return s
}

// addPending adds a submission to those under way. Of several at the same time
// one is accepted, and it is not known which.
func (o *operators) addPending(s *submission) {
	o.pending = slices.DeleteFunc(append(o.pending, s), func(s *submission) bool { return s.isDone })
	if len(o.pending) < 2 {
		return
	}
	for _, s := range o.pending {
		s.mustBeAccepted = false
	}
}

// checkAcknowledged checks that a submission that must be accepted has ended in
// time, while the core and the links have been undisturbed.
func (sim *Simulation) checkAcknowledged(s *submission) {
	s.mustBeAccepted = s.mustBeAccepted && !sim.operators.isUncertain
	if !s.mustBeAccepted || s.isDone {
		return
	}
	areLinksStable := sim.NowMs()-sim.connectivity.linkFaultMs >= sim.Bounds.AckMs+sim.Bounds.InTouchMs
	if areLinksStable && sim.connectivity.isCoreStableSince(s.sentMs) {
		sim.Checker.report(RuleAck, sim.NowMs(), "version %d is not acknowledged in time", s.version)
	}
}

// accept notes that the operator was notified that its submission is accepted.
func (o *operators) accept(s *submission) {
	if s.isDone {
		return
	}
	if !s.isRival {
		o.sim.Checker.recordAccepted(s.version, s.baseVersion)
	}
	o.acceptedVersion = max(o.acceptedVersion, s.version)
	o.baseVersion = max(o.baseVersion, s.version)
	o.complete(s, acceptedOutcome)
}

// complete ends a submission or a read.
func (o *operators) complete(s *submission, outcome string) {
	if s.isDone {
		return
	}
	s.isDone = true
	if s.isRead {
		return
	}
	o.isUncertain = o.isUncertain || outcome == noClearAnswer
	o.outcomes = append(o.outcomes, fmt.Sprintf("%d: %s", s.version, outcome))
	o.sim.logf("operator: version %d: %s", s.version, outcome)
}

// readBack reads the current configuration from a controller, or from any if it
// is nil.
func (sim *Simulation) readBack(from *node) *submission {
	read := &submission{isRead: true, sentMs: sim.NowMs(), pauseMs: firstPauseMs}
	sim.callController(from, read)
	return read
}

// CheckConfig reads the current configuration back several times: what was
// accepted must be there as it was submitted, and what was refused must not.
func (sim *Simulation) CheckConfig() {
	const reads, waitSteps, waitStepMs = 3, 60, 100
	o := &sim.operators
	for range reads {
		read := sim.readBack(nil)
		sim.runUntil(waitSteps, waitStepMs, func() bool { return read.isDone })
		read.isDone = true
		if read.readResult == nil {
			sim.Checker.report(RuleConfig, sim.NowMs(), "the configuration can't be read back")
			return
		}
		sim.Checker.checkReadBack(read.readResult, o.acceptedVersion, o.texts[read.readResult.Version])
	}
}

// CheckHistory checks all that operators sent and got as answers against one
// register with compare-and-set.
func (sim *Simulation) CheckHistory() {
	for _, message := range sim.operators.history.check() {
		sim.Checker.report(RuleRegister, sim.NowMs(), "%s", message)
	}
}

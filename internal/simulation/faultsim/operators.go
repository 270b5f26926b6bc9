package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// callTimeoutMs is how long an operator waits for an answer, submissionTimeoutMs how long
	// it goes on with one order.
	callTimeoutMs       = 1000
	submissionTimeoutMs = 20_000
	// maxRedirects is how many redirects a call follows.
	maxRedirects = 2
)

// operators hand maps over and read them back.
type operators struct {
	lastCallID uint64
	calls      map[uint64]*operatorCall
	// lastVersion counts what was given out; newest is the newest accepted, handed
	// the newest that was handed over, and base what operators think in force.
	lastVersion, acceptedVersion, submittedVersion, baseVersion uint64
	texts                                                       map[uint64]string
	pending                                                     []*submission
	// uncertain says that some order got no clear answer.
	uncertain bool
	outcomes  []string
	history   history
	// lostAnswerShare of the answers get lost; delayedCallShare of the calls are held up on
	// their way and arrive long after the operator has gone on.
	lostAnswerShare, delayedCallShare float64
}

func newOperators() operators {
	return operators{calls: map[uint64]*operatorCall{}, texts: map[uint64]string{}, history: newHistory()}
}

// submission is one order of an operator until its end.
type submission struct {
	builtOn, version         uint64
	text                     string
	isChange, mustBeAccepted bool
	sentMs                   int64
	pauseMs                  int64
	done                     bool
	// isRead says that it only reads the map in force, which got then holds.
	isRead     bool
	readResult *controller.ConfigText
	// isRival says that another order may have the same version, so that the
	// rules by version don't hold for it.
	isRival bool
	// noRetry says that the operator makes one call and gives up.
	noRetry bool
}

// operatorCall is one call of it.
type operatorCall struct {
	submission *submission
	node       *node
	finished   bool
	sentMs     int64
	redirects  int
	// record is that of the order, and nil for a read-back.
	record *submissionRecord
}

// nextVersion takes the number of the next map; they rise by uneven steps.
func (o *operators) nextVersion(sim *Simulation) uint64 {
	o.lastVersion += 1 + uint64(sim.random.Intn(3))
	return o.lastVersion
}

// replace hands a whole map over, change one of named items.
func (sim *Simulation) submitConfig(at *node) *submission {
	o := &sim.operators
	version := o.nextVersion(sim)
	return sim.submit(at, &submission{builtOn: o.baseVersion, version: version, text: string(encodeConfig(sim.newConfig(version))), mustBeAccepted: o.baseVersion == o.acceptedVersion})
}

func (sim *Simulation) submitChange(at *node) *submission {
	o := &sim.operators
	if o.baseVersion == 0 {
		return sim.submitConfig(at)
	}
	version := o.nextVersion(sim)
	return sim.submit(at, &submission{builtOn: o.baseVersion, version: version, text: string(newChange(o.baseVersion, version)), isChange: true, mustBeAccepted: o.baseVersion == o.acceptedVersion})
}

// submitInvalidConfig hands over a map that can't be.
func (sim *Simulation) submitInvalidConfig(at *node) {
	o := &sim.operators
	version := o.nextVersion(sim)
	text := string(encodeConfig(sim.newConfig(version)))
	switch sim.random.Intn(3) {
	case 0:
		text = strings.Replace(text, `"Service":"plain"`, `"Service":"nowhere"`, 1)
	case 1:
		text = strings.Replace(text, `"GiveUpMs":3000`, `"GiveUpMs":0`, 1)
	default:
		text = text[:len(text)/2]
	}
	sim.submit(at, &submission{builtOn: o.baseVersion, version: version, text: text})
}

func (sim *Simulation) randomController() *node {
	names := sim.nodeNames(protocol.RoleController)
	return sim.nodes[names[sim.random.Intn(len(names))]]
}

func (sim *Simulation) submit(at *node, h *submission) *submission {
	o := &sim.operators
	h.sentMs, h.pauseMs = sim.NowMs(), 100
	// Of several at once one wins, and nobody knows which.
	o.pending = slices.DeleteFunc(append(o.pending, h), func(h *submission) bool { return h.done })
	if len(o.pending) > 1 {
		for _, h := range o.pending {
			h.mustBeAccepted = false
		}
	}
	o.submittedVersion = max(o.submittedVersion, h.version)
	o.texts[h.version] = h.text
	// The text that a change leads to, and which of two texts of one version was
	// taken, is for the check of the history to say.
	if h.isChange || h.isRival {
		o.texts[h.version] = ""
	}
	sim.logf("operator hands version %d on top of %d to %s, part: %v", h.version, h.builtOn, at.name, h.isChange)
	sim.callController(at, h)
	if h.mustBeAccepted && !o.uncertain {
		sim.after(sim.Bounds.AckMs, func() {
			h.mustBeAccepted = h.mustBeAccepted && !o.uncertain
			calm := sim.connectivity.isCoreStableSince(h.sentMs) && sim.NowMs()-sim.connectivity.linkFaultMs >= sim.Bounds.AckMs+sim.Bounds.InTouchMs
			if h.mustBeAccepted && !h.done && calm {
				sim.Checker.report("ACK", sim.NowMs(), "version %d is not acknowledged in time", h.version)
			}
		})
	}
	return h
}

// callController makes one call, and another elsewhere where it brings nothing.
func (sim *Simulation) callController(at *node, h *submission) { sim.callAfterRedirects(at, h, 0) }

// callAfterRedirects makes one call that follows some redirects.
func (sim *Simulation) callAfterRedirects(at *node, h *submission, redirects int) {
	o := &sim.operators
	if h.done {
		return
	}
	if sim.NowMs()-h.sentMs > submissionTimeoutMs {
		o.complete(sim, h, "no clear answer")
		return
	}
	if at == nil || at.removed {
		at = sim.randomController()
	}
	o.lastCallID++
	a := &operatorCall{submission: h, node: at, sentMs: sim.NowMs(), redirects: redirects}
	if !h.isRead {
		a.record = o.history.recordSubmission(sim.NowMs(), submissionKey{h.builtOn, h.isChange, h.text}, h.version)
	}
	o.calls[o.lastCallID] = a
	id := o.lastCallID
	if sim.Bugs.AcknowledgeEarly && !h.isRead {
		o.recordAnswer(sim, a, controller.ConfigAccepted{Version: h.version})
		o.accept(sim, h)
	}
	arrive := func() {
		if at.up {
			if h.isRead {
				sim.deliver(at, at.incarnation, controller.ReadConfig{ID: id})
			} else {
				sim.deliver(at, at.incarnation, controller.SubmitConfig{ID: id, BaseVersion: h.builtOn, Text: h.text, Partial: h.isChange})
			}
		} else {
			sim.after(5, func() { o.retry(sim, a, nil) })
		}
	}
	sim.transmit("operator", at.name, func() { sim.after(o.callDelayMs(sim), arrive) }, nil)
	sim.after(callTimeoutMs, func() { o.retry(sim, a, nil) })
}

// maxCallDelayMs bounds how long a call is held up on its way.
const maxCallDelayMs = 8000

// callDelayMs is how long a call is held up on its way.
func (o *operators) callDelayMs(sim *Simulation) int64 {
	if o.delayedCallShare == 0 || sim.random.Float64() >= o.delayedCallShare {
		return 0
	}
	return sim.random.Int63n(maxCallDelayMs)
}

// retry goes to another daemon after a pause that grows.
func (o *operators) retry(sim *Simulation, a *operatorCall, to *node) {
	if a.finished || a.submission.done {
		return
	}
	a.finished = true
	if a.submission.noRetry {
		o.complete(sim, a.submission, "no clear answer")
		return
	}
	if to != nil && a.redirects < maxRedirects {
		sim.after(1, func() { sim.callAfterRedirects(to, a.submission, a.redirects+1) })
		return
	}
	pauseMs := a.submission.pauseMs
	a.submission.pauseMs = min(1000, 2*pauseMs)
	sim.after(pauseMs, func() { sim.callController(nil, a.submission) })
}

// nodeCrashed ends the calls at a daemon that died.
func (o *operators) nodeCrashed(sim *Simulation, n *node) {
	for id, a := range o.calls {
		if a.node == n {
			delete(o.calls, id)
		}
	}
}

// receiveAnswer takes the answer of a controller; it may get lost on its way.
func (o *operators) receiveAnswer(sim *Simulation, n *node, answer protocol.Response) {
	a := o.calls[answer.ID]
	if a == nil {
		return
	}
	delete(o.calls, answer.ID)
	if o.lostAnswerShare > 0 && sim.random.Float64() < o.lostAnswerShare {
		return
	}
	sim.transmit(n.name, "operator", func() {
		// What is told too late for the operator must be right all the same.
		o.recordAnswer(sim, a, answer.Body)
		if !a.submission.done {
			o.handleAnswer(sim, a, answer.Body)
		}
	}, nil)
}

// recordAnswer notes a clear answer in the history.
func (o *operators) recordAnswer(sim *Simulation, a *operatorCall, body any) {
	answer := answerRecord{sentMs: a.sentMs, atMs: sim.NowMs()}
	switch said := body.(type) {
	case controller.ConfigText:
		o.history.recordRead(a.sentMs, sim.NowMs(), said.Version, said.Text)
		return
	case controller.ConfigAccepted:
		answer.outcome = outcomeAccepted
	case protocol.Rejection:
		switch said.Kind {
		case errkind.StaleBase:
			answer.outcome, answer.current = outcomeStale, said.Revision
		case errkind.FaultyDescription:
			answer.outcome = outcomeInvalid
		default:
			return
		}
	default:
		return
	}
	a.record.answers = append(a.record.answers, answer)
}

func (o *operators) handleAnswer(sim *Simulation, a *operatorCall, body any) {
	h := a.submission
	switch said := body.(type) {
	case controller.ConfigAccepted:
		if said.Version != h.version {
			sim.Checker.report("CONFIG", sim.NowMs(), "version %d is acknowledged as %d", h.version, said.Version)
		}
		o.accept(sim, h)
	case controller.ConfigText:
		h.done = true
		h.readResult = &said
	case protocol.Rejection:
		switch said.Kind {
		case errkind.NotPrimary:
			var to *node
			for _, name := range sim.nodeNames(protocol.RoleController) {
				if sim.nodes[name].address+":80" == said.Primary && sim.nodes[name] != a.node {
					to = sim.nodes[name]
				}
			}
			o.retry(sim, a, to)
		case errkind.StaleBase, errkind.FaultyDescription:
			if h.mustBeAccepted && !o.uncertain && h.builtOn == o.acceptedVersion {
				sim.Checker.report("CONFIG", sim.NowMs(), "version %d, proper, is refused: %s %v", h.version, said.Kind, said.Faults)
			}
			if said.Kind == errkind.StaleBase {
				o.baseVersion = max(o.baseVersion, said.Revision)
			}
			if !h.isRival {
				sim.Checker.recordRefused(h.version, string(said.Kind))
			}
			o.complete(sim, h, string(said.Kind))
		default:
			o.retry(sim, a, nil)
		}
	}
}

func (o *operators) accept(sim *Simulation, h *submission) {
	if h.done {
		return
	}
	if !h.isRival {
		sim.Checker.recordAccepted(h.version, h.builtOn)
	}
	o.acceptedVersion = max(o.acceptedVersion, h.version)
	o.baseVersion = max(o.baseVersion, h.version)
	o.complete(sim, h, "taken")
}

func (o *operators) complete(sim *Simulation, h *submission, how string) {
	if h.done {
		return
	}
	h.done = true
	if h.isRead {
		return
	}
	o.uncertain = o.uncertain || how == "no clear answer"
	o.outcomes = append(o.outcomes, fmt.Sprintf("%d: %s", h.version, how))
	sim.logf("operator: version %d: %s", h.version, how)
}

// readBack reads the map in force, from a daemon or from any.
func (sim *Simulation) readBack(at *node) *submission {
	h := &submission{isRead: true, sentMs: sim.NowMs(), pauseMs: 100}
	sim.callController(at, h)
	return h
}

// CheckConfig reads the map back: what was accepted must be there, as it was
// sent, and what was refused must not.
func (sim *Simulation) CheckConfig() {
	o := &sim.operators
	for range 3 {
		h := sim.readBack(nil)
		for range 60 {
			if sim.Run(100); h.done {
				break
			}
		}
		h.done = true
		if h.readResult == nil {
			sim.Checker.report("CONFIG", sim.NowMs(), "the map can't be read back")
			return
		}
		if h.readResult.Version < o.acceptedVersion {
			sim.Checker.report("CONFIG", sim.NowMs(), "version %d is read back and %d was accepted", h.readResult.Version, o.acceptedVersion)
		}
		if why, not := sim.Checker.refusedReason[h.readResult.Version]; not {
			sim.Checker.report("CONFIG", sim.NowMs(), "version %d is read back and was answered with %q", h.readResult.Version, why)
		}
		if text := o.texts[h.readResult.Version]; text != "" && text != h.readResult.Text {
			sim.Checker.report("CONFIG", sim.NowMs(), "version %d is read back with another text", h.readResult.Version)
		}
	}
}

// CheckHistory checks all that operators sent and were told as one register
// with compare-and-set.
func (sim *Simulation) CheckHistory() {
	for _, what := range sim.operators.history.check() {
		sim.Checker.report("REGISTER", sim.NowMs(), "%s", what)
	}
}

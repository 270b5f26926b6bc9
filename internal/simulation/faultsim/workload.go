package faultsim

import (
	"encoding/json"

	"myrtlewinch/internal/protocol"
)

// workloadKind is what a step of a workload of competing operators does.
type workloadKind int

const (
	// workloadSubmissions sends several orders at once on the version that operators
	// take for the current one.
	workloadSubmissions workloadKind = iota
	// workloadRivals sends two orders with one number on one version, with
	// different texts.
	workloadRivals
	// workloadStale sends an order on a version that was replaced, workloadAhead
	// one on a version that is only about to come.
	workloadStale
	workloadAhead
	// workloadInvalid sends an order that can't be valid.
	workloadInvalid
	workloadRead
	// workloadResend sends an earlier order again, to every controller.
	workloadResend
	workloadFault
	// workloadLoseAnswers loses answers and workloadDelayCalls holds calls up, for a while.
	workloadLoseAnswers
	workloadDelayCalls
	workloadKinds
)

// workloadStep is one step; count is how many orders or reads it sends.
type workloadStep struct {
	Kind    workloadKind
	Count   int
	PauseMs int64
	Fault   string
}

const (
	// workloadName is what Play knows a workload by, and workloadSteps how long it
	// then is.
	workloadName  = "operators contend"
	workloadSteps = 150
)

// maxPending is how many orders may be under way at once.
const maxPending = 8

// workloadFaults are the faults of the core that a workload brings about.
var workloadFaults = []string{
	"primary killed", "backup killed", "primary loses its disk", "backup loses its disk", "core machine replaced", "primary replaced",
	"primary frozen", "backup frozen", "core stopped in turn", "disk stalls", "disk slow", "disk full", "primary cut off",
	"primary heard by nobody", "primary hears nobody", "core in pieces", "messages lost", "messages doubled", "messages late", "core killed", "all killed, one disk lost",
}

// randomWorkload draws the steps of a workload.
func (sim *Simulation) randomWorkload(count int) []workloadStep {
	var steps []workloadStep
	for range count {
		step := workloadStep{Kind: workloadSubmissions, Count: 1 + sim.random.Intn(maxPending), PauseMs: sim.random.Int63n(30)}
		if sim.random.Intn(2) == 0 {
			step.Kind = workloadKind(sim.random.Intn(int(workloadKinds)))
		}
		if sim.random.Intn(2) == 0 {
			step.PauseMs = sim.random.Int63n(800)
		}
		step.Fault = workloadFaults[sim.random.Intn(len(workloadFaults))]
		steps = append(steps, step)
	}
	return steps
}

// runWorkload plays a workload, then has every order sent again and reads back.
func (sim *Simulation) runWorkload(steps []workloadStep) {
	for _, step := range steps {
		sim.runWorkloadStep(step)
		sim.Run(step.PauseMs)
	}
	sim.operators.lostAnswerShare, sim.operators.delayedCallShare = 0, 0
	sim.Run(maxCallDelayMs + submissionTimeoutMs)
	for _, r := range sim.operators.history.submissions {
		sim.resend(r, sim.randomController())
		sim.Run(20)
	}
	for _, name := range sim.nodeNames(protocol.RoleController) {
		sim.readBack(sim.nodes[name])
	}
	sim.Run(submissionTimeoutMs)
}

func (sim *Simulation) runWorkloadStep(step workloadStep) {
	o := &sim.operators
	switch step.Kind {
	case workloadSubmissions:
		for range min(step.Count, o.freeSlots()) {
			sim.submitUnique(o.baseVersion, o.nextVersion(sim), sim.random.Intn(2) == 0)
		}
	case workloadRivals:
		if o.freeSlots() >= 2 {
			version, part := o.nextVersion(sim), sim.random.Intn(2) == 0
			sim.submitUnique(o.baseVersion, version, part)
			sim.submitUnique(o.baseVersion, version, part)
		}
	case workloadStale:
		orders := o.history.submissions
		old := orders[sim.random.Intn(len(orders))].builtOn
		sim.submitUnique(old, o.nextVersion(sim), false)
	case workloadAhead:
		coming := o.nextVersion(sim)
		sim.submitUnique(coming, o.nextVersion(sim), sim.random.Intn(2) == 0)
		sim.Run(sim.random.Int63n(20))
		sim.submitUnique(o.baseVersion, coming, false)
	case workloadInvalid:
		sim.submitInvalidConfig(sim.randomController())
	case workloadRead:
		for range step.Count {
			sim.readBack(sim.randomController())
		}
	case workloadResend:
		r := o.history.submissions[sim.random.Intn(len(o.history.submissions))]
		for _, name := range sim.nodeNames(protocol.RoleController) {
			sim.resend(r, sim.nodes[name])
		}
	case workloadFault:
		f, _, _ := findFault(step.Fault)
		sim.inject(f)
	case workloadLoseAnswers:
		o.lostAnswerShare = 0.5
		sim.after(sim.randomDelayMs(), func() { o.lostAnswerShare = 0 })
	case workloadDelayCalls:
		o.delayedCallShare = 0.3
		sim.after(sim.randomDelayMs(), func() { o.delayedCallShare = 0 })
	}
}

// freeSlots is how many more orders may be under way.
func (o *operators) freeSlots() int {
	under := 0
	for _, h := range o.pending {
		if !h.done {
			under++
		}
	}
	return max(0, maxPending-under)
}

// submitUnique sends an order whose text differs from that of any other order.
func (sim *Simulation) submitUnique(builtOn, version uint64, part bool) {
	sim.submit(sim.randomController(), sim.newUniqueSubmission(builtOn, version, part))
}

func (sim *Simulation) newUniqueSubmission(builtOn, version uint64, part bool) *submission {
	o := &sim.operators
	aimMs := int64(400 + len(o.history.submissions))
	m := sim.newConfig(version)
	last := &m.Routes[len(m.Routes)-1]
	last.LatencyTargetMs = aimMs
	text := encodeConfig(m)
	if part {
		var c configChange
		_ = json.Unmarshal(newChange(builtOn, version), &c)
		c.Put[len(c.Put)-1].LatencyTargetMs = aimMs
		text, _ = json.Marshal(c)
	}
	return &submission{builtOn: builtOn, version: version, text: string(text), isChange: part, isRival: true}
}

// resend sends an order again as it was, whatever became of it.
func (sim *Simulation) resend(r *submissionRecord, at *node) {
	sim.callController(at, &submission{
		builtOn: r.builtOn, version: r.version, text: r.text, isChange: r.isChange, sentMs: sim.NowMs(), pauseMs: 100, isRival: true,
	})
}

// Workload is a run of many operators at once, with faults of the core and
// without clients, whose history is checked as one register.
func Workload(seed int64, count int) Result {
	return workload(newWorkloadSite(seed, InjectedBugs{}), count)
}

// newWorkloadSite makes a site for a workload: of three seeds one has five core
// machines, of which two may be lost.
func newWorkloadSite(seed int64, breaks InjectedBugs) *Simulation {
	if seed%3 == 0 {
		return newSized(seed, breaks, 5, 2)
	}
	return New(seed, breaks)
}

func workload(sim *Simulation, count int) Result { return playWorkload(sim, sim.randomWorkload(count)) }

func playWorkload(sim *Simulation, steps []workloadStep) Result {
	sim.Run(1500)
	sim.submitConfig(sim.nodes["core-1"])
	sim.Run(3000)
	sim.runWorkload(steps)
	sim.CheckConfig()
	sim.CheckHistory()
	return Result{sim, sim.Checker.Violations()}
}

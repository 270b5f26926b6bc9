package faultsim

import (
	"myrtlewinch/internal/protocol"
)

// workloadKind is what a step of a workload of competing operators does.
type workloadKind int

// The kinds of steps. Their order is part of what a seed means.
const (
	// workloadSubmissions sends several submissions at once, based on the version
	// that operators believe to be current.
	workloadSubmissions workloadKind = iota
	// workloadRivals sends two submissions with the same version and base, and
	// different texts.
	workloadRivals
	// workloadStale sends a submission based on a version that was replaced,
	// workloadAhead one based on a version that is only about to come.
	workloadStale
	workloadAhead
	// workloadInvalid sends a submission that can't be valid.
	workloadInvalid
	workloadRead
	// workloadResend sends an earlier submission again, to every controller.
	workloadResend
	workloadFault
	// workloadLoseAnswers loses answers and workloadDelayCalls delays calls, both
	// for a while.
	workloadLoseAnswers
	workloadDelayCalls
	workloadKinds
)

// workloadStep is one step. Count is how many submissions or reads it sends,
// and Fault names the fault of a workloadFault.
type workloadStep struct {
	Kind    workloadKind
	Count   int
	PauseMs int64
	Fault   string
}

const (
	// workloadName is what Play knows the workload by, and workloadSteps how many
	// steps it then has.
	workloadName  = "operators contend"
	workloadSteps = 150
	// maxPending is how many submissions may be under way at once.
	maxPending = 8
)

// workloadFaults are the faults of controllers that a workload injects. Their
// order is part of what a seed means.
var workloadFaults = []string{
	"primary killed", "backup killed", "primary loses its disk", "backup loses its disk",
	"core machine replaced", "primary replaced", "primary frozen", "backup frozen", "core stopped in turn",
	"disk stalls", "disk slow", "disk full", "primary cut off", "primary heard by nobody", "primary hears nobody",
	"core in pieces", "messages lost", "messages doubled", "messages late", "core killed", "all killed, one disk lost",
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

// runWorkload runs a workload, then sends every submission again and reads the
// configuration back from every controller.
func (sim *Simulation) runWorkload(steps []workloadStep) {
	const resendIntervalMs = 20
	for _, step := range steps {
		sim.runWorkloadStep(step)
		sim.Run(step.PauseMs)
	}
	sim.operators.lostAnswerShare, sim.operators.delayedCallShare = 0, 0
	sim.Run(maxCallDelayMs + submissionTimeoutMs)
	for _, r := range sim.operators.history.submissions {
		sim.resend(r, sim.randomController())
		sim.Run(resendIntervalMs)
	}
	for _, name := range sim.nodeNames(protocol.RoleController) {
		sim.readBack(sim.nodes[name])
	}
	sim.Run(submissionTimeoutMs)
}

func (sim *Simulation) runWorkloadStep(step workloadStep) {
	switch step.Kind {
	case workloadSubmissions:
		sim.submitSeveral(step.Count)
	case workloadRivals:
		sim.submitRivals()
	case workloadStale:
		sim.submitStale()
	case workloadAhead:
		sim.submitAhead()
	case workloadInvalid:
		sim.submitInvalidConfig(sim.randomController())
	case workloadRead:
		for range step.Count {
			sim.readBack(sim.randomController())
		}
	case workloadResend:
		sim.resendToAll(sim.randomSubmission())
	case workloadFault:
		f, _, _ := findFault(step.Fault)
		sim.inject(f)
	case workloadLoseAnswers:
		sim.operators.lostAnswerShare = 0.5
		sim.after(sim.randomDelayMs(), func() { sim.operators.lostAnswerShare = 0 })
	case workloadDelayCalls:
		sim.operators.delayedCallShare = 0.3
		sim.after(sim.randomDelayMs(), func() { sim.operators.delayedCallShare = 0 })
	}
}

func (sim *Simulation) randomSubmission() *submissionRecord {
	submissions := sim.operators.history.submissions
	return submissions[sim.random.Intn(len(submissions))]
}

func (sim *Simulation) submitSeveral(count int) {
	o := &sim.operators
	for range min(count, o.freeSlots()) {
		sim.submitUnique(o.baseVersion, o.nextVersion(), sim.random.Intn(2) == 0)
	}
}

func (sim *Simulation) submitRivals() {
	o := &sim.operators
	if o.freeSlots() < 2 {
		return
	}
	version, isChange := o.nextVersion(), sim.random.Intn(2) == 0
	sim.submitUnique(o.baseVersion, version, isChange)
	sim.submitUnique(o.baseVersion, version, isChange)
}

func (sim *Simulation) submitStale() {
	base := sim.randomSubmission().baseVersion
	sim.submitUnique(base, sim.operators.nextVersion(), false)
}

func (sim *Simulation) submitAhead() {
	o := &sim.operators
	coming := o.nextVersion()
	sim.submitUnique(coming, o.nextVersion(), sim.random.Intn(2) == 0)
	sim.Run(sim.random.Int63n(20))
	sim.submitUnique(o.baseVersion, coming, false)
}

// freeSlots is how many more submissions may be under way.
func (o *operators) freeSlots() int {
	pending := 0
	for _, s := range o.pending {
		if !s.isDone {
			pending++
		}
	}
	return max(0, maxPending-pending)
}

// submitUnique sends a submission whose text differs from that of any other.
func (sim *Simulation) submitUnique(baseVersion, version uint64, isChange bool) {
	sim.submit(sim.randomController(), sim.newUniqueSubmission(baseVersion, version, isChange))
}

// newUniqueSubmission makes a submission that differs from any other in the
// latency target of its last route.
func (sim *Simulation) newUniqueSubmission(baseVersion, version uint64, isChange bool) *submission {
	targetMs := int64(latencyTargetMs + len(sim.operators.history.submissions))
	m := sim.newConfig(version)
	m.Routes[len(m.Routes)-1].LatencyTargetMs = targetMs
	text := encode(m)
	if isChange {
		change := newChange(baseVersion, version)
		change.Put[len(change.Put)-1].LatencyTargetMs = targetMs
		text = encode(change)
	}
	return &submission{baseVersion: baseVersion, version: version, text: string(text), isChange: isChange, isRival: true}
}

// resend sends a submission again as it was, whatever became of it.
func (sim *Simulation) resend(r *submissionRecord, at *node) {
	sim.callController(at, &submission{
		baseVersion: r.baseVersion, version: r.version, text: r.text, isChange: r.isChange,
		sentMs: sim.NowMs(), pauseMs: firstPauseMs, isRival: true,
	})
}

// resendToAll sends a submission again to every controller.
func (sim *Simulation) resendToAll(r *submissionRecord) {
	for _, name := range sim.nodeNames(protocol.RoleController) {
		sim.resend(r, sim.nodes[name])
	}
}

// Workload is a run of many operators at once, with faults of controllers and
// without clients, whose history is checked against one register.
func Workload(seed int64, count int) Result {
	sim := newWorkloadSite(seed, InjectedBugs{})
	return playWorkload(sim, sim.randomWorkload(count))
}

// newWorkloadSite makes a site for a workload: for every third seed one with
// five controllers, of which two may be lost.
func newWorkloadSite(seed int64, bugs InjectedBugs) *Simulation {
	if seed%3 == 0 {
		return newSized(seed, bugs, 5, 2)
	}
	return New(seed, bugs)
}

func playWorkload(sim *Simulation, steps []workloadStep) Result {
	sim.beginWithoutClients()
	sim.runWorkload(steps)
	sim.CheckConfig()
	sim.CheckHistory()
	return Result{sim, sim.Checker.Violations()}
}

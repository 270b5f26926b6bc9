package faultsim

import (
	"myrtlewinch/internal/protocol"
)

// workloadKind is the kind of a step in a workload of concurrent operators.
type workloadKind int

// The kinds of steps. With another order a seed would give another run.
const (
	// workloadSubmissions sends several submissions at once, based on the version that operators
	// believe to be current.
	workloadSubmissions workloadKind = iota
	// workloadConflicting sends two submissions with the same version and base, but different
	// texts.
	workloadConflicting
	// workloadStaleBase sends a submission with the base of an earlier submission; that base has
	// probably been replaced since. workloadFutureBase sends a submission whose base is a version
	// that is itself submitted only shortly afterwards.
	workloadStaleBase
	workloadFutureBase
	// workloadInvalid sends a configuration that is not valid.
	workloadInvalid
	workloadRead
	// workloadResend sends an earlier submission again, to every controller.
	workloadResend
	workloadFault
	// workloadLoseResponses loses responses, and workloadDelayCalls delays calls, both for a random
	// time.
	workloadLoseResponses
	workloadDelayCalls
	workloadKindCount
)

// workloadStep is one step of a workload. Count is the number of submissions or reads that it
// sends, PauseMs the time until the next step, and Fault the name of the fault of a workloadFault.
type workloadStep struct {
	Kind    workloadKind
	Count   int
	PauseMs int64
	Fault   string
}

const (
	// workloadName is the name of the workload for RunScenario, and workloadSteps the number of
	// steps that RunScenario runs.
	workloadName  = "operators contend"
	workloadSteps = 150
	// maxPending is how many submissions may be pending at the same time.
	maxPending = 8
)

// workloadFaults names the faults of controllers that a workload injects. With another order a seed
// would give another run.
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
			step.Kind = workloadKind(sim.random.Intn(int(workloadKindCount)))
		}
		if sim.random.Intn(2) == 0 {
			step.PauseMs = sim.random.Int63n(800)
		}
		step.Fault = workloadFaults[sim.random.Intn(len(workloadFaults))]
		steps = append(steps, step)
	}
	return steps
}

// runWorkload runs a workload, then sends every submission again and reads back the configuration
// from every controller.
func (sim *Simulation) runWorkload(steps []workloadStep) {
	const resendIntervalMs = 20
	for _, step := range steps {
		sim.runWorkloadStep(step)
		sim.Run(step.PauseMs)
	}
	sim.operators.lostResponseRate, sim.operators.delayedCallRate = 0, 0
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
	case workloadConflicting:
		sim.submitConflicting()
	case workloadStaleBase:
		sim.submitStaleBase()
	case workloadFutureBase:
		sim.submitFutureBase()
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
	case workloadLoseResponses:
		sim.operators.lostResponseRate = 0.5
		sim.after(sim.randomFaultMs(), func() { sim.operators.lostResponseRate = 0 })
	case workloadDelayCalls:
		sim.operators.delayedCallRate = 0.3
		sim.after(sim.randomFaultMs(), func() { sim.operators.delayedCallRate = 0 })
	}
}

func (sim *Simulation) randomSubmission() *submissionRecord {
	submissions := sim.operators.history.submissions
	return submissions[sim.random.Intn(len(submissions))]
}

func (sim *Simulation) submitSeveral(count int) {
	o := &sim.operators
	for range min(count, o.remainingSubmissions()) {
		sim.submitUnique(o.baseVersion, o.nextVersion(), sim.random.Intn(2) == 0)
	}
}

func (sim *Simulation) submitConflicting() {
	o := &sim.operators
	if o.remainingSubmissions() < 2 {
		return
	}
	version, isChange := o.nextVersion(), sim.random.Intn(2) == 0
	sim.submitUnique(o.baseVersion, version, isChange)
	sim.submitUnique(o.baseVersion, version, isChange)
}

func (sim *Simulation) submitStaleBase() {
	base := sim.randomSubmission().baseVersion
	sim.submitUnique(base, sim.operators.nextVersion(), false)
}

func (sim *Simulation) submitFutureBase() {
	o := &sim.operators
	futureVersion := o.nextVersion()
	sim.submitUnique(futureVersion, o.nextVersion(), sim.random.Intn(2) == 0)
	sim.Run(sim.random.Int63n(20))
	sim.submitUnique(o.baseVersion, futureVersion, false)
}

// remainingSubmissions returns how many more submissions may be pending.
func (o *operators) remainingSubmissions() int {
	pending := 0
	for _, s := range o.pending {
		if !s.isDone {
			pending++
		}
	}
	return max(0, maxPending-pending)
}

// submitUnique sends a submission whose text differs from the text of any other submission.
func (sim *Simulation) submitUnique(baseVersion, version uint64, isChange bool) {
	sim.submit(sim.randomController(), sim.newUniqueSubmission(baseVersion, version, isChange))
}

// newUniqueSubmission returns a submission that differs from any other in the latency target of its
// last route.
func (sim *Simulation) newUniqueSubmission(baseVersion, version uint64, isChange bool) *submission {
	targetMs := int64(latencyTargetMs + len(sim.operators.history.submissions))
	complete := sim.newConfig(version)
	complete.Routes[len(complete.Routes)-1].LatencyTargetMs = targetMs
	text := encode(complete)
	if isChange {
		change := newChange(baseVersion, version)
		change.Put[len(change.Put)-1].LatencyTargetMs = targetMs
		text = encode(change)
	}
	return &submission{baseVersion: baseVersion, version: version, text: string(text), isChange: isChange, mayShareVersion: true}
}

// resend sends a submission again unchanged, whatever its outcome was.
func (sim *Simulation) resend(r *submissionRecord, at *node) {
	sim.callController(at, &submission{
		baseVersion: r.baseVersion, version: r.version, text: r.text, isChange: r.isChange,
		sentMs: sim.NowMs(), backoffMs: initialBackoffMs, mayShareVersion: true,
	})
}

// resendToAll sends a submission again to every controller.
func (sim *Simulation) resendToAll(r *submissionRecord) {
	for _, name := range sim.nodeNames(protocol.RoleController) {
		sim.resend(r, sim.nodes[name])
	}
}

// Workload runs a simulation with concurrent operators and faults of controllers, but without
// clients, and checks the operators' history.
func Workload(seed int64, count int) Result {
	sim := newWorkloadSite(seed, InjectedBugs{})
	return runAndCheckWorkload(sim, sim.randomWorkload(count))
}

// newWorkloadSite returns a site for a workload. For every third seed it has five controllers, of
// which two may be lost at the same time.
func newWorkloadSite(seed int64, bugs InjectedBugs) *Simulation {
	if seed%3 == 0 {
		return newWithControllers(seed, bugs, 5, 2)
	}
	return New(seed, bugs)
}

func runAndCheckWorkload(sim *Simulation, steps []workloadStep) Result {
	sim.beginWithoutClients()
	sim.runWorkload(steps)
	sim.CheckConfig()
	sim.CheckHistory()
	return Result{sim, sim.Checker.Violations()}
}

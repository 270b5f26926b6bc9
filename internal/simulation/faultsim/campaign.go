package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
)

const (
	// bootstrapMs is the time from the start until the first configuration is submitted, and
	// firstConfigMs how long its acceptance may take.
	bootstrapMs   = 1500
	firstConfigMs = 3000
	// warmUpMs is how long clients send requests before the site must serve them.
	warmUpMs = 4500
	// settleAfterFaultsMs is how long to wait after the last fault until all faults have ended.
	settleAfterFaultsMs = 9000
	// lastResponsesMs is how long to wait for the last responses after clients stop sending.
	lastResponsesMs = 6000
)

// Result is the outcome of a run.
type Result struct {
	Simulation *Simulation
	Violations []Violation
}

// Report returns the violations, the seed and the faults that reproduce them, and the latest lines
// of the trace.
func (r Result) Report() string {
	lines := []string{fmt.Sprintf("seed %d, faults %q", r.Simulation.Seed, r.Simulation.injectedFaults)}
	for _, violation := range r.Violations {
		lines = append(lines, violation.String())
	}
	return strings.Join(append(lines, r.Simulation.Trace()), "\n")
}

// Summary returns one line with the seed, the number of runs, and the outcomes of requests and of
// submissions.
func (r Result) Summary() string {
	sim := r.Simulation
	return fmt.Sprintf("seed %d: %d runs, outcomes %v, versions %v", sim.Seed, sim.Checker.Runs, sim.clients.outcomes, sim.operators.outcomes)
}

// Begin waits until the controllers have bootstrapped the site, submits the first configuration,
// starts the clients, and checks that the site serves them.
func (sim *Simulation) Begin() {
	sim.beginWithoutClients()
	sim.clients.start()
	sim.Run(warmUpMs)
	sim.checkServing("at the start")
}

func (sim *Simulation) beginWithoutClients() {
	sim.Run(bootstrapMs)
	sim.submitConfig(sim.nodes[controllerName(1)])
	sim.Run(firstConfigMs)
}

// inject injects a fault and records its name.
func (sim *Simulation) inject(f fault) {
	sim.logf("fault: %s", f.name)
	sim.injectedFaults = append(sim.injectedFaults, f.name)
	f.inject(sim)
}

// SettleAndFinish waits until all faults have ended, checks that the site serves requests, and
// finishes the run.
func (sim *Simulation) SettleAndFinish() Result {
	sim.Run(settleAfterFaultsMs)
	sim.checkServing("at the end")
	return sim.Finish()
}

// Finish finishes the run: it stops the clients, waits for the last responses, and checks the rules
// that need the complete run.
func (sim *Simulation) Finish() Result {
	sim.clients.running = false
	sim.Run(lastResponsesMs)
	sim.CheckConfig()
	sim.CheckHistory()
	for _, r := range sim.clients.requests {
		if r.outcome == clientPending {
			sim.Checker.report(RuleAnswer, sim.NowMs(), "%s has no outcome at the end of the run", r.id)
		}
	}
	return Result{sim, sim.Checker.Violations()}
}

// checkServing checks that at least a quarter of the plain requests, and of the streams, that
// clients send now get a complete response.
func (sim *Simulation) checkServing(when string) {
	const sendMs, responseMs, minAnsweredShare = 2000, 3000, 0.25
	fromMs := sim.NowMs()
	sim.Run(sendMs)
	toMs := sim.NowMs()
	sim.Run(responseMs)
	for _, kind := range []struct {
		name     string
		isStream bool
	}{{"plain", false}, {"streams", true}} {
		sent, answered := sim.clients.count(fromMs, toMs, kind.isStream)
		if float64(answered) < minAnsweredShare*float64(sent) || sent == 0 {
			sim.Checker.report(RuleRecover, sim.NowMs(), "%s: %d of %d requests (%s) got a complete response", when, answered, sent, kind.name)
		}
	}
}

// count returns how many requests of a kind were sent in a period, and how many of those got a
// complete response.
func (c *clients) count(fromMs, toMs int64, isStream bool) (sent, answered int) {
	for _, r := range c.requests {
		if r.sentMs < fromMs || r.sentMs >= toMs || r.isStream() != isStream {
			continue
		}
		sent++
		if r.outcome == clientAnswered {
			answered++
		}
	}
	return sent, answered
}

// injectDisaster submits a change of the configuration, and injects a disaster as soon as the
// submission has ended, usually because it was accepted, or has taken too long. The daemons restart
// within restartMs, and the site must serve requests Bounds.RecoverMs later.
func (sim *Simulation) injectDisaster(f fault) {
	const waitSteps, waitStepMs, restartMs = 200, 20, 1300
	change := sim.submitChange(sim.randomController())
	sim.runUntil(waitSteps, waitStepMs, func() bool { return change.isDone })
	sim.inject(f)
	if sim.Bugs.NeverHeal {
		sim.partition(sim.nodeNames(protocol.RoleController), sim.nodeNames(protocol.RoleRouter), false)
	}
	sim.Run(restartMs + sim.Bounds.RecoverMs)
	sim.checkServing("after a disaster")
}

// Campaign runs a simulation with count random faults, some of them followed by an overlapping
// second one. Half of the runs have a disaster near the end.
func Campaign(seed int64, count int) Result {
	return campaign(New(seed, InjectedBugs{}), count)
}

func campaign(sim *Simulation, count int) Result {
	sim.Begin()
	for range count {
		sim.inject(faults[sim.random.Intn(len(faults))])
		if sim.random.Intn(3) == 0 {
			sim.Run(sim.random.Int63n(400))
			sim.inject(faults[sim.random.Intn(len(faults))])
		}
		sim.Run(500 + sim.random.Int63n(4500))
	}
	if sim.random.Intn(2) == 0 {
		sim.Run(settleAfterFaultsMs)
		sim.injectDisaster(disasters[sim.random.Intn(len(disasters))])
		return sim.Finish()
	}
	return sim.SettleAndFinish()
}

// ScenarioNames returns the names that RunScenario accepts: the faults, then the disasters, then
// the workload.
func ScenarioNames() []string {
	var names []string
	for _, f := range slices.Concat(faults, disasters) {
		names = append(names, f.name)
	}
	return append(names, workloadName)
}

// FaultPairs returns all pairs of a fault and another fault or disaster that follows it.
func FaultPairs() [][]string {
	var pairs [][]string
	for _, first := range faults {
		for _, second := range slices.Concat(faults, disasters) {
			if first.name != second.name {
				pairs = append(pairs, []string{first.name, second.name})
			}
		}
	}
	return pairs
}

// RunScenario injects the named faults into a site that serves requests, each soon after the
// previous one, or runs the workload. isKnown is false if a name is unknown. A disaster ends the
// run.
func RunScenario(seed int64, names ...string) (result Result, isKnown bool) {
	if slices.Equal(names, []string{workloadName}) {
		return Workload(seed, workloadSteps), true
	}
	return runFaults(seed, InjectedBugs{}, names...)
}

func runFaults(seed int64, bugs InjectedBugs, names ...string) (result Result, isKnown bool) {
	for _, name := range names {
		if _, _, isKnown := findFault(name); !isKnown {
			return Result{}, false
		}
	}
	sim := New(seed, bugs)
	sim.Begin()
	for i, name := range names {
		if i > 0 {
			sim.Run(sim.random.Int63n(1500))
		}
		f, isDisaster, _ := findFault(name)
		if isDisaster {
			sim.injectDisaster(f)
			return sim.Finish(), true
		}
		sim.inject(f)
	}
	return sim.SettleAndFinish(), true
}

package faultsim

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/protocol"
)

const (
	// bootstrapMs is after how long the first configuration is submitted, and
	// firstConfigMs how long it may take.
	bootstrapMs   = 1500
	firstConfigMs = 3000
	// warmUpMs is how long clients send before the site must serve.
	warmUpMs = 4500
	// quietMs is after how long everything that was begun has ended.
	quietMs = 9000
	// lastAnswersMs is how long the last requests may take.
	lastAnswersMs = 6000
)

// Result is the outcome of a run.
type Result struct {
	Simulation *Simulation
	Violations []Violation
}

// Report lists the violations, with the seed and the faults that reproduce them
// and the latest of the trace.
func (r Result) Report() string {
	lines := []string{fmt.Sprintf("seed %d, faults %q", r.Simulation.Seed, r.Simulation.injected)}
	for _, violation := range r.Violations {
		lines = append(lines, violation.String())
	}
	return strings.Join(append(lines, r.Simulation.Trace()), "\n")
}

// Summary says in one line what happened.
func (r Result) Summary() string {
	sim := r.Simulation
	return fmt.Sprintf("seed %d: %d runs, outcomes %v, versions %v", sim.Seed, sim.Checker.Runs, sim.clients.outcomes, sim.operators.outcomes)
}

// Begin lets the seeds bootstrap the site, submits the first configuration, and
// lets clients send.
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

// inject injects a fault.
func (sim *Simulation) inject(f fault) {
	sim.logf("fault: %s", f.name)
	sim.injected = append(sim.injected, f.name)
	f.inject(sim)
}

// End lets all faults end, and checks that the site serves as before.
func (sim *Simulation) End() Result {
	sim.Run(quietMs)
	sim.checkServing("at the end")
	return sim.Close()
}

// Close ends the sending and checks what only the whole run shows.
func (sim *Simulation) Close() Result {
	sim.clients.running = false
	sim.Run(lastAnswersMs)
	sim.CheckConfig()
	sim.CheckHistory()
	for _, r := range sim.clients.requests {
		if r.outcome == clientPending {
			sim.Checker.report(RuleAnswer, sim.NowMs(), "%s never ended", r.id)
		}
	}
	return Result{sim, sim.Checker.Violations()}
}

// checkServing checks that of what is sent now, a quarter or more of each kind
// of request is answered.
func (sim *Simulation) checkServing(when string) {
	const sendMs, answerMs, minAnsweredShare = 2000, 3000, 0.25
	fromMs := sim.NowMs()
	sim.Run(sendMs)
	toMs := sim.NowMs()
	sim.Run(answerMs)
	for _, kind := range []struct {
		name     string
		isStream bool
	}{{"plain", false}, {"streams", true}} {
		sent, answered := sim.clients.count(fromMs, toMs, kind.isStream)
		if float64(answered) < minAnsweredShare*float64(sent) || sent == 0 {
			sim.Checker.report(RuleRecover, sim.NowMs(), "%s: %d of %d %s are served", when, answered, sent, kind.name)
		}
	}
}

// count counts the requests of a kind that were sent in a span, and those of
// them that were answered.
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

// injectDisaster injects a disaster right after a change was accepted. The site
// must serve again within its time.
func (sim *Simulation) injectDisaster(f fault) {
	const waitSteps, waitStepMs, restartMs = 200, 20, 1300
	change := sim.submitChange(sim.randomController())
	sim.runUntil(waitSteps, waitStepMs, func() bool { return change.isDone })
	sim.inject(f)
	if sim.Bugs.NeverHeal {
		sim.cut(sim.nodeNames(protocol.RoleController), sim.nodeNames(protocol.RoleRouter), false)
	}
	sim.Run(restartMs + sim.Bounds.RecoverMs)
	sim.checkServing("after a disaster")
}

// Campaign is a run of random faults, alone and overlapping, with a disaster
// near its end in half of the runs.
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
		sim.Run(quietMs)
		sim.injectDisaster(disasters[sim.random.Intn(len(disasters))])
		return sim.Close()
	}
	return sim.End()
}

// Names lists what Play knows: faults, then disasters, then the workload.
func Names() []string {
	var names []string
	for _, f := range slices.Concat(faults, disasters) {
		names = append(names, f.name)
	}
	return append(names, workloadName)
}

// Pairs lists each fault with each other one, or disaster, that may follow it.
func Pairs() [][]string {
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

// Play injects faults into a serving site, each soon after the one before, or
// runs the workload. isKnown is false if a name is unknown.
func Play(seed int64, names ...string) (result Result, isKnown bool) {
	if slices.Equal(names, []string{workloadName}) {
		return Workload(seed, workloadSteps), true
	}
	return play(seed, InjectedBugs{}, names...)
}

func play(seed int64, bugs InjectedBugs, names ...string) (result Result, isKnown bool) {
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
			return sim.Close(), true
		}
		sim.inject(f)
	}
	return sim.End(), true
}

package faultsim

import (
	"fmt"
	"slices"
	"strings"
)

// Result is what a run showed.
type Result struct {
	Simulation *Simulation
	Violations []Violation
}

// Report says what broke, and how to see it again.
func (r Result) Report() string {
	var lines []string
	for _, breach := range r.Violations {
		lines = append(lines, breach.String())
	}
	return fmt.Sprintf("seed %d, faults %q\n%s\n%s", r.Simulation.Seed, r.Simulation.injected, strings.Join(lines, "\n"), r.Simulation.Trace())
}

// Summary tells in a line what a run saw.
func (r Result) Summary() string {
	sim := r.Simulation
	return fmt.Sprintf("seed %d: %d runs, endings %v, versions %v", sim.Seed, sim.Checker.Runs, sim.clients.outcomes, sim.operators.outcomes)
}

// Begin has the seeds found the site, hands the first map over, and lets
// clients send.
func (sim *Simulation) Begin() {
	sim.Run(1500)
	sim.submitConfig(sim.nodes["core-1"])
	sim.Run(3000)
	sim.clients.start(sim)
	sim.Run(4500)
	sim.checkServing("at the start")
}

func (sim *Simulation) inject(f fault) {
	sim.logf("fault: %s", f.name)
	sim.injected = append(sim.injected, f.name)
	f.inject(sim)
}

// End gives all that was begun its time to end, looks whether the site serves
// as before, and reads the map back.
func (sim *Simulation) End() Result {
	sim.Run(9000)
	sim.checkServing("at the end")
	return sim.Close()
}

// Close ends the sending and checks what only the whole shows.
func (sim *Simulation) Close() Result {
	sim.clients.running = false
	sim.Run(6000)
	sim.CheckConfig()
	sim.CheckHistory()
	for _, r := range sim.clients.requests {
		if r.outcome == "" {
			sim.Checker.report("ANSWER", sim.NowMs(), "%s never ended", r.id)
		}
	}
	return Result{sim, sim.Checker.Violations()}
}

// checkServing looks whether a quarter or more of what is sent now is served.
func (sim *Simulation) checkServing(when string) {
	fromMs := sim.NowMs()
	sim.Run(2000)
	toMs := sim.NowMs()
	sim.Run(3000)
	sent, served := map[string]int{}, map[string]int{}
	for _, r := range sim.clients.requests {
		if r.sentMs < fromMs || r.sentMs >= toMs {
			continue
		}
		kind := "plain"
		if r.isStream() {
			kind = "streams"
		}
		sent[kind]++
		if r.served {
			served[kind]++
		}
	}
	for _, kind := range []string{"plain", "streams"} {
		if 4*served[kind] < sent[kind] || sent[kind] == 0 {
			sim.Checker.report("RECOVER", sim.NowMs(), "%s: %d of %d %s are served", when, served[kind], sent[kind], kind)
		}
	}
}

// injectDisaster strikes right after a map was taken; the site must serve again
// within its time.
func (sim *Simulation) injectDisaster(f fault) {
	h := sim.submitChange(sim.randomController())
	for range 200 {
		if sim.Run(20); h.done {
			break
		}
	}
	sim.inject(f)
	if sim.Bugs.NeverHeal {
		sim.cut(sim.nodeNames("controller"), sim.nodeNames("router"), false)
	}
	sim.Run(1300 + sim.Bounds.RecoverMs)
	sim.checkServing("after a disaster")
}

// Campaign is a run of random faults, alone and together, with a disaster
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
		sim.Run(9000)
		sim.injectDisaster(disasters[sim.random.Intn(len(disasters))])
		return sim.Close()
	}
	return sim.End()
}

// Names lists the faults that Play knows, disasters last, and the workload.
func Names() []string {
	var names []string
	for _, f := range append(append([]fault{}, faults...), disasters...) {
		names = append(names, f.name)
	}
	return append(names, workloadName)
}

// Pairs lists each fault with each other one that may follow it.
func Pairs() [][]string {
	var pairs [][]string
	for _, f := range faults {
		for _, g := range append(append([]fault{}, faults...), disasters...) {
			if f.name != g.name {
				pairs = append(pairs, []string{f.name, g.name})
			}
		}
	}
	return pairs
}

func findFault(name string) (f fault, last, ok bool) {
	for _, f := range faults {
		if f.name == name {
			return f, false, true
		}
	}
	for _, f := range disasters {
		if f.name == name {
			return f, true, true
		}
	}
	return fault{}, false, false
}

// Play brings faults about on a serving site, each soon after the one before,
// or plays a workload; false says that one is unknown.
func Play(seed int64, names ...string) (Result, bool) {
	if slices.Equal(names, []string{workloadName}) {
		return Workload(seed, workloadSteps), true
	}
	return play(seed, InjectedBugs{}, names...)
}

func play(seed int64, breaks InjectedBugs, names ...string) (Result, bool) {
	sim := New(seed, breaks)
	for _, name := range names {
		if _, _, ok := findFault(name); !ok {
			return Result{}, false
		}
	}
	sim.Begin()
	for i, name := range names {
		if i > 0 {
			sim.Run(sim.random.Int63n(1500))
		}
		f, last, _ := findFault(name)
		if last {
			sim.injectDisaster(f)
			return sim.Close(), true
		}
		sim.inject(f)
	}
	return sim.End(), true
}

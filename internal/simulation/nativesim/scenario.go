package nativesim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"myrtlewinch/internal/simulation/invariants"
)

// Scenario is a sequence of faults on a serving site.
type Scenario struct {
	// Summary describes the faults or what must hold.
	Summary string
	// Inject injects the faults. The site serves before that, and for RunMs
	// afterwards.
	Inject func(w *World)
	RunMs  int64
}

const (
	// stepMs is the pause between the steps that bootstrap a site.
	stepMs = 2000
	// warmUpMs is how long a new site serves before the first fault.
	warmUpMs = 12_000
)

// Scenarios holds all scenarios by name. The names are used in docs/proofs.md and
// on the command line. In them the core is the controllers, the backup is the
// follower, a spare is a controller other than the primary, a held request is
// queued, a room is a capacity, a pace is a rate limit, a telling is a streamed
// response, and a runner that goes dark is blackholed.
var Scenarios = allScenarios()

func allScenarios() map[string]Scenario {
	all := map[string]Scenario{
		"quiet": {Summary: "nothing fails", Inject: func(*World) {}, RunMs: 10_000},
	}
	for _, group := range []map[string]Scenario{controllerScenarios, diskScenarios, networkScenarios, runnerScenarios} {
		maps.Copy(all, group)
	}
	return all
}

// ScenarioNames returns the sorted names of all scenarios.
func ScenarioNames() []string { return slices.Sorted(maps.Keys(Scenarios)) }

// Result is the result of a run.
type Result struct {
	World      *World
	Violations []invariants.Violation
}

// Report returns the seed, the violations and the trace as text.
func (r Result) Report() string {
	var lines []string
	for _, violation := range r.Violations {
		lines = append(lines, violation.String())
	}
	return fmt.Sprintf("seed %d\n%s\n%s", r.World.Seed, strings.Join(lines, "\n"), r.World.Trace())
}

// RunScenario runs a scenario on a new world.
func RunScenario(text string, seed int64, s Scenario) Result { return New(text, seed).RunScenario(s) }

// RunScenario runs a scenario on this world and checks the rules.
func (w *World) RunScenario(s Scenario) Result {
	w.Begin()
	s.Inject(w)
	w.Run(s.RunMs)
	w.StopClients()
	w.CheckDescriptions()
	return Result{World: w, Violations: w.Checker.Violations()}
}

// Begin bootstraps the site, submits its description, starts the clients and
// lets the site warm up.
func (w *World) Begin() {
	w.bootstrapAndSubmit()
	w.Run(stepMs)
	w.StartClients()
	w.StartProbes()
	w.Run(warmUpMs)
}

// bootstrapAndSubmit bootstraps the site and submits its description.
func (w *World) bootstrapAndSubmit() {
	w.Run(stepMs)
	w.Bootstrap()
	w.Run(stepMs)
	w.SubmitDescription(w.Primary(), 0, w.DescriptionText)
}

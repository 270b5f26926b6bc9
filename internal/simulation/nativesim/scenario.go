package nativesim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"myrtlewinch/internal/simulation/invariants"
)

// Scenario is a chain of faults on a serving site.
type Scenario struct {
	// About says what must hold.
	About string
	// Inject brings the faults about. The site serves before, and for RunMs
	// afterwards.
	Inject func(w *World)
	RunMs  int64
}

const (
	// stepMs is the pause between the steps that begin a site.
	stepMs = 2000
	// warmUpMs is how long a fresh site serves before the first fault.
	warmUpMs = 12_000
)

// Scenarios are all scenarios by name. The names stand in docs/proofs.md and on
// the command line.
var Scenarios = allScenarios()

func allScenarios() map[string]Scenario {
	all := map[string]Scenario{
		"quiet": {About: "nothing fails", Inject: func(*World) {}, RunMs: 10_000},
	}
	for _, group := range []map[string]Scenario{controllerScenarios, diskScenarios, networkScenarios, runnerScenarios} {
		maps.Copy(all, group)
	}
	return all
}

// ScenarioNames lists the names in order.
func ScenarioNames() []string { return slices.Sorted(maps.Keys(Scenarios)) }

// Result is what a run showed.
type Result struct {
	World      *World
	Violations []invariants.Violation
}

// Report says which rules were broken, and how to see it again.
func (r Result) Report() string {
	var lines []string
	for _, violation := range r.Violations {
		lines = append(lines, violation.String())
	}
	return fmt.Sprintf("seed %d\n%s\n%s", r.World.Seed, strings.Join(lines, "\n"), r.World.Trace())
}

// Play plays a scenario on a new world.
func Play(text string, seed int64, s Scenario) Result { return New(text, seed).Play(s) }

// Play plays a scenario on this world and checks the rules.
func (w *World) Play(s Scenario) Result {
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
	w.bootstrapAndDescribe()
	w.Run(stepMs)
	w.StartClients()
	w.StartProbes()
	w.Run(warmUpMs)
}

// bootstrapAndDescribe bootstraps the site and submits its description.
func (w *World) bootstrapAndDescribe() {
	w.Run(stepMs)
	w.Bootstrap()
	w.Run(stepMs)
	w.SubmitDescription(w.Primary(), 0, w.DescriptionText)
}

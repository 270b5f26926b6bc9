// Command modelcheck explores the state machines of election and replication for
// every placement of a bounded number of faults, and prints the shortest violation
// of each invariant.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/modelcheck"
)

// defaultWorkers is how many schedules run at once.
const defaultWorkers = 2

// allScenarios is the value of --scenario that selects all scenarios.
const allScenarios = "all"

// options are the program's flags.
type options struct {
	scope            modelcheck.Scope
	scenario         string
	faults, messages string
	trace            bool
}

func main() {
	cli.Setup("modelcheck", "Explores the state machines of election and replication for every placement of a few faults.")
	o := parseOptions()
	violated := false
	for _, scenario := range selectScenarios(o.scenario) {
		o.scope.Scenario = scenario
		violated = check(o.scope, o.trace) || violated
	}
	if violated {
		os.Exit(cli.ExitFailed)
	}
}

func parseOptions() options {
	o := options{scope: defaultScope(), scenario: allScenarios, trace: true}
	scope := &o.scope
	flaggy.Int(&scope.Members, "m", "members", "how many controllers there are")
	flaggy.Int(&scope.Losses, "l", "losses", "how many members may be lost at once")
	flaggy.Int(&scope.Deviations, "d", "deviations", "how many faults a schedule may have in addition to its scenario's")
	flaggy.Int(&scope.Depth, "", "depth", "how many events of the scenario's window, from its start, may get a fault")
	flaggy.Int(&scope.States, "s", "states", "how many distinct states may be visited in each scenario")
	flaggy.Int(&scope.Workers, "w", "workers", "how many schedules run at once")
	flaggy.Int(&scope.ProbeDeviations, "", "probe", "after each schedule with at most this many deviations, lose every set of as many members as may be lost; -1 turns this off")
	flaggy.Int64(&scope.CatchUpMs, "", "catch-up", "ms within which a site must recover, and for which a returned member still counts as lost")
	flaggy.Int64(&scope.LeaveMs, "", "leave", "ms that a planned shutdown may take")
	flaggy.String(&o.scenario, "", "scenario", "name of a scenario, or all")
	flaggy.String(&o.faults, "", "faults", "kinds of faults, separated by commas; empty is all")
	flaggy.String(&o.messages, "", "messages", "types of messages that message faults apply to, separated by commas; empty is all")
	flaggy.Bool(&o.trace, "", "trace", "print the trace of each violation")
	cli.Parse()
	o.applyLists()
	if !isValid(o.scope) {
		cli.UsageError("members: must be at least 2 * losses + 1; losses, depth, states, workers: must be above 0")
	}
	return o
}

func defaultScope() modelcheck.Scope {
	return modelcheck.Scope{
		Members: modelcheck.DefaultMembers, Losses: modelcheck.DefaultLosses, Deviations: modelcheck.DefaultDeviations,
		Depth: modelcheck.DefaultDepth, States: modelcheck.DefaultStates, Workers: defaultWorkers, ProbeDeviations: -1,
		CatchUpMs: modelcheck.DefaultCatchUpMs, LeaveMs: modelcheck.DefaultLeaveMs,
	}
}

// applyLists reads the lists of faults and messages into the scope.
func (o *options) applyLists() {
	kinds, err := modelcheck.ParseFaults(o.faults)
	if err != nil {
		cli.UsageError("faults: %v; known kinds: %v", err, modelcheck.FaultKinds())
	}
	o.scope.Faults = kinds
	if o.messages != "" {
		o.scope.Messages = strings.Split(o.messages, ",")
	}
}

func isValid(scope modelcheck.Scope) bool {
	hasMajority := scope.Members >= 2*scope.Losses+1 && scope.Losses > 0
	hasBounds := scope.Depth > 0 && scope.States > 0 && scope.Workers > 0
	return hasMajority && hasBounds
}

// selectScenarios returns the named scenario, or all of them.
func selectScenarios(name string) []modelcheck.Scenario {
	if name == allScenarios {
		return modelcheck.Scenarios
	}
	scenario, isKnown := modelcheck.FindScenario(name)
	if !isKnown {
		var names []string
		for _, s := range modelcheck.Scenarios {
			names = append(names, s.Name)
		}
		cli.UsageError("scenario: %q is not known; known scenarios: %s, %s", name, allScenarios, strings.Join(names, ", "))
	}
	return []modelcheck.Scenario{scenario}
}

// check explores one scenario, prints the report, and reports whether an invariant
// was violated.
func check(scope modelcheck.Scope, trace bool) bool {
	report := modelcheck.Explore(scope)
	fmt.Printf("%s: members %d, losses %d, up to %d deviations: %s\n", scope.Scenario.Name, scope.Members, scope.Losses, report.Level, report)
	for _, found := range report.Found {
		fmt.Printf("VIOLATION %s\n  by %s\n", found.Violation, found.Schedule)
		if !trace {
			continue
		}
		for _, line := range modelcheck.Trace(scope, found.Schedule) {
			fmt.Println("  " + line)
		}
	}
	return len(report.Found) > 0
}

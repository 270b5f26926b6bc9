// Program modelcheck explores the election and replication machines for every
// placement of a bounded number of faults, and prints the shortest violation.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/modelcheck"
)

func main() {
	cli.Setup("modelcheck", "Explores the election and replication machines for every placement of a few faults.")
	scope := modelcheck.Scope{
		Members: modelcheck.DefaultMembers, Losses: modelcheck.DefaultLosses, Deviations: modelcheck.DefaultDeviations,
		Depth: modelcheck.DefaultDepth, States: modelcheck.DefaultStates, Workers: 2, ProbeDeviations: -1,
		CatchUpMs: modelcheck.DefaultCatchUpMs, LeaveMs: modelcheck.DefaultLeaveMs,
	}
	scenario, faults, messages, trace := "all", "", "", true
	flaggy.Int(&scope.Members, "m", "members", "how many controllers there are")
	flaggy.Int(&scope.Losses, "l", "losses", "how many members may be lost at once")
	flaggy.Int(&scope.Deviations, "d", "deviations", "how many faults a schedule may have beside its scenario's")
	flaggy.Int(&scope.Depth, "", "depth", "how many events of the scenario's window may be deviated from")
	flaggy.Int(&scope.States, "s", "states", "how many distinct states may be visited, each scenario")
	flaggy.Int(&scope.Workers, "w", "workers", "how many schedules run at once")
	flaggy.Int(&scope.ProbeDeviations, "", "probe", "lose as many members as may be lost after schedules with up to so many deviations; -1 is none")
	flaggy.Int64(&scope.CatchUpMs, "", "catch-up", "ms within which a site must recover, and a returned member counts as lost")
	flaggy.Int64(&scope.LeaveMs, "", "leave", "ms that a planned stop may take")
	flaggy.String(&scenario, "", "scenario", "a scenario, or all")
	flaggy.String(&faults, "", "faults", "kinds of faults, separated by commas; empty is all")
	flaggy.String(&messages, "", "messages", "types of messages that faults of messages apply to, separated by commas; empty is all")
	flaggy.Bool(&trace, "", "trace", "print the trace of the shortest violation")
	cli.Parse()
	kinds, err := modelcheck.ParseFaults(faults)
	if err != nil {
		cli.UsageError("faults: %v; there are: %v", err, modelcheck.FaultKinds())
	}
	scope.Faults = kinds
	if messages != "" {
		scope.Messages = strings.Split(messages, ",")
	}
	if scope.Members < 2*scope.Losses+1 || scope.Losses < 1 || scope.Depth < 1 || scope.States < 1 || scope.Workers < 1 {
		cli.UsageError("members must be at least twice the losses and one more; losses, depth, states and workers above 0")
	}
	violated := false
	for _, chosen := range chooseScenarios(scenario) {
		scope.Scenario = chosen
		violated = check(scope, trace) || violated
	}
	if violated {
		os.Exit(cli.ExitFailed)
	}
}

func chooseScenarios(name string) []modelcheck.Scenario {
	if name == "all" {
		return modelcheck.Scenarios
	}
	chosen, known := modelcheck.FindScenario(name)
	if !known {
		var names []string
		for _, s := range modelcheck.Scenarios {
			names = append(names, s.Name)
		}
		cli.UsageError("scenario: there is no %q; there are: all, %s", name, strings.Join(names, ", "))
	}
	return []modelcheck.Scenario{chosen}
}

// check explores one scenario, reports it, and says whether it was violated.
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

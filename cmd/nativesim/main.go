// Command nativesim runs scenarios and random fault campaigns on a simulated site
// of the native interface, in virtual time, and checks the rules.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/nativesim"
)

// campaignName is the value of --scenario that asks for random faults.
const campaignName = "campaign"

// options are the program's flags.
type options struct {
	description    string
	scenario       string
	seed, seeds    int64
	faultCount     int
	trace          bool
	measure, pairs bool
}

func parseOptions() options {
	o := options{description: "examples/zagreb.json", scenario: campaignName, seed: 1, seeds: 1, faultCount: 20}
	flaggy.String(&o.description, "d", "description", "file with the description of the site")
	flaggy.String(&o.scenario, "", "scenario", "a scenario, or campaign for random faults")
	flaggy.Int64(&o.seed, "", "seed", "the first seed")
	flaggy.Int64(&o.seeds, "", "seeds", "how many seeds to run")
	flaggy.Int(&o.faultCount, "", "faults", "how many faults a campaign injects")
	flaggy.Bool(&o.trace, "", "trace", "print the trace even if no rule is broken")
	flaggy.Bool(&o.measure, "", "measure", "instead of a scenario, take measurements with the seeds from 1 on and print them as a table")
	flaggy.Bool(&o.pairs, "", "pairs", "run each fault alone and with each other one, with every seed, and print the results as a table")
	cli.Parse()
	if o.seeds < 1 || o.faultCount < 1 {
		cli.UsageError("seeds, faults: must be above 0")
	}
	_, known := nativesim.Scenarios[o.scenario]
	if !known && o.scenario != campaignName {
		cli.UsageError("scenario: %q is not known; known scenarios: campaign, %s", o.scenario, strings.Join(nativesim.ScenarioNames(), ", "))
	}
	return o
}

func main() {
	cli.Setup("nativesim", "Injects faults into a simulated site of the native interface, in virtual time, and checks the rules.")
	o := parseOptions()
	text, err := os.ReadFile(o.description)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	violated := 0
	switch {
	case o.measure:
		fmt.Print("| what | middle | worst |\n| --- | --- | --- |\n" + nativesim.Measure(string(text), o.seeds))
	case o.pairs:
		violated = printPairs(string(text), o.seed, o.seeds)
	default:
		violated = runSeeds(string(text), o)
	}
	if violated > 0 {
		os.Exit(cli.ExitFailed)
	}
}

// runSeeds runs the scenario or campaign with each seed and returns how many
// violated a rule.
func runSeeds(text string, o options) (violated int) {
	for seed := o.seed; seed < o.seed+o.seeds; seed++ {
		result := runOne(text, seed, o)
		if len(result.Violations) > 0 {
			violated++
			fmt.Println(result.Report())
		} else if o.trace {
			printTrace(result.World)
		}
	}
	fmt.Printf("%d of %d seeds broke a rule\n", violated, o.seeds)
	return violated
}

func runOne(text string, seed int64, o options) nativesim.Result {
	if scenario, known := nativesim.Scenarios[o.scenario]; known {
		return nativesim.RunScenario(text, seed, scenario)
	}
	return nativesim.Campaign(text, seed, o.faultCount)
}

func printTrace(w *nativesim.World) {
	fmt.Println(w.Trace())
	fmt.Println(w.OutcomeLines())
	fmt.Println(w.RetryOutcomes())
	fmt.Println("models asked for often and never answered:", w.StarvedModels())
}

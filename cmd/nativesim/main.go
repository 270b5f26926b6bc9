// Program nativesim plays scenarios and random fault campaigns on a simulated
// site of the own interface, in virtual time, and checks the rules.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/nativesim"
)

// campaignName stands for random faults in place of a scenario.
const campaignName = "campaign"

// options are the program's flags.
type options struct {
	description   string
	scenario      string
	seed, seeds   int64
	faultCount    int
	trace         bool
	measure, pair bool
}

func parseOptions() options {
	o := options{description: "examples/zagreb.json", scenario: campaignName, seed: 1, seeds: 1, faultCount: 20}
	flaggy.String(&o.description, "d", "description", "the description of the site")
	flaggy.String(&o.scenario, "", "scenario", "a scenario, or campaign for faults at random")
	flaggy.Int64(&o.seed, "", "seed", "the first seed")
	flaggy.Int64(&o.seeds, "", "seeds", "how many seeds to play")
	flaggy.Int(&o.faultCount, "", "faults", "how many faults a campaign brings about")
	flaggy.Bool(&o.trace, "", "trace", "print the trace also where no rule is broken")
	flaggy.Bool(&o.measure, "", "measure", "print the table of measurements instead, over the seeds")
	flaggy.Bool(&o.pair, "", "pairs", "play each fault alone and with each other one, over the seeds, and print the table")
	cli.Parse()
	if o.seeds < 1 || o.faultCount < 1 {
		cli.UsageError("seeds, faults: must be above 0")
	}
	_, known := nativesim.Scenarios[o.scenario]
	if !known && o.scenario != campaignName {
		cli.UsageError("scenario: there is no %q; there are: campaign, %s", o.scenario, strings.Join(nativesim.ScenarioNames(), ", "))
	}
	return o
}

func main() {
	cli.Setup("nativesim", "Plays failures on a simulated site in virtual time and checks the rules.")
	o := parseOptions()
	text, err := os.ReadFile(o.description)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	broken := 0
	switch {
	case o.measure:
		fmt.Print("| what | middle | worst |\n| --- | --- | --- |\n" + nativesim.Measure(string(text), o.seeds))
	case o.pair:
		broken = printPairs(string(text), o.seed, o.seeds)
	default:
		broken = playSeeds(string(text), o)
	}
	if broken > 0 {
		os.Exit(cli.ExitFailed)
	}
}

// playSeeds plays the scenario or campaign on each seed and gives how many
// broke a rule.
func playSeeds(text string, o options) (broken int) {
	for seed := o.seed; seed < o.seed+o.seeds; seed++ {
		result := play(text, seed, o)
		if len(result.Violations) > 0 {
			broken++
			fmt.Println(result.Report())
		} else if o.trace {
			printTrace(result.World)
		}
	}
	fmt.Printf("%d of %d seeds broke a rule\n", broken, o.seeds)
	return broken
}

func play(text string, seed int64, o options) nativesim.Result {
	if scenario, known := nativesim.Scenarios[o.scenario]; known {
		return nativesim.Play(text, seed, scenario)
	}
	return nativesim.Campaign(text, seed, o.faultCount)
}

func printTrace(w *nativesim.World) {
	fmt.Println(w.Trace())
	fmt.Println(w.OutcomeLines())
	fmt.Println(w.RetryOutcomes())
	fmt.Println("models asked for often and never answered:", w.StarvedModels())
}

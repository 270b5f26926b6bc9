// Program sim plays scenarios and random campaigns on a simulated site, in
// virtual time, and checks the rules.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/nativesim"
)

func main() {
	cli.Setup("nativesim", "Plays failures on a simulated site in virtual time and checks the rules.")
	file, scenario := "examples/zagreb.json", "campaign"
	var seed, seeds int64 = 1, 1
	count := 20
	trace := false
	flaggy.String(&file, "d", "description", "the description of the site")
	flaggy.String(&scenario, "", "scenario", "a scenario, or campaign for faults at random")
	flaggy.Int64(&seed, "", "seed", "the first seed")
	flaggy.Int64(&seeds, "", "seeds", "how many seeds to play")
	flaggy.Int(&count, "", "faults", "how many faults a campaign brings about")
	flaggy.Bool(&trace, "", "trace", "print the trace also where no rule is broken")
	measure := false
	flaggy.Bool(&measure, "", "measure", "print the table of measurements instead, over the seeds")
	pairs := false
	flaggy.Bool(&pairs, "", "pairs", "play each fault alone and with each other one, over the seeds, and print the table")
	cli.Parse()
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("description: %v", err)
	}
	played, known := nativesim.Scenarios[scenario]
	if !known && scenario != "campaign" {
		cli.UsageError("scenario: there is no %q; there are: campaign, %s", scenario, strings.Join(nativesim.ScenarioNames(), ", "))
	}
	if seeds < 1 || count < 1 {
		cli.UsageError("seeds, faults: must be above 0")
	}
	if measure {
		fmt.Print("| what | middle | worst |\n| --- | --- | --- |\n" + nativesim.Measure(string(text), seeds))
		return
	}
	if pairs {
		if playPairs(string(text), seed, seeds) > 0 {
			os.Exit(cli.ExitFailed)
		}
		return
	}
	broken := 0
	for s := seed; s < seed+seeds; s++ {
		var r nativesim.Result
		if known {
			r = nativesim.Play(string(text), s, played)
		} else {
			r = nativesim.Campaign(string(text), s, count)
		}
		if len(r.Violations) > 0 {
			broken++
			fmt.Println(r.Report())
		} else if trace {
			fmt.Println(r.World.Trace())
			fmt.Println(r.World.OutcomeLines())
			fmt.Println(r.World.RetryOutcomes())
			fmt.Println("models asked for often and never answered:", r.World.StarvedModels())
		}
	}
	fmt.Printf("%d of %d seeds broke a rule\n", broken, seeds)
	if broken > 0 {
		os.Exit(cli.ExitFailed)
	}
}

// Command faultsim injects faults into a simulated site of the platform's
// interface, in virtual time, and checks the platform's rules.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/campaign"
	"myrtlewinch/internal/simulation/faultsim"
)

// randomFaults is the scenario that injects faults at random.
const randomFaults = "campaign"

// options are the program's flags.
type options struct {
	scenario           string
	firstSeed, seeds   int64
	faults             int
	trace, list, pairs bool
}

// simulation runs one simulation with a seed.
type simulation func(seed int64) faultsim.Result

func main() {
	cli.Setup("faultsim", "Injects faults into a simulated site of the platform's interface, in virtual time, and checks the rules.")
	o := parseOptions()
	if o.list {
		fmt.Println(strings.Join(faultsim.ScenarioNames(), "\n"))
		return
	}
	violated := 0
	for _, simulate := range o.simulations() {
		violated += runSeeds(simulate, o)
	}
	fmt.Printf("%d runs broke a rule\n", violated)
	if violated > 0 {
		os.Exit(cli.ExitFailed)
	}
}

func parseOptions() options {
	o := options{scenario: randomFaults, firstSeed: 1, seeds: 1, faults: 12}
	flaggy.String(&o.scenario, "", "scenario", "a fault, several joined by +, or campaign for random faults")
	flaggy.Int64(&o.firstSeed, "", "seed", "the first seed")
	flaggy.Int64(&o.seeds, "", "seeds", "how many seeds to run")
	flaggy.Int(&o.faults, "", "faults", "how many faults a campaign injects")
	flaggy.Bool(&o.trace, "", "trace", "print the trace even if no rule is broken")
	flaggy.Bool(&o.list, "", "list", "print the names of the faults and exit")
	flaggy.Bool(&o.pairs, "", "pairs", "run each pair of faults with every seed")
	cli.Parse()
	if !o.list && (o.seeds < 1 || o.faults < 1) {
		cli.UsageError("seeds, faults: must be above 0")
	}
	return o
}

// simulations returns the simulations that the options ask for.
func (o options) simulations() []simulation {
	switch {
	case o.pairs:
		var simulations []simulation
		for _, pair := range faultsim.FaultPairs() {
			simulations = append(simulations, simulationOf(pair))
		}
		return simulations
	case o.scenario == randomFaults:
		return []simulation{func(seed int64) faultsim.Result { return faultsim.Campaign(seed, o.faults) }}
	}
	return []simulation{simulationOf(strings.Split(o.scenario, "+"))}
}

// simulationOf returns a simulation with the named faults.
func simulationOf(faults []string) simulation {
	return func(seed int64) faultsim.Result {
		result, isKnown := faultsim.RunScenario(seed, faults...)
		if !isKnown {
			cli.UsageError("scenario: a fault is not known; --list prints the known ones")
		}
		return result
	}
}

// runSeeds runs a simulation with all seeds, on all processors, and prints the
// results. It returns how many runs violated a rule.
func runSeeds(simulate simulation, o options) int {
	violated := 0
	run := func(index int) faultsim.Result { return simulate(o.firstSeed + int64(index)) }
	campaign.Run(int(o.seeds), runtime.GOMAXPROCS(0), run, func(_ int, result faultsim.Result) {
		switch {
		case len(result.Violations) > 0:
			violated++
			fmt.Println(result.Report())
		case o.trace:
			fmt.Println(result.Simulation.Trace())
			fmt.Println(result.Summary())
		}
	})
	return violated
}

// Program faultsim injects faults into a simulated site of the platform's path,
// in virtual time, and checks the platform's rules.
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

// options are those of the command line.
type options struct {
	scenario           string
	firstSeed, seeds   int64
	faults             int
	trace, list, pairs bool
}

// simulation is one kind of run, for any seed.
type simulation func(seed int64) faultsim.Result

func main() {
	cli.Setup("faultsim", "Plays failures on a site of the platform's path in virtual time and checks the rules.")
	o := parseOptions()
	if o.list {
		fmt.Println(strings.Join(faultsim.Names(), "\n"))
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
	flaggy.String(&o.scenario, "", "scenario", "a fault, several with + between, or campaign for faults at random")
	flaggy.Int64(&o.firstSeed, "", "seed", "the first seed")
	flaggy.Int64(&o.seeds, "", "seeds", "how many seeds to play")
	flaggy.Int(&o.faults, "", "faults", "how many faults a campaign brings about")
	flaggy.Bool(&o.trace, "", "trace", "print the trace also where no rule is broken")
	flaggy.Bool(&o.list, "", "list", "print the names of the faults instead")
	flaggy.Bool(&o.pairs, "", "pairs", "play each fault with each other one, over the seeds")
	cli.Parse()
	if !o.list && (o.seeds < 1 || o.faults < 1) {
		cli.UsageError("seeds, faults: must be above 0")
	}
	return o
}

// simulations lists the kinds of runs that the options ask for.
func (o options) simulations() []simulation {
	switch {
	case o.pairs:
		var simulations []simulation
		for _, pair := range faultsim.Pairs() {
			simulations = append(simulations, playing(pair))
		}
		return simulations
	case o.scenario == randomFaults:
		return []simulation{func(seed int64) faultsim.Result { return faultsim.Campaign(seed, o.faults) }}
	}
	return []simulation{playing(strings.Split(o.scenario, "+"))}
}

// playing is a simulation with the named faults.
func playing(faults []string) simulation {
	return func(seed int64) faultsim.Result {
		result, isKnown := faultsim.Play(seed, faults...)
		if !isKnown {
			cli.UsageError("scenario: it is not known; --list prints what is")
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

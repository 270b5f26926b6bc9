// Program drill plays failures on a site of the platform's path, in virtual
// time, and checks the rules.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/faultsim"
	"myrtlewinch/internal/threads"
)

func main() {
	cli.Setup("faultsim", "Plays failures on a site of the platform's path in virtual time and checks the rules.")
	scenario := "campaign"
	var seed, seeds int64 = 1, 1
	count := 12
	trace, list, pairs := false, false, false
	flaggy.String(&scenario, "", "scenario", "a fault, several with + between, or campaign for faults at random")
	flaggy.Int64(&seed, "", "seed", "the first seed")
	flaggy.Int64(&seeds, "", "seeds", "how many seeds to play")
	flaggy.Int(&count, "", "faults", "how many faults a campaign brings about")
	flaggy.Bool(&trace, "", "trace", "print the trace also where no rule is broken")
	flaggy.Bool(&list, "", "list", "print the names of the faults instead")
	flaggy.Bool(&pairs, "", "pairs", "play each fault with each other one, over the seeds")
	cli.Parse()
	if list {
		fmt.Println(strings.Join(faultsim.Names(), "\n"))
		return
	}
	if seeds < 1 || count < 1 {
		cli.UsageError("seeds, faults: must be above 0")
	}
	play := func(seed int64) (faultsim.Result, bool) { return faultsim.Campaign(seed, count), true }
	if scenario != "campaign" {
		play = func(seed int64) (faultsim.Result, bool) { return faultsim.Play(seed, strings.Split(scenario, "+")...) }
	}
	broken := 0
	if pairs {
		for _, pair := range faultsim.Pairs() {
			broken += playAll(func(seed int64) (faultsim.Result, bool) { return faultsim.Play(seed, pair...) }, seed, seeds, trace)
		}
	} else {
		broken = playAll(play, seed, seeds, trace)
	}
	fmt.Printf("%d runs broke a rule\n", broken)
	if broken > 0 {
		os.Exit(cli.ExitFailed)
	}
}

// playAll plays the seeds on all processors and prints what they showed; it
// gives how many broke a rule.
func playAll(play func(seed int64) (faultsim.Result, bool), seed, seeds int64, trace bool) int {
	broken := 0
	var mu sync.Mutex
	var under sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for s := seed; s < seed+seeds; s++ {
		places <- struct{}{}
		under.Add(1)
		threads.Go(func() {
			defer func() { <-places; under.Done() }()
			r, ok := play(s)
			if !ok {
				cli.UsageError("scenario: it is not known; --list prints what is")
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(r.Violations) > 0:
				broken++
				fmt.Println(r.Report())
			case trace:
				fmt.Println(r.Simulation.Trace())
				fmt.Println(r.Summary())
			}
		})
	}
	under.Wait()
	return broken
}

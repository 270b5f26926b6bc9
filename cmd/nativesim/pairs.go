package main

import (
	"fmt"
	"runtime"
	"sync"

	"myrtlewinch/internal/simulation/nativesim"
	"myrtlewinch/internal/threads"
)

// playPairs plays each fault alone and with each other one over the seeds, on
// all processors, and prints the table. It gives how many runs broke a rule.
func playPairs(text string, seed, seeds int64) int {
	cells := nativesim.FaultPairs()
	played := make([]nativesim.FaultPair, len(cells)*int(seeds))
	var under sync.WaitGroup
	places := make(chan struct{}, runtime.NumCPU())
	for s := range seeds {
		for i, cell := range cells {
			places <- struct{}{}
			under.Add(1)
			threads.Go(func() {
				defer under.Done()
				played[int(s)*len(cells)+i] = nativesim.PlayPair(text, seed+s, cell)
				<-places
			})
		}
	}
	under.Wait()
	broken := 0
	for _, c := range played {
		if len(c.Violations) > 0 {
			broken++
			fmt.Printf("seed %d, %q with %q: %v\n%s\n", c.Seed, c.First, c.Second, c.Violations, c.Trace)
		}
	}
	fmt.Print(nativesim.PairTable(played))
	fmt.Printf("%d of %d runs broke a rule\n", broken, len(played))
	return broken
}

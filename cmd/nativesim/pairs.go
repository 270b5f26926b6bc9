package main

import (
	"fmt"
	"runtime"
	"sync"

	"myrtlewinch/internal/simulation/nativesim"
	"myrtlewinch/internal/threads"
)

// printPairs plays each fault alone and with each other one over the seeds, on
// all processors, and prints the table. It gives how many runs broke a rule.
func printPairs(text string, firstSeed, seeds int64) (broken int) {
	results := playPairs(text, firstSeed, seeds)
	for _, r := range results {
		if len(r.Violations) > 0 {
			broken++
			fmt.Printf("seed %d, %q with %q: %v\n%s\n", r.Seed, r.First, r.Second, r.Violations, r.Trace)
		}
	}
	fmt.Print(nativesim.PairTable(results))
	fmt.Printf("%d of %d runs broke a rule\n", broken, len(results))
	return broken
}

// playPairs plays all pairs over the seeds; the results are in the order of the
// seeds and pairs.
func playPairs(text string, firstSeed, seeds int64) []nativesim.PairResult {
	pairs := nativesim.FaultPairs()
	results := make([]nativesim.PairResult, len(pairs)*int(seeds))
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for s := range seeds {
		for i, pair := range pairs {
			slots <- struct{}{}
			running.Add(1)
			threads.Go(func() {
				defer running.Done()
				results[int(s)*len(pairs)+i] = nativesim.PlayPair(text, firstSeed+s, pair)
				<-slots
			})
		}
	}
	running.Wait()
	return results
}

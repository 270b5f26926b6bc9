package main

import (
	"fmt"
	"runtime"

	"myrtlewinch/internal/simulation/campaign"
	"myrtlewinch/internal/simulation/nativesim"
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
	play := func(index int) nativesim.PairResult {
		seed := firstSeed + int64(index/len(pairs))
		return nativesim.PlayPair(text, seed, pairs[index%len(pairs)])
	}
	keep := func(index int, result nativesim.PairResult) { results[index] = result }
	campaign.Run(len(results), runtime.NumCPU(), play, keep)
	return results
}

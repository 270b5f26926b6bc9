package main

import (
	"fmt"
	"runtime"

	"myrtlewinch/internal/simulation/campaign"
	"myrtlewinch/internal/simulation/nativesim"
)

// printPairs runs each fault alone and with each other one, with every seed, on all
// processors, and prints the table. It returns how many runs violated a rule.
func printPairs(text string, firstSeed, seeds int64) (violated int) {
	results := runPairs(text, firstSeed, seeds)
	for _, r := range results {
		if len(r.Violations) > 0 {
			violated++
			fmt.Printf("seed %d, %q with %q: %v\n%s\n", r.Seed, r.First, r.Second, r.Violations, r.Trace)
		}
	}
	fmt.Print(nativesim.PairTable(results))
	fmt.Printf("%d of %d runs broke a rule\n", violated, len(results))
	return violated
}

// runPairs runs all pairs with every seed. The results are ordered by seed, then by
// pair.
func runPairs(text string, firstSeed, seeds int64) []nativesim.PairResult {
	pairs := nativesim.FaultPairs()
	results := make([]nativesim.PairResult, len(pairs)*int(seeds))
	run := func(index int) nativesim.PairResult {
		seed := firstSeed + int64(index/len(pairs))
		return nativesim.RunPair(text, seed, pairs[index%len(pairs)])
	}
	store := func(index int, result nativesim.PairResult) { results[index] = result }
	campaign.Run(len(results), runtime.NumCPU(), run, store)
	return results
}

// Program daycheck reads entries of the bench's journal and prints, for each
// day, the broken rules, the faults and the gate. It exits 1 if a rule is
// broken, a day has a fault, or a run did not finish.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/cli"
)

func main() {
	cli.Setup("journalcheck", "Prints what the days in entries of the bench's journal broke; the files are named after --.")
	flaggy.Parse()
	files := flaggy.TrailingArguments
	if len(files) == 0 {
		cli.UsageError("no journal entry named")
	}
	entries := make([]Entry, 0, len(files))
	for _, file := range files {
		entries = append(entries, read(file))
	}
	tallies := Report(os.Stdout, entries)
	failed := false
	for _, site := range slices.Sorted(maps.Keys(tallies)) {
		tally := tallies[site]
		failed = failed || tally.Failed()
		fmt.Printf("%s: %d days, %d with broken rules, %d with faults, %d short of the gate, %d runs unfinished\n",
			site, tally.Played, tally.RulesBroken, tally.Faults, tally.GateFailed, tally.Unfinished)
	}
	if failed {
		os.Exit(cli.ExitFailed)
	}
}

func read(file string) Entry {
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("%v", err)
	}
	entry, err := ReadEntry(text)
	if err != nil {
		cli.UsageError("%s: %v", file, err)
	}
	return entry
}

// Command journalcheck reads entries of the journal of the platform's bench and
// prints, for each day (a scenario of the bench) that was played, the violated rules,
// the fault if there is one, and whether the day passed the bench's gate. It exits
// with 1 if a rule is violated, a day has a fault, or a run did not finish.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"myrtlewinch/internal/benchjournal"
	"myrtlewinch/internal/cli"
)

func main() {
	cli.Setup("journalcheck", "Prints the violated rules and the faults of the days in entries of the bench's journal; list the files after --.")
	flaggy.Parse()
	files := flaggy.TrailingArguments
	if len(files) == 0 {
		cli.UsageError("no file with a journal entry is given")
	}
	entries := make([]benchjournal.Entry, 0, len(files))
	for _, file := range files {
		entries = append(entries, readFile(file))
	}
	var report strings.Builder
	tallies := Report(&report, entries)
	fmt.Print(report.String())
	if hasFailed := printTallies(tallies); hasFailed {
		os.Exit(cli.ExitFailed)
	}
}

// printTallies prints a line for each deployment, and reports whether any failed.
func printTallies(tallies map[string]Tally) (hasFailed bool) {
	for _, site := range slices.Sorted(maps.Keys(tallies)) {
		tally := tallies[site]
		hasFailed = hasFailed || tally.Failed()
		fmt.Printf("%s: %d days, %d with broken rules, %d with faults, %d that failed the gate, %d runs unfinished\n",
			site, tally.Played, tally.RulesBroken, tally.Faults, tally.GateFailed, tally.Unfinished)
	}
	return hasFailed
}

// readFile reads an entry of the journal from a file.
func readFile(file string) benchjournal.Entry {
	text, err := os.ReadFile(file)
	if err != nil {
		cli.UsageError("%v", err)
	}
	entry, err := benchjournal.Parse(text)
	if err != nil {
		cli.UsageError("%s: %v", file, err)
	}
	return entry
}

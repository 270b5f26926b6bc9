package main

import (
	"fmt"
	"slices"
	"strings"

	"myrtlewinch/internal/benchjournal"
)

// Tally counts the days of one deployment.
type Tally struct {
	Played      int
	RulesBroken int
	Faults      int
	GateFailed  int
	Unfinished  int
}

// Failed reports whether a day violated a rule or had a fault, or the verdict of a
// run is missing.
func (t Tally) Failed() bool {
	return t.RulesBroken > 0 || t.Faults > 0 || t.Unfinished > 0
}

// firstViolationPrefix begins the line of the bench's report that describes the
// first violation.
const firstViolationPrefix = "the first that is wrong"

// firstViolation returns the lines of the report on the first violation.
func firstViolation(entry benchjournal.Entry) []string {
	lines := strings.Split(entry.Digest, "\n")
	start := slices.IndexFunc(lines, func(line string) bool {
		return strings.HasPrefix(line, firstViolationPrefix)
	})
	if start < 0 {
		return nil
	}
	end := start + 1
	for end < len(lines) && strings.HasPrefix(lines[end], " ") {
		end++
	}
	return lines[start:end]
}

// Report writes a line for each day of the entries, with the first violation if
// there is one, and for each unfinished run. It returns the tally of each deployment.
func Report(out *strings.Builder, entries []benchjournal.Entry) map[string]Tally {
	tallies := map[string]Tally{}
	for _, entry := range entries {
		tally := tallies[entry.Site]
		if !entry.Finished || entry.Error != nil || len(entry.Days) == 0 {
			tally.Unfinished++
			fmt.Fprintf(out, "%s %s: UNFINISHED: %s\n", entry.Site, entry.ID, textOr(entry.Error, "no day in the entry"))
		}
		for _, day := range entry.Days {
			tally.count(day)
			fmt.Fprintf(out, "%s %s: %s\n", entry.Site, entry.ID, dayLine(day))
			if len(day.Rules) > 0 {
				for _, line := range firstViolation(entry) {
					fmt.Fprintf(out, "    %s\n", line)
				}
			}
		}
		tallies[entry.Site] = tally
	}
	return tallies
}

func (t *Tally) count(day benchjournal.Day) {
	t.Played++
	if len(day.Rules) > 0 {
		t.RulesBroken++
	}
	if day.Fault != nil {
		t.Faults++
	}
	if !day.PassedGate {
		t.GateFailed++
	}
}

// dayLine describes a day in one line.
func dayLine(d benchjournal.Day) string {
	parts := []string{fmt.Sprintf("%s seed %d: served %.3f", d.Name, d.Seed, d.Served)}
	if len(d.Rules) == 0 {
		parts = append(parts, "no rule broken")
	} else {
		parts = append(parts, "BROKEN: "+ruleCounts(d.Rules))
	}
	if d.Fault != nil {
		parts = append(parts, "FAULT: "+*d.Fault)
	}
	if !d.PassedGate {
		parts = append(parts, "gate failed: "+strings.Join(d.Shortfalls, "; "))
	}
	if d.MissedDuties > 0 {
		parts = append(parts, fmt.Sprintf("duties missed: %d", d.MissedDuties))
	}
	return strings.Join(parts, "; ")
}

func ruleCounts(rules map[string]int) string {
	counts := make([]string, 0, len(rules))
	for rule, count := range rules {
		counts = append(counts, fmt.Sprintf("%s %d", rule, count))
	}
	slices.Sort(counts)
	return strings.Join(counts, ", ")
}

func textOr(text *string, otherwise string) string {
	if text == nil {
		return otherwise
	}
	return *text
}

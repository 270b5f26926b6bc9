package nativesim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"myrtlewinch/internal/errkind"
)

const pairTableHead = `| fault | broke a rule, alone | longest without a response, small / other (ms) | rejected, unknown per run | broke a rule, paired | longest without a response, small / other (ms) | with | rejected, unknown per run |
| --- | --- | --- | --- | --- | --- | --- | --- |
`

// outage is the longest time without a response. The partner is the fault that
// was injected together with the fault of the table row.
type outage struct {
	ms      int64
	partner string
}

func (o *outage) raise(ms int64, partner string) {
	if ms > o.ms {
		*o = outage{ms: ms, partner: partner}
	}
}

// pairSums holds the sums of the results of one fault.
type pairSums struct {
	runs, broken, rejected, unknown int
	small, other                    outage
}

func (s *pairSums) add(partner string, result PairResult) {
	s.runs++
	if len(result.Violations) > 0 {
		s.broken++
	}
	s.rejected += result.Rejected
	s.unknown += result.Unknown
	s.small.raise(result.SmallOutageMs, partner)
	s.other.raise(result.OtherOutageMs, partner)
}

// perRun returns the mean counts of rejected requests and of unknown outcomes.
func (s *pairSums) perRun() (rejected, unknown float64) {
	return float64(s.rejected) / float64(s.runs), float64(s.unknown) / float64(s.runs)
}

// faultSums holds the sums by the name of the fault.
type faultSums map[string]*pairSums

func (f faultSums) add(name, partner string, result PairResult) {
	if f[name] == nil {
		f[name] = &pairSums{}
	}
	f[name].add(partner, result)
}

// PairTable returns a table with a row for each fault: the results of the fault
// alone, and the results of its pairs with the worst partners. Faults that were
// not run both alone and in pairs are left out.
func PairTable(results []PairResult) string {
	alone, paired := faultSums{}, faultSums{}
	drops := map[errkind.Kind]int{}
	for _, result := range results {
		for kind, count := range result.RejectionsByKind {
			drops[kind] += count
		}
		if result.Second == "" {
			alone.add(result.First, "", result)
			continue
		}
		paired.add(result.First, result.Second, result)
		paired.add(result.Second, result.First, result)
	}
	var out strings.Builder
	out.WriteString(pairTableHead)
	for _, f := range faults {
		if alone[f.name] != nil && paired[f.name] != nil {
			out.WriteString(pairRow(f.name, alone[f.name], paired[f.name]))
		}
	}
	out.WriteString("\nRejected requests by kind, all runs:")
	for _, kind := range slices.Sorted(maps.Keys(drops)) {
		fmt.Fprintf(&out, " %s %d;", kind, drops[kind])
	}
	out.WriteString("\n")
	return out.String()
}

func pairRow(name string, alone, paired *pairSums) string {
	aloneRejected, aloneUnknown := alone.perRun()
	pairedRejected, pairedUnknown := paired.perRun()
	return fmt.Sprintf("| %s | %d of %d | %d / %d | %.1f, %.2f | %d of %d | %d / %d | %s / %s | %.1f, %.2f |\n",
		name, alone.broken, alone.runs, alone.small.ms, alone.other.ms, aloneRejected, aloneUnknown,
		paired.broken, paired.runs, paired.small.ms, paired.other.ms,
		paired.small.partner, paired.other.partner, pairedRejected, pairedUnknown)
}

package experiment

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

// minReportedMedian is the absolute value of a median below which a single price or
// part is left out of a report.
const minReportedMedian = 0.002

// WriteReport writes a table of the comparisons, and the plays that violated rules.
func WriteReport(out io.Writer, records []Record, comparisons []Comparison) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "tree\tsite\tday\tmeasure\tpairs\tmedian\tinterval\t")
	for _, c := range comparisons {
		if !c.isReported() {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%+.3f\t%+.3f to %+.3f\t%s\n",
			c.Tree, c.Site, c.Day, c.Measure, len(c.Differences), c.Median, c.Low, c.High, c.verdict())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, record := range records {
		for _, rule := range slices.Sorted(maps.Keys(record.Rules)) {
			_, err := fmt.Fprintf(out, "RULE BROKEN: %s %d on %s, %s %s, seed %d (entry %s)\n",
				rule, record.Rules[rule], record.Tree, record.Site, record.Day, record.Seed, record.Entry)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// isReported reports whether the report shows a comparison: single parts and prices
// that hardly changed are left out.
func (c Comparison) isReported() bool {
	isSummary := c.Measure == Score || c.Measure == Served || c.Measure == AllPrices
	return isSummary || math.Abs(c.Median) >= minReportedMedian
}

func (c Comparison) verdict() string {
	if c.ExceedsNoise() {
		return "exceeds noise"
	}
	return "noise"
}

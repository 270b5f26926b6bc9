package experiment

import (
	"cmp"
	"maps"
	"slices"

	"golang.org/x/perf/benchmath"
)

// confidence is the confidence level of the intervals. With five pairs the interval
// is the range of all differences, which covers the true median with a probability
// of 0.94.
const confidence = 0.9

// allDays is the Day of a comparison over all days of a site.
const allDays = "all days"

// Comparison is the difference of one measure between a tree and the base, over
// the pairs of plays with the same site, day and seed.
type Comparison struct {
	Tree, Site, Day, Measure string
	// Differences are the tree's value minus the base's, one for each pair.
	Differences []float64
	// Median is the median of the differences; Low and High bound its confidence
	// interval, at a level of 0.9.
	Median, Low, High float64
}

// ExceedsNoise reports whether the interval excludes zero.
func (c Comparison) ExceedsNoise() bool { return c.Low > 0 || c.High < 0 }

// Compare compares each tree with the base, for each site and day and for all
// days of a site together, by the measures that both plays of a pair have.
func Compare(records []Record, base string) []Comparison {
	baseRecords := map[key]Record{}
	for _, record := range records {
		if record.Tree == base {
			baseRecords[record.key()] = record
		}
	}
	groups := map[group][]float64{}
	for _, record := range records {
		id := record.key()
		id.tree = base
		baseRecord, paired := baseRecords[id]
		if record.Tree != base && paired {
			addDifferences(groups, record, baseRecord)
		}
	}
	comparisons := make([]Comparison, 0, len(groups))
	for id, differences := range groups {
		comparisons = append(comparisons, newComparison(id, differences))
	}
	slices.SortFunc(comparisons, compareLabels)
	return comparisons
}

// group identifies the differences that one comparison summarizes.
type group struct{ tree, site, day, measure string }

func addDifferences(groups map[group][]float64, record, base Record) {
	for measure := range maps.Keys(record.Measures) {
		baseValue, known := base.Measures[measure]
		if !known {
			continue
		}
		difference := record.Measures[measure] - baseValue
		for _, day := range []string{record.Day, allDays} {
			id := group{record.Tree, record.Site, day, measure}
			groups[id] = append(groups[id], difference)
		}
	}
}

func newComparison(id group, differences []float64) Comparison {
	slices.Sort(differences)
	sample := benchmath.NewSample(slices.Clone(differences), &benchmath.DefaultThresholds)
	summary := benchmath.AssumeNothing.Summary(sample, confidence)
	return Comparison{
		Tree: id.tree, Site: id.site, Day: id.day, Measure: id.measure,
		Differences: differences, Median: summary.Center, Low: summary.Lo, High: summary.Hi,
	}
}

// compareLabels orders comparisons by tree, site and day, then by measure: the score,
// the share served and the sum of the prices come before single prices and parts.
func compareLabels(a, b Comparison) int {
	return cmp.Or(
		cmp.Compare(a.Tree, b.Tree), cmp.Compare(a.Site, b.Site), cmp.Compare(a.Day, b.Day),
		cmp.Compare(measureRank(a.Measure), measureRank(b.Measure)), cmp.Compare(a.Measure, b.Measure),
	)
}

func measureRank(measure string) int {
	if rank := slices.Index([]string{Score, Served, AllPrices}, measure); rank >= 0 {
		return rank
	}
	return len(measure) + 3
}

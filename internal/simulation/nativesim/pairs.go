package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/internal/errkind"
)

// Cell is what one fault, or two together, did to a site.
type Cell struct {
	First, Second string
	Seed          int64
	Broken        []string
	// SmallGapMs and GapMs are the longest times without an answer of the
	// small service and of any other.
	SmallGapMs, GapMs int64
	Drops             map[string]int
	Dropped, Unknown  int
	Trace             string
}

// Cells lists what there is to play: each fault alone, then each with each
// other one.
func Cells() []Cell {
	var cells []Cell
	for _, f := range faults {
		cells = append(cells, Cell{First: f.name})
	}
	for i, f := range faults {
		for _, g := range faults[i+1:] {
			cells = append(cells, Cell{First: f.name, Second: g.name})
		}
	}
	return cells
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("sim: no fault is named " + name)
}

// PlayCell brings the cell's faults about on a serving site, the second while
// the first lasts, lets them end, and gives the site its time to be back.
func PlayCell(text string, seed int64, cell Cell) Cell {
	w := New(text, seed)
	w.Begin()
	for _, s := range w.Site.Services {
		w.senders.lastOkMs[s.Name], w.senders.worstGapMs[s.Name] = w.events.NowMs(), 0
		clear(w.senders.kinds[s.Name])
	}
	faultNamed(cell.First).do(w)
	if cell.Second != "" {
		w.Run(w.Random.Int63n(1500))
		faultNamed(cell.Second).do(w)
	}
	w.Run(12_000)
	w.MendAll()
	w.checkBack()
	w.StopSending()
	w.Run(4000)
	w.CheckDescriptions()
	cell.Seed, cell.Drops = seed, map[string]int{}
	for _, breach := range w.Book.Breaches() {
		cell.Broken = append(cell.Broken, breach.String())
	}
	if len(cell.Broken) > 0 {
		cell.Trace = w.Trace()
	}
	for _, s := range w.Site.Services {
		if s.Name == w.small() {
			cell.SmallGapMs = w.senders.worstGapMs[s.Name]
		} else {
			cell.GapMs = max(cell.GapMs, w.senders.worstGapMs[s.Name])
		}
		for kind, count := range w.senders.kinds[s.Name] {
			switch {
			case errkind.Kind(kind).Reply().Drop:
				cell.Drops[kind] += count
				cell.Dropped += count
			case kind == string(errkind.OutcomeUnknown) || kind == "stream broke":
				cell.Unknown += count
			}
		}
	}
	return cell
}

// Table sums cells up: a row a fault, alone and with whatever made it worst.
func Table(played []Cell) string {
	type sums struct {
		runs, broken, dropped, unknown int
		smallMs, gapMs                 int64
		smallBy, gapBy                 string
	}
	alone, paired := map[string]*sums{}, map[string]*sums{}
	add := func(into map[string]*sums, name, partner string, c Cell) {
		s := into[name]
		if s == nil {
			s = &sums{}
			into[name] = s
		}
		s.runs++
		s.broken += min(1, len(c.Broken))
		s.dropped += c.Dropped
		s.unknown += c.Unknown
		if c.SmallGapMs > s.smallMs {
			s.smallMs, s.smallBy = c.SmallGapMs, partner
		}
		if c.GapMs > s.gapMs {
			s.gapMs, s.gapBy = c.GapMs, partner
		}
	}
	kinds := map[string]int{}
	for _, c := range played {
		for kind, count := range c.Drops {
			kinds[kind] += count
		}
		if c.Second == "" {
			add(alone, c.First, "", c)
			continue
		}
		add(paired, c.First, c.Second, c)
		add(paired, c.Second, c.First, c)
	}
	var out strings.Builder
	out.WriteString("| fault | broke a rule, alone | longest without an answer, small / other (ms) | drops, unknown a run | broke a rule, paired | longest, small / other (ms) | with | drops, unknown a run |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range faults {
		a, p := alone[f.name], paired[f.name]
		if a == nil || p == nil {
			continue
		}
		each := func(s *sums, count int) float64 { return float64(count) / float64(s.runs) }
		fmt.Fprintf(&out, "| %s | %d of %d | %d / %d | %.1f, %.2f | %d of %d | %d / %d | %s / %s | %.1f, %.2f |\n",
			f.name, a.broken, a.runs, a.smallMs, a.gapMs, each(a, a.dropped), each(a, a.unknown),
			p.broken, p.runs, p.smallMs, p.gapMs, p.smallBy, p.gapBy, each(p, p.dropped), each(p, p.unknown))
	}
	var names []string
	for kind := range kinds {
		names = append(names, kind)
	}
	sort.Strings(names)
	out.WriteString("\nDrops by kind, all runs:")
	for _, kind := range names {
		fmt.Fprintf(&out, " %s %d;", kind, kinds[kind])
	}
	out.WriteString("\n")
	return out.String()
}

package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/internal/errkind"
)

// FaultPair is what one fault, or two together, did to a site.
type FaultPair struct {
	First, Second string
	Seed          int64
	Violations    []string
	// SmallOutageMs and HolderGapMs are the longest times without an answer of the
	// small service and of any other.
	SmallOutageMs, OtherOutageMs int64
	Drops                        map[string]int
	Dropped, Unknown             int
	Trace                        string
}

// FaultPairs lists what there is to play: each fault alone, then each with each
// other one.
func FaultPairs() []FaultPair {
	var cells []FaultPair
	for _, f := range faults {
		cells = append(cells, FaultPair{First: f.name})
	}
	for i, f := range faults {
		for _, g := range faults[i+1:] {
			cells = append(cells, FaultPair{First: f.name, Second: g.name})
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

// PlayPair brings the cell's faults about on a serving site, the second while
// the first lasts, lets them end, and gives the site its time to be back.
func PlayPair(text string, seed int64, cell FaultPair) FaultPair {
	w := New(text, seed)
	w.Begin()
	for _, s := range w.Description.Services {
		w.clients.lastAnswerMs[s.Name], w.clients.worstGapMs[s.Name] = w.events.NowMs(), 0
		clear(w.clients.outcomes[s.Name])
	}
	faultNamed(cell.First).inject(w)
	if cell.Second != "" {
		w.Run(w.Random.Int63n(1500))
		faultNamed(cell.Second).inject(w)
	}
	w.Run(12_000)
	w.RepairAll()
	w.checkRecovery()
	w.StopClients()
	w.Run(4000)
	w.CheckDescriptions()
	cell.Seed, cell.Drops = seed, map[string]int{}
	for _, breach := range w.Checker.Violations() {
		cell.Violations = append(cell.Violations, breach.String())
	}
	if len(cell.Violations) > 0 {
		cell.Trace = w.Trace()
	}
	for _, s := range w.Description.Services {
		if s.Name == w.smallService() {
			cell.SmallOutageMs = w.clients.worstGapMs[s.Name]
		} else {
			cell.OtherOutageMs = max(cell.OtherOutageMs, w.clients.worstGapMs[s.Name])
		}
		for kind, count := range w.clients.outcomes[s.Name] {
			switch {
			case errkind.Kind(kind).Response().NotExecuted:
				cell.Drops[kind] += count
				cell.Dropped += count
			case kind == string(errkind.OutcomeUnknown) || kind == "stream broke":
				cell.Unknown += count
			}
		}
	}
	return cell
}

// PairTable sums cells up: a row a fault, alone and with whatever made it worst.
func PairTable(played []FaultPair) string {
	type sums struct {
		runs, broken, dropped, unknown int
		smallMs, gapMs                 int64
		smallBy, gapBy                 string
	}
	alone, paired := map[string]*sums{}, map[string]*sums{}
	add := func(into map[string]*sums, name, partner string, c FaultPair) {
		s := into[name]
		if s == nil {
			s = &sums{}
			into[name] = s
		}
		s.runs++
		s.broken += min(1, len(c.Violations))
		s.dropped += c.Dropped
		s.unknown += c.Unknown
		if c.SmallOutageMs > s.smallMs {
			s.smallMs, s.smallBy = c.SmallOutageMs, partner
		}
		if c.OtherOutageMs > s.gapMs {
			s.gapMs, s.gapBy = c.OtherOutageMs, partner
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

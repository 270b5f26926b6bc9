// Command scalesim runs the state machines of large sites in one process, in
// virtual time, and prints what each role costs.
package main

import (
	"encoding/json"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"golang.org/x/sys/unix"

	"myrtlewinch/internal/cli"
	"myrtlewinch/internal/simulation/scalesim"
)

// maxSites bounds how many sites one run measures.
const maxSites = 20

func main() {
	cli.Setup("scalesim", "Runs the machines of large sites in one process, in virtual time, and prints what each role costs. Flags marked (list) take several figures with commas; the n-th site takes the n-th of each, or the last.")
	size := scalesim.DefaultSize()
	lists := listFlags(&size)
	flaggy.Int(&size.WarmSeconds, "", "warm", "virtual seconds before it is measured")
	flaggy.Int(&size.Seconds, "", "seconds", "virtual seconds that are measured")
	flaggy.Int(&size.HeapMb, "", "heap", "the most memory of the run in MB, at most half of the machine's")
	var messages, asJSON bool
	flaggy.Bool(&messages, "", "kinds", "print the messages of each kind too")
	flaggy.Bool(&asJSON, "", "json", "print the results as JSON")
	cli.Parse()
	if half := halfMemoryMb(); size.HeapMb > half {
		cli.UsageError("heap: %d MB is more than half of the machine's, %d MB", size.HeapMb, half)
	}
	results := runAll(sizesOf(size, lists), size.HeapMb)
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(results)
		return
	}
	if err := scalesim.WriteTable(os.Stdout, results, messages); err != nil {
		cli.Fatal("the table can't be written: %v", err)
	}
}

// runAll measures one site after the other, on one thread because the clock is
// that of the thread.
func runAll(sizes []scalesim.Size, heapMb int) []scalesim.Result {
	debug.SetMemoryLimit(int64(heapMb) << 20)
	runtime.LockOSThread()
	var results []scalesim.Result
	for _, size := range sizes {
		result, err := scalesim.Run(size, threadTimeNs)
		if err != nil {
			cli.Fatal("%d routers, %d runners: %v", size.Routers, size.Runners, err)
		}
		results = append(results, result)
	}
	return results
}

// listFlag is a flag that takes several figures, one for each site.
type listFlag struct {
	name string
	// text is what was given, or the default.
	text string
	// field returns the figure of a size that the flag sets.
	field func(s *scalesim.Size) *int
}

// listFlags adds the flags that take lists, with the figures of a size as
// defaults.
func listFlags(defaults *scalesim.Size) []*listFlag {
	var flags []*listFlag
	add := func(name, about string, field func(s *scalesim.Size) *int) {
		f := &listFlag{name: name, text: strconv.Itoa(*field(defaults)), field: field}
		flaggy.String(&f.text, "", name, about+" (list)")
		flags = append(flags, f)
	}
	add("routers", "routers", func(s *scalesim.Size) *int { return &s.Routers })
	add("controllers", "controllers", func(s *scalesim.Size) *int { return &s.Controllers })
	add("zones", "zones", func(s *scalesim.Size) *int { return &s.Zones })
	add("runners", "runners", func(s *scalesim.Size) *int { return &s.Runners })
	add("models", "models", func(s *scalesim.Size) *int { return &s.Models })
	add("adapters", "adapters of all models together", func(s *scalesim.Size) *int { return &s.Adapters })
	add("routes", "routes of the configuration", func(s *scalesim.Size) *int { return &s.Routes })
	add("perSec", "requests a second to all routers together", func(s *scalesim.Size) *int { return &s.RequestsPerSec })
	add("changes", "configurations that come into force while it is measured", func(s *scalesim.Size) *int { return &s.Changes })
	add("shiftMs", "how often another model becomes a busy one; 0 is never", func(s *scalesim.Size) *int { return &s.ShiftMs })
	add("lastsMs", "how long an answer takes", func(s *scalesim.Size) *int { return &s.ResponseMs })
	return flags
}

// figures are the numbers that a flag was given.
func (f *listFlag) figures() []int {
	var out []int
	for _, text := range strings.Split(f.text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			cli.UsageError("%s: %q is no whole number", f.name, text)
		}
		out = append(out, n)
	}
	return out
}

// sizesOf makes the sizes of all sites from a size and the flags that take lists.
func sizesOf(size scalesim.Size, flags []*listFlag) []scalesim.Size {
	figures, count := make([][]int, len(flags)), 1
	for i, f := range flags {
		figures[i] = f.figures()
		count = max(count, len(figures[i]))
	}
	if count > maxSites {
		cli.UsageError("%d sites are more than %d", count, maxSites)
	}
	var sizes []scalesim.Size
	for n := range count {
		for i, f := range flags {
			*f.field(&size) = figures[i][min(n, len(figures[i])-1)]
		}
		if faults := size.Faults(); len(faults) > 0 {
			cli.UsageError("%s", strings.Join(faults, "; "))
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// threadTimeNs is the processor time of this thread.
func threadTimeNs() int64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at); err != nil {
		cli.Fatal("clock: %v", err)
	}
	return at.Nano()
}

// halfMemoryMb is half of the machine's memory.
func halfMemoryMb() int {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		cli.Fatal("memory: %v", err)
	}
	return int(uint64(info.Totalram) * uint64(info.Unit) >> 21)
}

// Command scalesim runs the state machines of large sites in one process, in
// virtual time, and prints the CPU time, messages and memory of each role.
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
	cli.Setup("scalesim", "Runs the state machines of large sites in one process, in virtual time, and prints what each role costs. Flags marked (list) take several numbers, separated by commas; the n-th site uses the n-th number of each flag, or its last one.")
	size := scalesim.DefaultSize()
	lists := listFlags(&size)
	flaggy.Int(&size.WarmSeconds, "", "warm", "virtual seconds before the measurement")
	flaggy.Int(&size.Seconds, "", "seconds", "virtual seconds that are measured")
	flaggy.Int(&size.HeapMb, "", "heap", "memory limit of the run in MB, at most half of the machine's memory")
	var messages, asJSON bool
	flaggy.Bool(&messages, "", "kinds", "also print the messages of each kind")
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
		cli.Fatal("writing the table failed: %v", err)
	}
}

// runAll measures one site after the other. It stays on one thread because the clock
// is the CPU time of this thread.
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

// listFlag is a flag that takes several numbers, one for each site.
type listFlag struct {
	name string
	// text is the given value, or the default.
	text string
	// field returns the field of a size that the flag sets.
	field func(s *scalesim.Size) *int
}

// listFlags registers the flags that take lists. The fields of a size are their defaults.
func listFlags(defaults *scalesim.Size) []*listFlag {
	var flags []*listFlag
	add := func(name, description string, field func(s *scalesim.Size) *int) {
		f := &listFlag{name: name, text: strconv.Itoa(*field(defaults)), field: field}
		flaggy.String(&f.text, "", name, description+" (list)")
		flags = append(flags, f)
	}
	add("routers", "routers", func(s *scalesim.Size) *int { return &s.Routers })
	add("controllers", "controllers", func(s *scalesim.Size) *int { return &s.Controllers })
	add("zones", "zones", func(s *scalesim.Size) *int { return &s.Zones })
	add("runners", "runners", func(s *scalesim.Size) *int { return &s.Runners })
	add("models", "models", func(s *scalesim.Size) *int { return &s.Models })
	add("adapters", "adapters of all models together", func(s *scalesim.Size) *int { return &s.Adapters })
	add("routes", "routes of the configuration", func(s *scalesim.Size) *int { return &s.Routes })
	add("perSec", "requests per second to all routers together", func(s *scalesim.Size) *int { return &s.RequestsPerSec })
	add("changes", "configurations submitted during the measurement", func(s *scalesim.Size) *int { return &s.Changes })
	add("shiftMs", "interval in ms at which another model becomes one of the busiest; 0 is never", func(s *scalesim.Size) *int { return &s.ShiftMs })
	add("lastsMs", "how long a response takes", func(s *scalesim.Size) *int { return &s.ResponseMs })
	return flags
}

// numbers parses the flag's value, or ends the program.
func (f *listFlag) numbers() []int {
	var out []int
	for _, text := range strings.Split(f.text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			cli.UsageError("%s: %q is not an integer", f.name, text)
		}
		out = append(out, n)
	}
	return out
}

// sizesOf returns the size of each site. Each flag that takes a list sets one field of the
// size, and the last number of a list applies to all later sites. sizesOf ends the program
// if there are too many sites or a size is out of bounds.
func sizesOf(size scalesim.Size, flags []*listFlag) []scalesim.Size {
	numbers, count := make([][]int, len(flags)), 1
	for i, f := range flags {
		numbers[i] = f.numbers()
		count = max(count, len(numbers[i]))
	}
	if count > maxSites {
		cli.UsageError("%d sites are more than the limit of %d", count, maxSites)
	}
	var sizes []scalesim.Size
	for n := range count {
		for i, f := range flags {
			*f.field(&size) = numbers[i][min(n, len(numbers[i])-1)]
		}
		if faults := size.Faults(); len(faults) > 0 {
			cli.UsageError("%s", strings.Join(faults, "; "))
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// threadTimeNs returns the CPU time of this thread.
func threadTimeNs() int64 {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		cli.Fatal("reading the thread's CPU time failed: %v", err)
	}
	return used.Nano()
}

// halfMemoryMb returns half of the machine's memory.
func halfMemoryMb() int {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		cli.Fatal("reading the machine's memory size failed: %v", err)
	}
	return int(uint64(info.Totalram) * uint64(info.Unit) >> 21)
}

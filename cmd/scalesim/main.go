// Program hollow runs the machines of large sites in one process, in virtual
// time, and prints what each role costs.
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

func main() {
	cli.Setup("scalesim", "Runs the machines of large sites in one process, in virtual time, and prints what each role costs. Flags marked (list) take several figures with commas; the n-th site takes the n-th of each, or the last.")
	usual := scalesim.Usual()
	var lists []*list
	add := func(name, about string, at func(s *scalesim.Size) *int) {
		l := &list{name: name, text: strconv.Itoa(*at(&usual)), at: at}
		flaggy.String(&l.text, "", name, about+" (list)")
		lists = append(lists, l)
	}
	add("routers", "routers", func(s *scalesim.Size) *int { return &s.Routers })
	add("controllers", "controllers", func(s *scalesim.Size) *int { return &s.Controllers })
	add("zones", "zones", func(s *scalesim.Size) *int { return &s.Zones })
	add("runners", "runners", func(s *scalesim.Size) *int { return &s.Runners })
	add("models", "models", func(s *scalesim.Size) *int { return &s.Models })
	add("adapters", "adapters of all models together", func(s *scalesim.Size) *int { return &s.Adapters })
	add("routes", "routes of the service map", func(s *scalesim.Size) *int { return &s.Routes })
	add("perSec", "requests a second to all routers together", func(s *scalesim.Size) *int { return &s.PerSec })
	add("changes", "service maps that come into force while it is measured", func(s *scalesim.Size) *int { return &s.Changes })
	add("shiftMs", "how often another model becomes a busy one; 0 is never", func(s *scalesim.Size) *int { return &s.ShiftMs })
	add("lastsMs", "how long an answer takes", func(s *scalesim.Size) *int { return &s.LastsMs })
	flaggy.Int(&usual.WarmSeconds, "", "warm", "virtual seconds before it is measured")
	flaggy.Int(&usual.Seconds, "", "seconds", "virtual seconds that are measured")
	flaggy.Int(&usual.HeapMb, "", "heap", "the most memory of the run in MB, at most half of the machine's")
	kinds, machine := false, false
	flaggy.Bool(&kinds, "", "kinds", "print the messages of each kind too")
	flaggy.Bool(&machine, "", "json", "print the results as JSON")
	cli.Parse()
	if half := halfMb(); usual.HeapMb > half {
		cli.UsageError("heap: %d MB is more than half of the machine's, %d MB", usual.HeapMb, half)
	}
	sizes := sizesOf(usual, lists)
	debug.SetMemoryLimit(int64(usual.HeapMb) << 20)
	// The clock is that of one thread.
	runtime.LockOSThread()
	var results []scalesim.Result
	for _, size := range sizes {
		result, err := scalesim.Run(size, threadNs)
		if err != nil {
			cli.Fatal("%d routers, %d runners: %v", size.Routers, size.Runners, err)
		}
		results = append(results, result)
	}
	if machine {
		_ = json.NewEncoder(os.Stdout).Encode(results)
		return
	}
	scalesim.Table(os.Stdout, results, kinds)
}

// list is a flag that takes several figures.
type list struct {
	name, text string
	at         func(s *scalesim.Size) *int
}

const sizesMost = 20

// sizesOf makes the sites that the lists tell.
func sizesOf(usual scalesim.Size, lists []*list) []scalesim.Size {
	figures, count := make([][]int, len(lists)), 1
	for i, l := range lists {
		for _, text := range strings.Split(l.text, ",") {
			n, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil {
				cli.UsageError("%s: %q is no whole number", l.name, text)
			}
			figures[i] = append(figures[i], n)
		}
		count = max(count, len(figures[i]))
	}
	if count > sizesMost {
		cli.UsageError("%d sites are more than %d", count, sizesMost)
	}
	var sizes []scalesim.Size
	for n := range count {
		size := usual
		for i, l := range lists {
			*l.at(&size) = figures[i][min(n, len(figures[i])-1)]
		}
		if faults := size.Faults(); len(faults) > 0 {
			cli.UsageError("%s", strings.Join(faults, "; "))
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// threadNs is the processor time of this thread.
func threadNs() int64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &at); err != nil {
		cli.Fatal("clock: %v", err)
	}
	return at.Nano()
}

// halfMb is half of the machine's memory.
func halfMb() int {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		cli.Fatal("memory: %v", err)
	}
	return int(uint64(info.Totalram) * uint64(info.Unit) >> 21)
}

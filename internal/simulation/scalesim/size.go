// Package scalesim runs the state machines of a whole large site in one process,
// without sockets: many routers, some controllers, and simulated runners, in
// virtual time. Every message passes through the codec of real connections, so
// that its size is realistic, and the processor time of each role is summed up. It
// measures what each role costs at sizes that no test environment reaches.
package scalesim

import "fmt"

// Size describes a site to be measured. Its fields appear under their own names or
// tags in the JSON of a Result.
type Size struct {
	Routers, Controllers, Zones int
	// Adapters is the number of adapters of all models together.
	Runners, Models, Adapters int
	// Routes is how many routes the configuration has.
	Routes int
	// RequestsPerSec is the rate of requests to all routers together.
	RequestsPerSec int `json:"PerSec"`
	// Changes is how many configurations are submitted while the site is measured.
	Changes int
	// ShiftMs is the interval at which another model becomes one of the busiest; 0 means
	// never.
	ShiftMs int
	// ResponseMs is how long a response takes.
	ResponseMs int `json:"LastsMs"`
	// WarmSeconds is the duration of the warm-up before the measurement. Seconds is the
	// duration of the measurement. Both are in virtual time.
	WarmSeconds, Seconds int
	// HeapMb is the maximum heap size of the run.
	HeapMb int
}

// DefaultSize is a small site.
func DefaultSize() Size {
	return Size{
		Routers: 30, Controllers: 5, Zones: 7, Runners: 100, Models: 50, Adapters: 300, Routes: 100, RequestsPerSec: 300,
		Changes: 1, ShiftMs: 5000, ResponseMs: 3000, WarmSeconds: 8, Seconds: 10, HeapMb: 4096,
	}
}

// Faults returns a description of each field that is out of bounds, which starts with
// the name of its flag.
func (s Size) Faults() []string {
	var faults []string
	check := func(flag string, value, minimum, maximum int) {
		if value < minimum || value > maximum {
			faults = append(faults, fmt.Sprintf("%s: %d is not between %d and %d", flag, value, minimum, maximum))
		}
	}
	check("routers", s.Routers, 1, 1000)
	check("controllers", s.Controllers, 3, 25)
	check("zones", s.Zones, 1, 20)
	check("runners", s.Runners, 1, 20_000)
	check("models", s.Models, 1, 2000)
	check("adapters", s.Adapters, 0, 10_000)
	check("routes", s.Routes, 1, 5000)
	check("perSec", s.RequestsPerSec, 0, 20_000)
	check("changes", s.Changes, 0, 100)
	check("shiftMs", s.ShiftMs, 0, 600_000)
	check("lastsMs", s.ResponseMs, 1, 60_000)
	check("warmSeconds", s.WarmSeconds, 5, 120)
	check("seconds", s.Seconds, 1, 120)
	check("heapMb", s.HeapMb, 64, 1<<20)
	return faults
}

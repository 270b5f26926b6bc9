// Package scalesim runs the machines of a whole large site in one process,
// without sockets: many routers, some controllers, and stand-ins for the
// runners, in virtual time. Every message goes through the codec of the wire,
// so that its bytes are true, and the processor time of each role is summed up.
// It is for working out what each role costs at sizes that no bench reaches.
package scalesim

import "fmt"

// Size is one site to be measured.
type Size struct {
	Routers, Controllers, Zones int
	Runners, Models, Adapters   int
	// Routes is how many routes the service map has.
	Routes int
	// PerSec is how many requests a second come to all routers together.
	PerSec int
	// Changes is how many service maps come into force while it is measured.
	Changes int
	// ShiftMs is how often another model becomes one of the busiest; 0 is never.
	ShiftMs int
	// LastsMs is how long an answer takes.
	LastsMs int
	// WarmSeconds go by before Seconds are measured, in virtual time.
	WarmSeconds, Seconds int
	// HeapMb is the most memory that the run may take.
	HeapMb int
}

// Usual is a small site.
func Usual() Size {
	return Size{
		Routers: 30, Controllers: 5, Zones: 7, Runners: 100, Models: 50, Adapters: 300, Routes: 100, PerSec: 300,
		Changes: 1, ShiftMs: 5000, LastsMs: 3000, WarmSeconds: 8, Seconds: 10, HeapMb: 4096,
	}
}

// Faults gives everything that is out of bounds.
func (s Size) Faults() []string {
	var faults []string
	within := func(name string, value, least, most int) {
		if value < least || value > most {
			faults = append(faults, fmt.Sprintf("%s: %d is not from %d to %d", name, value, least, most))
		}
	}
	within("routers", s.Routers, 1, 1000)
	within("controllers", s.Controllers, 3, 25)
	within("zones", s.Zones, 1, 20)
	within("runners", s.Runners, 1, 20_000)
	within("models", s.Models, 1, 2000)
	within("adapters", s.Adapters, 0, 10_000)
	within("routes", s.Routes, 1, 5000)
	within("perSec", s.PerSec, 0, 20_000)
	within("changes", s.Changes, 0, 100)
	within("shiftMs", s.ShiftMs, 0, 600_000)
	within("lastsMs", s.LastsMs, 1, 60_000)
	within("warmSeconds", s.WarmSeconds, 5, 120)
	within("seconds", s.Seconds, 1, 120)
	within("heapMb", s.HeapMb, 64, 1<<20)
	return faults
}

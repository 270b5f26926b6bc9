package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// listLagMs is how old the platform's list is.
	listLagMs = 800
	// maxListings bounds the recorded states of the list.
	maxListings = 40
	// listWindowMs is the span over which calls to the list are limited.
	listWindowMs = 1000

	modelRunnerCount = 4
	plainRunnerCount = 3
	otherRunnerCount = 2
)

// fleet is the platform's side: the runners and the list of them.
type fleet struct {
	sim *Simulation
	// runners holds the incarnations that run, and those that have ended and are
	// still listed.
	runners []*runner
	// onDisk holds, by service and address, the models on a machine's disk.
	onDisk map[string]map[string]bool
	// listings are the latest states of the list, the oldest first.
	listings []listing
	// listCallsMs are the times of the latest calls to the list.
	listCallsMs []int64
	// lastRunner and lastAddress number runners and addresses.
	lastRunner, lastAddress int
	// lostAnswerShare of the runners' answers are lost, errorShare of their runs
	// fail, and resetShare of them end with a reset of the connection.
	lostAnswerShare, errorShare, resetShare float64
	// streamSlowness multiplies the time that a chunk of a stream takes.
	streamSlowness int64
}

// listing is the state of the list at a time.
type listing struct {
	atMs    int64
	runners []protocol.RunnerEntry
}

func newFleet(sim *Simulation) fleet {
	f := fleet{sim: sim, onDisk: map[string]map[string]bool{}, streamSlowness: 1}
	for i := range modelRunnerCount {
		r := f.startRunner(modelService, f.newAddress())
		for _, model := range []int{2 * i, 2*i + 1} {
			r.memory.Models[modelName(model%modelCount)] = map[string]bool{}
			r.memory.OnDisk[modelName(model%modelCount)] = true
		}
	}
	for range plainRunnerCount {
		f.startRunner(plainService, f.newAddress())
	}
	for range otherRunnerCount {
		f.startRunner(otherService, f.newAddress())
	}
	return f
}

func (f *fleet) newAddress() string {
	f.lastAddress++
	return fmt.Sprintf("10.1.0.%d:80", f.lastAddress)
}

// startRunner starts a new incarnation of a runner at an address. The models
// that were loaded there before are on its disk.
func (f *fleet) startRunner(service, address string) *runner {
	f.lastRunner++
	machine := service + " " + address
	if f.onDisk[machine] == nil {
		f.onDisk[machine] = map[string]bool{}
	}
	r := &runner{sim: f.sim, memory: modelmemory.New(f.onDisk[machine]), loading: map[string]bool{}}
	r.entry = protocol.RunnerEntry{
		ID: fmt.Sprintf("i-%03d", f.lastRunner), Service: service, Address: address,
		Zone: fmt.Sprintf("zone-%d", f.lastRunner%zoneCount), Slots: slots, LeftMs: -1,
	}
	f.runners = append(f.runners, r)
	return r
}

// runnerAt gives the runner that runs at an address, or nil.
func (f *fleet) runnerAt(address string) *runner {
	for _, r := range f.runners {
		if !r.hasEnded && r.entry.Address == address {
			return r
		}
	}
	return nil
}

// activeRunners lists the runners of a service, or of all, that run, answer and
// are not draining.
func (f *fleet) activeRunners(service string) []*runner {
	return slices.DeleteFunc(slices.Clone(f.runners), func(r *runner) bool {
		isActive := !r.hasEnded && !r.isSilent && !r.entry.Leaving
		return !isActive || service != "" && r.entry.Service != service
	})
}

// randomRunner draws one of the active runners; it gives nil if there is none.
func (sim *Simulation) randomRunner(service string) *runner {
	active := sim.fleet.activeRunners(service)
	if len(active) == 0 {
		return nil
	}
	return active[sim.random.Intn(len(active))]
}

// recordListing records what the list will show later, and what runners will
// report of themselves.
func (f *fleet) recordListing() {
	nowMs := f.sim.NowMs()
	f.runners = slices.DeleteFunc(f.runners, func(r *runner) bool { return r.hasEnded && nowMs >= r.listedUntilMs })
	var entries []protocol.RunnerEntry
	for _, r := range f.runners {
		if !r.hasEnded {
			r.recordState(nowMs)
		}
		entry := r.entry
		if entry.Leaving && entry.LeftMs >= 0 {
			entry.LeftMs = max(0, r.endMs-nowMs)
		}
		entry.Models = r.memory.HeldModels()
		entries = append(entries, entry)
	}
	f.listings = append(f.listings, listing{nowMs, entries})
	if len(f.listings) > maxListings {
		f.listings = f.listings[1:]
	}
}

// list answers a call to the platform's list; isAnswered is false while the
// list is down.
func (f *fleet) list() (list protocol.RunnerList, isAnswered bool) {
	if f.sim.isListDown {
		return protocol.RunnerList{}, false
	}
	nowMs := f.sim.NowMs()
	f.listCallsMs = slices.DeleteFunc(f.listCallsMs, func(atMs int64) bool { return nowMs-atMs >= listWindowMs })
	f.listCallsMs = append(f.listCallsMs, nowMs)
	if float64(len(f.listCallsMs)) > listPerSec {
		return protocol.RunnerList{Limited: true}, true
	}
	entries := slices.Clone(f.listedAt(nowMs - listLagMs))
	for i := range entries {
		if !entries[i].Leaving {
			continue
		}
		f.sim.Checker.recordListedDraining(entries[i].ID)
		if f.sim.Bugs.HideDraining {
			entries[i].Leaving, entries[i].LeftMs = false, -1
		}
	}
	return protocol.RunnerList{Ok: true, Runners: entries}, true
}

// listedAt gives the state of the list at a time, or the oldest recorded one.
func (f *fleet) listedAt(atMs int64) []protocol.RunnerEntry {
	entries := f.listings[0].runners
	for _, l := range f.listings {
		if l.atMs <= atMs {
			entries = l.runners
		}
	}
	return entries
}

package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// listLagMs is how old the contents of the platform's runner list are.
	listLagMs = 800
	// maxListSnapshots bounds the recorded states of the list.
	maxListSnapshots = 40
	// listRateWindowMs is the window of the rate limit on calls to the list.
	listRateWindowMs = 1000

	modelRunnerCount = 4
	plainRunnerCount = 3
	otherRunnerCount = 2
)

// fleet models what the platform provides: the runners and the runner list.
type fleet struct {
	sim *Simulation
	// runners holds the running incarnations, and those that have ended but are still listed.
	runners []*runner
	// onDisk holds, by service and address, the models on the disk of a runner's host.
	onDisk map[string]map[string]bool
	// listSnapshots are the latest recorded states of the list, oldest first.
	listSnapshots []listSnapshot
	// listCallTimesMs are the times of the latest calls to the list.
	listCallTimesMs []int64
	// lastRunnerNumber and lastAddressNumber are the last numbers given to a runner and an address.
	lastRunnerNumber, lastAddressNumber int
	// lostResponseRate is the share of runners' responses that are lost. errorRate is the share of
	// plain runs that end with an error response. resetRate is the share of runs that end with a
	// reset of the connection.
	lostResponseRate, errorRate, resetRate float64
	// chunkTimeFactor multiplies the usual time that chunks of streams take.
	chunkTimeFactor int64
}

// listSnapshot is the state of the runner list at one time.
type listSnapshot struct {
	atMs    int64
	runners []protocol.RunnerEntry
}

func newFleet(sim *Simulation) fleet {
	f := fleet{sim: sim, onDisk: map[string]map[string]bool{}, chunkTimeFactor: 1}
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
	f.lastAddressNumber++
	return fmt.Sprintf("10.1.0.%d:80", f.lastAddressNumber)
}

// startRunner starts a new incarnation of a runner at an address. The models that earlier runners
// of the service loaded at this address are on its disk.
func (f *fleet) startRunner(service, address string) *runner {
	f.lastRunnerNumber++
	host := service + " " + address
	if f.onDisk[host] == nil {
		f.onDisk[host] = map[string]bool{}
	}
	r := &runner{sim: f.sim, memory: modelmemory.New(f.onDisk[host]), loadingOrUnloading: map[string]bool{}}
	r.entry = protocol.RunnerEntry{
		ID: fmt.Sprintf("i-%03d", f.lastRunnerNumber), Service: service, Address: address,
		Zone: fmt.Sprintf("zone-%d", f.lastRunnerNumber%zoneCount), Slots: runnerSlots, LeftMs: -1,
	}
	f.runners = append(f.runners, r)
	return r
}

// runnerAt returns the runner that is running at an address, or nil.
func (f *fleet) runnerAt(address string) *runner {
	for _, r := range f.runners {
		if !r.hasEnded && r.entry.Address == address {
			return r
		}
	}
	return nil
}

// activeRunners returns the runners of a service, or of all services if it is empty, that are
// running, responsive and not draining.
func (f *fleet) activeRunners(service string) []*runner {
	return slices.DeleteFunc(slices.Clone(f.runners), func(r *runner) bool {
		isActive := !r.hasEnded && !r.isUnresponsive && !r.entry.Leaving
		return !isActive || service != "" && r.entry.Service != service
	})
}

// randomRunner draws one of the active runners of a service, or returns nil if there is none.
func (sim *Simulation) randomRunner(service string) *runner {
	active := sim.fleet.activeRunners(service)
	if len(active) == 0 {
		return nil
	}
	return active[sim.random.Intn(len(active))]
}

// recordSnapshots records the current states of the runner list and of each runner. The list and
// the runners report these states some time later.
func (f *fleet) recordSnapshots() {
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
	f.listSnapshots = append(f.listSnapshots, listSnapshot{nowMs, entries})
	if len(f.listSnapshots) > maxListSnapshots {
		f.listSnapshots = f.listSnapshots[1:]
	}
}

// list handles a call to the runner list. isAnswered is false while the list is down.
func (f *fleet) list() (list protocol.RunnerList, isAnswered bool) {
	if f.sim.isRunnerListDown {
		return protocol.RunnerList{}, false
	}
	nowMs := f.sim.NowMs()
	f.listCallTimesMs = slices.DeleteFunc(f.listCallTimesMs, func(atMs int64) bool { return nowMs-atMs >= listRateWindowMs })
	f.listCallTimesMs = append(f.listCallTimesMs, nowMs)
	if float64(len(f.listCallTimesMs)) > maxListCallsPerSec {
		return protocol.RunnerList{Limited: true}, true
	}
	entries := slices.Clone(f.entriesListedAt(nowMs - listLagMs))
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

// entriesListedAt returns the state of the list at a time, or the oldest recorded state.
func (f *fleet) entriesListedAt(atMs int64) []protocol.RunnerEntry {
	entries := f.listSnapshots[0].runners
	for _, l := range f.listSnapshots {
		if l.atMs <= atMs {
			entries = l.runners
		}
	}
	return entries
}

package faultsim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	listAddress = "list"
	listPerSec  = 47.0
	// listLagMs is how far the list trails, stateLagMs a runner's own word.
	listLagMs  = 800
	stateLagMs = 150
	// crashListedMs is for how long a crashed runner stays listed.
	crashListedMs = 4000
)

// fleet is the platform's side: the runners and the list of them.
type fleet struct {
	// runners holds every life, the living and the listed ones.
	runners       []*runner
	weightsOnDisk map[string]map[string]bool
	listings      []listing
	listCallsMs   []int64
	lastRunner    int
	lastAddress   int
	// lostAnswerShare of the answers of runners are lost, errorShare of their runs fail,
	// and resetShare of them end with a reset.
	lostAnswerShare, errorShare, resetShare float64
}

type listing struct {
	atMs    int64
	runners []protocol.RunnerEntry
}

func newFleet(sim *Simulation) fleet {
	f := fleet{weightsOnDisk: map[string]map[string]bool{}}
	for i := range 4 {
		r := f.startRunner(sim, modelService, f.newAddress())
		for _, at := range []int{2 * i, 2*i + 1} {
			r.loaded[modelName(at%modelCount)] = map[string]bool{}
			r.weightsOnDisk[modelName(at%modelCount)] = true
		}
	}
	for range 3 {
		f.startRunner(sim, plainService, f.newAddress())
	}
	for range 2 {
		f.startRunner(sim, otherService, f.newAddress())
	}
	return f
}

func (f *fleet) newAddress() string {
	f.lastAddress++
	return fmt.Sprintf("10.1.0.%d:80", f.lastAddress)
}

// startRunner starts a new life of a runner at an address. What its machine loaded
// before lies on its disk.
func (f *fleet) startRunner(sim *Simulation, service, address string) *runner {
	f.lastRunner++
	id := fmt.Sprintf("i-%03d", f.lastRunner)
	key := service + " " + address
	if f.weightsOnDisk[key] == nil {
		f.weightsOnDisk[key] = map[string]bool{}
	}
	r := &runner{
		sim: sim, loaded: map[string]map[string]bool{}, weightsOnDisk: f.weightsOnDisk[key], loading: map[string]bool{},
		entry: protocol.RunnerEntry{ID: id, Service: service, Address: address, Zone: fmt.Sprintf("zone-%d", f.lastRunner%3), Slots: slots, LeftMs: -1},
	}
	f.runners = append(f.runners, r)
	return r
}

// runnerAt gives the runner that lives at an address, if one does.
func (f *fleet) runnerAt(address string) *runner {
	for _, r := range f.runners {
		if !r.ended && r.entry.Address == address {
			return r
		}
	}
	return nil
}

// activeRunners lists the runners of a service that live and are not leaving.
func (f *fleet) activeRunners(service string) []*runner {
	return slices.DeleteFunc(slices.Clone(f.runners), func(r *runner) bool {
		return r.ended || r.silent || r.entry.Leaving || service != "" && r.entry.Service != service
	})
}

// some gives one of the living.
func (sim *Simulation) randomRunner(service string) *runner {
	living := sim.fleet.activeRunners(service)
	if len(living) == 0 {
		return nil
	}
	return living[sim.random.Intn(len(living))]
}

// recordListing takes down what the list will show later, and what runners will say.
func (f *fleet) recordListing(sim *Simulation) {
	f.runners = slices.DeleteFunc(f.runners, func(r *runner) bool { return r.ended && sim.NowMs() >= r.listedToMs })
	var list []protocol.RunnerEntry
	for _, r := range f.runners {
		if !r.ended {
			r.recordState(sim.NowMs())
		}
		e := r.entry
		if e.Leaving && e.LeftMs >= 0 {
			e.LeftMs = max(0, r.endMs-sim.NowMs())
		}
		e.Models = r.loadedModels()
		list = append(list, e)
	}
	f.listings = append(f.listings, listing{sim.NowMs(), list})
	if len(f.listings) > 40 {
		f.listings = f.listings[1:]
	}
}

// list is what a call to the platform is answered with.
func (f *fleet) list(sim *Simulation) (protocol.RunnerList, bool) {
	if sim.listDown {
		return protocol.RunnerList{}, false
	}
	f.listCallsMs = slices.DeleteFunc(f.listCallsMs, func(atMs int64) bool { return sim.NowMs()-atMs >= 1000 })
	f.listCallsMs = append(f.listCallsMs, sim.NowMs())
	if float64(len(f.listCallsMs)) > listPerSec {
		return protocol.RunnerList{Limited: true}, true
	}
	shown := f.listings[0].runners
	for _, l := range f.listings {
		if l.atMs <= sim.NowMs()-listLagMs {
			shown = l.runners
		}
	}
	shown = slices.Clone(shown)
	for i := range shown {
		if shown[i].Leaving {
			sim.Checker.recordListedDraining(shown[i].ID)
			if sim.Bugs.HideDraining {
				shown[i].Leaving, shown[i].LeftMs = false, -1
			}
		}
	}
	return protocol.RunnerList{Ok: true, Runners: shown}, true
}

// leave marks a runner as leaving; it ends some time after the drain, or when
// the notice is over, whatever it runs.
func (sim *Simulation) drainRunner(r *runner, spot bool) {
	if r == nil || r.ended || r.entry.Leaving {
		return
	}
	r.entry.Leaving = true
	endMs := listLagMs + sim.Bounds.DrainMs + 1500
	if spot {
		endMs = listLagMs + 1200 + sim.random.Int63n(1500)
		r.entry.LeftMs = endMs
	}
	r.endMs = sim.NowMs() + endMs
	sim.logf("%s of %s is leaving, spot: %v", r.entry.ID, r.entry.Service, spot)
	sim.after(endMs, func() { sim.endRunner(r, true, 0) })
}

// endRunner ends a life. With resets those who wait hear of it.
func (sim *Simulation) endRunner(r *runner, resets bool, listedMs int64) {
	if r.ended {
		return
	}
	sim.logf("%s of %s ends, resets: %v", r.entry.ID, r.entry.Service, resets)
	r.ended, r.listedToMs = true, sim.NowMs()+listedMs
	jobs := r.running
	r.running, r.queue = nil, nil
	if resets {
		for _, j := range jobs {
			j.connectionBroken()
		}
	}
}

// crashRunner ends a runner without a word and brings another life later.
func (sim *Simulation) crashRunner(r *runner, resets bool) {
	if r == nil || r.ended {
		return
	}
	sim.endRunner(r, resets, crashListedMs)
	sim.after(2000+sim.random.Int63n(3000), func() {
		if sim.fleet.runnerAt(r.entry.Address) == nil {
			sim.logf("%s begins another life", r.entry.Address)
			sim.fleet.startRunner(sim, r.entry.Service, r.entry.Address)
		}
	})
}

// replaceRunner brings a fresh runner elsewhere, has the old one leave, and gives
// its address to another service once that may be.
func (sim *Simulation) replaceRunner(r *runner, spot bool) {
	if r == nil || r.ended || r.entry.Leaving {
		return
	}
	sim.fleet.startRunner(sim, r.entry.Service, sim.fleet.newAddress())
	sim.drainRunner(r, spot)
	if r.entry.Service == modelService {
		return
	}
	sim.after(r.endMs-sim.NowMs()+sim.Bounds.ReuseAfterMs, func() {
		service := otherService
		if r.entry.Service == otherService {
			service = plainService
		}
		if sim.fleet.runnerAt(r.entry.Address) == nil && len(sim.fleet.activeRunners(service)) < 4 {
			sim.logf("%s passes to a runner of %s", r.entry.Address, service)
			sim.fleet.startRunner(sim, service, r.entry.Address)
		}
	})
}

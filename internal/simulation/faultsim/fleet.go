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
	// all holds every life, the living and the listed ones.
	all    []*runner
	disks  map[string]map[string]bool
	past   []listing
	calls  []int64
	number int
	places int
	// deafPart of the answers of runners are lost, failPart of their runs fail,
	// and resetPart of them end with a reset.
	deafPart, failPart, resetPart float64
}

type listing struct {
	atMs    int64
	runners []protocol.RunnerEntry
}

func newFleet(w *World) fleet {
	f := fleet{disks: map[string]map[string]bool{}}
	for i := range 4 {
		r := f.begin(w, llm, f.address())
		for _, at := range []int{2 * i, 2*i + 1} {
			r.held[modelName(at%models)] = map[string]bool{}
			r.disk[modelName(at%models)] = true
		}
	}
	for range 3 {
		f.begin(w, plain, f.address())
	}
	for range 2 {
		f.begin(w, other, f.address())
	}
	return f
}

func (f *fleet) address() string {
	f.places++
	return fmt.Sprintf("10.1.0.%d:80", f.places)
}

// begin starts a new life of a runner at an address. What its machine loaded
// before lies on its disk.
func (f *fleet) begin(w *World, service, address string) *runner {
	f.number++
	id := fmt.Sprintf("i-%03d", f.number)
	key := service + " " + address
	if f.disks[key] == nil {
		f.disks[key] = map[string]bool{}
	}
	r := &runner{
		w: w, held: map[string]map[string]bool{}, disk: f.disks[key], loading: map[string]bool{},
		entry: protocol.RunnerEntry{ID: id, Service: service, Address: address, Zone: fmt.Sprintf("zone-%d", f.number%3), Slots: slots, LeftMs: -1},
	}
	f.all = append(f.all, r)
	return r
}

// at gives the runner that lives at an address, if one does.
func (f *fleet) at(address string) *runner {
	for _, r := range f.all {
		if !r.gone && r.entry.Address == address {
			return r
		}
	}
	return nil
}

// living lists the runners of a service that live and are not leaving.
func (f *fleet) living(service string) []*runner {
	return slices.DeleteFunc(slices.Clone(f.all), func(r *runner) bool {
		return r.gone || r.silent || r.entry.Leaving || service != "" && r.entry.Service != service
	})
}

// some gives one of the living.
func (w *World) someRunner(service string) *runner {
	living := w.fleet.living(service)
	if len(living) == 0 {
		return nil
	}
	return living[w.random.Intn(len(living))]
}

// note takes down what the list will show later, and what runners will say.
func (f *fleet) note(w *World) {
	f.all = slices.DeleteFunc(f.all, func(r *runner) bool { return r.gone && w.NowMs() >= r.listedToMs })
	var list []protocol.RunnerEntry
	for _, r := range f.all {
		if !r.gone {
			r.note(w.NowMs())
		}
		e := r.entry
		if e.Leaving && e.LeftMs >= 0 {
			e.LeftMs = max(0, r.endMs-w.NowMs())
		}
		e.Models = r.models()
		list = append(list, e)
	}
	f.past = append(f.past, listing{w.NowMs(), list})
	if len(f.past) > 40 {
		f.past = f.past[1:]
	}
}

// list is what a call to the platform is answered with.
func (f *fleet) list(w *World) (protocol.RunnerList, bool) {
	if w.listDown {
		return protocol.RunnerList{}, false
	}
	f.calls = slices.DeleteFunc(f.calls, func(atMs int64) bool { return w.NowMs()-atMs >= 1000 })
	f.calls = append(f.calls, w.NowMs())
	if float64(len(f.calls)) > listPerSec {
		return protocol.RunnerList{Limited: true}, true
	}
	shown := f.past[0].runners
	for _, l := range f.past {
		if l.atMs <= w.NowMs()-listLagMs {
			shown = l.runners
		}
	}
	shown = slices.Clone(shown)
	for i := range shown {
		if shown[i].Leaving {
			w.Book.listedLeaving(shown[i].ID)
			if w.Breaks.KeepLeaving {
				shown[i].Leaving, shown[i].LeftMs = false, -1
			}
		}
	}
	return protocol.RunnerList{Ok: true, Runners: shown}, true
}

// leave marks a runner as leaving; it ends some time after the drain, or when
// the notice is over, whatever it runs.
func (w *World) leaveRunner(r *runner, spot bool) {
	if r == nil || r.gone || r.entry.Leaving {
		return
	}
	r.entry.Leaving = true
	endMs := listLagMs + w.Bounds.DrainMs + 1500
	if spot {
		endMs = listLagMs + 1200 + w.random.Int63n(1500)
		r.entry.LeftMs = endMs
	}
	r.endMs = w.NowMs() + endMs
	w.note("%s of %s is leaving, spot: %v", r.entry.ID, r.entry.Service, spot)
	w.after(endMs, func() { w.endRunner(r, true, 0) })
}

// endRunner ends a life. With resets those who wait hear of it.
func (w *World) endRunner(r *runner, resets bool, listedMs int64) {
	if r.gone {
		return
	}
	w.note("%s of %s ends, resets: %v", r.entry.ID, r.entry.Service, resets)
	r.gone, r.listedToMs = true, w.NowMs()+listedMs
	jobs := r.jobs
	r.jobs, r.queue = nil, nil
	if resets {
		for _, j := range jobs {
			j.broken()
		}
	}
}

// crash ends a runner without a word and brings another life later.
func (w *World) crash(r *runner, resets bool) {
	if r == nil || r.gone {
		return
	}
	w.endRunner(r, resets, crashListedMs)
	w.after(2000+w.random.Int63n(3000), func() {
		if w.fleet.at(r.entry.Address) == nil {
			w.note("%s begins another life", r.entry.Address)
			w.fleet.begin(w, r.entry.Service, r.entry.Address)
		}
	})
}

// replace brings a fresh runner elsewhere, has the old one leave, and gives
// its address to another service once that may be.
func (w *World) replace(r *runner, spot bool) {
	if r == nil || r.gone || r.entry.Leaving {
		return
	}
	w.fleet.begin(w, r.entry.Service, w.fleet.address())
	w.leaveRunner(r, spot)
	if r.entry.Service == llm {
		return
	}
	w.after(r.endMs-w.NowMs()+w.Bounds.ReuseAfterMs, func() {
		service := other
		if r.entry.Service == other {
			service = plain
		}
		if w.fleet.at(r.entry.Address) == nil && len(w.fleet.living(service)) < 4 {
			w.note("%s passes to a runner of %s", r.entry.Address, service)
			w.fleet.begin(w, service, r.entry.Address)
		}
	})
}

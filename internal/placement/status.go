package placement

import "fmt"

// page is what operators see of the holdings.
type page struct {
	Epoch   uint64       `json:"epoch"`
	Change  uint64       `json:"change"`
	Fenced  bool         `json:"fenced"`
	Counts  figures      `json:"counts"`
	Runners []runnerPage `json:"runners"`
	Models  []modelPage  `json:"models"`
}

type runnerPage struct {
	ID      string              `json:"id"`
	Service string              `json:"service"`
	Zone    string              `json:"zone"`
	Leaving bool                `json:"leaving,omitempty"`
	Suspect bool                `json:"suspect,omitempty"`
	Held    map[string][]string `json:"held,omitempty"`
	Order   string              `json:"order,omitempty"`
	Plan    string              `json:"plan,omitempty"`
	Active  int                 `json:"active"`
	Queued  int                 `json:"queued"`
}

type modelPage struct {
	Service string  `json:"service"`
	Name    string  `json:"name"`
	Copies  int     `json:"copies"`
	Coming  int     `json:"coming"`
	Wanted  int     `json:"wanted"`
	Rate    float64 `json:"rate"`
	Waits   float64 `json:"waits"`
}

// Status is the page of the holdings, fit for JSON. Models that nobody asked
// for stay out.
func (k *Keeper) Status() any {
	p := page{Epoch: k.epoch, Change: k.change, Fenced: k.fenced, Counts: k.counts, Runners: []runnerPage{}, Models: []modelPage{}}
	for _, r := range k.sorted {
		rp := runnerPage{
			ID: r.entry.ID, Service: r.service.name, Zone: r.entry.Zone, Leaving: r.leaving, Suspect: r.suspect,
			Active: r.state.Active, Queued: r.state.Queued, Held: map[string][]string{},
		}
		for name, h := range r.held {
			rp.Held[name] = sortedKeys(h.adapters)
		}
		if o := r.order; o != nil {
			verb := "unload"
			if o.load {
				verb = "load"
			}
			rp.Order = fmt.Sprintf("%s %s %s (%s)", verb, o.Model, o.Adapter, [...]string{"sent", "taken", "unknown"}[o.phase])
		}
		if r.plan.Model != "" {
			rp.Plan = r.plan.Model + " " + r.plan.Adapter
		}
		p.Runners = append(p.Runners, rp)
	}
	for _, name := range sortedKeys(k.services) {
		s := k.services[name]
		for _, m := range s.names {
			if m.want.askedMs != 0 {
				p.Models = append(p.Models, modelPage{name, m.name, m.copies, m.coming, m.wanted, m.rate, m.want.waits})
			}
		}
	}
	return p
}

package placement

import "fmt"

// statusPage is what operators see of the holdings.
type statusPage struct {
	Epoch   uint64         `json:"epoch"`
	Change  uint64         `json:"change"`
	Fenced  bool           `json:"fenced"`
	Counts  counters       `json:"counts"`
	Runners []runnerStatus `json:"runners"`
	Models  []modelStatus  `json:"models"`
}

type runnerStatus struct {
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

type modelStatus struct {
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
func (k *Manager) Status() any {
	p := statusPage{Epoch: k.epoch, Change: k.revision, Fenced: k.fenced, Counts: k.counters, Runners: []runnerStatus{}, Models: []modelStatus{}}
	for _, r := range k.sortedRunners {
		rp := runnerStatus{
			ID: r.Entry.ID, Service: r.Service.Name, Zone: r.Entry.Zone, Leaving: r.Leaving, Suspect: r.Suspect,
			Active: r.State.Active, Queued: r.State.Queued, Held: map[string][]string{},
		}
		for name, h := range r.Held {
			rp.Held[name] = sortedKeys(h.Adapters)
		}
		if o := r.Order; o != nil {
			verb := "unload"
			if o.Load {
				verb = "load"
			}
			rp.Order = fmt.Sprintf("%s %s %s (%s)", verb, o.Model, o.Adapter, [...]string{"sent", "taken", "unknown"}[o.Phase])
		}
		if r.ReservedFor.Model != "" {
			rp.Plan = r.ReservedFor.Model + " " + r.ReservedFor.Adapter
		}
		p.Runners = append(p.Runners, rp)
	}
	for _, name := range sortedKeys(k.services) {
		s := k.services[name]
		for _, m := range s.Configured {
			if m.Demand.requestedMs != 0 {
				p.Models = append(p.Models, modelStatus{name, m.Name, m.Copies, m.Coming, m.Wanted, m.Rate, m.Demand.waiting})
			}
		}
	}
	return p
}

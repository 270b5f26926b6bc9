package placement

import (
	"fmt"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// Counters count what happened since the daemon began, for the status page.
// Their names are keys of that page (docs/operators.md).
type Counters struct {
	// Lists and States are reads of the platform's list and answers to polls,
	// ListFails and StateFails those that failed.
	Lists, ListFails, States, StateFails int64
	// Loads and Unloads are orders for models, and StoreLoads the loads among them
	// that came from the weight store.
	Loads, StoreLoads, Unloads int64
	// AdapterLoads and AdapterUnloads are orders for adapters.
	AdapterLoads, AdapterUnloads int64
	// Accepted, Busy, Refused and Unknown are the outcomes of orders. Late ones
	// came for an order that was no longer open.
	Accepted                     int64 `json:"Taken"`
	Busy, Refused, Unknown, Late int64
	Plans                        int64
}

// countOutcome counts what became of an order. A fenced order is not counted.
func (c *Counters) countOutcome(outcome protocol.OrderOutcome) {
	switch outcome {
	case protocol.OutcomeAccepted:
		c.Accepted++
	case protocol.OutcomeBusy, protocol.OutcomeAlreadyInEffect, protocol.OutcomeNotSent:
		c.Busy++
	case protocol.OutcomeRejected:
		c.Refused++
	case protocol.OutcomeUnknown:
		c.Unknown++
	}
}

// countOrder counts an order that is sent for the first time.
func (c *Counters) countOrder(o *runnerstate.Order) {
	switch {
	case o.LoadsAdapter():
		c.AdapterLoads++
	case o.LoadsModel():
		c.Loads++
	case o.Adapter != "":
		c.AdapterUnloads++
	default:
		c.Unloads++
	}
	if o.FromStore {
		c.StoreLoads++
	}
}

// Status is the state of the runners and models as operators see it.
type Status struct {
	Epoch uint64 `json:"epoch"`
	// Revision is that of the index.
	Revision uint64 `json:"change"`
	// Fenced says that a runner has seen a higher epoch, so that orders stopped.
	Fenced   bool           `json:"fenced"`
	Counters Counters       `json:"counts"`
	Runners  []RunnerStatus `json:"runners"`
	Models   []ModelStatus  `json:"models"`
}

// RunnerStatus is a runner on the status page.
type RunnerStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	Suspect bool   `json:"suspect,omitempty"`
	// Held lists the adapters of each held model.
	Held map[string][]string `json:"held,omitempty"`
	// Order is the open order with its phase, ReservedFor what room is kept for.
	Order       string `json:"order,omitempty"`
	ReservedFor string `json:"plan,omitempty"`
	Active      int    `json:"active"`
	Queued      int    `json:"queued"`
}

// ModelStatus is a model on the status page, as of the last plan.
type ModelStatus struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Copies  int    `json:"copies"`
	Coming  int    `json:"coming"`
	Wanted  int    `json:"wanted"`
	// Rate is in requests per second, Waiting how many wait for a load.
	Rate    float64 `json:"rate"`
	Waiting float64 `json:"waits"`
}

// Status returns the status page. Models that nobody ever requested are left
// out.
func (m *Manager) Status() Status {
	status := Status{
		Epoch: m.epoch, Revision: m.revision, Fenced: m.fenced, Counters: m.counters,
		Runners: []RunnerStatus{}, Models: []ModelStatus{},
	}
	for _, r := range m.sortedRunners {
		status.Runners = append(status.Runners, runnerStatus(r))
	}
	for _, service := range sortedKeys(m.services) {
		for _, model := range m.services[service].Configured {
			if model.Demand.Requested() {
				plan := &model.Plan
				status.Models = append(status.Models, ModelStatus{
					Service: service, Name: model.Name, Copies: plan.Copies, Coming: plan.Coming, Wanted: plan.Wanted,
					Rate: plan.Rate, Waiting: model.Demand.Waiting(),
				})
			}
		}
	}
	return status
}

func runnerStatus(r *runnerstate.Runner) RunnerStatus {
	status := RunnerStatus{
		ID: r.Entry.ID, Service: r.Service.Name, Zone: r.Entry.Zone, Leaving: r.Leaving, Suspect: r.Suspect,
		Active: r.State.Active, Queued: r.State.Queued, Held: map[string][]string{},
	}
	for name, h := range r.Held {
		status.Held[name] = sortedKeys(h.Adapters)
	}
	if o := r.Order; o != nil {
		action := "unload"
		if o.Load {
			action = "load"
		}
		status.Order = fmt.Sprintf("%s %s %s (%s)", action, o.Model, o.Adapter, o.Phase)
	}
	if r.ReservedFor.Model != "" {
		status.ReservedFor = r.ReservedFor.Model + " " + r.ReservedFor.Adapter
	}
	return status
}

package placement

import (
	"fmt"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// Counters count events since the daemon's start, for the status page. Their names are keys of
// that page (docs/operators.md).
type Counters struct {
	// Lists and States count successful reads of the runner list and replies to polls;
	// ListFails and StateFails count those that failed.
	Lists, ListFails, States, StateFails int64
	// Loads and Unloads count orders for models. StoreLoads counts the loads among them that
	// count against the weight store's rate limit.
	Loads, StoreLoads, Unloads int64
	// AdapterLoads and AdapterUnloads count orders for adapters.
	AdapterLoads, AdapterUnloads int64
	// Accepted, Busy, Refused and Unknown count the outcomes of orders. Busy includes orders
	// that were already in effect or not sent; Refused ones were rejected by the runner. Late
	// counts outcomes for an order that was no longer open.
	Accepted                     int64 `json:"Taken"`
	Busy, Refused, Unknown, Late int64
	Plans                        int64
}

// countOutcome counts the outcome of an order. A fenced order is not counted.
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

// countOrder counts an order when it is first sent.
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

// Status holds the state of the runners and models for the status page.
type Status struct {
	Epoch uint64 `json:"epoch"`
	// Revision is the revision of the index.
	Revision uint64 `json:"change"`
	// Fenced is true if orders stopped because a runner has seen a higher epoch.
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
	// Order is the open order with its phase. ReservedFor is the load that memory is reserved
	// for.
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
	Pending int    `json:"coming"`
	Target  int    `json:"wanted"`
	// Rate is in requests per second. Waiting is how many requests wait for a load.
	Rate    float64 `json:"rate"`
	Waiting float64 `json:"waits"`
}

// Status returns the data of the status page. Models that were never requested are left out.
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
					Service: service, Name: model.Name, Copies: plan.Copies, Pending: plan.Pending, Target: plan.Target,
					Rate: plan.Rate, Waiting: model.Demand.Waiting(),
				})
			}
		}
	}
	return status
}

func runnerStatus(r *runnerstate.Runner) RunnerStatus {
	status := RunnerStatus{
		ID: r.Entry.ID, Service: r.Service.Name, Zone: r.Entry.Zone, Leaving: r.Draining, Suspect: r.Suspect,
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

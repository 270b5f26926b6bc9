package controller

import (
	"maps"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/placement"
)

// Status is the status page of a controller: what it believes, which may be
// outdated where it is cut off.
type Status struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Active says that this controller is the primary and its lease holds.
	Active bool `json:"active"`
	// Version is that of the configuration in force.
	Version uint64 `json:"version"`
	// Routers counts the routers that polled the primary lately; 0 elsewhere.
	Routers int `json:"routers"`
	// Controllers are the other controllers that are alive.
	Controllers []string `json:"controllers"`
	// Prefill is the prefill under way at each runner in ms, as the routers report
	// it.
	Prefill map[string]int64 `json:"prefill"`
	// Placement is the status of the runners and of the planner.
	Placement placement.Status `json:"ledger"`
}

func (c *Controller) status(h consensus.Host) Status {
	status := Status{
		Name: c.settings.Self.Name, Epoch: h.Epoch(), Primary: h.Primary().Name, Active: c.mayAnswerOperators(h),
		Version: c.config.active.version, Routers: len(c.routers.lastSeenMs), Placement: c.placement.Status(),
		Prefill: maps.Clone(c.prefill.totals),
	}
	for _, controller := range h.Controllers() {
		status.Controllers = append(status.Controllers, controller.Name)
	}
	return status
}

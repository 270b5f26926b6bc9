package controller

import (
	"maps"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/placement"
)

// Status is the status page of a controller. It may be outdated if the controller is
// partitioned from the others.
type Status struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	// Active is true if this controller is the primary and may act as such; see
	// consensus.Host.Serves.
	Active bool `json:"active"`
	// Version is the version of the active configuration.
	Version uint64 `json:"version"`
	// Routers is the number of routers that the primary has seen lately. It is 0 at
	// all other controllers.
	Routers int `json:"routers"`
	// Controllers are the other controllers that are alive.
	Controllers []string `json:"controllers"`
	// Prefill is the prefill in flight at each runner in ms, as the routers report
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

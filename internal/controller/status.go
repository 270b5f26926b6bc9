package controller

import "myrtlewinch/internal/consensus"

// Status is what a controller believes.
type Status struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	Active  bool   `json:"active"`
	Version uint64 `json:"version"`
	Routers int    `json:"routers"`
	// Controllers are the live peers.
	Controllers []string `json:"controllers"`
	Ledger      any      `json:"ledger"`
}

func (s *Controller) status(h consensus.Host) Status {
	status := Status{
		Name: s.set.Self.Name, Epoch: h.Epoch(), Primary: h.Primary().Name, Active: s.serving && h.Active(),
		Version: s.maps.current.version, Routers: len(s.routers), Ledger: s.keeper.Status(),
	}
	for _, place := range h.Controllers() {
		status.Controllers = append(status.Controllers, place.Name)
	}
	return status
}

package faultsim

import (
	"encoding/json"
	"strings"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// configRow is the key of the replicated row that holds the configuration.
	configRow = "map"
	// historyRows is the key prefix of the rows that record accepted submissions.
	historyRows = "history/"
)

// buggyApplication is a controller's application with injected bugs.
type buggyApplication struct {
	consensus.Application
	bugs InjectedBugs
}

// withBugs wraps an application with the injected bugs, if any of them concerns it.
func (sim *Simulation) withBugs(application consensus.Application) consensus.Application {
	bugs := sim.Bugs
	if bugs.ForgetAccepted || bugs.IgnoreBase || bugs.StaleRead || bugs.StaleRejection {
		return buggyApplication{application, bugs}
	}
	return application
}

// localConfig reads the configuration from a controller's own replica, which may be stale.
func localConfig(h consensus.Host) (version uint64, text string) {
	var stored struct {
		Version uint64 `json:"version"`
		Packed  []byte `json:"packed"`
	}
	if json.Unmarshal([]byte(h.Row(configRow)), &stored) != nil {
		return 0, ""
	}
	text, err := protocol.Decompress(stored.Packed)
	if err != nil {
		return 0, ""
	}
	return stored.Version, text
}

// HandleInput handles operators' inputs as a controller with the injected bugs does.
func (a buggyApplication) HandleInput(h consensus.Host, input protocol.Input) bool {
	version, text := localConfig(h)
	switch in := input.(type) {
	case controller.ReadConfig:
		if a.bugs.StaleRead && version > 0 {
			h.Respond(in.ID, controller.ConfigText{Version: version, Text: text})
			return true
		}
	case controller.SubmitConfig:
		if a.bugs.StaleRejection && version > in.BaseVersion {
			h.Respond(in.ID, protocol.Rejection{Kind: errkind.StaleBase, Revision: version})
			return true
		}
		if a.bugs.IgnoreBase {
			in.BaseVersion = version
		}
		return a.Application.HandleInput(a.wrapHost(h), in)
	}
	return a.Application.HandleInput(a.wrapHost(h), input)
}

// BecamePrimary calls the application with a host that has the injected bugs.
func (a buggyApplication) BecamePrimary(h consensus.Host) { a.Application.BecamePrimary(a.wrapHost(h)) }

// Tick calls the application with a host that has the injected bugs.
func (a buggyApplication) Tick(h consensus.Host) { a.Application.Tick(a.wrapHost(h)) }

func (a buggyApplication) wrapHost(h consensus.Host) consensus.Host {
	if a.bugs.ForgetAccepted {
		return historyHidingHost{h}
	}
	return h
}

// historyHidingHost hides from the application the rows that record accepted submissions.
type historyHidingHost struct{ consensus.Host }

// Row returns the value of a row. For a row that records an accepted submission it returns "".
func (h historyHidingHost) Row(key string) string {
	if strings.HasPrefix(key, historyRows) {
		return ""
	}
	return h.Host.Row(key)
}

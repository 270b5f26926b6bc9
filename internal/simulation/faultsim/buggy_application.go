package faultsim

import (
	"encoding/json"
	"strings"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// buggyApplication is a controller's tenant with deliberate faults.
type buggyApplication struct {
	consensus.Application
	bugs InjectedBugs
}

// withBugs gives a tenant the faults that the world has.
func (sim *Simulation) withBugs(tenant consensus.Application) consensus.Application {
	b := sim.Bugs
	if b.ForgetAccepted || b.IgnoreBase || b.StaleRead || b.StaleRejection {
		return buggyApplication{tenant, b}
	}
	return tenant
}

// localConfig reads the map off a daemon's own copy of the state, whether that
// is safe or not.
func localConfig(h consensus.Host) (version uint64, text string) {
	var kept struct {
		Version uint64 `json:"version"`
		Packed  []byte `json:"packed"`
	}
	if json.Unmarshal([]byte(h.Row("map")), &kept) != nil {
		return 0, ""
	}
	text, err := protocol.Decompress(kept.Packed)
	if err != nil {
		return 0, ""
	}
	return kept.Version, text
}

// HandleInput answers operators as a broken system would.
func (t buggyApplication) HandleInput(h consensus.Host, input any) bool {
	version, text := localConfig(h)
	switch in := input.(type) {
	case controller.ReadConfig:
		if t.bugs.StaleRead && version > 0 {
			h.Answer(in.ID, controller.ConfigText{Version: version, Text: text})
			return true
		}
	case controller.SubmitConfig:
		if t.bugs.StaleRejection && version > in.BaseVersion {
			h.Answer(in.ID, protocol.Rejection{Kind: errkind.StaleBase, Revision: version})
			return true
		}
		if t.bugs.IgnoreBase {
			in.BaseVersion = version
		}
		return t.Application.HandleInput(t.wrapHost(h), in)
	}
	return t.Application.HandleInput(t.wrapHost(h), input)
}

// BecamePrimary hands the faults on to the start of a primacy.
func (t buggyApplication) BecamePrimary(h consensus.Host) { t.Application.BecamePrimary(t.wrapHost(h)) }

// Tick hands the faults on to what waits.
func (t buggyApplication) Tick(h consensus.Host) { t.Application.Tick(t.wrapHost(h)) }

func (t buggyApplication) wrapHost(h consensus.Host) consensus.Host {
	if t.bugs.ForgetAccepted {
		return forgetfulHost{h}
	}
	return h
}

// forgetfulHost has no rows of accepted orders.
type forgetfulHost struct{ consensus.Host }

// Row hides the rows of accepted orders.
func (f forgetfulHost) Row(key string) string {
	if strings.HasPrefix(key, "history/") {
		return ""
	}
	return f.Host.Row(key)
}

package faultsim

import (
	"encoding/json"
	"strings"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// brokenTenant is a controller's tenant with deliberate faults.
type brokenTenant struct {
	consensus.Tenant
	breaks Breaks
}

// broken gives a tenant the faults that the world has.
func (w *World) broken(tenant consensus.Tenant) consensus.Tenant {
	b := w.Breaks
	if b.ForgetOrders || b.IgnoreBase || b.StaleRead || b.StaleRefusal {
		return brokenTenant{tenant, b}
	}
	return tenant
}

// copiedMap reads the map off a daemon's own copy of the state, whether that
// is safe or not.
func copiedMap(h consensus.Host) (version uint64, text string) {
	var kept struct {
		Version uint64 `json:"version"`
		Packed  []byte `json:"packed"`
	}
	if json.Unmarshal([]byte(h.Row("map")), &kept) != nil {
		return 0, ""
	}
	text, err := protocol.Unpack(kept.Packed)
	if err != nil {
		return 0, ""
	}
	return kept.Version, text
}

// Input answers operators as a broken system would.
func (t brokenTenant) Input(h consensus.Host, input any) bool {
	version, text := copiedMap(h)
	switch in := input.(type) {
	case controller.Read:
		if t.breaks.StaleRead && version > 0 {
			h.Answer(in.ID, controller.Text{Version: version, Text: text})
			return true
		}
	case controller.HandOver:
		if t.breaks.StaleRefusal && version > in.BuiltOn {
			h.Answer(in.ID, protocol.Rejection{Kind: errkind.StaleBase, Revision: version})
			return true
		}
		if t.breaks.IgnoreBase {
			in.BuiltOn = version
		}
		return t.Tenant.Input(t.host(h), in)
	}
	return t.Tenant.Input(t.host(h), input)
}

// Began hands the faults on to the start of a primacy.
func (t brokenTenant) Began(h consensus.Host) { t.Tenant.Began(t.host(h)) }

// Tick hands the faults on to what waits.
func (t brokenTenant) Tick(h consensus.Host) { t.Tenant.Tick(t.host(h)) }

func (t brokenTenant) host(h consensus.Host) consensus.Host {
	if t.breaks.ForgetOrders {
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

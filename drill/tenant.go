package drill

import (
	"encoding/json"
	"strings"

	"myrtlewinch/control"
	"myrtlewinch/defect"
	"myrtlewinch/steward"
	"myrtlewinch/wire"
)

// brokenTenant is a controller's tenant with deliberate faults.
type brokenTenant struct {
	control.Tenant
	breaks Breaks
}

// broken gives a tenant the faults that the world has.
func (w *World) broken(tenant control.Tenant) control.Tenant {
	b := w.Breaks
	if b.ForgetOrders || b.IgnoreBase || b.StaleRead || b.StaleRefusal {
		return brokenTenant{tenant, b}
	}
	return tenant
}

// copiedMap reads the map off a daemon's own copy of the state, whether that
// is safe or not.
func copiedMap(h control.Host) (version uint64, text string) {
	var kept struct {
		Version uint64 `json:"version"`
		Packed  []byte `json:"packed"`
	}
	if json.Unmarshal([]byte(h.Row("map")), &kept) != nil {
		return 0, ""
	}
	text, err := wire.Unpack(kept.Packed)
	if err != nil {
		return 0, ""
	}
	return kept.Version, text
}

// Input answers operators as a broken system would.
func (t brokenTenant) Input(h control.Host, input any) bool {
	version, text := copiedMap(h)
	switch in := input.(type) {
	case steward.Read:
		if t.breaks.StaleRead && version > 0 {
			h.Answer(in.ID, steward.Text{Version: version, Text: text})
			return true
		}
	case steward.HandOver:
		if t.breaks.StaleRefusal && version > in.BuiltOn {
			h.Answer(in.ID, wire.Dropped{Kind: defect.StaleBase, Revision: version})
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
func (t brokenTenant) Began(h control.Host) { t.Tenant.Began(t.host(h)) }

// Tick hands the faults on to what waits.
func (t brokenTenant) Tick(h control.Host) { t.Tenant.Tick(t.host(h)) }

func (t brokenTenant) host(h control.Host) control.Host {
	if t.breaks.ForgetOrders {
		return forgetfulHost{h}
	}
	return h
}

// forgetfulHost has no rows of accepted orders.
type forgetfulHost struct{ control.Host }

// Row hides the rows of accepted orders.
func (f forgetfulHost) Row(key string) string {
	if strings.HasPrefix(key, "history/") {
		return ""
	}
	return f.Host.Row(key)
}

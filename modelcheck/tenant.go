package modelcheck

import (
	"myrtlewinch/control"
	"myrtlewinch/wire"
)

// Write is an input: a row to be submitted to the replicated state.
type Write struct {
	Key  string
	Then func(ok bool)
}

// rowTenant keeps rows in the replicated state and shows its host.
type rowTenant struct{ host control.Host }

func (t *rowTenant) Changed(h control.Host)                   { t.host = h }
func (t *rowTenant) Began(h control.Host)                     { t.host = h }
func (t *rowTenant) Ended(control.Host)                       {}
func (t *rowTenant) Receive(control.Host, wire.Envelope) bool { return false }
func (t *rowTenant) Tick(control.Host)                        {}

func (t *rowTenant) Input(h control.Host, input any) bool {
	write, ok := input.(Write)
	if ok {
		h.Submit(map[string]string{write.Key: "written"}, write.Then)
	}
	return ok
}

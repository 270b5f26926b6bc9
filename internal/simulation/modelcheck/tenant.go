package modelcheck

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

// Write is an input: a row to be submitted to the replicated state.
type Write struct {
	Key  string
	Then func(ok bool)
}

// rowTenant keeps rows in the replicated state and shows its host.
type rowTenant struct{ host consensus.Host }

func (t *rowTenant) Changed(h consensus.Host)                       { t.host = h }
func (t *rowTenant) Began(h consensus.Host)                         { t.host = h }
func (t *rowTenant) Ended(consensus.Host)                           {}
func (t *rowTenant) Receive(consensus.Host, protocol.Envelope) bool { return false }
func (t *rowTenant) Tick(consensus.Host)                            {}

func (t *rowTenant) Input(h consensus.Host, input any) bool {
	write, ok := input.(Write)
	if ok {
		h.Submit(map[string]string{write.Key: "written"}, write.Then)
	}
	return ok
}

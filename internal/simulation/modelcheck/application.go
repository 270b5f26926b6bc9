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

// rowApplication keeps rows in the replicated state and shows its host.
type rowApplication struct{ host consensus.Host }

func (t *rowApplication) Changed(h consensus.Host)                       { t.host = h }
func (t *rowApplication) Began(h consensus.Host)                         { t.host = h }
func (t *rowApplication) Ended(consensus.Host)                           {}
func (t *rowApplication) Receive(consensus.Host, protocol.Envelope) bool { return false }
func (t *rowApplication) Tick(consensus.Host)                            {}

func (t *rowApplication) Input(h consensus.Host, input any) bool {
	write, ok := input.(Write)
	if ok {
		h.Submit(map[string]string{write.Key: "written"}, write.Then)
	}
	return ok
}

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

func (t *rowApplication) StateChanged(h consensus.Host)                        { t.host = h }
func (t *rowApplication) BecamePrimary(h consensus.Host)                       { t.host = h }
func (t *rowApplication) LostPrimacy(consensus.Host)                           {}
func (t *rowApplication) HandleMessage(consensus.Host, protocol.Envelope) bool { return false }
func (t *rowApplication) Tick(consensus.Host)                                  {}

func (t *rowApplication) HandleInput(h consensus.Host, input any) bool {
	write, ok := input.(Write)
	if ok {
		h.Submit(map[string]string{write.Key: "written"}, write.Then)
	}
	return ok
}

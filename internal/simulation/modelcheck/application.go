package modelcheck

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

// Write is an input of a member's machine: it submits one row to the
// replicated state. Done is called with whether the write was committed.
type Write struct {
	Key  string
	Done func(ok bool)
}

// MachineInput marks Write as a protocol.Input.
func (Write) MachineInput() {}

// writtenValue is the value of every row that a Write submits.
const writtenValue = "written"

// rowApplication is an application that writes rows to the replicated state. It
// keeps its host, from which the checks read the state.
type rowApplication struct{ host consensus.Host }

// StateChanged stores the host.
func (a *rowApplication) StateChanged(h consensus.Host) { a.host = h }

// BecamePrimary stores the host.
func (a *rowApplication) BecamePrimary(h consensus.Host) { a.host = h }

// LostPrimacy does nothing.
func (a *rowApplication) LostPrimacy(consensus.Host) {}

// HandleMessage handles no messages, because the application sends none.
func (a *rowApplication) HandleMessage(consensus.Host, protocol.Envelope) bool { return false }

// Tick does nothing.
func (a *rowApplication) Tick(consensus.Host) {}

// HandleInput submits a Write.
func (a *rowApplication) HandleInput(h consensus.Host, input protocol.Input) bool {
	write, isWrite := input.(Write)
	if isWrite {
		h.Submit(map[string]string{write.Key: writtenValue}, write.Done)
	}
	return isWrite
}

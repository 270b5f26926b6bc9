package modelcheck

import (
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/protocol"
)

// Write is an input of a member's machine: a row to be submitted to the
// replicated state. Done is called once it is known whether the write is
// committed.
type Write struct {
	Key  string
	Done func(ok bool)
}

// MachineInput marks Write as a protocol.Input.
func (Write) MachineInput() {}

// writtenValue is the value of all rows.
const writtenValue = "written"

// rowApplication is an application that keeps rows in the replicated state. It
// remembers its host, from which the checks read the state.
type rowApplication struct{ host consensus.Host }

// StateChanged remembers the host.
func (a *rowApplication) StateChanged(h consensus.Host) { a.host = h }

// BecamePrimary remembers the host.
func (a *rowApplication) BecamePrimary(h consensus.Host) { a.host = h }

// LostPrimacy does nothing.
func (a *rowApplication) LostPrimacy(consensus.Host) {}

// HandleMessage handles none: the application sends no messages.
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

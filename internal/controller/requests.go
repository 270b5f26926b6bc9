package controller

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/protocol"
)

// OperatorRequest is a request of an operator: SubmitConfig, ReadConfig or
// ReadStatus. Each has an ID that its answer repeats. The answer is an
// OperatorReply, or a protocol.Rejection with the reason why there is none.
type OperatorRequest interface {
	protocol.Input
	isOperatorRequest()
}

// SubmitConfig submits a configuration. It is accepted only while BaseVersion
// is in force, so that of two operators who change the same version only one
// succeeds. ConfigAccepted answers it. Submitting it again unchanged is
// idempotent.
type SubmitConfig struct {
	ID uint64
	// BaseVersion is the version that the operator changed; 0 where none was
	// in force.
	BaseVersion uint64
	Text        string
	// Partial says that Text is a change of named items of the base version
	// rather than a whole configuration.
	Partial bool
}

// ReadConfig asks for the configuration in force. ConfigText answers it.
type ReadConfig struct{ ID uint64 }

// ReadStatus asks for the status page. Status answers it, at any controller.
type ReadStatus struct{ ID uint64 }

func (SubmitConfig) isOperatorRequest() {}
func (ReadConfig) isOperatorRequest()   {}
func (ReadStatus) isOperatorRequest()   {}

// MachineInput marks the requests of operators as inputs.
func (SubmitConfig) MachineInput() {}

// MachineInput marks ReadConfig as a protocol.Input.
func (ReadConfig) MachineInput() {}

// MachineInput marks ReadStatus as a protocol.Input.
func (ReadStatus) MachineInput() {}

// OperatorReply is the outcome of an OperatorRequest: ConfigAccepted,
// ConfigText or Status.
type OperatorReply interface {
	protocol.Reply
	isOperatorReply()
}

// ConfigAccepted says that a submitted configuration is committed and in force
// as the given version.
type ConfigAccepted struct{ Version uint64 }

// ConfigText is the configuration in force, as it was submitted.
type ConfigText struct {
	Version uint64
	Text    string
}

func (ConfigAccepted) isOperatorReply() {}
func (ConfigText) isOperatorReply()     {}
func (Status) isOperatorReply()         {}

// ReplyBody marks the replies to operators.
func (ConfigAccepted) ReplyBody() {}

// ReplyBody marks ConfigText as a protocol.Reply.
func (ConfigText) ReplyBody() {}

// ReplyBody marks Status as a protocol.Reply.
func (Status) ReplyBody() {}

// ConfigFormat translates the text of configurations. It decides nothing and
// keeps nothing. Package platform has the format of the users' platform.
type ConfigFormat interface {
	// Parse returns the configuration of a text, or every fault found in it.
	Parse(text []byte) (*config.Configuration, []string)
	// ApplyChange applies a change of named items to the text of a whole
	// configuration. It returns the new whole text, or every fault found.
	ApplyChange(text, change []byte) ([]byte, []string)
}

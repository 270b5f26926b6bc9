package controller

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/protocol"
)

// OperatorRequest is a request of an operator: SubmitConfig, ReadConfig or
// ReadStatus. Each has an ID that its reply repeats. The reply is an OperatorReply,
// or a protocol.Rejection with the reason if the request is rejected.
type OperatorRequest interface {
	protocol.Input
	isOperatorRequest()
}

// SubmitConfig submits a configuration. It is accepted only while BaseVersion is
// active, so that of two operators who change the same version only one succeeds.
// The reply is ConfigAccepted. Submitting it again unchanged is idempotent.
type SubmitConfig struct {
	ID uint64
	// BaseVersion is the version that the operator changed, or 0 if none was
	// active.
	BaseVersion uint64
	Text        string
	// Partial is true if Text is a change of named items of the base version, and
	// false if it is a complete configuration.
	Partial bool
}

// ReadConfig requests the active configuration. The reply is ConfigText.
type ReadConfig struct{ ID uint64 }

// ReadStatus requests the status page. Any controller replies, with its own Status.
type ReadStatus struct{ ID uint64 }

func (SubmitConfig) isOperatorRequest() {}
func (ReadConfig) isOperatorRequest()   {}
func (ReadStatus) isOperatorRequest()   {}

// MachineInput marks SubmitConfig as a protocol.Input.
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

// ConfigAccepted reports that a submitted configuration is committed and became
// active as the given version.
type ConfigAccepted struct{ Version uint64 }

// ConfigText is the text of the active configuration. After a partial submission it
// is the result of the change.
type ConfigText struct {
	Version uint64
	Text    string
}

func (ConfigAccepted) isOperatorReply() {}
func (ConfigText) isOperatorReply()     {}
func (Status) isOperatorReply()         {}

// ReplyBody marks ConfigAccepted as a protocol.Reply.
func (ConfigAccepted) ReplyBody() {}

// ReplyBody marks ConfigText as a protocol.Reply.
func (ConfigText) ReplyBody() {}

// ReplyBody marks Status as a protocol.Reply.
func (Status) ReplyBody() {}

// ConfigFormat parses and changes the text of configurations. It is stateless.
// Package platform has the format of the users' platform.
type ConfigFormat interface {
	// Parse returns the configuration of a text, or every fault found in it.
	Parse(text []byte) (*config.Configuration, []string)
	// ApplyChange applies a change of named items to the text of a complete
	// configuration. It returns the new complete text, or every fault found.
	ApplyChange(text, change []byte) ([]byte, []string)
}

package router

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Input is an input of Machine.Step that this package defines. Step also accepts
// protocol.Envelope (a message from another daemon), protocol.NativeRunnerListResult (the result
// of a protocol.NativeRunnerListCall) and protocol.Tick.
type Input interface {
	protocol.Input
	// apply changes the machine's state by this input.
	apply(m *Machine)
}

// Output is the body of the machine's reply to a Request or a StatusQuery. A Request may get
// several StartAttempts, one after the other. It ends with an attempt that is Completed, or with
// a Reject.
type Output interface {
	protocol.Reply
	output()
}

// Request is a client's request that was read completely.
type Request struct {
	// ID identifies the request within this process; every later input and
	// output about it carries the same ID.
	ID uint64
	// Service, Model and Adapter are named in the client's request; Model and Adapter may be
	// empty.
	Service, Model, Adapter string
	// RequestID is the id that is sent to runners. ClientChoseID is true if the client chose it,
	// so that two requests may have the same one.
	RequestID     string
	ClientChoseID bool
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

// AttemptEnded reports the end of the attempt that a StartAttempt started.
type AttemptEnded struct {
	ID      uint64
	Outcome Outcome
	// Revision is the higher revision that a runner reported with StaleRevision.
	Revision uint64
}

// ClientDisconnected reports that the client of a request disconnected. It is not sent while the
// server executes an attempt.
type ClientDisconnected struct{ ID uint64 }

// Drain starts a planned shutdown: new and queued requests are rejected.
type Drain struct{}

// StatusQuery asks for the Status. The reply has the same ID.
type StatusQuery struct{ ID uint64 }

func (in Request) apply(m *Machine)            { m.admit(in) }
func (in AttemptEnded) apply(m *Machine)       { m.attemptEnded(in) }
func (in ClientDisconnected) apply(m *Machine) { m.clientDisconnected(in.ID) }
func (Drain) apply(m *Machine)                 { m.startDraining() }
func (in StatusQuery) apply(m *Machine)        { m.respond(in.ID, m.status()) }

// MachineInput marks Request as a protocol.Input.
func (Request) MachineInput() {}

// MachineInput marks AttemptEnded as a protocol.Input.
func (AttemptEnded) MachineInput() {}

// MachineInput marks ClientDisconnected as a protocol.Input.
func (ClientDisconnected) MachineInput() {}

// MachineInput marks Drain as a protocol.Input.
func (Drain) MachineInput() {}

// MachineInput marks StatusQuery as a protocol.Input.
func (StatusQuery) MachineInput() {}

// StartAttempt tells the server to send the request to the given runner once. The server reports
// the result with AttemptEnded.
type StartAttempt struct {
	RequestID, Service, Model, Adapter string
	// Runner, Address and Incarnation identify the only process that may execute the request.
	Runner, Address, Incarnation string
	// Revision is the revision of the description in use.
	Revision uint64
	// Streaming and Idempotent are copied from the service in the description.
	Streaming, Idempotent bool
	// WriteByMs is the time before which the first byte must be written.
	WriteByMs int64
	// DeadlineMs is when the attempt is cancelled if there is no complete response.
	DeadlineMs int64
	// ChunkTimeoutMs is the maximum time between two chunks of a stream.
	ChunkTimeoutMs int64
}

// Reject ends the request with an error response.
type Reject struct {
	Kind errkind.Kind
	// Detail is an explanation for the client's developers.
	Detail string
	// RetryMs is the time in ms after which the client should retry, or 0 if it is not known.
	RetryMs int64
}

func (StartAttempt) output() {}
func (Reject) output()       {}
func (Status) output()       {}

// ReplyBody marks StartAttempt as a protocol.Reply.
func (StartAttempt) ReplyBody() {}

// ReplyBody marks Reject as a protocol.Reply.
func (Reject) ReplyBody() {}

// ReplyBody marks Status as a protocol.Reply.
func (Status) ReplyBody() {}

// Outcome is the result of an attempt, as far as it is known.
type Outcome int

// The outcomes. With Expired and NotSent no byte was written. With the outcomes from NotLoaded to
// Duplicate the runner stated that it did not execute the request. With ResponseLost and
// InvalidResponse it may have executed it.
const (
	// Completed means that the response was forwarded completely, or a part of it was forwarded
	// so that the request cannot be retried.
	Completed Outcome = iota
	// Expired means that StartAttempt.WriteByMs passed before a byte was written.
	Expired
	// NotSent means that the attempt failed before a byte was written.
	NotSent
	// NotLoaded means that the runner does not hold the model or adapter.
	NotLoaded
	// StaleRevision means that the runner knows a higher revision of the description.
	StaleRevision
	// OtherRunner means that the process that responded has another incarnation.
	OtherRunner
	// RunnerBusy means that the runner has no free slot.
	RunnerBusy
	// Duplicate means that the runner has received the request's id before.
	Duplicate
	// ResponseLost means that bytes were written and no complete response arrived.
	ResponseLost
	// InvalidResponse means that what arrived is not a valid response to this request.
	InvalidResponse
)

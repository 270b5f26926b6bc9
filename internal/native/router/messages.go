package router

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Input is an input of Machine.Step that this package defines. Step also takes
// protocol.Envelope (a message of another daemon), protocol.RunnerListResult
// (the result of a protocol.PlatformCall) and protocol.Tick.
type Input interface {
	protocol.Input
	// apply changes the machine's state by this input.
	apply(m *Machine)
}

// Output is the body of a response that the machine gives to a Request or a
// StatusQuery. A request may get several StartAttempts, one after the other.
// It ends with the attempt that is Completed, or else with a Reject.
type Output interface {
	protocol.Reply
	output()
}

// Request is a client's request that was read completely.
type Request struct {
	// ID identifies the request within this process; every later input and
	// output about it carries the same ID.
	ID uint64
	// Service, Model and Adapter are what the client asked for; Model and
	// Adapter may be empty.
	Service, Model, Adapter string
	// RequestID is the request's id as runners get it; ClientChoseID reports
	// whether the client chose it, so that it may come twice.
	RequestID     string
	ClientChoseID bool
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

// AttemptEnded reports the end of the attempt that a StartAttempt ordered.
type AttemptEnded struct {
	ID      uint64
	Outcome Outcome
	// Revision is the higher one that a runner reported with StaleRevision.
	Revision uint64
}

// ClientDisconnected reports that the client of a request disconnected. It
// comes only while no attempt is under way.
type ClientDisconnected struct{ ID uint64 }

// Drain starts a planned shutdown: no new request is accepted, and queued ones
// are rejected.
type Drain struct{}

// StatusQuery asks for a Status, which is returned under the same ID.
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

// StartAttempt orders one attempt: the request is sent to the given runner,
// and the result comes back as an AttemptEnded.
type StartAttempt struct {
	RequestID, Service, Model, Adapter string
	// Runner, Address and Incarnation name the only process that may execute
	// the request.
	Runner, Address, Incarnation string
	// Revision is that of the description in use.
	Revision uint64
	// Streaming and Repeatable are those of the service.
	Streaming, Repeatable bool
	// WriteByMs is the time before which the first byte must be written.
	WriteByMs int64
	// DeadlineMs is when the attempt ends if there is no complete response.
	DeadlineMs int64
	// ChunkTimeoutMs is the longest time between two chunks of a stream.
	ChunkTimeoutMs int64
}

// Reject ends the request with an error response.
type Reject struct {
	Kind errkind.Kind
	// Detail says more in words, for the client's developers.
	Detail string
	// RetryMs is when the client should come back, 0 if that is not known.
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

// Outcome classifies the end of an attempt by what is known of its effect at
// the runner.
type Outcome int

// The outcomes. After Expired and NotSent no byte was written, and after
// NotLoaded to Duplicate the runner stated that it did not run the request.
// After ResponseLost and InvalidResponse it may have run it.
const (
	// Completed: the response was forwarded completely, or its forwarding has
	// begun and cannot be repeated.
	Completed Outcome = iota
	// Expired: StartAttempt.WriteByMs passed before a byte was written.
	Expired
	// NotSent: the attempt failed before a byte was written.
	NotSent
	// NotLoaded: the runner does not hold the model or adapter.
	NotLoaded
	// StaleRevision: the runner knows a higher revision of the description.
	StaleRevision
	// OtherRunner: another process responded.
	OtherRunner
	// RunnerBusy: the runner has no free slot.
	RunnerBusy
	// Duplicate: the runner has seen the request's id before.
	Duplicate
	// ResponseLost: bytes were written and no complete response came.
	ResponseLost
	// InvalidResponse: what came is not a valid response to this request.
	InvalidResponse
)

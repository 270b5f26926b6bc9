package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Input is an input of Machine.Step that this package defines. Step also takes
// protocol.Envelope (a message of another daemon), protocol.RunnerList (the
// result of a protocol.ListRunners call) and protocol.Tick.
type Input interface {
	protocol.Input
	// apply applies the input to the machine.
	apply(m *Machine)
}

// Output is the body of a response that the machine returns to a Request or a
// StatusQuery. A request may get several StartAttempts, but each one only after the
// AttemptEnded of the previous one. The request ends with the attempt that is Completed,
// or else with one Reject, ForwardKeptResponse or AbortStream.
type Output interface {
	protocol.Reply
	output()
}

// Request is a client's request whose body has been read completely.
type Request struct {
	// ID identifies the request within this router; every later input and
	// output about it carries the same ID.
	ID uint64
	// Host and Path select the route. Host has no port.
	Host, Path string
	Params     RequestParams
}

// ResponseStarted reports the head of a runner's response before its body is
// read. It is sent for streams, and for all responses that state the runner's
// load.
type ResponseStarted struct {
	// ID is the request whose response began.
	ID uint64
	// Runner is the ID of the runner that the request was sent to.
	Runner string
	Head   ResponseHead
}

// AttemptEnded reports the end of the attempt that a StartAttempt started. There is one
// for each StartAttempt unless the client disconnects first.
type AttemptEnded struct {
	// ID is the request that the attempt was for.
	ID      uint64
	Outcome Outcome
	// LastEventID is the ID of the last event that was forwarded to the
	// client, or empty if the stream cannot be resumed after it.
	LastEventID string
	// Forwarded is true if the client has received a response head.
	Forwarded bool
	// OtherRunner is true if a runner with a different ID responded. It is set only with
	// Misdirected.
	OtherRunner bool
	// WeightsVersion is the version of the model weights that produced what
	// was forwarded so far, or 0 if it is not known.
	WeightsVersion int64
	// ConnectionIdleMs is how long the connection to the runner is kept for reuse, or 0
	// if it was closed.
	ConnectionIdleMs int64
}

// ClientDisconnected reports that the client of a request disconnected.
type ClientDisconnected struct{ ID uint64 }

// Drain starts a planned shutdown. Requests that arrive before clients should have left
// continue as before, but they are rejected if they are still queued at half of the grace
// period. A later request is rejected at once unless its deadline is no later than the
// time at which attempts are cancelled.
type Drain struct {
	// StartMs is when the shutdown began, by the router's clock.
	StartMs int64
}

// SetSeeds replaces the addresses at which the router searches for the primary.
type SetSeeds struct{ Seeds []string }

// StatusQuery asks for a Status, which is returned under the same ID.
type StatusQuery struct{ ID uint64 }

func (in Request) apply(m *Machine)            { m.admit(in) }
func (in ResponseStarted) apply(m *Machine)    { m.responseStarted(in) }
func (in AttemptEnded) apply(m *Machine)       { m.attemptEnded(in) }
func (in ClientDisconnected) apply(m *Machine) { m.clientDisconnected(in.ID) }
func (in Drain) apply(m *Machine)              { m.shutdown.begin(in.StartMs, m.settings.Bounds.GraceMs) }
func (in SetSeeds) apply(m *Machine)           { m.seeds = in.Seeds }
func (in StatusQuery) apply(m *Machine)        { m.reply(in.ID, m.status()) }

// MachineInput marks Request as a protocol.Input.
func (Request) MachineInput() {}

// MachineInput marks ResponseStarted as a protocol.Input.
func (ResponseStarted) MachineInput() {}

// MachineInput marks AttemptEnded as a protocol.Input.
func (AttemptEnded) MachineInput() {}

// MachineInput marks ClientDisconnected as a protocol.Input.
func (ClientDisconnected) MachineInput() {}

// MachineInput marks Drain as a protocol.Input.
func (Drain) MachineInput() {}

// MachineInput marks SetSeeds as a protocol.Input.
func (SetSeeds) MachineInput() {}

// MachineInput marks StatusQuery as a protocol.Input.
func (StatusQuery) MachineInput() {}

// StartAttempt starts one attempt: the request is sent to the given runner, and the
// result comes back as an AttemptEnded.
type StartAttempt struct {
	Params AttemptParams
	// Address is the runner's host and port.
	Address string
	// Route is the route of the request; it must not be changed.
	Route *config.Route
	// NewConnection requires a new connection. It is set for a request that must not be
	// repeated and for the last attempt, because the runner may have closed a pooled
	// connection.
	NewConnection bool
	// MaxIdle is how many connections to the runner may be idle during the attempt, so
	// that this router keeps to its share of the runner's connections.
	MaxIdle int
	// WriteByMs is the time before which the first byte must be written, by
	// the router's clock.
	WriteByMs int64
	// DeadlineMs is the time at which the client stops waiting, by the
	// router's clock.
	DeadlineMs int64
}

// Reject ends the request with an error response.
type Reject struct {
	Kind errkind.Kind
	// RetryMs is the time after which the client should retry, 0 if it is not known.
	RetryMs int64
}

// ForwardKeptResponse ends the request with the response that the Server has kept of an attempt
// that ended as ServerError.
type ForwardKeptResponse struct{}

// AbortStream ends the request by aborting the client's connection, because a part of a
// response has already been forwarded.
type AbortStream struct{}

func (StartAttempt) output()        {}
func (Reject) output()              {}
func (ForwardKeptResponse) output() {}
func (AbortStream) output()         {}
func (Status) output()              {}

// ReplyBody marks StartAttempt as a protocol.Reply.
func (StartAttempt) ReplyBody() {}

// ReplyBody marks Reject as a protocol.Reply.
func (Reject) ReplyBody() {}

// ReplyBody marks ForwardKeptResponse as a protocol.Reply.
func (ForwardKeptResponse) ReplyBody() {}

// ReplyBody marks AbortStream as a protocol.Reply.
func (AbortStream) ReplyBody() {}

// ReplyBody marks Status as a protocol.Reply.
func (Status) ReplyBody() {}

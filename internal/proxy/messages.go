package proxy

import "myrtlewinch/internal/config"

// Inputs of Machine.Step, beside those that package wire defines (Envelope,
// Fleet and Tick).
type (
	// Request is a client's request whose body has been read completely.
	Request struct {
		// ID identifies the request within this router; every later input and
		// answer about it carries the same ID.
		ID uint64
		// Host and Path select the route. Host has no port.
		Host, Path string
		Params     RequestParams
	}
	// ResponseStarted reports the response head of a runner, with the load that it states
	// if any, before the response body is read.
	ResponseStarted struct {
		// ID is the request whose response began.
		ID uint64
		// Runner is the id of the runner that the request was sent to.
		Runner string
		Head   ResponseHead
	}
	// AttemptEnded reports the end of the attempt that a Send started. There is one
	// for each Send unless the client disconnects first.
	AttemptEnded struct {
		ID      uint64
		Outcome Outcome
		// LastEventID is the id of the last event that was forwarded to the client,
		// or empty if the stream cannot be resumed from it.
		LastEventID string
		// Forwarded reports whether the client has received a response head.
		Forwarded bool
		// OtherRunner reports whether a runner with a different id responded.
		OtherRunner bool
		// WeightsVersion is the version of the model weights that produced what was
		// forwarded so far, or 0 if it is not known.
		WeightsVersion int64
	}
	// ClientDisconnected reports that the client disconnected.
	ClientDisconnected struct{ ID uint64 }
	// Drain starts a planned shutdown.
	Drain struct{}
	// SetSeeds replaces the addresses at which the control plane is looked for.
	SetSeeds struct{ Seeds []string }
	// StatusQuery asks for a Status as the answer with the same ID.
	StatusQuery struct{ ID uint64 }
)

// Answers of the machine to a Request, beside protocol.Dropped. A request may get
// several Sends, one after the other. It ends with the first that is Answered,
// or else with one of the other answers.
type (
	// StartAttempt orders one attempt: the request is sent to the given runner, and its
	// result comes back as an Ended.
	StartAttempt struct {
		Params AttemptParams
		// Address is the runner's host and port.
		Address string
		Route   *config.Route
		// NewConnection requires a new connection, for a request that must not be
		// repeated: a kept one may have been closed by the runner.
		NewConnection bool
		// WriteByMs is the time before which the first byte must be written.
		WriteByMs int64
		// DeadlineMs is the time at which the client stops waiting.
		DeadlineMs int64
	}
	// ForwardKept ends the request with the response of an attempt that ended as
	// Failed, which the shell has kept.
	ForwardKept struct{}
	// AbortStream ends the request by aborting the client's connection, since a part
	// of a response has already been forwarded.
	AbortStream struct{}
)

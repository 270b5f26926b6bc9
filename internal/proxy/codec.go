package proxy

import (
	"net/http"

	"myrtlewinch/internal/errkind"
)

// RequestParams are the parameters of a client's request, as a Codec reads
// them from its headers.
type RequestParams struct {
	// RequestID identifies this request of the client. It is never empty, and
	// a client that retries a request uses a new ID. A response counts only
	// if it echoes this ID.
	RequestID string
	// Model and Adapter name what the request needs. They are empty if not stated.
	Model, Adapter string
	// PromptTokens is the size of the prompt, and MaxOutputTokens is the largest number
	// of tokens to be generated. They are 0 if not stated.
	PromptTokens, MaxOutputTokens int64
	// PromptParts are the parts of the prompt in order. All but the last may
	// be shared with other requests and be in a runner's prefix cache.
	PromptParts []PromptPart
	// TimeoutMs is how long the client will wait, counted from the arrival of the
	// request. It is at least 1, or 0 if not stated.
	TimeoutMs int64
	// LastEventID is the ID of the last event of a stream that the client already has. It
	// is empty for a request that does not resume a stream.
	LastEventID string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	// ID identifies the part's contents: equal parts of different prompts have the same ID.
	ID string
	// Tokens is the part's length.
	Tokens int64
}

// AttemptParams are the parameters that the router adds to the client's request when it
// sends the request to a runner.
type AttemptParams struct {
	// Runner is the ID of the only runner that may execute the request.
	Runner string
	// TimeoutMs is the time left until the client stops waiting. If it is 0, the header
	// is omitted.
	TimeoutMs int64
	// Urgency is from 0 (most urgent) to 9.
	Urgency int
	// LastEventID is the ID of the last event that was forwarded to the
	// client, for an attempt that resumes a stream; otherwise empty.
	LastEventID string
	// WeightsVersion is the version of the model weights that must produce the
	// response, or 0 for any version.
	WeightsVersion int64
}

// ResponseHead is what the head of a runner's response states.
type ResponseHead struct {
	// NotRun is true if the runner states that it did not execute the request.
	NotRun bool
	// RequestID echoes the ID of the request. It is empty if the response states none or
	// more than one.
	RequestID string
	// HasSeal is true if the response has the header, the seal, that marks it as produced
	// by a runner. Without it a response with a 2xx status is not valid.
	HasSeal bool
	// Runner is the ID of the runner that responded. It is empty if the response does not
	// state it.
	Runner string
	// HasLoad is true if Running, Waiting and Slots are set. They are the numbers of
	// requests that the runner executes, that wait there, and that it can execute at the
	// same time.
	HasLoad                 bool
	Running, Waiting, Slots int
	// WeightsVersion is the version of the model weights, or 0 if not stated.
	WeightsVersion int64
	// ConnectionClose is true if the runner will close the connection.
	ConnectionClose bool
	// UnexpectedEncoding is true if the body has a content encoding, which the router
	// never requests.
	UnexpectedEncoding bool
}

// Codec translates between the HTTP headers that clients and runners use and the types of
// this package. It keeps no state and is safe for concurrent use.
type Codec interface {
	// ParseRequest reads the parameters of a client's request. An error means
	// that the request is malformed.
	ParseRequest(r *http.Request) (RequestParams, error)
	// WriteAttemptHeader fills the header of a request to a runner from that
	// of the client's request and params.
	WriteAttemptHeader(to, from http.Header, params AttemptParams)
	// ParseResponseHead reads the head of a runner's response.
	ParseResponseHead(response *http.Response) ResponseHead
	// CopyResponseHeader copies the header of a runner's response into the
	// one for the client, without the hop-by-hop fields.
	CopyResponseHeader(to, from http.Header)
	// WriteRejection writes a complete error response of the given kind.
	// retryMs is the value of Retry-After; 0 leaves it out.
	WriteRejection(w http.ResponseWriter, kind errkind.Kind, retryMs int64)
	// ParseEvent reads the ID of one complete event of a stream, which
	// includes the blank line at its end, and the version of the model weights
	// if it changes with this event, otherwise 0.
	ParseEvent(event []byte) (id string, version int64)
}

// Package proxy is the data plane where a service map is in use: a router
// takes requests by host and path, looks each up once, chooses a runner, and
// passes the answer on, piece by piece where it is a stream.
package proxy

import (
	"net/http"

	"myrtlewinch/internal/errkind"
)

// RequestParams is what a client asked, in the product's words.
type RequestParams struct {
	// RequestID names this try of the client; every try has an id of its own.
	RequestID      string
	Model, Adapter string
	// PromptTokens and MaxOutputTokens are the prompt's size and the most to be
	// produced; nought where they were not said.
	PromptTokens, MaxOutputTokens int64
	// PromptParts of the prompt in order; the last is the request's own.
	PromptParts []PromptPart
	// TimeoutMs is for how long the client will wait; 0 where it did not say.
	TimeoutMs int64
	// LastEventID is the last piece that the client has, or empty.
	LastEventID string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// AttemptParams is what a request to a runner must say beside what the client said.
type AttemptParams struct {
	// Runner is the id of the runner that alone may run it.
	Runner string
	// TimeoutMs is what is left of the client's time.
	TimeoutMs int64
	// Urgency is 0 (first) to 9.
	Urgency int
	// LastEventID is the last piece that was passed on, or empty.
	LastEventID string
	// WeightsVersion is the version of the weights that must answer, or 0 for any.
	WeightsVersion int64
}

// ResponseHead is what the head of a runner's answer says.
type ResponseHead struct {
	// NotRun promises that the runner did not run the request.
	NotRun bool
	// RequestID echoes the id of the request that this answers; empty if none.
	RequestID string
	// HasSeal says that the runner's stamp is there.
	HasSeal bool
	// Runner is the id of who answered, where it says so.
	Runner string
	// HasLoad says that Running, Waiting and Slots are told.
	HasLoad                 bool
	Running, Waiting, Slots int
	// WeightsVersion is that of the weights, or 0.
	WeightsVersion int64
	// ConnectionClose says that the connection will be closed.
	ConnectionClose bool
	// UnexpectedEncoding says that the body is under an encoding nobody asked for.
	UnexpectedEncoding bool
}

// Codec is how clients and runners speak. It only translates.
type Codec interface {
	// ParseRequest reads a client's request; an error says that its words are off.
	ParseRequest(r *http.Request) (RequestParams, error)
	// WriteAttemptHeader fills the head of a request to a runner from the client's.
	WriteAttemptHeader(to, from http.Header, g AttemptParams)
	// ParseResponseHead reads the head of a runner's answer.
	ParseResponseHead(answer *http.Response) ResponseHead
	// CopyResponseHeader copies the head of a runner's answer to the client's, without what
	// concerns one connection only.
	CopyResponseHeader(to, from http.Header)
	// WriteRejection answers with a kind of defect; retryMs 0 leaves out when to come
	// back.
	WriteRejection(w http.ResponseWriter, kind errkind.Kind, retryMs int64)
	// ParseEvent reads the id of one whole event of a stream (its lines with the
	// blank one that ends it), and the version of the weights where it changes.
	ParseEvent(event []byte) (id string, version int64)
}

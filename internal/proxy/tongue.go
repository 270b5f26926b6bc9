// Package proxy is the data plane where a service map is in use: a router
// takes requests by host and path, looks each up once, chooses a runner, and
// passes the answer on, piece by piece where it is a stream.
package proxy

import (
	"net/http"

	"myrtlewinch/internal/errkind"
)

// Asked is what a client asked, in the product's words.
type Asked struct {
	// Try names this try of the client; every try has an id of its own.
	Try            string
	Model, Adapter string
	// PromptTokens and OutTokens are the prompt's size and the most to be
	// produced; nought where they were not said.
	PromptTokens, OutTokens int64
	// Parts of the prompt in order; the last is the request's own.
	Parts []Part
	// LeftMs is for how long the client will wait; 0 where it did not say.
	LeftMs int64
	// After is the last piece that the client has, or empty.
	After string
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Go is what a request to a runner must say beside what the client said.
type Go struct {
	// Runner is the id of the runner that alone may run it.
	Runner string
	// LeftMs is what is left of the client's time.
	LeftMs int64
	// Urgency is 0 (first) to 9.
	Urgency int
	// After is the last piece that was passed on, or empty.
	After string
	// Version is the version of the weights that must answer, or 0 for any.
	Version int64
}

// Heard is what the head of a runner's answer says.
type Heard struct {
	// NotRun promises that the runner did not run the request.
	NotRun bool
	// Try echoes the id of the request that this answers; empty if none.
	Try string
	// Sealed says that the runner's stamp is there.
	Sealed bool
	// Runner is the id of who answered, where it says so.
	Runner string
	// HasLoad says that Running, Waiting and Slots are told.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Version is that of the weights, or 0.
	Version int64
	// Leaving says that the connection will be closed.
	Leaving bool
	// Encoded says that the body is under an encoding nobody asked for.
	Encoded bool
}

// Tongue is how clients and runners speak. It only translates.
type Tongue interface {
	// Ask reads a client's request; an error says that its words are off.
	Ask(r *http.Request) (Asked, error)
	// Dress fills the head of a request to a runner from the client's.
	Dress(to, from http.Header, g Go)
	// Hear reads the head of a runner's answer.
	Hear(answer *http.Response) Heard
	// Pass copies the head of a runner's answer to the client's, without what
	// concerns one connection only.
	Pass(to, from http.Header)
	// Refuse answers with a kind of defect; retryMs 0 leaves out when to come
	// back.
	Refuse(w http.ResponseWriter, kind errkind.Kind, retryMs int64)
	// Piece reads the id of one whole event of a stream (its lines with the
	// blank one that ends it), and the version of the weights where it changes.
	Piece(event []byte) (id string, version int64)
}

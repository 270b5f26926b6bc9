package router

import (
	"bytes"
	"encoding/json"
)

// RunRequest is the request to a runner.
type RunRequest struct {
	// Request is the request's id.
	Request string `json:"request"`
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Revision is the revision of the description that the router uses. A runner that knows a
	// higher one rejects the request.
	Revision uint64 `json:"revision"`
	// Incarnation identifies the only process that may execute the request.
	Incarnation string `json:"incarnation"`
	// Idempotent is true if the request may be executed more than once.
	Idempotent bool `json:"repeatable"`
	// Streaming asks for a stream of lines instead of a single response.
	Streaming bool            `json:"telling"`
	Input     json.RawMessage `json:"input,omitempty"`
}

// RunResponse is a runner's complete response, or one line of a stream.
type RunResponse struct {
	// Request and Incarnation have the values of the RunRequest.
	Request     string `json:"request"`
	Incarnation string `json:"incarnation"`
	// Answer is set in a response that is not a stream.
	Answer json.RawMessage `json:"answer,omitempty"`
	// Chunk is the number of the line in a stream, from 1; Text is the line's content.
	Chunk int    `json:"piece,omitempty"`
	Text  string `json:"text,omitempty"`
	// End is the number of chunks. It is set in the last line, which is not a chunk itself.
	End *int `json:"end,omitempty"`
}

// RunRejection is a runner's statement that it did not execute a request.
type RunRejection struct {
	// Kind is an errkind.Kind.
	Kind string `json:"kind"`
	// Request is the request's id.
	Request string `json:"request"`
	// Ran must be present and false.
	Ran *bool `json:"ran"`
	// Revision is the revision that the runner knows, if it is higher than the request's.
	Revision uint64 `json:"revision,omitempty"`
}

// isFor reports whether the rejection is valid and belongs to the request.
func (r *RunRejection) isFor(requestID string) bool {
	return r.Request == requestID && r.Ran != nil && !*r.Ran
}

// StreamCheck validates a stream line by line: all chunks must belong to the request, come from
// the expected process and be in order. Only a line with End completes the stream.
type StreamCheck struct {
	Request, Incarnation string
	chunks               int
	ended                bool
}

// Accept reports whether the line may be forwarded. After it has returned false, the check must
// not be used again.
func (c *StreamCheck) Accept(line []byte) bool {
	response, ok := parseStrictly(line)
	if !ok || c.ended || response.Answer != nil {
		return false
	}
	if response.Request != c.Request || response.Incarnation != c.Incarnation {
		return false
	}
	if response.End != nil {
		c.ended = *response.End == c.chunks && response.Chunk == 0
		return c.ended
	}
	if response.Chunk != c.chunks+1 {
		return false
	}
	c.chunks++
	return true
}

// Complete reports whether the stream is complete.
func (c *StreamCheck) Complete() bool { return c.ended }

// Started reports whether a line has been accepted.
func (c *StreamCheck) Started() bool { return c.chunks > 0 || c.ended }

// ValidResponse reports whether a text is a complete response to the request, and not a line of
// a stream.
func ValidResponse(text []byte, requestID, incarnation string) bool {
	response, ok := parseStrictly(text)
	if !ok || response.Request != requestID || response.Incarnation != incarnation {
		return false
	}
	return response.Answer != nil && response.End == nil && response.Chunk == 0
}

// parseStrictly parses exactly one JSON value.
func parseStrictly(text []byte) (RunResponse, bool) {
	var response RunResponse
	decoder := json.NewDecoder(bytes.NewReader(text))
	if decoder.Decode(&response) != nil {
		return response, false
	}
	return response, len(bytes.TrimSpace(text[decoder.InputOffset():])) == 0
}

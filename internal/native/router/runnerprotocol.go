package router

import (
	"bytes"
	"encoding/json"
)

// RunRequest is what a runner is sent.
type RunRequest struct {
	Request     string          `json:"request"`
	Service     string          `json:"service"`
	Model       string          `json:"model,omitempty"`
	Adapter     string          `json:"adapter,omitempty"`
	Revision    uint64          `json:"revision"`
	Incarnation string          `json:"incarnation"`
	Repeatable  bool            `json:"repeatable"`
	Streaming   bool            `json:"telling"`
	Input       json.RawMessage `json:"input,omitempty"`
}

// RunResponse is a runner's whole plain answer, or a line of a telling.
type RunResponse struct {
	Request     string          `json:"request"`
	Incarnation string          `json:"incarnation"`
	Answer      json.RawMessage `json:"answer,omitempty"`
	// Chunk counts from one; End is the count of all pieces, on the last line.
	Chunk int    `json:"piece,omitempty"`
	Text  string `json:"text,omitempty"`
	End   *int   `json:"end,omitempty"`
}

// RunRejection is a runner's word that it did not run a request.
type RunRejection struct {
	Kind     string `json:"kind"`
	Request  string `json:"request"`
	Ran      *bool  `json:"ran"`
	Revision uint64 `json:"revision,omitempty"`
}

// StreamCheck checks a streamed answer line by line: its pieces must come in
// order, from one run, and only the end mark ends it.
type StreamCheck struct {
	Request, Incarnation string
	pieces               int
	ended                bool
}

// Accept says whether the line may be relayed.
func (t *StreamCheck) Accept(line []byte) bool {
	answer, ok := parseStrictly(line)
	if !ok || t.ended || answer.Request != t.Request || answer.Incarnation != t.Incarnation || answer.Answer != nil {
		return false
	}
	if answer.End != nil {
		t.ended = *answer.End == t.pieces && answer.Chunk == 0
		return t.ended
	}
	if answer.Chunk != t.pieces+1 {
		return false
	}
	t.pieces++
	return true
}

// Complete says whether the telling is whole.
func (t *StreamCheck) Complete() bool { return t.ended }

// Started says whether a piece was taken.
func (t *StreamCheck) Started() bool { return t.pieces > 0 || t.ended }

// ValidResponse says whether a text is the whole plain answer to the request.
func ValidResponse(text []byte, request, incarnation string) bool {
	answer, ok := parseStrictly(text)
	return ok && answer.Request == request && answer.Incarnation == incarnation && answer.Answer != nil &&
		answer.End == nil && answer.Chunk == 0
}

// parseStrictly reads one whole JSON value and nothing after it.
func parseStrictly(text []byte) (RunResponse, bool) {
	var answer RunResponse
	decoder := json.NewDecoder(bytes.NewReader(text))
	if decoder.Decode(&answer) != nil {
		return answer, false
	}
	return answer, len(bytes.TrimSpace(text[decoder.InputOffset():])) == 0
}

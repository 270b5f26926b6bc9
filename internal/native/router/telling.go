package router

import (
	"bytes"
	"encoding/json"
)

// RunCall is what a runner is sent.
type RunCall struct {
	Request     string          `json:"request"`
	Service     string          `json:"service"`
	Model       string          `json:"model,omitempty"`
	Adapter     string          `json:"adapter,omitempty"`
	Revision    uint64          `json:"revision"`
	Incarnation string          `json:"incarnation"`
	Repeatable  bool            `json:"repeatable"`
	Telling     bool            `json:"telling"`
	Input       json.RawMessage `json:"input,omitempty"`
}

// RunAnswer is a runner's whole plain answer, or a line of a telling.
type RunAnswer struct {
	Request     string          `json:"request"`
	Incarnation string          `json:"incarnation"`
	Answer      json.RawMessage `json:"answer,omitempty"`
	// Piece counts from one; End is the count of all pieces, on the last line.
	Piece int    `json:"piece,omitempty"`
	Text  string `json:"text,omitempty"`
	End   *int   `json:"end,omitempty"`
}

// RunDrop is a runner's word that it did not run a request.
type RunDrop struct {
	Kind     string `json:"kind"`
	Request  string `json:"request"`
	Ran      *bool  `json:"ran"`
	Revision uint64 `json:"revision,omitempty"`
}

// Telling checks a streamed answer line by line: its pieces must come in
// order, from one run, and only the end mark ends it.
type Telling struct {
	Request, Incarnation string
	pieces               int
	ended                bool
}

// Take says whether the line may be relayed.
func (t *Telling) Take(line []byte) bool {
	answer, ok := strict(line)
	if !ok || t.ended || answer.Request != t.Request || answer.Incarnation != t.Incarnation || answer.Answer != nil {
		return false
	}
	if answer.End != nil {
		t.ended = *answer.End == t.pieces && answer.Piece == 0
		return t.ended
	}
	if answer.Piece != t.pieces+1 {
		return false
	}
	t.pieces++
	return true
}

// Ended says whether the telling is whole.
func (t *Telling) Ended() bool { return t.ended }

// Begun says whether a piece was taken.
func (t *Telling) Begun() bool { return t.pieces > 0 || t.ended }

// Plain says whether a text is the whole plain answer to the request.
func Plain(text []byte, request, incarnation string) bool {
	answer, ok := strict(text)
	return ok && answer.Request == request && answer.Incarnation == incarnation && answer.Answer != nil &&
		answer.End == nil && answer.Piece == 0
}

// strict reads one whole JSON value and nothing after it.
func strict(text []byte) (RunAnswer, bool) {
	var answer RunAnswer
	decoder := json.NewDecoder(bytes.NewReader(text))
	if decoder.Decode(&answer) != nil {
		return answer, false
	}
	return answer, len(bytes.TrimSpace(text[decoder.InputOffset():])) == 0
}

package errkind

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// ErrorBody is the JSON body of every response that reports an error.
type ErrorBody struct {
	Kind   Kind     `json:"kind"`
	Detail string   `json:"detail,omitempty"`
	Faults []string `json:"faults,omitempty"`
	// Ran is set by Write: "no" where the request has not run, "unknown" where it
	// may have.
	Ran string `json:"ran"`
	// Request is the id of the request.
	Request string `json:"request,omitempty"`
	// Revision is the one in force, where that helps an operator.
	Revision uint64 `json:"revision,omitempty"`
	// Primary is the controller that can answer, if it is known.
	Primary string `json:"primary,omitempty"`
	// RetryMs is when to come back, where that can be estimated. It replaces the
	// time of the kind.
	RetryMs int64 `json:"retryMs,omitempty"`
}

// The values of ErrorBody.Ran.
const (
	ranNo      = "no"
	ranUnknown = "unknown"
)

// RetryAfterSec is when the caller may come back, in whole seconds, or 0.
func (b ErrorBody) RetryAfterSec() int {
	if b.RetryMs > 0 {
		return int((b.RetryMs + 999) / 1000)
	}
	return b.Kind.Response().RetryAfterSec
}

// Write writes the response of the kind with this body.
func (b ErrorBody) Write(w http.ResponseWriter) {
	response := b.Kind.Response()
	b.Ran = ranUnknown
	if response.NotExecuted {
		b.Ran = ranNo
	}
	w.Header().Set("Content-Type", "application/json")
	if seconds := b.RetryAfterSec(); seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(response.Status)
	_ = json.NewEncoder(w).Encode(b)
}

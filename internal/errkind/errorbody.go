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
	// Ran is set by Write: "no" if the request has not run, "unknown" if it may
	// have run.
	Ran string `json:"ran"`
	// Request is the ID of the request.
	Request string `json:"request,omitempty"`
	// Revision is the active revision, set where it helps an operator.
	Revision uint64 `json:"revision,omitempty"`
	// Primary is the controller that can handle the request, if it is known.
	Primary string `json:"primary,omitempty"`
	// RetryMs is the estimated time after which a retry can succeed, 0 if there is
	// no estimate. It overrides the kind's RetryAfterSec.
	RetryMs int64 `json:"retryMs,omitempty"`
}

// The values of ErrorBody.Ran.
const (
	ranNo      = "no"
	ranUnknown = "unknown"
)

// RetryAfterSec returns the value of Retry-After in whole seconds, or 0 for none.
func (b ErrorBody) RetryAfterSec() int {
	if b.RetryMs > 0 {
		return int((b.RetryMs + 999) / 1000)
	}
	return b.Kind.Response().RetryAfterSec
}

// Write writes the HTTP response of the body's kind, with b as its body.
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
	// An ErrorBody always encodes.
	text, _ := json.Marshal(b)
	text = append(text, '\n')
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(text)
}

package errkind

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// ErrorBody is the JSON body of every answer that is not the wanted one.
type ErrorBody struct {
	Kind   Kind     `json:"kind"`
	Detail string   `json:"detail,omitempty"`
	Faults []string `json:"faults,omitempty"`
	// Ran is "no" for a drop; otherwise the caller can't know.
	Ran     string `json:"ran"`
	Request string `json:"request,omitempty"`
	// Revision is the revision in force, where that helps an operator.
	Revision uint64 `json:"revision,omitempty"`
	Primary  string `json:"primary,omitempty"`
	// RetryMs says when to come back where that could be worked out; otherwise
	// the kind's own time holds.
	RetryMs int64 `json:"retryMs,omitempty"`
}

// RetryAfterSec is when a caller may come back, in whole seconds, or nought.
func (a ErrorBody) RetryAfterSec() int {
	if a.RetryMs > 0 {
		return int((a.RetryMs + 999) / 1000)
	}
	return a.Kind.Response().RetryAfterSec
}

// Write sends the answer as its kind says.
func (a ErrorBody) Write(w http.ResponseWriter) {
	reply := a.Kind.Response()
	a.Ran = "unknown"
	if reply.NotExecuted {
		a.Ran = "no"
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that may come back is told when, rather than kept waiting.
	if sec := a.RetryAfterSec(); sec > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(sec))
	}
	w.WriteHeader(reply.Status)
	_ = json.NewEncoder(w).Encode(a)
}

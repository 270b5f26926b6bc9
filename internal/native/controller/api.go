package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
)

const (
	// changeTimeout is the timeout of requests that change something. readTimeout is the timeout
	// of all other requests.
	changeTimeout = 15 * time.Second
	readTimeout   = 2 * time.Second
	// maxBootstrapBytes is the maximum size of the body of a bootstrap or recovery request.
	maxBootstrapBytes = 4096
)

// bootstrapPath and recoverPath are the paths with which an operator bootstraps or recovers a
// site.
const (
	bootstrapPath = "/found"
	recoverPath   = "/recover"
)

// bootstrapRequest is the body of a bootstrap or recovery request. Change and Revision are
// used by a recovery only.
type bootstrapRequest struct {
	Witnesses []string `json:"witnesses"`
	Backup    string   `json:"backup"`
	Change    uint64   `json:"change"`
	Revision  uint64   `json:"revision"`
}

// historyPage is the response body of /history.
type historyPage struct {
	Revisions     []ledger.HistoryEntry `json:"revisions"`
	Authoritative bool                  `json:"sure"`
}

// healthPage is the response body of /soundness, the health check.
type healthPage struct {
	Epoch   uint64 `json:"epoch"`
	Role    string `json:"role"`
	Healthy bool   `json:"sound"`
}

// ServeHTTP serves the HTTP interface for operators.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pages := map[string]map[string]http.HandlerFunc{
		"/description": {http.MethodGet: d.getDescription, http.MethodPut: d.putDescription, http.MethodPatch: d.putDescription},
		"/history":     {http.MethodGet: d.getHistory},
		"/status":      {http.MethodGet: d.getStatus},
		"/soundness":   {http.MethodGet: d.getHealth},
		"/counters":    {http.MethodGet: d.getCounters},
		bootstrapPath:  {http.MethodPost: d.bootstrap},
		recoverPath:    {http.MethodPost: d.bootstrap},
	}
	page, ok := pages[r.URL.Path]
	if !ok {
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: r.URL.Path}.Write(w)
		return
	}
	handler, ok := page[r.Method]
	if !ok {
		for method := range page {
			w.Header().Add("Allow", method)
		}
		errkind.ErrorBody{Kind: errkind.WrongMethod, Detail: r.Method + " " + r.URL.Path}.Write(w)
		return
	}
	handler(w, r)
}

// call passes an input to the state machine and waits for its reply. It returns false if none
// arrived in time.
func (d *Daemon) call(r *http.Request, timeout time.Duration, input func(id uint64) protocol.Input) (protocol.Reply, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	return d.runtime.Call(ctx, input)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeRejection(w http.ResponseWriter, rejection protocol.Rejection) {
	errkind.ErrorBody{
		Kind: rejection.Kind, Detail: rejection.Detail, Faults: rejection.Faults,
		Revision: rejection.Revision, Primary: rejection.Primary,
	}.Write(w)
}

// writeNoReply reports that the state machine did not reply to a read in time.
func writeNoReply(w http.ResponseWriter) {
	errkind.ErrorBody{Kind: errkind.NotAccepted, Detail: "the controller did not reply in time"}.Write(w)
}

// revisionTag returns the ETag of a revision.
func revisionTag(revision uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(revision, 10)) }

// baseRevision reads from the header If-Match on which revision a submitted description is
// based.
func baseRevision(r *http.Request) (uint64, *errkind.ErrorBody) {
	given := strings.Trim(r.Header.Get("If-Match"), `"`)
	if given == "" {
		return 0, &errkind.ErrorBody{Kind: errkind.MissingBase, Detail: `the header If-Match: "REVISION" must name the revision that the change is based on, or 0 for the first`}
	}
	base, err := strconv.ParseUint(given, 10, 64)
	if err != nil {
		return 0, &errkind.ErrorBody{Kind: errkind.BadRequest, Detail: "If-Match: " + given + " is not a revision number"}
	}
	return base, nil
}

// putDescription submits a description or, with PATCH, a change of some parts of it.
func (d *Daemon) putDescription(w http.ResponseWriter, r *http.Request) {
	body, kind := d.runtime.ReadBody(w, r, description.MaxBytes)
	switch kind {
	case "":
	case errkind.TooLarge:
		errkind.ErrorBody{Kind: kind, Detail: fmt.Sprintf("a description may have at most %d bytes", description.MaxBytes)}.Write(w)
		return
	default:
		errkind.ErrorBody{Kind: kind, Detail: "reading the body failed"}.Write(w)
		return
	}
	defer body.Close()
	base, fault := baseRevision(r)
	if fault != nil {
		fault.Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	answer, ok := d.runtime.CallWithBody(ctx, body, func(id uint64) protocol.Input {
		return SubmitDescription{ID: id, Base: base, Text: body.Text(), Partial: r.Method == http.MethodPatch}
	})
	if !ok {
		errkind.ErrorBody{Kind: errkind.AcceptanceUnknown, Detail: "the outcome was not known in time; read the description to find out"}.Write(w)
		return
	}
	switch reply := answer.(type) {
	case DescriptionAccepted:
		w.Header().Set("ETag", revisionTag(reply.Revision))
		writeJSON(w, reply)
	case protocol.Rejection:
		writeRejection(w, reply)
	}
}

// readDescription requests the description from the state machine. If no reply comes, it
// writes the error response.
func (d *Daemon) readDescription(w http.ResponseWriter, r *http.Request) (DescriptionReply, bool) {
	answer, _ := d.call(r, readTimeout, func(id uint64) protocol.Input { return DescriptionRequest{ID: id} })
	reply, ok := answer.(DescriptionReply)
	if !ok {
		writeNoReply(w)
	}
	return reply, ok
}

func (d *Daemon) getDescription(w http.ResponseWriter, r *http.Request) {
	reply, ok := d.readDescription(w, r)
	if !ok {
		return
	}
	// Only the primary knows the current revision for certain; a follower may be behind.
	if !reply.Authoritative {
		errkind.ErrorBody{Kind: errkind.NotPrimary, Detail: "only the active primary serves the current description", Primary: reply.Primary}.Write(w)
		return
	}
	if reply.Revision.Number == 0 {
		errkind.ErrorBody{Kind: errkind.UnknownPage, Detail: "no description has been accepted yet"}.Write(w)
		return
	}
	w.Header().Set("ETag", revisionTag(reply.Revision.Number))
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, reply.Revision.Text)
}

func (d *Daemon) getHistory(w http.ResponseWriter, r *http.Request) {
	if reply, ok := d.readDescription(w, r); ok {
		d.runtime.WriteJSON(w, r, historyPage{Revisions: reply.History, Authoritative: reply.Authoritative})
	}
}

// readStatus requests the state machine's status. It returns false if no reply arrived in time.
func (d *Daemon) readStatus(r *http.Request) (Status, bool) {
	answer, _ := d.call(r, readTimeout, func(id uint64) protocol.Input { return StatusRequest{ID: id} })
	status, ok := answer.(Status)
	return status, ok
}

func (d *Daemon) getStatus(w http.ResponseWriter, r *http.Request) {
	status, ok := d.readStatus(r)
	if !ok {
		writeNoReply(w)
		return
	}
	d.runtime.WriteJSON(w, r, status)
}

// getHealth responds with 200 as long as this controller replies, its disk accepts writes and
// it is not retired. It does not tell whether the site works.
func (d *Daemon) getHealth(w http.ResponseWriter, r *http.Request) {
	status, ok := d.readStatus(r)
	if !ok || status.DiskBroken || status.Retired {
		errkind.ErrorBody{Kind: errkind.NotAccepted, Detail: "unsound"}.Write(w)
		return
	}
	writeJSON(w, healthPage{Healthy: true, Role: status.Role, Epoch: status.Record.Epoch})
}

func (d *Daemon) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.runtime.Counts())
}

// bootstrap bootstraps the site, or recovers it from this daemon's replica.
func (d *Daemon) bootstrap(w http.ResponseWriter, r *http.Request) {
	var request bootstrapRequest
	body, kind := d.runtime.ReadBody(w, r, maxBootstrapBytes)
	if kind != "" {
		errkind.ErrorBody{Kind: kind, Detail: "reading the body failed"}.Write(w)
		return
	}
	defer body.Close()
	decoder := json.NewDecoder(bytes.NewReader(body.Bytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		errkind.ErrorBody{Kind: errkind.BadRequest, Detail: err.Error()}.Write(w)
		return
	}
	answer, ok := d.call(r, changeTimeout, func(id uint64) protocol.Input {
		return consensus.Bootstrap{
			ID: id, Witnesses: request.Witnesses, Backup: request.Backup,
			Recover: r.URL.Path == recoverPath, Change: request.Change, Revision: request.Revision,
		}
	})
	if !ok {
		errkind.ErrorBody{Kind: errkind.AcceptanceUnknown, Detail: "the outcome was not known in time; read the status to find out"}.Write(w)
		return
	}
	switch reply := answer.(type) {
	case consensus.BootstrapResult:
		writeJSON(w, reply)
	case protocol.Rejection:
		writeRejection(w, reply)
	}
}

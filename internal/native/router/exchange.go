package router

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/httpserver"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
)

const (
	// maxResponseBytes is the maximum size of a response that is not a stream, maxLineBytes that
	// of a line of a stream and of a rejection.
	maxResponseBytes = 8 << 20
	maxLineBytes     = 256 << 10
	// lineBufferBytes is the initial size of the buffer for lines.
	lineBufferBytes = 4 << 10
	// countStreamsAborted is the counter of streams that were only partly forwarded. See
	// docs/operators.md.
	countStreamsAborted = "tellings broken off"
)

// exchange is a client's request with its response while this router serves it. Only the
// goroutine that serves the request may use it.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	// id is the request's id in the state machine. requestID is the id that is sent to runners.
	id        uint64
	requestID string
	input     json.RawMessage
}

// serve passes the request to the state machine and executes its outputs until the client has a
// response.
func (e *exchange) serve(request Request) {
	runtime := e.server.runtime
	id, outputs := runtime.OpenReplies()
	defer runtime.CloseReplies(id)
	e.id, request.ID = id, id
	if !runtime.Submit(request) {
		tooManyRequests(e.requestID).Write(e.writer)
		return
	}
	for finished := false; !finished; {
		select {
		case <-e.request.Context().Done():
			e.disconnected()
		case output := <-outputs:
			finished = e.perform(output)
		}
	}
}

// disconnected ends the exchange after the client disconnected. It aborts the connection, because
// a client that has closed only its sending direction would read an empty response.
func (e *exchange) disconnected() {
	e.server.runtime.Submit(ClientDisconnected{ID: e.id})
	panic(http.ErrAbortHandler)
}

// perform executes one output of the state machine and reports whether the request is finished.
func (e *exchange) perform(output protocol.Reply) (finished bool) {
	switch output := output.(type) {
	case Reject:
		errkind.ErrorBody{
			Kind: output.Kind, Detail: output.Detail, Request: e.requestID, RetryMs: output.RetryMs,
		}.Write(e.writer)
		return true
	case StartAttempt:
		ended, broken := e.runAttempt(output)
		if e.request.Context().Err() != nil && (broken || ended.Outcome != Completed) {
			e.disconnected()
		}
		e.server.runtime.Submit(ended)
		if broken {
			// Only an aborted connection shows the client that a stream is incomplete.
			panic(http.ErrAbortHandler)
		}
		return ended.Outcome == Completed
	}
	return false
}

// runAttempt sends the request to a runner once and forwards the response. broken is true if a
// part of a stream was forwarded and the rest will not follow.
func (e *exchange) runAttempt(attempt StartAttempt) (ended AttemptEnded, broken bool) {
	ended.ID = e.id
	leftMs := attempt.DeadlineMs - e.server.runtime.Clock().NowMs()
	ctx, cancel := context.WithCancel(e.request.Context())
	defer cancel()
	timeout := startTimeout(leftMs, cancel)
	defer timeout.stop()
	defer context.AfterFunc(e.server.attemptsContext, cancel)()
	response, written, err := e.forwardRequest(ctx, attempt)
	if err != nil {
		ended.Outcome = sendFailure(written, err)
		return ended, false
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode != http.StatusOK:
		ended.Outcome, ended.Revision = readRejection(response, attempt.RequestID)
	case attempt.Streaming:
		ended.Outcome, broken = e.forwardStream(response, attempt, timeout)
	default:
		ended.Outcome = e.forwardComplete(ctx, response, attempt)
	}
	return ended, broken
}

// forwardRequest writes the request to the runner and reads the head of the response. written is
// true if any byte was written.
func (e *exchange) forwardRequest(ctx context.Context, attempt StartAttempt) (response *http.Response, written bool, err error) {
	body, err := json.Marshal(RunRequest{
		Request: attempt.RequestID, Service: attempt.Service, Model: attempt.Model, Adapter: attempt.Adapter,
		Revision: attempt.Revision, Incarnation: attempt.Incarnation,
		Idempotent: attempt.Idempotent, Streaming: attempt.Streaming, Input: e.input,
	})
	if err != nil {
		return nil, false, errors.Wrap(err, "encoding the request to the runner")
	}
	mayWrite := e.server.runtime.WriteCheck(func(nowMs int64) bool {
		return e.server.machine.MaySend(nowMs, attempt)
	})
	return e.server.runtime.HTTPClient().Do(ctx, http.MethodPost, "http://"+attempt.Address+"/run", body, mayWrite)
}

// sendFailure returns the outcome of an attempt without a response head.
func sendFailure(written bool, err error) Outcome {
	switch {
	case written:
		return ResponseLost
	case errors.Is(err, httpclient.ErrWriteNotAllowed):
		return Expired
	}
	return NotSent
}

// readRejection reads a runner's statement that it did not execute the request, and with
// StaleRevision the runner's revision. Without a valid statement the runner may have executed the
// request.
func readRejection(response *http.Response, requestID string) (outcome Outcome, revision uint64) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return ResponseLost, 0
	}
	var rejection RunRejection
	if json.Unmarshal(text, &rejection) != nil || !rejection.isFor(requestID) {
		return InvalidResponse, 0
	}
	switch errkind.Kind(rejection.Kind) {
	case errkind.NotHeld:
		return NotLoaded, 0
	case errkind.StaleRevision:
		return StaleRevision, rejection.Revision
	case errkind.WrongIncarnation:
		return OtherRunner, 0
	case errkind.DuplicateRequest:
		return Duplicate, 0
	}
	return RunnerBusy, 0
}

// forwardComplete reads a whole response that is not a stream, and forwards it if it is valid.
// Until ctx is done it waits for the memory of the response.
func (e *exchange) forwardComplete(ctx context.Context, response *http.Response, attempt StartAttempt) Outcome {
	reservation := e.server.runtime.OpenResponse(ctx)
	defer reservation.Close()
	text, err := reservation.ReadAll(response.Body, response.ContentLength, maxResponseBytes, httpserver.ResponseClasses)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return InvalidResponse
	case err != nil:
		return ResponseLost
	}
	httpserver.AllowEviction(e.request, reservation)
	if !ValidResponse(text, attempt.RequestID, attempt.Incarnation) {
		return InvalidResponse
	}
	e.writer.Header().Set("Content-Type", "application/json")
	e.writer.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = e.writer.Write(text)
	return Completed
}

// forwardStream forwards each line of a stream at once. After the first forwarded line the attempt
// counts as Completed even if the stream breaks, because the request cannot be retried. broken is
// true in that case.
func (e *exchange) forwardStream(response *http.Response, attempt StartAttempt, timeout attemptTimeout) (outcome Outcome, broken bool) {
	check := StreamCheck{Request: attempt.RequestID, Incarnation: attempt.Incarnation}
	controller := http.NewResponseController(e.writer)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	for lines.Scan() {
		started := check.Started()
		if !check.Accept(lines.Bytes()) {
			return e.streamFailed(started, InvalidResponse)
		}
		if !started {
			e.writer.Header().Set("Content-Type", "application/x-ndjson")
		}
		if _, err := e.writer.Write(append(bytes.Clone(lines.Bytes()), '\n')); err != nil {
			return Completed, true
		}
		_ = controller.Flush()
		timeout.restart(attempt.ChunkTimeoutMs)
		if check.Complete() {
			return Completed, false
		}
	}
	return e.streamFailed(check.Started(), ResponseLost)
}

// streamFailed returns the result for a stream that broke.
func (e *exchange) streamFailed(started bool, outcome Outcome) (Outcome, bool) {
	if !started {
		return outcome, false
	}
	e.server.runtime.Count(countStreamsAborted)
	return Completed, true
}

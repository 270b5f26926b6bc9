package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/httpserver"
	"myrtlewinch/internal/memory"
)

const (
	// maxResponseBytes is the maximum size of the body of a response that is not a stream.
	maxResponseBytes = 8 << 20
	// A response that is not forwarded is read to its end, so that its connection can be
	// reused, if that takes at most maxDiscardBytes and discardMs.
	maxDiscardBytes = 4 << 10
	discardMs       = 100
)

// bufferedResponse is a response that was read completely. It must be closed.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// reservation is the memory of the body.
	reservation *memory.Reservation
}

// close returns the memory of the response. It may be nil.
func (r *bufferedResponse) close() {
	if r != nil {
		r.reservation.Close()
	}
}

// forwardComplete reads a response that is not a stream completely, so that no part of a
// truncated one is forwarded. It then forwards the response unless the request may be
// retried.
func (e *exchange) forwardComplete(ctx context.Context, attempt StartAttempt, sent *httpclient.Exchange, head ResponseHead, leftMs int64) Outcome {
	response := sent.Response
	complete, err := e.readResponse(ctx, response)
	if err != nil {
		sent.Reject()
		return ResponseLost
	}
	retryable := attempt.Route.Retryable()
	if retryable && isServerError(response.StatusCode) {
		e.keptResponse.close()
		e.keptResponse = complete
		return ServerError
	}
	defer complete.close()
	switch {
	case !retryable && !head.NotRun && statesNotRun(response.StatusCode):
		// Its status would tell the client that the request has not run, which the runner
		// did not state.
		return ResponseLost
	}
	defer e.limitWriteTime(leftMs + writeSlackMs)()
	e.forwardResponse(complete)
	return Completed
}

// readResponse reads a response that is not a stream. A body without a length or chunks is
// complete when the runner closes the connection in order, and truncated if it is reset. Until ctx is done it waits for the
// memory of the body, because the request may have run and cannot be rejected any more.
func (e *exchange) readResponse(ctx context.Context, response *http.Response) (*bufferedResponse, error) {
	length := response.ContentLength
	if e.request.Method == http.MethodHead {
		length = 0
	}
	reservation := e.server.clientConns.OpenResponse(ctx)
	body, err := reservation.ReadAll(response.Body, length, maxResponseBytes, httpserver.ResponseClasses)
	if err != nil {
		reservation.Close()
		return nil, err
	}
	return &bufferedResponse{response.StatusCode, response.Header, body, reservation}, nil
}

// forwardResponse writes a complete response to the client. If the client does not read it,
// the account may close the connection in favour of others.
func (e *exchange) forwardResponse(response *bufferedResponse) {
	httpserver.AllowEviction(e.request, response.reservation)
	e.writeHeader(response.header)
	hasBody := response.status != http.StatusNoContent && response.status != http.StatusNotModified
	if hasBody && e.request.Method != http.MethodHead {
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	e.writer.WriteHeader(response.status)
	_, _ = e.writer.Write(response.body)
}

// writeHeader fills the header of the client's response from the runner's.
func (e *exchange) writeHeader(from http.Header) {
	to := e.writer.Header()
	e.server.codec.CopyResponseHeader(to, from)
	to.Del("Transfer-Encoding")
	if e.server.draining.Load() {
		to.Set("Connection", "close")
	}
	// net/http would otherwise add a guessed content type.
	if _, present := to["Content-Type"]; !present {
		to["Content-Type"] = nil
	}
}

// discard reads the rest of a short response that is not forwarded. If that
// takes too long, cancel ends it.
func discard(response *http.Response, cancel func()) {
	if response.ContentLength > maxDiscardBytes {
		return
	}
	defer afterDelay(discardMs, cancel)()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardBytes))
}

// isSuccess reports whether the status is 2xx.
func isSuccess(response *http.Response) bool { return response.StatusCode/100 == 2 }

// isServerError reports whether a status is one after which a retryable request is
// retried at another runner.
func isServerError(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway
}

// statesNotRun reports whether a status states to clients that the request has
// not run.
func statesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// isStream reports whether a response is forwarded event by event.
func isStream(route *config.Route, response *http.Response) bool {
	if !isSuccess(response) {
		return false
	}
	return route.Kind == config.Stream || isEventStream(response.Header.Get("Content-Type"))
}

// isEventStream reports whether a content type is that of server-sent events.
func isEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

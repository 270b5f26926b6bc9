package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/httpclient"
	"myrtlewinch/internal/httpserver"
	"myrtlewinch/internal/protocol"
)

const (
	// deadlineSlackMs is how long after the client's deadline an attempt is cancelled.
	// Usually the runner or the client has ended it by then.
	deadlineSlackMs = 1000
	// writeSlackMs is how long after the deadline writes to the client may still succeed.
	writeSlackMs = 5 * deadlineSlackMs
)

// exchange is a client's request and its response while this router handles them. Only
// the goroutine that serves the request uses it.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	// id is the request's ID in the state machine.
	id     uint64
	params RequestParams
	body   []byte
	// path and query are copied unchanged from the request line.
	path, query string
	hasQuery    bool

	// arrivedMs is when the request was read completely, attemptMs when the last
	// attempt began.
	arrivedMs, attemptMs int64
	// forwarded is true if the client has received the head of a response.
	forwarded bool
	// keptResponse is the response of the last attempt that ended as
	// ServerError.
	keptResponse *bufferedResponse
	// lastEventID is the ID of the last event that was forwarded. If it is a
	// number, numbered is set and eventNumber is its value. eventStep is the
	// largest difference between two successive numbers.
	lastEventID            string
	numbered               bool
	eventNumber, eventStep int64
	// eventExpected is true if the stream cannot be complete without another event: none has
	// been forwarded of a stream that starts at its beginning, or a runner has begun the
	// event after the last one that was forwarded.
	eventExpected bool
	// weightsVersion is the version of the model weights that produced the last event, 0
	// if it is not known.
	weightsVersion int64
}

// serve submits the request to the state machine and carries out the machine's outputs
// until the client has its response.
func (e *exchange) serve() {
	runtime := e.server.runtime
	id, outputs := runtime.OpenReplies()
	defer runtime.CloseReplies(id)
	defer func() { e.keptResponse.close() }()
	e.id = id
	e.arrivedMs = runtime.Clock().NowMs()
	submitted := runtime.Submit(Request{ID: id, Host: hostWithoutPort(e.request.Host), Path: e.path, Params: e.params})
	if !submitted {
		e.server.codec.WriteRejection(e.writer, errkind.Overloaded, retryOverloadMs)
		return
	}
	// However serve ends, also by a panic, the machine must not count the request as
	// unfinished.
	finished := false
	defer func() {
		if !finished {
			runtime.Submit(ClientDisconnected{ID: id})
			e.reportConnectionClosed()
		}
	}()
	for !finished {
		select {
		case <-e.request.Context().Done():
			panic(http.ErrAbortHandler)
		case output := <-outputs:
			var abort bool
			finished, abort = e.handleOutput(output)
			if abort {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// reportConnectionClosed counts and logs a request that ends without a response because
// this process, not its client, closed the connection.
func (e *exchange) reportConnectionClosed() {
	connection := httpserver.ConnOf(e.request)
	if connection == nil || !connection.IsClosed() {
		return
	}
	e.server.runtime.Count(countClosedDuringRequest)
	e.server.logger.Warn("router closed the connection of an unfinished request", "request", e.params.RequestID, "forwarded", e.forwarded)
}

// handleOutput carries out one output of the machine. It reports whether the machine has
// finished the request, and whether the client's connection is to be aborted.
func (e *exchange) handleOutput(output protocol.Reply) (finished, abort bool) {
	switch output := output.(type) {
	case Reject:
		e.server.codec.WriteRejection(e.writer, output.Kind, output.RetryMs)
		return true, false
	case ForwardKeptResponse:
		e.forwardResponse(e.keptResponse)
		return true, false
	case AbortStream:
		e.server.runtime.Count(countStreamsAborted)
		return true, true
	case StartAttempt:
		ended := e.runAttempt(output)
		if e.request.Context().Err() != nil {
			return false, true
		}
		e.server.runtime.Submit(ended)
		return ended.Outcome == Completed, false
	}
	return false, false
}

// runAttempt sends the request to a runner once and forwards the response.
func (e *exchange) runAttempt(attempt StartAttempt) AttemptEnded {
	nowMs := e.server.runtime.Clock().NowMs()
	e.attemptMs = nowMs
	leftMs := attempt.DeadlineMs - nowMs
	ctx, cancel := context.WithCancel(e.request.Context())
	defer cancel()
	defer afterDelay(leftMs+deadlineSlackMs, cancel)()
	defer context.AfterFunc(e.server.attemptsContext, cancel)()
	if attempt.Route.Retryable() {
		defer e.server.tracker.start(nowMs, attempt.Params.Runner, e.id, cancel)()
	}
	attempt.Params.TimeoutMs = max(1, leftMs)
	sent, err := e.forwardRequest(ctx, attempt)
	if err != nil {
		return e.attemptEnded(e.sendFailure(attempt.Params.Runner, sent, err))
	}
	e.server.tracker.received(e.server.runtime.Clock().NowMs(), attempt.Params.Runner)
	defer func() { _ = sent.Response.Body.Close() }()
	ended := e.handleResponse(ctx, attempt, sent, leftMs, cancel)
	_ = sent.Response.Body.Close()
	ended.ConnectionIdleMs = sent.IdleTimeout().Milliseconds()
	return ended
}

// forwardRequest writes the request to the runner and reads the head of the
// response.
func (e *exchange) forwardRequest(ctx context.Context, attempt StartAttempt) (*httpclient.Exchange, error) {
	header := http.Header{}
	e.server.codec.WriteAttemptHeader(header, e.request.Header, attempt.Params)
	inTime := e.server.runtime.WriteCheck(func(nowMs int64) bool { return nowMs < attempt.WriteByMs })
	return e.server.runtime.HTTPClient().Forward(ctx, httpclient.Request{
		Method: e.request.Method, Address: attempt.Address, Path: e.path, Query: e.query, HasQuery: e.hasQuery,
		Host: e.request.Host, Header: header, Body: e.body, NewConnection: attempt.NewConnection,
		MaxIdle: attempt.MaxIdle,
	}, inTime)
}

// sendFailure classifies an attempt that got no response head.
func (e *exchange) sendFailure(runner string, sent *httpclient.Exchange, err error) Outcome {
	switch {
	case sent.BytesWritten:
		return e.failureOutcome(ResponseLost)
	case errors.Is(err, httpclient.ErrWriteNotAllowed):
		return Expired
	}
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		for range e.server.tracker.cancelUnresponsive(e.server.runtime.Clock().NowMs(), runner) {
			e.server.runtime.Count(countUnresponsiveRunner)
		}
	}
	return NotSent
}

// handleResponse checks a runner's response and forwards it if it is valid and the request
// is not to be retried. leftMs was the time until the client's deadline when the attempt
// began; cancel cancels the attempt, whose context is ctx.
func (e *exchange) handleResponse(ctx context.Context, attempt StartAttempt, sent *httpclient.Exchange, leftMs int64, cancel func()) AttemptEnded {
	response := sent.Response
	head := e.server.codec.ParseResponseHead(response)
	if !e.isValid(response, head) {
		sent.Reject()
		e.server.runtime.Count(countInvalidResponses)
		return e.attemptEnded(e.failureOutcome(InvalidResponse))
	}
	sent.Accept()
	if head.HasLoad || attempt.Route.Kind == config.Stream {
		e.server.runtime.Submit(ResponseStarted{ID: e.id, Runner: attempt.Params.Runner, Head: head})
	}
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		discard(response, cancel)
		ended := e.attemptEnded(Misdirected)
		ended.OtherRunner = head.Runner != "" && head.Runner != attempt.Params.Runner
		return ended
	case head.NotRun && statesNotRun(response.StatusCode):
		discard(response, cancel)
		return e.attemptEnded(Rejected)
	case isStream(attempt.Route, response):
		outcome := e.forwardStream(attempt, sent, head, leftMs)
		if outcome != Completed {
			sent.Reject()
		}
		return e.attemptEnded(outcome)
	case e.forwarded:
		// An error response cannot follow events that were forwarded.
		return e.attemptEnded(StreamBroken)
	}
	return e.attemptEnded(e.forwardComplete(ctx, attempt, sent, head, leftMs))
}

// isValid reports whether a response belongs to this request and is well-formed. A
// response that names another request, or none, may be left over from an earlier request
// on the same connection.
func (e *exchange) isValid(response *http.Response, head ResponseHead) bool {
	if head.RequestID != e.params.RequestID || head.UnexpectedEncoding {
		return false
	}
	return !isSuccess(response) || head.HasSeal
}

// failureOutcome returns the outcome of a failed attempt: StreamBroken if the client has
// received a part of the response, otherwise the given one.
func (e *exchange) failureOutcome(outcome Outcome) Outcome {
	if e.forwarded {
		return StreamBroken
	}
	return outcome
}

// attemptEnded returns the AttemptEnded with this outcome and with what the client has
// received so far.
func (e *exchange) attemptEnded(outcome Outcome) AttemptEnded {
	ended := AttemptEnded{ID: e.id, Outcome: outcome, Forwarded: e.forwarded}
	if e.forwarded {
		ended.WeightsVersion = e.weightsVersion
		if e.numbered {
			ended.LastEventID = e.lastEventID
		}
	}
	return ended
}

// limitWriteTime limits the time for writes to the client; done removes the limit.
func (e *exchange) limitWriteTime(ms int64) (done func()) {
	controller := http.NewResponseController(e.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// afterDelay calls do after the delay unless stop is called before.
func afterDelay(ms int64, do func()) (stop func()) {
	timer := time.AfterFunc(time.Duration(ms)*time.Millisecond, do)
	return func() { timer.Stop() }
}

// hostWithoutPort returns the host of a Host header.
func hostWithoutPort(hostPort string) string {
	if host, _, err := net.SplitHostPort(hostPort); err == nil {
		return host
	}
	return hostPort
}

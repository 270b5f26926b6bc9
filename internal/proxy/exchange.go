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
	// deadlineSlackMs is how long after the client's deadline an attempt is
	// cancelled. Mostly the runner and the client end it themselves.
	deadlineSlackMs = 1000
	// writeSlackMs is how long after the deadline the client may still take
	// what is written to it.
	writeSlackMs = 5 * deadlineSlackMs
)

// exchange is a client's request and its response on their way through this
// router. It belongs to the goroutine that serves the request.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	// id is the request's id in the machine.
	id     uint64
	params RequestParams
	body   []byte
	// path and query are those of the request line, unchanged.
	path, query string
	hasQuery    bool

	// arrivedMs is when the request was read completely, attemptMs when the last
	// attempt began.
	arrivedMs, attemptMs int64
	// forwarded says that the client has the head of a response.
	forwarded bool
	// keptResponse is the response of the last attempt that ended as
	// ServerError.
	keptResponse *bufferedResponse
	// lastEventID is the id of the last event that was forwarded. If it is a
	// number, numbered is set and eventNumber is its value. eventStep is the
	// largest difference between two successive numbers.
	lastEventID            string
	numbered               bool
	eventNumber, eventStep int64
	// weightsVersion is that of the last event, 0 if it is not known.
	weightsVersion int64
}

// serve passes the request to the machine and performs what the machine
// orders, until the client has its response.
func (e *exchange) serve() {
	runtime := e.server.runtime
	id, outputs := runtime.OpenReplies()
	defer runtime.CloseReplies(id)
	e.id = id
	e.arrivedMs = runtime.Clock().NowMs()
	submitted := runtime.Submit(Request{ID: id, Host: hostWithoutPort(e.request.Host), Path: e.path, Params: e.params})
	if !submitted {
		e.server.codec.WriteRejection(e.writer, errkind.QueueFull, retryOverloadMs)
		return
	}
	// However this ends, also by a panic, the machine must not count the
	// request any more.
	finished := false
	defer func() {
		if !finished {
			runtime.Submit(ClientDisconnected{ID: id})
			e.noteClosedHere()
		}
	}()
	for !finished {
		select {
		case <-e.request.Context().Done():
			panic(http.ErrAbortHandler)
		case output := <-outputs:
			var abort bool
			finished, abort = e.perform(output)
			if abort {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// noteClosedHere counts and logs a request that ends without a response
// because this process, not its client, closed the connection.
func (e *exchange) noteClosedHere() {
	connection := httpserver.ConnOf(e.request)
	if connection == nil || !connection.IsClosed() {
		return
	}
	e.server.runtime.Count(countClosedUnder)
	e.server.logger.Warn("connection closed under a request", "request", e.params.RequestID, "forwarded", e.forwarded)
}

// perform carries out one output of the machine. It reports whether the
// request is finished for the machine, and whether the client's connection is
// to be aborted.
func (e *exchange) perform(output protocol.Reply) (finished, abort bool) {
	switch output := output.(type) {
	case Reject:
		e.server.codec.WriteRejection(e.writer, output.Kind, output.RetryMs)
		return true, false
	case ForwardKept:
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
func (e *exchange) runAttempt(order StartAttempt) AttemptEnded {
	nowMs := e.server.runtime.Clock().NowMs()
	e.attemptMs = nowMs
	leftMs := order.DeadlineMs - nowMs
	ctx, cancel := context.WithCancel(e.request.Context())
	defer cancel()
	defer afterDelay(leftMs+deadlineSlackMs, cancel)()
	defer context.AfterFunc(e.server.attempts, cancel)()
	if order.Route.Retryable() {
		defer e.server.tracker.start(nowMs, order.Params.Runner, e.id, cancel)()
	}
	order.Params.TimeoutMs = max(1, leftMs)
	sent, err := e.forwardRequest(ctx, order)
	if err != nil {
		return e.attemptEnded(e.sendFailure(order.Params.Runner, sent, err))
	}
	e.server.tracker.received(e.server.runtime.Clock().NowMs(), order.Params.Runner)
	defer func() { _ = sent.Response.Body.Close() }()
	ended := e.handleResponse(order, sent, leftMs, cancel)
	_ = sent.Response.Body.Close()
	ended.ConnectionIdleMs = sent.KeptIdle().Milliseconds()
	return ended
}

// forwardRequest writes the request to the runner and reads the head of the
// response.
func (e *exchange) forwardRequest(ctx context.Context, order StartAttempt) (*httpclient.Exchange, error) {
	header := http.Header{}
	e.server.codec.WriteAttemptHeader(header, e.request.Header, order.Params)
	inTime := e.server.runtime.WriteCheck(func(nowMs int64) bool { return nowMs < order.WriteByMs })
	return e.server.runtime.HTTPClient().Forward(ctx, httpclient.Request{
		Method: e.request.Method, Address: order.Address, Path: e.path, Query: e.query, HasQuery: e.hasQuery,
		Host: e.request.Host, Header: header, Body: e.body, Fresh: order.NewConnection,
		MaxIdle: order.MaxIdle,
	}, inTime)
}

// sendFailure classifies an attempt that brought no response head.
func (e *exchange) sendFailure(runner string, sent *httpclient.Exchange, err error) Outcome {
	switch {
	case sent.BytesWritten:
		return e.unlessForwarded(ResponseLost)
	case errors.Is(err, httpclient.ErrNotAllowed):
		return Expired
	}
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		for range e.server.tracker.cancelSilent(e.server.runtime.Clock().NowMs(), runner) {
			e.server.runtime.Count(countSilentRunner)
		}
	}
	return NotSent
}

// handleResponse forwards the response of a runner if it is valid and to be
// forwarded. leftMs was the time until the client's deadline when the attempt
// began; cancel cancels the attempt.
func (e *exchange) handleResponse(order StartAttempt, sent *httpclient.Exchange, leftMs int64, cancel func()) AttemptEnded {
	response := sent.Response
	head := e.server.codec.ParseResponseHead(response)
	if !e.isValid(response, head) {
		sent.Reject()
		e.server.runtime.Count(countInvalidResponses)
		return e.attemptEnded(e.unlessForwarded(InvalidResponse))
	}
	sent.Accept()
	if head.HasLoad || order.Route.Kind == config.Stream {
		e.server.runtime.Submit(ResponseStarted{ID: e.id, Runner: order.Params.Runner, Head: head})
	}
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		discard(response, cancel)
		ended := e.attemptEnded(Misdirected)
		ended.OtherRunner = head.Runner != "" && head.Runner != order.Params.Runner
		return ended
	case head.NotRun && promisesNotRun(response.StatusCode):
		discard(response, cancel)
		return e.attemptEnded(Rejected)
	case isStream(order.Route, response):
		outcome := e.forwardStream(order, response, head, leftMs)
		if outcome != Completed {
			sent.Reject()
		}
		return e.attemptEnded(outcome)
	case e.forwarded:
		// An error response cannot follow events that were forwarded.
		return e.attemptEnded(StreamBroken)
	}
	return e.attemptEnded(e.forwardComplete(order, sent, head, leftMs))
}

// isValid reports whether a response is one to this request. One that names
// another request, or none, may be left over from an earlier one on the same
// connection.
func (e *exchange) isValid(response *http.Response, head ResponseHead) bool {
	if head.RequestID != e.params.RequestID || head.UnexpectedEncoding {
		return false
	}
	if isSuccess(response) && !head.HasSeal {
		return false
	}
	return hasDelimitedEnd(response)
}

// unlessForwarded returns the outcome of an attempt that failed: StreamBroken
// if the client has a part of the response.
func (e *exchange) unlessForwarded(outcome Outcome) Outcome {
	if e.forwarded {
		return StreamBroken
	}
	return outcome
}

// attemptEnded reports an outcome, with what the client has by now.
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

// limitWriteTime sets the time in which the client must take what is written
// to it; done removes the limit.
func (e *exchange) limitWriteTime(ms int64) (done func()) {
	controller := http.NewResponseController(e.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(time.Duration(ms) * time.Millisecond))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// afterDelay calls do after the delay unless it is stopped before.
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

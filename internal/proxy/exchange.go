package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/httpclient"
)

const (
	maxResponseBytes = 8 << 20
	// maxDiscardBytes and discardMs bound the reading of an answer that nobody needs,
	// so that its stream can be used again.
	maxDiscardBytes = 4 << 10
	discardMs       = 100
)

// exchange is a client's request on its way through this router.
type exchange struct {
	server      *Server
	writer      http.ResponseWriter
	request     *http.Request
	id          uint64
	params      RequestParams
	body        []byte
	path, query string
	hasQuery    bool
	startMs     int64

	// forwarded says that the client has the head of an answer.
	forwarded bool
	// keptResponse is a failed answer to be passed on if nothing better comes.
	keptResponse *bufferedResponse
	// lastEventID is the id of the last piece passed on, number the same as a number
	// where it is one; step is by how much the ids rise.
	lastEventID            string
	eventNumber, eventStep int64
	numbered               bool
	weightsVersion         int64
}

// bufferedResponse is an answer that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// runAttempt makes one send and passes its answer on.
func (p *exchange) runAttempt(s StartAttempt) AttemptEnded {
	g := p.server
	nowMs := g.shell.Clock().NowMs()
	ctx, cancel := context.WithCancel(p.request.Context())
	defer cancel()
	defer afterDelay(s.DeadlineMs-nowMs+deadlineSlackMs, cancel)()
	if s.Route.Retryable() {
		defer g.tracker.start(nowMs, s.Params.Runner, p.id, cancel)()
	}
	s.Params.TimeoutMs = max(1, s.DeadlineMs-nowMs)
	header := http.Header{}
	g.codec.WriteAttemptHeader(header, p.request.Header, s.Params)
	sent, err := g.shell.HTTPClient().Forward(ctx, httpclient.Request{
		Method: p.request.Method, Address: s.Address, Path: p.path, Query: p.query, HasQuery: p.hasQuery,
		Host: p.request.Host, Header: header, Body: p.body, Fresh: s.NewConnection,
	}, g.shell.WriteCheck(func(nowMs int64) bool { return nowMs < s.WriteByMs }))
	switch {
	case errors.Is(err, httpclient.ErrNotAllowed) && !sent.Written:
		return p.attemptEnded(Expired)
	case err != nil && !sent.Written:
		var failed net.Error
		if errors.As(err, &failed) && failed.Timeout() {
			for range g.tracker.cancelSilent(g.shell.Clock().NowMs(), s.Params.Runner) {
				g.shell.Count("sends to a dark runner given up")
			}
		}
		return p.attemptEnded(NotSent)
	case err != nil:
		return p.attemptEnded(p.outcomeOr(ResponseLost))
	}
	g.tracker.received(g.shell.Clock().NowMs(), s.Params.Runner)
	answer := sent.Response
	defer answer.Body.Close()
	heard := g.codec.ParseResponseHead(answer)
	// An answer that names another request, or none, may be a surplus one that
	// stands where ours is expected: nothing on this stream is believed.
	if heard.RequestID != p.params.RequestID || heard.UnexpectedEncoding || answer.StatusCode/100 == 2 && !heard.HasSeal || !hasDelimitedEnd(answer) {
		sent.Reject()
		g.shell.Count("answers that are none")
		return p.attemptEnded(p.outcomeOr(InvalidResponse))
	}
	sent.Accept()
	if heard.HasLoad || s.Route.Kind == config.Stream {
		g.shell.Submit(ResponseStarted{ID: p.id, Runner: s.Params.Runner, Head: heard})
	}
	switch status := answer.StatusCode; {
	case status == http.StatusMisdirectedRequest:
		discard(answer, cancel)
		ended := p.attemptEnded(Misdirected)
		ended.OtherRunner = heard.Runner != "" && heard.Runner != s.Params.Runner
		return ended
	case heard.NotRun && promisesNotRun(status):
		discard(answer, cancel)
		return p.attemptEnded(Rejected)
	case isStream(s.Route, answer):
		ended := p.forwardStream(answer, heard, s.Params.Runner, s.DeadlineMs-nowMs)
		if ended.Outcome != Completed {
			sent.Reject()
		}
		return ended
	case p.forwarded:
		// A failure can't follow on the pieces that were passed on.
		return p.attemptEnded(StreamBroken)
	}
	text, err := p.readResponse(answer)
	if err != nil {
		sent.Reject()
		return p.attemptEnded(ResponseLost)
	}
	got := &bufferedResponse{answer.StatusCode, answer.Header, text}
	switch status := answer.StatusCode; {
	case s.Route.Retryable() && (status == http.StatusInternalServerError || status == http.StatusBadGateway):
		p.keptResponse = got
		return p.attemptEnded(ServerError)
	case !s.Route.Retryable() && !heard.NotRun && promisesNotRun(status):
		// Passed on, it would promise what the runner did not.
		return p.attemptEnded(ResponseLost)
	}
	defer p.limitWriteTime(s.DeadlineMs - nowMs + 5*deadlineSlackMs)()
	p.forwardResponse(got)
	return p.attemptEnded(Completed)
}

// promisesNotRun says whether a status tells a client that its request has not run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// hasDelimitedEnd says whether the end of an answer can be told from a stream that broke.
func hasDelimitedEnd(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 || answer.Request.Method == http.MethodHead
}

// outcomeOr is how a lost send counts once pieces were passed on.
func (p *exchange) outcomeOr(otherwise Outcome) Outcome {
	if p.forwarded {
		return StreamBroken
	}
	return otherwise
}

func (p *exchange) attemptEnded(outcome Outcome) AttemptEnded {
	e := AttemptEnded{ID: p.id, Outcome: outcome, Forwarded: p.forwarded}
	if p.forwarded {
		e.WeightsVersion = p.weightsVersion
		if p.numbered {
			e.LastEventID = p.lastEventID
		}
	}
	return e
}

// discard reads the little that is left of an answer, so that its stream can be
// used again; it does not wait for it.
func discard(answer *http.Response, cancel func()) {
	if answer.ContentLength > maxDiscardBytes {
		return
	}
	defer afterDelay(discardMs, cancel)()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxDiscardBytes))
}

// readResponse takes a whole plain answer, so that one that breaks off never begins.
func (p *exchange) readResponse(answer *http.Response) ([]byte, error) {
	if answer.ContentLength > maxResponseBytes {
		return nil, errEventTooLarge
	}
	if answer.ContentLength > 0 && p.request.Method != http.MethodHead {
		text := make([]byte, answer.ContentLength)
		if _, err := io.ReadFull(answer.Body, text); err != nil {
			return nil, err
		}
		// Reading the end gives the stream back.
		_, _ = answer.Body.Read(make([]byte, 1))
		return text, nil
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes+1))
	if err == nil && len(text) > maxResponseBytes {
		err = errEventTooLarge
	}
	return text, err
}

// forwardResponse gives the client a whole answer.
func (p *exchange) forwardResponse(got *bufferedResponse) {
	p.writeHeader(got.header)
	if p.request.Method != http.MethodHead && got.status != http.StatusNoContent && got.status != http.StatusNotModified {
		p.writer.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	p.writer.WriteHeader(got.status)
	_, _ = p.writer.Write(got.body)
}

func (p *exchange) writeHeader(from http.Header) {
	to := p.writer.Header()
	p.server.codec.CopyResponseHeader(to, from)
	to.Del("Transfer-Encoding")
	if p.server.draining.Load() {
		to.Set("Connection", "close")
	}
	// The server would guess a type where the runner told none.
	if _, told := to["Content-Type"]; !told {
		to["Content-Type"] = nil
	}
}

var streamBuffers = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// forwardStream passes the events of an answer on, whole ones only and each at once.
func (p *exchange) forwardStream(answer *http.Response, heard ResponseHead, runner string, leftMs int64) AttemptEnded {
	defer p.limitWriteTime(leftMs + 5*deadlineSlackMs)()
	control := http.NewResponseController(p.writer)
	buffer := streamBuffers.Get().(*[4 << 10]byte)
	defer streamBuffers.Put(buffer)
	resumed := p.forwarded
	if p.weightsVersion == 0 {
		p.weightsVersion = heard.WeightsVersion
	}
	var events eventSplitter
	var failed error
	gap := false
	begin := func() {
		if !p.forwarded {
			p.forwarded = true
			p.writeHeader(answer.Header)
			p.writer.Header().Del("Content-Length")
			p.writer.WriteHeader(answer.StatusCode)
		}
	}
	take := func(event []byte) bool {
		if !p.acceptEvent(event, resumed, &gap) {
			return !gap
		}
		begin()
		_, failed = p.writer.Write(event)
		return failed == nil
	}
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			p.server.tracker.received(p.server.shell.Clock().NowMs(), runner)
			large := events.feed(buffer[:n], take)
			if failed == nil && p.forwarded {
				failed = control.Flush()
			}
			switch {
			case failed != nil:
				// The client is gone, or does not read.
				panic(http.ErrAbortHandler)
			case gap, large != nil:
				return p.attemptEnded(p.outcomeOr(InvalidResponse))
			}
		}
		switch {
		case err == io.EOF && resumed && len(events.buffered) > 0:
			// Within an event, what the client has would end as if it were whole.
			return p.attemptEnded(p.outcomeOr(InvalidResponse))
		case err == io.EOF:
			begin()
			if len(events.buffered) > 0 {
				_, _ = p.writer.Write(events.buffered)
			}
			return p.attemptEnded(Completed)
		case err != nil:
			return p.attemptEnded(p.outcomeOr(ResponseLost))
		}
	}
}

// acceptEvent says whether an event may be passed on. After a resumption what the
// client has is left out, and a gap ends it.
func (p *exchange) acceptEvent(event []byte, resumed bool, gap *bool) bool {
	id, version := p.server.codec.ParseEvent(event)
	if id != "" {
		number, err := strconv.ParseInt(id, 10, 64)
		if resumed && err == nil {
			if number <= p.eventNumber {
				return false
			}
			if p.eventStep > 0 && number > p.eventNumber+p.eventStep {
				*gap = true
				return false
			}
		}
		if err != nil {
			p.numbered = false
		} else {
			if p.numbered {
				p.eventStep = max(p.eventStep, number-p.eventNumber)
			}
			p.eventNumber, p.numbered = number, true
		}
		p.lastEventID = id
	}
	if version > 0 {
		p.weightsVersion = version
	}
	return true
}

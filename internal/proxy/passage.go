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
	answerMost = 8 << 20
	// drainMost and drainMs bound the reading of an answer that nobody needs,
	// so that its stream can be used again.
	drainMost = 4 << 10
	drainMs   = 100
)

// passage is a client's request on its way through this router.
type passage struct {
	gate        *Server
	w           http.ResponseWriter
	r           *http.Request
	id          uint64
	asked       RequestParams
	body        []byte
	path, query string
	hasQuery    bool
	beganMs     int64

	// passed says that the client has the head of an answer.
	passed bool
	// kept is a failed answer to be passed on if nothing better comes.
	kept *whole
	// last is the id of the last piece passed on, number the same as a number
	// where it is one; step is by how much the ids rise.
	last         string
	number, step int64
	numbered     bool
	version      int64
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// send makes one send and passes its answer on.
func (p *passage) send(s StartAttempt) AttemptEnded {
	g := p.gate
	nowMs := g.shell.Clock().NowMs()
	ctx, cancel := context.WithCancel(p.r.Context())
	defer cancel()
	defer after(s.DeadlineMs-nowMs+lateMs, cancel)()
	if s.Route.Retryable() {
		defer g.hearing.add(nowMs, s.Params.Runner, p.id, cancel)()
	}
	s.Params.TimeoutMs = max(1, s.DeadlineMs-nowMs)
	header := http.Header{}
	g.tongue.WriteAttemptHeader(header, p.r.Header, s.Params)
	sent, err := g.shell.HTTPClient().Forward(ctx, httpclient.Request{
		Method: p.r.Method, Address: s.Address, Path: p.path, Query: p.query, HasQuery: p.hasQuery,
		Host: p.r.Host, Header: header, Body: p.body, Fresh: s.NewConnection,
	}, g.shell.WriteCheck(func(nowMs int64) bool { return nowMs < s.WriteByMs }))
	switch {
	case errors.Is(err, httpclient.ErrNotAllowed) && !sent.Written:
		return p.ended(Expired)
	case err != nil && !sent.Written:
		var failed net.Error
		if errors.As(err, &failed) && failed.Timeout() {
			for range g.hearing.unreached(g.shell.Clock().NowMs(), s.Params.Runner) {
				g.shell.Count("sends to a dark runner given up")
			}
		}
		return p.ended(NotSent)
	case err != nil:
		return p.ended(p.broken(ResponseLost))
	}
	g.hearing.heard(g.shell.Clock().NowMs(), s.Params.Runner)
	answer := sent.Response
	defer answer.Body.Close()
	heard := g.tongue.ParseResponseHead(answer)
	// An answer that names another request, or none, may be a surplus one that
	// stands where ours is expected: nothing on this stream is believed.
	if heard.RequestID != p.asked.RequestID || heard.UnexpectedEncoding || answer.StatusCode/100 == 2 && !heard.HasSeal || !ends(answer) {
		sent.Reject()
		g.shell.Count("answers that are none")
		return p.ended(p.broken(InvalidResponse))
	}
	sent.Accept()
	if heard.HasLoad || s.Route.Kind == config.Stream {
		g.shell.Submit(ResponseStarted{ID: p.id, Runner: s.Params.Runner, Head: heard})
	}
	switch status := answer.StatusCode; {
	case status == http.StatusMisdirectedRequest:
		drain(answer, cancel)
		ended := p.ended(Misdirected)
		ended.OtherRunner = heard.Runner != "" && heard.Runner != s.Params.Runner
		return ended
	case heard.NotRun && promises(status):
		drain(answer, cancel)
		return p.ended(Rejected)
	case streams(s.Route, answer):
		ended := p.stream(answer, heard, s.Params.Runner, s.DeadlineMs-nowMs)
		if ended.Outcome != Completed {
			sent.Reject()
		}
		return ended
	case p.passed:
		// A failure can't follow on the pieces that were passed on.
		return p.ended(StreamBroken)
	}
	text, err := p.read(answer)
	if err != nil {
		sent.Reject()
		return p.ended(ResponseLost)
	}
	got := &whole{answer.StatusCode, answer.Header, text}
	switch status := answer.StatusCode; {
	case s.Route.Retryable() && (status == http.StatusInternalServerError || status == http.StatusBadGateway):
		p.kept = got
		return p.ended(ServerError)
	case !s.Route.Retryable() && !heard.NotRun && promises(status):
		// Passed on, it would promise what the runner did not.
		return p.ended(ResponseLost)
	}
	defer p.limit(s.DeadlineMs - nowMs + 5*lateMs)()
	p.pass(got)
	return p.ended(Completed)
}

// promises says whether a status tells a client that its request has not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// ends says whether the end of an answer can be told from a stream that broke.
func ends(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 || answer.Request.Method == http.MethodHead
}

// broken is how a lost send counts once pieces were passed on.
func (p *passage) broken(otherwise Outcome) Outcome {
	if p.passed {
		return StreamBroken
	}
	return otherwise
}

func (p *passage) ended(outcome Outcome) AttemptEnded {
	e := AttemptEnded{ID: p.id, Outcome: outcome, Forwarded: p.passed}
	if p.passed {
		e.WeightsVersion = p.version
		if p.numbered {
			e.LastEventID = p.last
		}
	}
	return e
}

// drain reads the little that is left of an answer, so that its stream can be
// used again; it does not wait for it.
func drain(answer *http.Response, cancel func()) {
	if answer.ContentLength > drainMost {
		return
	}
	defer after(drainMs, cancel)()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, drainMost))
}

// read takes a whole plain answer, so that one that breaks off never begins.
func (p *passage) read(answer *http.Response) ([]byte, error) {
	if answer.ContentLength > answerMost {
		return nil, errEvent
	}
	if answer.ContentLength > 0 && p.r.Method != http.MethodHead {
		text := make([]byte, answer.ContentLength)
		if _, err := io.ReadFull(answer.Body, text); err != nil {
			return nil, err
		}
		// Reading the end gives the stream back.
		_, _ = answer.Body.Read(make([]byte, 1))
		return text, nil
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, answerMost+1))
	if err == nil && len(text) > answerMost {
		err = errEvent
	}
	return text, err
}

// pass gives the client a whole answer.
func (p *passage) pass(got *whole) {
	p.head(got.header)
	if p.r.Method != http.MethodHead && got.status != http.StatusNoContent && got.status != http.StatusNotModified {
		p.w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	p.w.WriteHeader(got.status)
	_, _ = p.w.Write(got.body)
}

func (p *passage) head(from http.Header) {
	to := p.w.Header()
	p.gate.tongue.CopyResponseHeader(to, from)
	to.Del("Transfer-Encoding")
	if p.gate.leaving.Load() {
		to.Set("Connection", "close")
	}
	// The server would guess a type where the runner told none.
	if _, told := to["Content-Type"]; !told {
		to["Content-Type"] = nil
	}
}

var buffers = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// stream passes the events of an answer on, whole ones only and each at once.
func (p *passage) stream(answer *http.Response, heard ResponseHead, runner string, leftMs int64) AttemptEnded {
	defer p.limit(leftMs + 5*lateMs)()
	control := http.NewResponseController(p.w)
	buffer := buffers.Get().(*[4 << 10]byte)
	defer buffers.Put(buffer)
	resumed := p.passed
	if p.version == 0 {
		p.version = heard.WeightsVersion
	}
	var events splitter
	var failed error
	gap := false
	begin := func() {
		if !p.passed {
			p.passed = true
			p.head(answer.Header)
			p.w.Header().Del("Content-Length")
			p.w.WriteHeader(answer.StatusCode)
		}
	}
	take := func(event []byte) bool {
		if !p.follows(event, resumed, &gap) {
			return !gap
		}
		begin()
		_, failed = p.w.Write(event)
		return failed == nil
	}
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			p.gate.hearing.heard(p.gate.shell.Clock().NowMs(), runner)
			large := events.add(buffer[:n], take)
			if failed == nil && p.passed {
				failed = control.Flush()
			}
			switch {
			case failed != nil:
				// The client is gone, or does not read.
				panic(http.ErrAbortHandler)
			case gap, large != nil:
				return p.ended(p.broken(InvalidResponse))
			}
		}
		switch {
		case err == io.EOF && resumed && len(events.rest) > 0:
			// Within an event, what the client has would end as if it were whole.
			return p.ended(p.broken(InvalidResponse))
		case err == io.EOF:
			begin()
			if len(events.rest) > 0 {
				_, _ = p.w.Write(events.rest)
			}
			return p.ended(Completed)
		case err != nil:
			return p.ended(p.broken(ResponseLost))
		}
	}
}

// follows says whether an event may be passed on. After a resumption what the
// client has is left out, and a gap ends it.
func (p *passage) follows(event []byte, resumed bool, gap *bool) bool {
	id, version := p.gate.tongue.ParseEvent(event)
	if id != "" {
		number, err := strconv.ParseInt(id, 10, 64)
		if resumed && err == nil {
			if number <= p.number {
				return false
			}
			if p.step > 0 && number > p.number+p.step {
				*gap = true
				return false
			}
		}
		if err != nil {
			p.numbered = false
		} else {
			if p.numbered {
				p.step = max(p.step, number-p.number)
			}
			p.number, p.numbered = number, true
		}
		p.last = id
	}
	if version > 0 {
		p.version = version
	}
	return true
}

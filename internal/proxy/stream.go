package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/httpclient"
)

// streamBufferBytes is the size of the buffers that streams are read with.
const streamBufferBytes = 4 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// streamForwarder forwards the events of one attempt's stream to the client. Until the
// stream ends it forwards only complete events, each as soon as it is complete.
type streamForwarder struct {
	exchange   *exchange
	sent       *httpclient.Exchange
	controller *http.ResponseController
	events     eventSplitter
	// resumed is true if the client has a part of the stream from an earlier attempt.
	resumed bool
	// deadlineMs is when the runner stops working on the request.
	deadlineMs int64
	// gap is true if events are missing between that part and this stream.
	gap bool
	// writeErr is the error of the last write to the client.
	writeErr error
}

// forwardStream forwards the stream of an attempt. It panics with http.ErrAbortHandler if
// the client has disconnected or does not read.
func (e *exchange) forwardStream(attempt StartAttempt, sent *httpclient.Exchange, head ResponseHead, leftMs int64) Outcome {
	defer e.limitWriteTime(leftMs + writeSlackMs)()
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	if e.weightsVersion == 0 {
		e.weightsVersion = head.WeightsVersion
	}
	if attempt.Route.Kind == config.Stream && e.params.LastEventID == "" && !e.forwarded {
		e.eventExpected = true
	}
	forwarder := streamForwarder{
		exchange: e, sent: sent, controller: http.NewResponseController(e.writer), resumed: e.forwarded,
		deadlineMs: attempt.DeadlineMs,
	}
	timing := streamTiming{arrivedMs: e.arrivedMs, attemptMs: e.attemptMs}
	defer func() { e.countLateness(timing.cause(attempt.Route)) }()
	for {
		n, err := sent.Response.Body.Read(buffer[:])
		if n > 0 {
			nowMs := e.server.runtime.Clock().NowMs()
			timing.received(nowMs)
			e.server.tracker.received(nowMs, attempt.Params.Runner)
			if !forwarder.forward(buffer[:n]) {
				return e.failureOutcome(InvalidResponse)
			}
		}
		if err != nil {
			return forwarder.end(err)
		}
	}
}

// countLateness counts a stream that was late, by its cause.
func (e *exchange) countLateness(cause string) {
	if cause != "" {
		e.server.runtime.Count(cause)
	}
}

// forward adds the bytes that were read and forwards the events that are now complete. It
// returns false if the stream is not valid.
func (f *streamForwarder) forward(read []byte) bool {
	tooLarge := f.events.feed(read, f.forwardEvent)
	if f.writeErr == nil && f.exchange.forwarded {
		f.writeErr = f.controller.Flush()
	}
	if f.writeErr != nil {
		panic(http.ErrAbortHandler)
	}
	return !f.gap && tooLarge == nil
}

// forwardEvent forwards one event unless the client has it already. It returns
// false to stop.
func (f *streamForwarder) forwardEvent(event []byte) bool {
	if !f.accept(event) {
		return !f.gap
	}
	f.writeHead()
	if !hasOnlyComments(event) {
		f.exchange.eventExpected = false
	}
	_, f.writeErr = f.exchange.writer.Write(event)
	return f.writeErr == nil
}

// accept reports whether an event is to be forwarded, and records its ID.
func (f *streamForwarder) accept(event []byte) bool {
	id, version := f.exchange.server.codec.ParseEvent(event)
	if id != "" && !f.acceptID(id) {
		return false
	}
	if version > 0 {
		f.exchange.weightsVersion = version
	}
	return true
}

// acceptID reports whether the event with this ID is to be forwarded. In a resumed
// stream, events that the client has are skipped, and missing ones are recorded as a gap.
func (f *streamForwarder) acceptID(id string) bool {
	e := f.exchange
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		e.lastEventID, e.numbered = id, false
		return true
	}
	if f.resumed && number <= e.eventNumber {
		return false
	}
	if f.resumed && e.eventStep > 0 && number > e.eventNumber+e.eventStep {
		f.gap, e.eventExpected = true, true
		return false
	}
	if e.numbered {
		e.eventStep = max(e.eventStep, number-e.eventNumber)
	}
	e.lastEventID, e.numbered, e.eventNumber = id, true, number
	return true
}

// writeHead writes the response head to the client, once for all attempts.
func (f *streamForwarder) writeHead() {
	e := f.exchange
	if e.forwarded {
		return
	}
	e.forwarded = true
	e.writeHeader(f.sent.Response.Header)
	// Another attempt may continue the stream, so its length is not known.
	e.writer.Header().Del("Content-Length")
	e.writer.WriteHeader(f.sent.Response.StatusCode)
}

// end handles the end of the stream, or the error that ended it.
func (f *streamForwarder) end(err error) Outcome {
	e := f.exchange
	if err != io.EOF || f.isCut() {
		e.eventExpected = e.eventExpected || f.beganNextEvent()
		return e.failureOutcome(ResponseLost)
	}
	rest := f.events.buffered
	if f.resumed && len(rest) > 0 {
		// The client could not distinguish an incomplete event from the end of the stream.
		return e.failureOutcome(InvalidResponse)
	}
	f.writeHead()
	if len(rest) > 0 {
		_, _ = e.writer.Write(rest)
	}
	return Completed
}

// isCut reports whether the runner did not finish the stream, although its connection was closed
// in order: the bytes show it, or the runner may have stopped at the deadline. Where a length or
// chunks state the end, the runner has stated that the stream is complete.
func (f *streamForwarder) isCut() bool {
	if !f.sent.EndsWithConnection() || !mayBeEventStream(f.sent.Response.Header) {
		return false
	}
	isPastDeadline := f.exchange.server.runtime.Clock().NowMs() >= f.deadlineMs
	lacksEvent := f.exchange.eventExpected && !f.events.holdsWholeEvents()
	return isPastDeadline || lacksEvent || f.events.endsWithinEvent()
}

// beganNextEvent reports whether a part of the event after the last one that was forwarded has
// been received. A resumed stream may begin with events that the client has.
func (f *streamForwarder) beganNextEvent() bool {
	rest := f.events.buffered
	if !f.resumed {
		return !hasOnlyComments(rest)
	}
	wholeLines := rest[:bytes.LastIndexByte(rest, '\n')+1]
	id, _ := f.exchange.server.codec.ParseEvent(wholeLines)
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number > f.exchange.eventNumber
}

// mayBeEventStream reports whether a response has the content type of an event stream, or none.
func mayBeEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	return contentType == "" || isEventStream(contentType)
}

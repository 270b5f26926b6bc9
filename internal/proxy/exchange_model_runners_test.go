package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"myrtlewinch/internal/threads"
)

// reaction is what a runner of the model does with a request that arrives.
type reaction string

// What runners do, with faults and without.
const (
	reactComplete          reaction = "complete response"
	reactChunks            reaction = "complete response in chunks"
	reactChunksAndLength   reaction = "chunks and a length"
	reactRejected          reaction = "rejected, not run"
	reactOtherRunner       reaction = "another runner at the address"
	reactServerError       reaction = "server error"
	react503MayHaveRun     reaction = "503 without the statement that it has not run"
	reactCutBody           reaction = "truncated within the body"
	reactCutHead           reaction = "truncated within the head"
	reactGarbage           reaction = "not an HTTP response"
	reactInvalidStatus     reaction = "invalid status"
	reactUpgrade           reaction = "switch to another protocol"
	reactClose             reaction = "closed without a response"
	reactReset             reaction = "connection reset"
	reactCompleteThenReset reaction = "complete response, then reset"
	reactOtherID           reaction = "ID of another request"
	reactOtherIDRejection  reaction = "rejection with the ID of another request"
	reactNoID              reaction = "no ID"
	reactTwoIDs            reaction = "two IDs"
	reactDoubled           reaction = "response sent twice"
	reactExtraBytes        reaction = "extra bytes after the response"
	reactPreviousFirst     reaction = "previous response sent again first"
	reactBeforeBody        reaction = "response before the body was read"
	reactInformational     reaction = "informational response first"
	reactUnsealed          reaction = "no seal"
	reactEncoded           reaction = "content encoding"
	reactNoLength          reaction = "no length and no chunks"
	reactNoLengthReset     reaction = "no length and no chunks, then reset"
	reactNoResponse        reaction = "no response"
	reactCutStream         reaction = "truncated stream"
	reactGap               reaction = "stream with a gap"
	reactCutLastEvent      reaction = "resumed stream that ends within an event"
	reactNoLengthCutEvent  reaction = "stream without a length that ends within an event"
	reactNoLengthCutBlank  reaction = "stream without a length that ends within a blank line"
	reactNoLengthNoEvent   reaction = "stream without a length that ends before its first event"
)

var reactions = []reaction{
	reactComplete, reactChunks, reactChunksAndLength, reactRejected, reactOtherRunner, reactServerError, react503MayHaveRun, reactCutBody, reactCutHead, reactGarbage,
	reactInvalidStatus, reactUpgrade, reactClose, reactReset, reactCompleteThenReset, reactOtherID, reactOtherIDRejection, reactNoID, reactTwoIDs,
	reactDoubled, reactExtraBytes, reactPreviousFirst, reactBeforeBody, reactInformational, reactUnsealed, reactEncoded, reactNoLength, reactNoLengthReset, reactNoResponse,
	reactCutStream, reactGap, reactCutLastEvent, reactNoLengthCutEvent, reactNoLengthCutBlank, reactNoLengthNoEvent,
}

// modelRunners are three runners. Each request has its own list of reactions, one for
// each of its attempts whichever runner gets it, so that a run can be repeated exactly.
type modelRunners struct {
	log       *exchangeLog
	mu        sync.Mutex
	reactions map[string][]reaction
	// unanswered has, by request, a channel that receives when a runner has the request
	// and does not respond.
	unanswered map[string]chan struct{}
	open       map[io.Closer]bool
	goroutines sync.WaitGroup
}

func (m *modelRunners) nextReaction(requestID string) reaction {
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining := m.reactions[requestID]
	if len(remaining) == 0 {
		return reactComplete
	}
	m.reactions[requestID] = remaining[1:]
	return remaining[0]
}

func (m *modelRunners) unansweredBy(requestID string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unanswered[requestID] == nil {
		m.unanswered[requestID] = make(chan struct{}, maxRouteAttempts+1)
	}
	return m.unanswered[requestID]
}

func (m *modelRunners) listen(id string) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.open[listener] = true
	m.mu.Unlock()
	m.goroutines.Add(1)
	threads.Go(func() {
		defer m.goroutines.Done()
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.open[connection] = true
			m.mu.Unlock()
			m.goroutines.Add(1)
			threads.Go(func() {
				defer m.goroutines.Done()
				(&modelConn{runners: m, id: id, connection: connection, reader: bufio.NewReader(connection)}).serve()
			})
		}
	})
	return listener, nil
}

// stop closes all listeners and connections and waits for their goroutines to end.
func (m *modelRunners) stop() {
	m.mu.Lock()
	for listenerOrConnection := range m.open {
		_ = listenerOrConnection.Close()
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}

// modelConn is one connection to a runner of the model.
type modelConn struct {
	runners    *modelRunners
	id         string
	connection net.Conn
	reader     *bufio.Reader
	// invalid is set once something was sent after which the connection must not be
	// reused.
	invalid bool
	// previous is the last complete response on the connection.
	previous string
}

func (m *modelConn) serve() {
	defer func() { _ = m.connection.Close() }()
	for {
		request, err := http.ReadRequest(m.reader)
		if err != nil {
			return
		}
		a := &arrival{
			requestID: request.Header.Get("Try"), attempt: request.Header.Get("Attempt"), runner: m.id,
			namedRunner: request.Header.Get("Runner"), onInvalidConn: m.invalid,
		}
		m.runners.log.mu.Lock()
		m.runners.log.arrivals = append(m.runners.log.arrivals, a)
		m.runners.log.mu.Unlock()
		react := m.runners.nextReaction(a.requestID)
		if react != reactBeforeBody {
			_, _ = io.Copy(io.Discard, request.Body)
			// No second request may be sent before the first one has its response.
			a.beforePreviousEnded = m.reader.Buffered() > 0
		}
		if !m.respond(a, request, react) {
			return
		}
	}
}

// recordResponse records a response to a request, before a byte of it is sent.
func (m *modelConn) recordResponse(requestID string, status int, body string, complete bool) {
	m.runners.log.mu.Lock()
	defer m.runners.log.mu.Unlock()
	m.runners.log.runnerResponses[requestID] = append(m.runners.log.runnerResponses[requestID], runnerResponse{status, body, complete})
}

func responseHead(status, requestID, rest string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nTry: %s\r\nSeal: s\r\n%s\r\n", status, requestID, rest)
}

func withLength(status, requestID, body string) string {
	return responseHead(status, requestID, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

func inChunks(requestID, rest, body string) string {
	return responseHead("200 OK", requestID, rest+"Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// respond sends the response of a reaction. It returns false if the connection is to be
// closed.
func (m *modelConn) respond(a *arrival, request *http.Request, react reaction) bool {
	requestID := a.requestID
	if strings.HasPrefix(request.URL.Path, "/stream/") || strings.HasPrefix(request.URL.Path, "/once/") {
		switch react {
		case reactComplete, reactChunks, reactChunksAndLength, reactCutBody, reactCutStream, reactGap, reactCompleteThenReset, reactDoubled, reactExtraBytes, reactInformational, reactPreviousFirst, reactBeforeBody, reactCutLastEvent, reactNoLength, reactNoLengthReset,
			reactNoLengthCutEvent, reactNoLengthCutBlank, reactNoLengthNoEvent:
			return m.respondStream(requestID, request, react)
		}
	}
	body := "run " + a.attempt + " of " + requestID
	good := withLength("200 OK", requestID, body)
	write := func(text string) bool { _, err := io.WriteString(m.connection, text); return err == nil }
	writeInvalid := func(text string) bool { m.invalid = true; return write(text) }
	switch react {
	case reactRejected:
		a.statement = statedNotRun
		return write(responseHead("503 Full", requestID, "Not-Run: 1\r\nContent-Length: 0\r\n"))
	case reactOtherRunner:
		a.statement = statedNotRun
		return write(responseHead("421 Other", requestID, "Content-Length: 0\r\n"))
	case reactServerError:
		m.recordResponse(requestID, 500, body, true)
		return write(withLength("500 Failed", requestID, body))
	case react503MayHaveRun:
		m.recordResponse(requestID, 503, "", true)
		return write(withLength("503 Full", requestID, ""))
	case reactCutBody, reactCutStream, reactNoLengthCutEvent, reactNoLengthCutBlank, reactNoLengthNoEvent:
		m.recordResponse(requestID, 200, body, false)
		_ = writeInvalid(strings.TrimSuffix(good, requestID))
		return false
	case reactCutHead:
		_ = writeInvalid("HTTP/1.1 200 OK\r\nTry: " + requestID)
		return false
	case reactGarbage:
		return writeInvalid("garbage\r\n\r\n")
	case reactInvalidStatus:
		return writeInvalid(withLength("099 X", requestID, body))
	case reactUpgrade:
		return writeInvalid(withLength("101 X", requestID, body))
	case reactClose:
		return false
	case reactReset:
		_ = m.connection.(*net.TCPConn).SetLinger(0)
		return false
	case reactOtherID:
		return writeInvalid(withLength("200 OK", "not-"+requestID, "another's"))
	case reactOtherIDRejection:
		return writeInvalid(responseHead("503 Full", "not-"+requestID, "Not-Run: 1\r\nContent-Length: 0\r\n"))
	case reactNoID:
		return writeInvalid("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok")
	case reactTwoIDs:
		return writeInvalid(responseHead("200 OK", requestID, "Try: other\r\nContent-Length: 2\r\n") + "ok")
	case reactUnsealed:
		return writeInvalid("HTTP/1.1 200 OK\r\nTry: " + requestID + "\r\nContent-Length: 2\r\n\r\nok")
	case reactEncoded:
		return writeInvalid(responseHead("200 OK", requestID, "Content-Encoding: gzip\r\nContent-Length: 2\r\n") + "ok")
	case reactNoLength:
		m.recordResponse(requestID, 200, body, true)
		_ = write(responseHead("200 OK", requestID, "") + body)
		return false
	case reactNoLengthReset:
		m.recordResponse(requestID, 200, body, false)
		_ = writeInvalid(responseHead("200 OK", requestID, "") + strings.TrimSuffix(body, requestID))
		_ = m.connection.(*net.TCPConn).SetLinger(0)
		return false
	case reactNoResponse:
		if request.Header.Get("Pipelined") != "" {
			return false
		}
		m.invalid = true
		m.runners.unansweredBy(requestID) <- struct{}{}
		// The read ends once the router closes the connection.
		_, _ = io.Copy(io.Discard, m.reader)
		return false
	}
	m.recordResponse(requestID, 200, body, true)
	switch react {
	case reactChunks:
		return write(inChunks(requestID, "", body))
	case reactChunksAndLength:
		return write(inChunks(requestID, "Content-Length: 1\r\n", body))
	case reactCompleteThenReset:
		_ = write(good)
		_ = m.connection.(*net.TCPConn).SetLinger(0)
		return false
	case reactDoubled:
		return writeInvalid(good + good)
	case reactExtraBytes:
		return writeInvalid(good + "x")
	case reactInformational:
		return writeInvalid("HTTP/1.1 103 Hints\r\nTry: " + requestID + "\r\n\r\n" + good)
	case reactPreviousFirst:
		if m.previous != "" {
			return writeInvalid(m.previous + good)
		}
	case reactBeforeBody:
		if !write(good) {
			return false
		}
		_, _ = io.Copy(io.Discard, request.Body)
		return true
	}
	m.previous = good
	return write(good)
}

// respondStream responds with the events that the client does not have yet.
func (m *modelConn) respondStream(requestID string, request *http.Request, react reaction) bool {
	m.recordResponse(requestID, 200, "", true)
	first := 1
	if after := request.Header.Get("After"); after != "" {
		_, _ = fmt.Sscan(after, &first)
		first++
	}
	write := func(text string) bool { _, err := io.WriteString(m.connection, text); return err == nil }
	switch react {
	case reactNoLength, reactNoLengthReset, reactNoLengthCutEvent, reactNoLengthCutBlank, reactNoLengthNoEvent:
		return m.respondStreamWithoutLength(requestID, first, react)
	}
	head := responseHead("200 OK", requestID, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	if react == reactInformational {
		m.invalid = true
		head = "HTTP/1.1 103 Hints\r\n\r\n" + head
	}
	if react == reactPreviousFirst && m.previous != "" {
		m.invalid = true
		head = m.previous + head
	}
	if !write(head) {
		return false
	}
	for id := first; id <= streamEvents; id++ {
		event := streamEvent(requestID, id)
		if react == reactGap && id == first && first > 1 {
			continue
		}
		if (react == reactCutBody || react == reactCutStream) && id == (first+streamEvents)/2 {
			m.invalid = true
			_ = write(fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2]))
			return false
		}
		if react == reactCutLastEvent && first > 1 && id == streamEvents {
			event = event[:len(event)/2]
		}
		if !write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
	}
	if react == reactGap && first > 1 {
		m.invalid = true
	}
	end := "0\r\n\r\n"
	if react == reactDoubled || react == reactExtraBytes {
		m.invalid = true
		end += "HTTP/1.1 200 OK\r\nTry: " + requestID + "\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	}
	if !write(end) {
		return false
	}
	if react == reactBeforeBody {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	return react != reactCompleteThenReset
}

// respondStreamWithoutLength responds with the events from the first on, of which the end of the
// connection is the end. With reactNoLengthReset the last one is missing and the connection reset.
// With reactNoLengthCutEvent and reactNoLengthCutBlank the last one is cut, and the connection is
// closed in order, as the kernel does for a process that was killed. With reactNoLengthNoEvent
// that happens before the first event; a resumed stream is sent whole, because its client could
// not know that an event is missing.
func (m *modelConn) respondStreamWithoutLength(requestID string, first int, react reaction) bool {
	text := ""
	for id := first; id <= streamEvents; id++ {
		text += streamEvent(requestID, id)
	}
	last := len(streamEvent(requestID, streamEvents))
	switch react {
	case reactNoLengthReset:
		text = text[:max(0, len(text)-last)]
	case reactNoLengthCutEvent:
		text = text[:max(0, len(text)-last/2)]
	case reactNoLengthCutBlank:
		text = text[:max(0, len(text)-1)]
	case reactNoLengthNoEvent:
		if first == 1 {
			text = ""
		}
	}
	_, _ = io.WriteString(m.connection, responseHead("200 OK", requestID, "Content-Type: text/event-stream\r\n")+text)
	m.invalid = react != reactNoLength
	if react == reactNoLengthReset {
		_ = m.connection.(*net.TCPConn).SetLinger(0)
	}
	return false
}

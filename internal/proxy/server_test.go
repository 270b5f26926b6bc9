package proxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// plainCodec is a codec with simple headers: "Try" is the request ID, "Left" the time left in
// ms, and "After" the last event ID.
type plainCodec struct{}

func (plainCodec) ParseRequest(r *http.Request) (RequestParams, error) {
	left, _ := strconv.ParseInt(r.Header.Get("Left"), 10, 64)
	return RequestParams{RequestID: r.Header.Get("Try"), Model: r.Header.Get("Model"), TimeoutMs: left, LastEventID: r.Header.Get("After")}, nil
}

func (plainCodec) WriteAttemptHeader(to, from http.Header, params AttemptParams) {
	for name, values := range from {
		to[name] = values
	}
	to.Del("Connection")
	to.Set("Runner", params.Runner)
	to.Set("Left", fmt.Sprint(params.TimeoutMs))
	if params.LastEventID != "" {
		to.Set("After", params.LastEventID)
	}
}

func (plainCodec) ParseResponseHead(response *http.Response) ResponseHead {
	h := response.Header
	head := ResponseHead{NotRun: h.Get("Not-Run") != "", HasSeal: h.Get("Seal") != "", UnexpectedEncoding: h.Get("Content-Encoding") != ""}
	// With two IDs it is not known to which request the response belongs.
	if ids := h["Try"]; len(ids) == 1 {
		head.RequestID = ids[0]
	}
	return head
}

func (plainCodec) CopyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if name != "Connection" {
			to[name] = values
		}
	}
}

func (plainCodec) WriteRejection(w http.ResponseWriter, kind errkind.Kind, retryMs int64) {
	w.Header().Set("Kind", string(kind))
	w.WriteHeader(kind.Response().Status)
}

func (plainCodec) ParseEvent(event []byte) (string, int64) {
	for _, line := range strings.Split(string(event), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			return id, 0
		}
	}
	return "", 0
}

// scriptedRunner is a stub runner: it responds to the requests with its scripts, in order.
type scriptedRunner struct {
	listener net.Listener
	mu       sync.Mutex
	scripts  []string
	received []*http.Request
	bodies   []string
	// connections has the number of the connection of each request; accepted counts them.
	connections []int
	accepted    int
}

// closeMark at the end of a script closes the connection there.
const closeMark = "<end>"

// resetMark at the end of a script resets the connection there.
const resetMark = "<reset>"

func newScriptedRunner(c *qt.C, scripts ...string) *scriptedRunner {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	p := &scriptedRunner{listener: listener, scripts: scripts}
	threads.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			number := p.accepted
			p.accepted++
			threads.Go(func() { p.serve(connection, number) })
		}
	})
	return p
}

func (p *scriptedRunner) serve(connection net.Conn, number int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		script := closeMark
		if len(p.scripts) > 0 {
			script, p.scripts = p.scripts[0], p.scripts[1:]
		}
		p.received, p.bodies, p.connections = append(p.received, r), append(p.bodies, string(body)), append(p.connections, number)
		p.mu.Unlock()
		text, reset := strings.CutSuffix(script, resetMark)
		text, ended := strings.CutSuffix(text, closeMark)
		_, _ = io.WriteString(connection, strings.ReplaceAll(text, "TRY", r.Header.Get("Try")))
		if reset {
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
		if ended || reset {
			return
		}
	}
}

func (p *scriptedRunner) requests() []*http.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

const okHead = "HTTP/1.1 200 OK\r\nTry: TRY\r\nSeal: s\r\n"

func plainResponse(body string) string {
	return fmt.Sprintf("%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", okHead, len(body), body)
}

func chunkedResponse(body string) string {
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", okHead, len(body), body)
}

// eventStream returns the response with the events from the first to the last ID. Unless it
// is complete, it ends with a truncated event.
func eventStream(first, last int, complete bool) string {
	text := okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for id := first; id <= last; id++ {
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	if complete {
		return text + "0\r\n\r\n"
	}
	return text + "20\r\nid: 99\ndata: ha" + closeMark
}

func eventTexts(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)
	}
	return text
}

// newServerBench starts a router with stub runners, each of which holds every model.
func newServerBench(c *qt.C, runners ...*scriptedRunner) (*Server, *httptest.Server) {
	c.Helper()
	var addresses []string
	for _, r := range runners {
		addresses = append(addresses, r.listener.Addr().String())
	}
	s, url, stop, err := startServer(plainCodec{}, exampleConfig(1), addresses, io.Discard, unwrapped)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	return s, &httptest.Server{URL: url}
}

// unwrapped lets a router accept clients from the listener itself.
func unwrapped(clients net.Listener) net.Listener { return clients }

// startServer runs a router for runners that each hold every model. It accepts clients from
// the listener that wrap returns for a loopback listener.
func startServer(codec Codec, document config.Configuration, addresses []string, logs io.Writer, wrap func(net.Listener) net.Listener) (s *Server, url string, stop func(), err error) {
	var listeners [3]net.Listener
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, "", nil, err
		}
	}
	peers, clients, ready := listeners[0], listeners[1], listeners[2]
	s, err = NewServer(Settings{
		Site: "site", Self: selfNode, Bounds: bounds.Bounds{GraceMs: 3000, RetryRatio: 0.2, ExtraTries: 400},
	}, codec, plainFormat{}, nil, peers, wrap(clients), ready, log.NewWithOptions(logs, log.Options{Level: log.DebugLevel}))
	if err != nil {
		return nil, "", nil, err
	}
	group := &threads.Group{}
	s.AddTasks(group)
	stopped, done := make(chan struct{}), make(chan struct{})
	group.StopWhen(stopped)
	threads.Go(func() {
		defer close(done)
		_ = group.Run()
	})
	deliver := func(body protocol.Message) {
		s.runtime.Submit(protocol.Envelope{Site: "site", From: primaryNode, To: selfNode.Name, Body: body})
	}
	text, _ := json.Marshal(document)
	deliver(protocol.ConfigUpdate{EchoMs: s.runtime.Clock().NowMs(), Epoch: 3, Version: 1, Sum: "1", Text: string(text), Routers: 1})
	for _, reply := range []protocol.IndexReply{{Service: "pages"}, {Service: "reader", Model: "m"}} {
		reply.ID, reply.Known, reply.Epoch, reply.TurnMs = 1, true, 3, -1
		for i, address := range addresses {
			reply.Holders = append(reply.Holders, protocol.IndexHolder{ID: fmt.Sprint("r", i), Address: address, Slots: 8})
		}
		deliver(reply)
	}
	return s, "http://" + clients.Addr().String(), func() { close(stopped); <-done }, nil
}

// postRequest sends a request to the router. truncated is true if the response was incomplete.
// Further headers may be given, each as its name and value.
func postRequest(c *qt.C, base, path string, further ...string) (status int, header http.Header, body string, truncated bool) {
	c.Helper()
	r, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader("the body"))
	c.Assert(err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Try", "t1")
	r.Header.Set("Model", "m")
	r.Header.Set("Left", "5000")
	for ; len(further) > 0; further = further[2:] {
		r.Header.Set(further[0], further[1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, "", true
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err != nil
}

func TestResponsesToClients(t *testing.T) {
	other := strings.Replace(plainResponse("another's"), "Try: TRY", "Try: t0", 1)
	truncatedBody := strings.Replace(plainResponse("a complete body"), "a complete body", "a comp", 1) + closeMark
	rejected := "HTTP/1.1 503 Full\r\nTry: TRY\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	otherRunner := "HTTP/1.1 421 Other\r\nTry: TRY\r\nContent-Length: 0\r\n\r\n"
	failed := "HTTP/1.1 500 Failed\r\nTry: TRY\r\nContent-Length: 4\r\n\r\noops"
	encoded := strings.Replace(plainResponse("zipped"), "Seal: s\r\n", "Seal: s\r\nContent-Encoding: gzip\r\n", 1)
	unsealed := strings.Replace(plainResponse("bare"), "Seal: s\r\n", "", 1)
	full := "HTTP/1.1 503 Full\r\nTry: TRY\r\nContent-Length: 0\r\n\r\n"
	noLength := func(end string) string { return okHead + "\r\nno length" + end }
	noLengthStream := func(first, last int, end string) string {
		return okHead + "Content-Type: text/event-stream\r\n\r\n" + eventTexts(first, last) + end
	}
	status := func(line string) string { return strings.Replace(plainResponse("hello"), "200 OK", line, 1) }
	cutEvent := strings.Replace(eventStream(4, 5, true), "event 5\n\n", "event 5\nx", 1)
	informational := "HTTP/1.1 103 Hints\r\nTry: TRY\r\n\r\n"
	cases := []struct {
		about, path string
		scripts     []string
		status      int
		body        string
		truncated   bool
		// attempts is how many requests reached the runners. after is the ID of the event
		// after which the second one resumes the stream.
		attempts int
		after    string
	}{
		{"a complete response", "/safe/x", []string{plainResponse("hello")}, 200, "hello", false, 1, ""},
		{"another request ID, safe", "/safe/x", []string{other, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"another request ID, unsafe", "/unsafe/x", []string{other}, 502, "", false, 1, ""},
		{"a truncated body, safe", "/safe/x", []string{truncatedBody, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"a truncated body, unsafe", "/unsafe/x", []string{truncatedBody}, 502, "", false, 1, ""},
		{"rejected by the runner", "/unsafe/x", []string{rejected, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"another runner responds", "/unsafe/x", []string{otherRunner, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"closed without a response, unsafe", "/unsafe/x", []string{closeMark}, 502, "", false, 1, ""},
		{"closed without a response, safe", "/safe/x", []string{closeMark, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"not an HTTP response", "/safe/x", []string{"garbage\r\n\r\n" + closeMark, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"an unexpected content encoding", "/safe/x", []string{encoded, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"no seal", "/safe/x", []string{unsealed, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"an invalid status, safe", "/safe/x", []string{status("099 X"), plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"an invalid status, unsafe", "/unsafe/x", []string{status("099 X")}, 502, "", false, 1, ""},
		{"a switch to another protocol, safe", "/safe/x", []string{status("101 X"), plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"a switch to another protocol, unsafe", "/unsafe/x", []string{status("101 X")}, 502, "", false, 1, ""},
		{"an informational response first", "/unsafe/x", []string{informational + plainResponse("hello")}, 200, "hello", false, 1, ""},
		{"chunks and a length", "/unsafe/x", []string{strings.Replace(chunkedResponse("hello"), "Try:", "Content-Length: 2\r\nTry:", 1)}, 200, "hello", false, 1, ""},
		{"trailers", "/unsafe/x", []string{strings.TrimSuffix(chunkedResponse("hello"), "\r\n") + "Try: t0\r\n\r\n"}, 200, "hello", false, 1, ""},
		{"no length and no chunks", "/unsafe/x", []string{noLength(closeMark)}, 200, "no length", false, 1, ""},
		{"no length and no chunks, safe", "/safe/x", []string{noLength(closeMark)}, 200, "no length", false, 1, ""},
		{"no length and no chunks, reset, unsafe", "/unsafe/x", []string{noLength(resetMark)}, 502, "", false, 1, ""},
		{"no length and no chunks, reset, safe", "/safe/x", []string{noLength(resetMark), plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"a stream without chunks", "/stream/x", []string{noLengthStream(1, 4, closeMark)}, 200, eventTexts(1, 4), false, 1, ""},
		{"a stream without chunks that is reset at its end", "/once/x", []string{noLengthStream(1, 3, resetMark)}, 200, eventTexts(1, 3), true, 1, ""},
		{"a server error, unsafe", "/unsafe/x", []string{failed}, 500, "oops", false, 1, ""},
		{"a server error, safe", "/safe/x", []string{failed, plainResponse("hello")}, 200, "hello", false, 2, ""},
		{"a server error at each attempt", "/safe/x", []string{failed, failed, failed}, 500, "oops", false, 3, ""},
		{"a 503 without the statement that the request has not run, unsafe", "/unsafe/x", []string{full}, 502, "", false, 1, ""},
		{"a stream", "/stream/x", []string{eventStream(1, 4, true)}, 200, eventTexts(1, 4), false, 1, ""},
		{"a truncated stream is resumed", "/stream/x", []string{eventStream(1, 3, false), eventStream(4, 6, true)}, 200, eventTexts(1, 6), false, 2, "3"},
		{"a stream is resumed with events that were already sent", "/stream/x", []string{eventStream(1, 3, false), eventStream(2, 6, true)}, 200, eventTexts(1, 6), false, 2, "3"},
		{"a stream is resumed with a gap", "/stream/x", []string{eventStream(1, 3, false), eventStream(5, 6, true), eventStream(4, 5, true)}, 200, eventTexts(1, 5), false, 3, "3"},
		{"a resumed stream ends within an event", "/stream/x", []string{eventStream(1, 3, false), cutEvent, eventStream(5, 5, true)}, 200, eventTexts(1, 5), false, 3, "3"},
		{"a stream is truncated before the first event", "/stream/x", []string{eventStream(1, 0, false), eventStream(1, 2, true)}, 200, eventTexts(1, 2), false, 2, ""},
		{"a truncated stream that cannot be resumed", "/once/x", []string{eventStream(1, 3, false)}, 200, eventTexts(1, 3), true, 1, ""},
		{"a stream that cannot be resumed is truncated before the first event", "/once/x", []string{eventStream(1, 0, false)}, 502, "", false, 1, ""},
		{"a server error while resuming", "/stream/x", []string{eventStream(1, 3, false), failed, eventStream(4, 4, true)}, 200, eventTexts(1, 4), false, 3, "3"},
		{"a stream is truncated at each attempt", "/stream/x", []string{eventStream(1, 1, false), eventStream(2, 2, false), eventStream(3, 3, false)}, 200, eventTexts(1, 3), true, 3, "1"},
		{"no route", "/nowhere/x", nil, 404, "", false, 0, ""},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			// All runners share one stub, so the order of the scripts does not depend on the
			// chosen runners.
			script := newScriptedRunner(c, test.scripts...)
			_, server := newServerBench(c, script, script, script, script)
			status, header, body, truncated := postRequest(c, server.URL, test.path)
			c.Assert(status, qt.Equals, test.status)
			c.Assert(truncated, qt.Equals, test.truncated)
			c.Assert(body, qt.Equals, test.body)
			if status == 200 {
				c.Assert(header.Get("Seal"), qt.Equals, "s")
			}
			seen := script.requests()
			c.Assert(seen, qt.HasLen, test.attempts)
			for i, r := range seen {
				c.Assert(r.RequestURI, qt.Equals, test.path)
				c.Assert(r.Host, qt.Equals, "h")
				c.Assert(script.bodies[i], qt.Equals, "the body")
				c.Assert(strings.HasPrefix(r.Header.Get("Runner"), "r"), qt.IsTrue)
			}
			if test.attempts > 1 {
				c.Assert(seen[1].Header.Get("After"), qt.Equals, test.after)
				c.Assert(seen[1].Header.Get("Runner"), qt.Not(qt.Equals), seen[0].Header.Get("Runner"))
			}
		})
	}
}

// Bytes that a runner sends after a complete response belong to no request.
func TestSurplusBytesReachNoClient(t *testing.T) {
	c := qt.New(t)
	script := newScriptedRunner(c, plainResponse("one")+plainResponse("surplus"), plainResponse("two"))
	_, server := newServerBench(c, script)
	for _, want := range []string{"one", "two"} {
		_, _, body, _ := postRequest(c, server.URL, "/safe/x")
		c.Assert(body, qt.Equals, want)
	}
}

// If a resumed stream does not continue after the client's last event, its connection is not
// reused, even if the stream itself was complete.
func TestStreamResumedWronglyClosesItsConnection(t *testing.T) {
	for _, test := range []struct{ about, wrong string }{
		{"a gap", eventStream(5, 6, true)},
		{"an end within an event", strings.Replace(eventStream(4, 4, true), "event 4\n\n", "event 4\nx", 1)},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			script := newScriptedRunner(c, eventStream(1, 3, false), test.wrong, eventStream(4, 5, true))
			_, server := newServerBench(c, script)
			_, _, body, truncated := postRequest(c, server.URL, "/stream/x")
			c.Assert(truncated, qt.IsFalse)
			c.Assert(body, qt.Equals, eventTexts(1, 5))
			c.Assert(script.requests(), qt.HasLen, 3)
			c.Assert(script.connections, qt.DeepEquals, []int{0, 1, 2})
		})
	}
}

func TestBodyAboveTheLimitIsRejected(t *testing.T) {
	c := qt.New(t)
	_, server := newServerBench(c, newScriptedRunner(c))
	response, err := http.Post(server.URL+"/safe/x", "", bytes.NewReader(make([]byte, defaultMaxBodyBytes+1)))
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		c.Assert(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

func TestReadyPageUntilShutdown(t *testing.T) {
	c := qt.New(t)
	s, _ := newServerBench(c)
	// The ready page needs the configuration, which the machine applies on its own goroutine. The
	// status is queried first because the machine replies to that only after it has applied it.
	statusOf := func(path string) int {
		w := httptest.NewRecorder()
		s.servePlatform(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	c.Assert(statusOf("/status"), qt.Equals, 200)
	c.Assert(statusOf("/any"), qt.Equals, 200)
	s.draining.Store(true)
	c.Assert(statusOf("/any"), qt.Equals, 503)
}

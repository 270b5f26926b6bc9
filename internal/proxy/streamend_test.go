package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/threads"
)

// streamScript is a stream of a scripted runner without its end: the head and the body are sent
// as they are, and the connection is then closed in order, as the kernel does for a process that
// was killed.
func streamScript(head, body string) string { return head + "\r\n" + body + closeMark }

const (
	// streamHead is the head of a stream without a length and without chunks.
	streamHead = okHead + "Content-Type: text/event-stream\r\n"
	// streamHead10 is the same of a runner that speaks HTTP/1.0.
	streamHead10 = "HTTP/1.0 200 OK\r\nTry: TRY\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
)

// inOneChunk returns a body in one chunk, without the last chunk that ends it.
func inOneChunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// cutEvent returns events 1 to whole, and the next one without its last bytes.
func cutEvent(whole, missing int) string {
	text := eventTexts(1, whole+1)
	return text[:len(text)-missing]
}

// Guards against review/6: a runner that crashes within an event of a stream without a length
// ended the client's response as a complete one. In every form of a stream, a cut that the bytes
// show is resumed, retried, or shown to the client by an incomplete response.
func TestStreamCutWithinAnEventIsNotComplete(t *testing.T) {
	lengthOf := func(body string) string { return streamHead + fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	chunked := streamHead + "Transfer-Encoding: chunked\r\n"
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	large := "id: 3\ndata: " + strings.Repeat("x", 3*streamBufferBytes)
	cuts := []struct{ about, script string }{
		{"no length, within an event", streamScript(streamHead, cutEvent(2, 5))},
		{"no length, within the first line of an event", streamScript(streamHead, eventTexts(1, 2)+"id")},
		{"no length, within a blank line", streamScript(streamHead, cutEvent(2, 1))},
		{"no length, HTTP/1.0, within an event", streamScript(streamHead10, cutEvent(2, 5))},
		{"no length, within an event larger than one read", streamScript(streamHead, eventTexts(1, 2)+large)},
		{"no length, within a comment", streamScript(streamHead, eventTexts(1, 2)+": ali")},
		{"a length, within an event", streamScript(lengthOf(eventTexts(1, 3)), cutEvent(2, 5))},
		{"a length, after an event", streamScript(lengthOf(eventTexts(1, 3)), eventTexts(1, 2))},
		{"chunks, within a chunk", streamScript(chunked, fmt.Sprintf("%x\r\n%s", len(eventTexts(1, 3)), cutEvent(2, 5)))},
		{"chunks, after a chunk within an event", streamScript(chunked, inOneChunk(cutEvent(2, 5)))},
		{"chunks, after a chunk at the end of an event", streamScript(chunked, inOneChunk(eventTexts(1, 2)))},
		{"chunks, within the last chunk", streamScript(chunked, inOneChunk(eventTexts(1, 2))+"0\r\n")},
		{"reset after an event", strings.TrimSuffix(streamScript(streamHead, eventTexts(1, 2)), closeMark) + resetMark},
	}
	for _, cut := range cuts {
		t.Run(cut.about, func(t *testing.T) {
			c := qt.New(t)
			checkCutStream(c, cut.script, eventTexts(1, 2))
		})
	}
	t.Run("CR LF, within an event", func(t *testing.T) {
		body := crlf(cutEvent(2, 5))
		checkCutStreamWithoutResume(qt.New(t), streamScript(streamHead, body), crlf(eventTexts(1, 2)))
	})
	t.Run("CR LF, within a blank line", func(t *testing.T) {
		body := crlf(eventTexts(1, 3))
		checkCutStreamWithoutResume(qt.New(t), streamScript(streamHead, body[:len(body)-1]), crlf(eventTexts(1, 2)))
	})
}

// Guards against review/6 at each byte: a stream without a length is complete only if its
// connection ends after a whole event. There the bytes cannot show more (docs/limits.md).
func TestStreamWithoutLengthCutAtEachByte(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n"} {
		event := func(id int) string {
			return strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: x\n\n", id), "\n", newline)
		}
		text := event(1) + event(2)
		for length := len(event(1)); length <= len(text); length++ {
			t.Run(fmt.Sprintf("%q", text[:length]), func(t *testing.T) {
				c := qt.New(t)
				_, once := clientOf(c, "/once/x", streamScript(streamHead, text[:length]))
				switch length {
				case len(event(1)), len(text):
					c.Assert(once, qt.Equals, streamResult{200, text[:length], false, 1})
				default:
					c.Assert(once, qt.Equals, streamResult{200, event(1), true, 1})
				}
			})
		}
	}
}

// An orderly end of the connection completes a stream without a length, as the platform states.
func TestWholeStreamWithoutLengthIsComplete(t *testing.T) {
	events := eventTexts(1, 3)
	json := strings.Replace(streamHead, "text/event-stream", "application/json", 1)
	untyped := strings.Replace(streamHead, "Content-Type: text/event-stream\r\n", "", 1)
	for _, test := range []struct{ about, head, body string }{
		{"lines end in LF", streamHead, events},
		{"lines end in CR LF", streamHead, strings.ReplaceAll(events, "\n", "\r\n")},
		{"lines end in CR", streamHead, strings.ReplaceAll(events, "\n", "\r")},
		{"no content type", untyped, events},
		{"HTTP/1.0", streamHead10, events},
		{"an event larger than one read", streamHead, events + "data: " + strings.Repeat("x", 3*streamBufferBytes) + "\n\n"},
		{"a comment at the end", streamHead, events + ": alive\n"},
		{"comments at the end", streamHead, events + ": alive\r\n: alive\r\n"},
		{"not a stream of events", json, `{"data":"x"}`},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			for _, path := range []string{"/stream/x", "/once/x"} {
				_, got := clientOf(c, path, streamScript(test.head, test.body))
				c.Assert(got, qt.Equals, streamResult{200, test.body, false, 1})
			}
		})
	}
	t.Run("resumed", func(t *testing.T) {
		c := qt.New(t)
		_, got := clientOf(c, "/stream/x", eventStream(1, 2, false), streamScript(streamHead, eventTexts(3, 4)))
		c.Assert(got, qt.Equals, streamResult{200, eventTexts(1, 4), false, 2})
	})
}

// Guards against streams without a length that end as complete before an event that must follow:
// the runner crashed before the first one, or before the one that an earlier attempt had begun.
func TestStreamWithoutTheExpectedEventIsNotComplete(t *testing.T) {
	noEvent := streamScript(streamHead, "")
	onlyComment := streamScript(streamHead, ": alive\n\n")
	resetAfter := func(last int) string {
		return strings.TrimSuffix(streamScript(streamHead, eventTexts(1, last)), closeMark) + resetMark
	}
	beganThird := streamScript(streamHead, eventTexts(1, 2)+"id: 3\nda")
	for _, test := range []struct {
		about, path string
		scripts     []string
		want        streamResult
	}{
		{"before the first event", "/stream/x", []string{noEvent, eventStream(1, 2, true)}, streamResult{200, eventTexts(1, 2), false, 2}},
		{"before the first event, one attempt", "/once/x", []string{noEvent}, streamResult{502, "", false, 1}},
		{"before the first event, each attempt", "/stream/x", []string{noEvent, noEvent, noEvent}, streamResult{502, "", false, 3}},
		{"after a comment", "/once/x", []string{onlyComment}, streamResult{200, ": alive\n\n", true, 1}},
		{"before an event that was begun", "/stream/x", []string{beganThird, noEvent, eventStream(3, 4, true)}, streamResult{200, eventTexts(1, 4), false, 3}},
		{"before an event that was begun, in a resumed stream",
			"/stream/x", []string{resetAfter(2), streamScript(streamHead, "id: 3\nda"), noEvent}, streamResult{200, eventTexts(1, 2), true, 3}},
		{"before an event that was missing", "/stream/x", []string{resetAfter(2), eventStream(4, 4, true), noEvent}, streamResult{200, eventTexts(1, 2), true, 3}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			_, got := clientOf(c, test.path, test.scripts...)
			c.Assert(got, qt.Equals, test.want)
		})
	}
}

// A stream may be complete without an event: it states its end, or the client has all events.
func TestStreamWithoutEventsMayBeComplete(t *testing.T) {
	noEvent := streamScript(streamHead, "")
	t.Run("chunks", func(t *testing.T) {
		c := qt.New(t)
		_, got := clientOf(c, "/once/x", streamScript(streamHead+"Transfer-Encoding: chunked\r\n", "0\r\n\r\n"))
		c.Assert(got, qt.Equals, streamResult{200, "", false, 1})
	})
	t.Run("a length", func(t *testing.T) {
		c := qt.New(t)
		_, got := clientOf(c, "/once/x", streamScript(streamHead+"Content-Length: 0\r\n", ""))
		c.Assert(got, qt.Equals, streamResult{200, "", false, 1})
	})
	t.Run("resumed by the router", func(t *testing.T) {
		c := qt.New(t)
		reset := strings.TrimSuffix(streamScript(streamHead, eventTexts(1, 2)), closeMark) + resetMark
		_, got := clientOf(c, "/stream/x", reset, noEvent)
		c.Assert(got, qt.Equals, streamResult{200, eventTexts(1, 2), false, 2})
	})
	t.Run("resumed with events that the client has", func(t *testing.T) {
		c := qt.New(t)
		reset := strings.TrimSuffix(streamScript(streamHead, eventTexts(1, 2)), closeMark) + resetMark
		again := streamScript(streamHead, "id: 2\nda")
		_, got := clientOf(c, "/stream/x", reset, again, noEvent)
		c.Assert(got, qt.Equals, streamResult{200, eventTexts(1, 2), false, 3})
	})
	t.Run("resumed by the client", func(t *testing.T) {
		c := qt.New(t)
		runner := newScriptedRunner(c, noEvent)
		_, server := newServerBench(c, runner, runner)
		status, _, body, truncated := postRequest(c, server.URL, "/stream/x", "After", "7")
		c.Assert(streamResult{status, body, truncated, len(runner.requests())}, qt.Equals, streamResult{200, "", false, 1})
	})
}

// deadlineRunner starts a runner that sends the first two events of a stream without a length and
// closes the connection in order when the time that the router gave it is over.
func deadlineRunner(c *qt.C) (address string) {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	threads.Go(func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		head := strings.ReplaceAll(streamHead, "TRY", request.Header.Get("Try"))
		_, _ = io.WriteString(connection, head+"\r\n"+eventTexts(1, 2))
		leftMs, _ := strconv.ParseInt(request.Header.Get("Left"), 10, 64)
		<-time.After(time.Duration(leftMs) * time.Millisecond)
	})
	return listener.Addr().String()
}

// Guards against streams without a length that a runner ends because the time that it was given
// is over: at that moment the end of the connection does not show that the stream is complete.
func TestStreamThatEndsAtTheDeadlineIsNotComplete(t *testing.T) {
	c := qt.New(t)
	_, url, stop, err := startServer(plainCodec{}, exampleConfig(1), []string{deadlineRunner(c)}, io.Discard, unwrapped)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	status, _, body, truncated := postRequest(c, url, "/once/x", "Left", "200")
	c.Assert(streamResult{status, body, truncated, 1}, qt.Equals, streamResult{200, eventTexts(1, 2), true, 1})
}

// A stream without a length that a planned stop of the router cuts is not complete, although it is
// cut after a whole event.
func TestStreamCutByTheShutdownIsNotComplete(t *testing.T) {
	c := qt.New(t)
	s, url, stop, err := startServer(plainCodec{}, exampleConfig(1), []string{deadlineRunner(c)}, io.Discard, unwrapped)
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	client, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	_, _ = io.WriteString(client, strings.Replace(wireRequest("/once/x", "t1"), "Left: 1500", "Model: m\r\nLeft: 5000", 1))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	events := eventTexts(1, 2)
	_, err = io.ReadFull(response.Body, make([]byte, len(events)))
	c.Assert(err, qt.IsNil)
	s.beginShutdown()
	s.cancelAttempts()
	rest, err := io.ReadAll(response.Body)
	c.Assert(rest, qt.HasLen, 0)
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
}

// checkCutStream checks a stream that breaks off after the events in whole: it is resumed where the
// route has that, also if the resumed one breaks off, and shown as incomplete otherwise.
func checkCutStream(c *qt.C, script, whole string) {
	c.Helper()
	again := streamScript(streamHead, eventTexts(3, 3)+"id: 4\nda")
	_, resumed := clientOf(c, "/stream/x", script, eventStream(3, 5, true))
	c.Assert(resumed, qt.Equals, streamResult{200, eventTexts(1, 5), false, 2})
	_, twice := clientOf(c, "/stream/x", script, again, eventStream(4, 5, true))
	c.Assert(twice, qt.Equals, streamResult{200, eventTexts(1, 5), false, 3})
	_, lastAttempt := clientOf(c, "/stream/x", script, again, streamScript(streamHead, "id: 4\ndata"))
	c.Assert(lastAttempt, qt.Equals, streamResult{200, eventTexts(1, 3), true, 3})
	checkCutStreamWithoutResume(c, script, whole)
}

// checkCutStreamWithoutResume checks the same on a route that has one attempt.
func checkCutStreamWithoutResume(c *qt.C, script, whole string) {
	c.Helper()
	_, once := clientOf(c, "/once/x", script)
	c.Assert(once, qt.Equals, streamResult{200, whole, true, 1})
}

// streamResult is what the client of a stream received.
type streamResult struct {
	status    int
	body      string
	truncated bool
	// attempts is how many requests reached the runners.
	attempts int
}

// clientOf returns what a client receives whose attempts get these scripts in order.
func clientOf(c *qt.C, path string, scripts ...string) (*scriptedRunner, streamResult) {
	c.Helper()
	runner := newScriptedRunner(c, scripts...)
	_, server := newServerBench(c, runner, runner, runner, runner)
	status, _, body, truncated := postRequest(c, server.URL, path)
	return runner, streamResult{status, body, truncated, len(runner.requests())}
}

package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/threads"
)

// Guards against the failure of review/6 on this interface: a runner whose responses have no
// length closes its connection in order after any number of bytes. Only a whole response is
// taken for a complete one, because the text itself states its end.
func TestResponseWithoutLengthCutAtEachByte(t *testing.T) {
	answer := `{"request":"q","incarnation":"i","answer":{"move":"e4"}}`
	stream := `{"request":"q","incarnation":"i","piece":1,"text":"a"}` + "\n" +
		`{"request":"q","incarnation":"i","piece":2,"text":"b"}` + "\n" + `{"request":"q","incarnation":"i","end":2}`
	s := newTestServer(qt.New(t))
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for length := 0; length <= len(answer); length++ {
			c := qt.New(t)
			ended, broken, _ := runCutAttempt(c, s, protocol, answer[:length], false)
			c.Assert(broken, qt.IsFalse)
			c.Assert(ended.Outcome == Completed, qt.Equals, length == len(answer), qt.Commentf("%d bytes", length))
		}
		for length := 0; length <= len(stream); length++ {
			c := qt.New(t)
			ended, broken, body := runCutAttempt(c, s, protocol, stream[:length], true)
			isComplete := ended.Outcome == Completed && !broken
			c.Assert(isComplete, qt.Equals, length == len(stream), qt.Commentf("%d bytes", length))
			c.Assert(strings.HasPrefix(stream+"\n", body), qt.IsTrue, qt.Commentf("%q", body))
		}
	}
}

// runCutAttempt runs an attempt at a runner whose response has this body and no length, and returns
// what the client received.
func runCutAttempt(c *qt.C, s *Server, protocol, body string, streaming bool) (ended AttemptEnded, broken bool, received string) {
	c.Helper()
	runner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = runner.Close() }()
	threads.Go(func() {
		connection, err := runner.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, protocol+" 200 OK\r\n\r\n"+body)
	})
	recorder := httptest.NewRecorder()
	e := &exchange{server: s, writer: recorder, request: httptest.NewRequest(http.MethodPost, "/services/move", nil)}
	nowMs := s.runtime.Clock().NowMs()
	attempt := StartAttempt{
		Address: runner.Addr().String(), RequestID: "q", Incarnation: "i", Streaming: streaming,
		WriteByMs: nowMs + 10_000, DeadlineMs: nowMs + 60_000, ChunkTimeoutMs: 60_000,
	}
	ended, broken = e.runAttempt(attempt)
	return ended, broken, recorder.Body.String()
}

package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/httpserver/stalltest"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// idleMachine does nothing.
type idleMachine struct{}

func (idleMachine) Step(int64, protocol.Input) protocol.Effects { return protocol.Effects{} }

// listenLocally returns a listener at a free loopback port.
func listenLocally(c *qt.C) net.Listener {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return opened
}

// runTasks runs a runtime until stop is called.
func runTasks(runtime *Runtime) (stop func()) {
	group := &threads.Group{}
	runtime.AddTasks(group)
	stopped, done := make(chan struct{}), make(chan struct{})
	group.StopWhen(stopped)
	threads.Go(func() { defer close(done); _ = group.Run() })
	return func() {
		close(stopped)
		<-done
	}
}

// If keep-alives are disabled after a request was read, the request still gets its
// response, and that closes the connection.
func TestDisablingKeepAlivesLosesNoRequest(t *testing.T) {
	c := qt.New(t)
	peers, web := listenLocally(c), listenLocally(c)
	stalled := stalltest.New(web)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	runtime := New(Options{Clock: NewClock(), Log: log.New(io.Discard), TickMs: 1000}, idleMachine{}, nil, peers, stalled, handler)
	c.Cleanup(runTasks(runtime))

	client, err := net.Dial("tcp", web.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	responses := bufio.NewReader(client)
	send := func(path string, meanwhile func()) (body string, closes bool) {
		_, err := io.WriteString(client, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		<-stalled.HeadRead
		meanwhile()
		stalled.Resume <- struct{}{}
		response, err := http.ReadResponse(responses, nil)
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		return string(text), response.Close
	}
	body, closes := send("/one", func() {})
	c.Assert(body, qt.Equals, "/one")
	c.Assert(closes, qt.IsFalse)
	body, closes = send("/two", runtime.DisableKeepAlives)
	c.Assert(body, qt.Equals, "/two")
	c.Assert(closes, qt.IsTrue)
}

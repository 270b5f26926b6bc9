package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/httpserver"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/threads"
)

// pipeListener accepts one in-memory connection.
type pipeListener struct{ connections chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	connection, open := <-l.connections
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connectionBench runs a net/http server with the router's connection limits in virtual
// time.
type connectionBench struct {
	client net.Conn
	reader *bufio.Reader
	limits atomic.Pointer[config.Limits]
	// connections are the router's connections, nil with serveWithFixedTimeouts.
	connections *httpserver.Connections
}

const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	slowRequest  = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
)

// runConnectionBench runs a test with one connection; serve returns the server and the
// listener that it serves.
func runConnectionBench(t *testing.T, serve func(b *connectionBench, inner net.Listener) (*http.Server, net.Listener), run func(b *connectionBench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		client, accepted := net.Pipe()
		b := &connectionBench{client: client, reader: bufio.NewReader(client)}
		b.setIdleTimeout(10_000)
		inner := pipeListener{make(chan net.Conn, 1)}
		inner.connections <- accepted
		server, listener := serve(b, inner)
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				wait(60_000)
			}
			if r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "ok")
		})
		done := make(chan struct{})
		threads.Go(func() { defer close(done); _ = server.Serve(listener) })
		run(b)
		_ = client.Close()
		close(inner.connections)
		<-done
		_ = server.Close()
	})
}

func serveWithConfiguration(b *connectionBench, inner net.Listener) (*http.Server, net.Listener) {
	limits := func() httpserver.Limits {
		return clientLimitsOf(&config.Configuration{Limits: *b.limits.Load()}).Limits
	}
	b.connections = httpserver.NewConnections(httpserver.Options{Limits: limits, Account: memory.NewAccount(memory.LimitFor(0)), MaxConnections: 10})
	server := &http.Server{}
	b.connections.Attach(server)
	return server, b.connections.Listen(inner)
}

// serveWithFixedTimeouts returns a server with fixed timeouts, as an earlier release had.
func serveWithFixedTimeouts(_ *connectionBench, inner net.Listener) (*http.Server, net.Listener) {
	return &http.Server{ReadHeaderTimeout: defaultHeadTimeout, IdleTimeout: defaultIdle}, inner
}

func (b *connectionBench) setIdleTimeout(ms int64) {
	b.limits.Store(&config.Limits{IdleTimeoutMs: ms, HeaderTimeoutMs: 3000})
}

// request reports whether a request on the connection gets its response.
func (b *connectionBench) request(pieces ...string) bool {
	for i, piece := range pieces {
		if i > 0 {
			wait(1000)
		}
		if _, err := io.WriteString(b.client, piece); err != nil {
			return false
		}
	}
	response, err := http.ReadResponse(b.reader, nil)
	if err != nil {
		return false
	}
	text, err := io.ReadAll(response.Body)
	// The server is idle again once it has nothing more to do.
	synctest.Wait()
	return err == nil && string(text) == "ok"
}

// wait advances virtual time, without a delay in real time.
func wait(ms int64) { time.Sleep(time.Duration(ms) * time.Millisecond); synctest.Wait() }

// The idle timeout and the header timeout of a connection follow the configuration.
func TestClientTimeoutsFollowTheConfiguration(t *testing.T) {
	slackMs := timeoutSlack.Milliseconds()
	cases := []struct {
		about string
		run   func(b *connectionBench) bool
		want  bool
	}{
		{"idle for less than the limit", func(b *connectionBench) bool {
			ok := b.request(wholeRequest)
			wait(8_000)
			return ok && b.request(wholeRequest)
		}, true},
		{"idle for less than the limit, repeatedly", func(b *connectionBench) bool {
			for range 5 {
				if !b.request(wholeRequest) {
					return false
				}
				wait(8_000)
			}
			return true
		}, true},
		{"idle for too long", func(b *connectionBench) bool {
			b.request(wholeRequest)
			wait(10_000 + slackMs + 100)
			return b.request(wholeRequest)
		}, false},
		{"idle before the first request", func(b *connectionBench) bool { wait(8_000); return b.request(wholeRequest) }, true},
		{"idle for too long before the first request", func(b *connectionBench) bool { wait(10_000 + slackMs + 100); return b.request(wholeRequest) }, false},
		{"the limit is raised while idle", func(b *connectionBench) bool {
			b.request(wholeRequest)
			wait(5_000)
			b.setIdleTimeout(60_000)
			wait(43_000)
			return b.request(wholeRequest)
		}, true},
		{"the limit is lowered while idle", func(b *connectionBench) bool {
			b.request(wholeRequest)
			b.setIdleTimeout(500)
			wait(8_000)
			return b.request(wholeRequest)
		}, true},
		{"the lower limit applies after the next request", func(b *connectionBench) bool {
			b.request(wholeRequest)
			b.setIdleTimeout(500)
			b.request(wholeRequest)
			wait(500 + slackMs + 100)
			return b.request(wholeRequest)
		}, false},
		{"a head in pieces", func(b *connectionBench) bool { return b.request("GET / HTTP/1.1\r\n", "Host: h\r\n", "\r\n") }, true},
		{"a head in pieces after an idle time", func(b *connectionBench) bool {
			b.request(wholeRequest)
			wait(8_000)
			return b.request("GET / HTTP/1.1\r\n", "Host: h\r\n", "\r\n")
		}, true},
		{"a head that takes too long", func(b *connectionBench) bool {
			return b.request("GET ", "/ HTTP/1.1\r\n", "Host:", " h\r\n", "A: b\r\n", "C: d\r\n", "\r\n")
		}, false},
		{"a slow response", func(b *connectionBench) bool { return b.request(slowRequest) && b.request(wholeRequest) }, true},
		{"a slow response to one of three pipelined requests", func(b *connectionBench) bool {
			return b.request(wholeRequest+slowRequest+wholeRequest) && b.request() && b.request()
		}, true},
		{"two pipelined requests", func(b *connectionBench) bool { return b.request(wholeRequest+wholeRequest) && b.request() }, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			responded := false
			runConnectionBench(t, serveWithConfiguration, func(b *connectionBench) { responded = test.run(b) })
			qt.Assert(t, responded, qt.Equals, test.want)
		})
	}
}

// CloseIdle closes a connection only between two requests.
func TestConnectionsCloseBetweenRequests(t *testing.T) {
	cases := []struct {
		about string
		run   func(b *connectionBench) bool
		want  bool
	}{
		{"idle after a request", func(b *connectionBench) bool {
			b.request(wholeRequest)
			b.connections.CloseIdle()
			wait(20)
			return b.request(wholeRequest)
		}, false},
		{"idle before its first request", func(b *connectionBench) bool {
			b.connections.CloseIdle()
			wait(5_000)
			return b.request(wholeRequest)
		}, true},
		{"closed after its first request", func(b *connectionBench) bool {
			b.connections.CloseIdle()
			wait(5_000)
			b.request(wholeRequest)
			wait(20)
			return b.request(wholeRequest)
		}, false},
		{"a head is being received", func(b *connectionBench) bool {
			b.request(wholeRequest)
			threads.Go(func() { wait(500); b.connections.CloseIdle() })
			return b.request("GET / HTTP/1.1\r\n", "Host: h\r\n", "\r\n")
		}, true},
		{"the first head is being received", func(b *connectionBench) bool {
			threads.Go(func() { wait(500); b.connections.CloseIdle() })
			return b.request("GET / HTTP/1.1\r\n", "Host: h\r\n", "\r\n")
		}, true},
		{"a request is in flight", func(b *connectionBench) bool {
			b.request(wholeRequest)
			threads.Go(func() { wait(500); b.connections.CloseIdle() })
			return b.request(slowRequest)
		}, true},
		{"closed after the request in flight", func(b *connectionBench) bool {
			threads.Go(func() { wait(500); b.connections.CloseIdle() })
			b.request(slowRequest)
			wait(20)
			return b.request(wholeRequest)
		}, false},
		{"a pipelined request follows the one in flight", func(b *connectionBench) bool {
			threads.Go(func() { wait(500); b.connections.CloseIdle() })
			return b.request(slowRequest+wholeRequest) && b.request()
		}, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			responded := false
			runConnectionBench(t, serveWithConfiguration, func(b *connectionBench) { responded = test.run(b) })
			qt.Assert(t, responded, qt.Equals, test.want)
		})
	}
}

// A client may reuse a connection that was idle for four fifths of the configuration's
// idle time, whatever that is. A fixed timeout fails this test.
func TestNoAllowedIdleConnectionIsClosed(t *testing.T) {
	for _, idleMs := range []int64{1, 100, 1000, 15_000, 30_000, 600_000, maxTimeout.Milliseconds(), 1 << 62} {
		t.Run(fmt.Sprint(idleMs), func(t *testing.T) {
			idleForMs := min(idleMs, maxTimeout.Milliseconds()) / 5 * 4
			responded := func(serve func(*connectionBench, net.Listener) (*http.Server, net.Listener)) (responded bool) {
				runConnectionBench(t, serve, func(b *connectionBench) {
					b.setIdleTimeout(idleMs)
					b.request(wholeRequest)
					wait(idleForMs)
					responded = b.request(wholeRequest)
				})
				return responded
			}
			qt.Assert(t, responded(serveWithConfiguration), qt.IsTrue)
			qt.Assert(t, responded(serveWithFixedTimeouts), qt.Equals, idleForMs < defaultIdle.Milliseconds())
		})
	}
}

// The size of a head is counted as it was sent. One above the configured limit gets a 431
// response.
func TestHeadSizeIsLimitedByTheConfiguration(t *testing.T) {
	c := qt.New(t)
	head := "POST /safe/x?q=1 HTTP/1.1\r\nHost: h\r\nTry: t1\r\nX-Long: " + strings.Repeat("x", 200) + "\r\nX-Long: y\r\nContent-Length: 2\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + "ok")))
	c.Assert(err, qt.IsNil)
	c.Assert(headBytes(r), qt.Equals, int64(len(head)))
	for _, test := range []struct {
		bytes  int64
		status int
	}{{int64(len(head)), 200}, {int64(len(head)) - 1, 431}, {0, 200}} {
		runner := newScriptedRunner(c, plainResponse("hello"))
		s, server := newServerBench(c, runner)
		document := exampleConfig(2)
		document.Limits.MaxHeaderBytes = test.bytes
		text, err := json.Marshal(document)
		c.Assert(err, qt.IsNil)
		s.runtime.Submit(protocol.Envelope{Site: "site", From: primaryNode, To: selfNode.Name, Body: protocol.ConfigUpdate{
			EchoMs: s.runtime.Clock().NowMs(), Epoch: 3, Version: 2, Sum: "2", Text: string(text), Routers: 1,
		}})
		// The machine handles its inputs in order, so the update has been applied after this call.
		_, ok := s.runtime.Call(context.Background(), func(id uint64) protocol.Input { return StatusQuery{ID: id} })
		c.Assert(ok, qt.IsTrue)
		connection, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, head+"ok")
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, test.status)
		c.Assert(response.Close, qt.Equals, test.status == 431)
		c.Assert(connection.Close(), qt.IsNil)
	}
}

func TestClientLimitsOf(t *testing.T) {
	cases := []struct {
		about  string
		limits config.Limits
		want   clientLimits
	}{
		{"no limits configured", config.Limits{}, clientLimits{httpserver.Limits{IdleTimeout: defaultIdle, HeadTimeout: defaultHeadTimeout}, defaultHeadBytes}},
		{"all limits configured", config.Limits{MaxHeaderBytes: 16384, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}, clientLimits{httpserver.Limits{IdleTimeout: 17 * time.Second, HeadTimeout: 5 * time.Second}, 16384}},
		{
			"limits above the maximum", config.Limits{MaxHeaderBytes: 1 << 40, HeaderTimeoutMs: 1 << 60, IdleTimeoutMs: 1 << 60},
			clientLimits{httpserver.Limits{IdleTimeout: maxTimeout + timeoutSlack, HeadTimeout: maxTimeout + timeoutSlack}, headBytesCeiling},
		},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			qt.Assert(t, clientLimitsOf(&config.Configuration{Limits: test.limits}) == test.want, qt.IsTrue)
		})
	}
	qt.Assert(t, clientLimitsOf(nil), qt.Equals, clientLimitsOf(&config.Configuration{}))
}

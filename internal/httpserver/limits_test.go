package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/threads"
)

// queueListener accepts the connections of a queue.
type queueListener struct{ queue chan net.Conn }

func (l queueListener) Accept() (net.Conn, error) {
	if accepted, ok := <-l.queue; ok {
		return accepted, nil
	}
	return nil, net.ErrClosed
}

func (l queueListener) Close() error   { return nil }
func (l queueListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a server in virtual time, over pipes.
type testServer struct {
	connections *Connections
	account     *memory.Account
	queue       chan net.Conn
	counts      map[string]int
	clients     []net.Conn
}

var testLimits = Limits{IdleTimeout: 20 * time.Second, HeadTimeout: 5 * time.Second, HeadBytes: 16 << 10}

// runServer runs a test with a server that has room for maxConnections.
func runServer(t *testing.T, maxConnections int, handler func(s *testServer) http.Handler, run func(c *qt.C, s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{account: memory.NewAccount(memory.LimitFor(0)), queue: make(chan net.Conn), counts: map[string]int{}}
		s.connections = NewConnections(Options{
			Limits: func() Limits { return testLimits }, Account: s.account, MaxConnections: maxConnections,
			Count: func(name string) { s.counts[name]++ },
		})
		server := &http.Server{Handler: handler(s)}
		s.connections.Attach(server)
		done := make(chan struct{})
		threads.Go(func() { defer close(done); _ = server.Serve(s.connections.Listen(queueListener{s.queue})) })
		run(qt.New(t), s)
		for _, client := range s.clients {
			_ = client.Close()
		}
		close(s.queue)
		<-done
		_ = server.Close()
		// net/http waits before it closes some connections.
		time.Sleep(2 * rejectTimeout)
		synctest.Wait()
		qt.Check(t, s.account.Used(), qt.Equals, int64(0))
	})
}

// dial opens a connection.
func (s *testServer) dial() net.Conn {
	client, accepted := net.Pipe()
	s.clients = append(s.clients, client)
	s.queue <- accepted
	synctest.Wait()
	return client
}

// send sends a text and returns a channel that receives the response, or nil if the
// connection ends without one.
func send(client net.Conn, text string) <-chan *http.Response {
	threads.Go(func() { _, _ = io.WriteString(client, text) })
	return receive(client)
}

// receive is send without a text.
func receive(client net.Conn) <-chan *http.Response {
	responses := make(chan *http.Response, 1)
	threads.Go(func() {
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		if err != nil {
			response = nil
		}
		responses <- response
	})
	return responses
}

func okHandler(*testServer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
}

func TestHeadsWithoutEndAreRejected(t *testing.T) {
	fields := func(count int) string {
		var text strings.Builder
		for number := range count {
			fmt.Fprintf(&text, "%x:a\r\n", number)
		}
		return text.String()
	}
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"one field", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 32<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"many fields", "GET / HTTP/1.1\r\n" + fields(8<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"request line", "GET /" + strings.Repeat("a", 32<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"silence", "GET / HTTP/1.1\r\n", http.StatusRequestTimeout},
		{"whole", "GET / HTTP/1.1\r\nHost: h\r\n" + fields(1000) + "\r\n", http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			runServer(t, 10, okHandler, func(c *qt.C, s *testServer) {
				response := <-send(s.dial(), test.text)
				c.Assert(response, qt.IsNotNil)
				c.Assert(response.StatusCode, qt.Equals, test.status)
				c.Assert(response.Close, qt.Equals, test.status != http.StatusOK)
			})
		})
	}
}

// The fields of a head are taken from the account, and it is rejected if they do not fit.
func TestHeadsTakeMemory(t *testing.T) {
	runServer(t, 10, okHandler, func(c *qt.C, s *testServer) {
		full := s.account.ClassLimit(memory.Heads)
		c.Assert(s.account.Take(memory.Heads, full), qt.IsTrue)
		text := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:b\r\n", 1000)
		response := <-send(s.dial(), text+"\r\n")
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
		c.Assert(s.counts[countHeadsTooLarge], qt.Equals, 1)
		c.Assert((<-send(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")).StatusCode, qt.Equals, http.StatusOK, qt.Commentf("an ordinary head"))
		s.account.Release(memory.Heads, full)
		client := s.dial()
		before := s.account.Used()
		response = <-send(client, text+"\r\n")
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		synctest.Wait()
		c.Assert(s.account.Used(), qt.Equals, before, qt.Commentf("returned after the request"))
	})
}

// A connection without a complete request makes room for a new one, the one that has waited
// longest first. Requests in progress do not.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	slow := func(*testServer) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(time.Minute)
			}
			_, _ = io.WriteString(w, "ok")
		})
	}
	runServer(t, 3, slow, func(c *qt.C, s *testServer) {
		inProgress := send(s.dial(), "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		silent := send(s.dial(), "")
		partial := send(s.dial(), "GET / HTTP/1.1\r\n")
		synctest.Wait()
		c.Assert((<-send(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")).StatusCode, qt.Equals, http.StatusOK)
		c.Assert(<-silent, qt.IsNil)
		// Those that are idle after a request have waited for a shorter time.
		s.dial()
		c.Assert(<-partial, qt.IsNil)
		c.Assert(s.counts[countConnectionsEvicted], qt.Equals, 2)
		c.Assert((<-inProgress).StatusCode, qt.Equals, http.StatusOK)
	})
}

func TestConnectionsBesideRequestsInProgressAreRejected(t *testing.T) {
	slow := func(*testServer) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
	}
	runServer(t, 1, slow, func(c *qt.C, s *testServer) {
		inProgress := send(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		client, accepted := net.Pipe()
		rejected := send(client, "")
		s.queue <- accepted
		response := <-rejected
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
		c.Assert(s.counts[countConnectionsRejected], qt.Equals, 1)
		c.Assert((<-inProgress).StatusCode, qt.Equals, http.StatusOK)
	})
}

// bodyHandler reads the body and responds with its length, or with the error.
func bodyHandler(limits BodyLimits) func(s *testServer) http.Handler {
	return func(s *testServer) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, kind := s.connections.ReadBody(w, r, limits)
			if kind != "" {
				errkind.ErrorBody{Kind: kind}.Write(w)
				return
			}
			defer body.Close()
			_, _ = io.WriteString(w, body.Text())
		})
	}
}

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestBodies(t *testing.T) {
	limits := BodyLimits{MaxBytes: 100, Timeout: 30 * time.Second}
	for _, test := range []struct {
		name, text string
		status     int
		after      time.Duration
	}{
		{"chunks", chunkedHead + "3\r\nabc\r\n0\r\n\r\n", http.StatusOK, 0},
		{"length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", http.StatusOK, 0},
		{"declared too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", http.StatusRequestEntityTooLarge, 0},
		{"too large", chunkedHead + "65\r\n" + strings.Repeat("a", 101) + "\r\n", http.StatusRequestEntityTooLarge, 0},
		{"silence", chunkedHead + "3\r\nab", http.StatusRequestTimeout, testLimits.IdleTimeout},
		{"no chunk", chunkedHead + "x\r\n", http.StatusBadRequest, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			runServer(t, 10, bodyHandler(limits), func(c *qt.C, s *testServer) {
				begin := time.Now()
				response := <-send(s.dial(), test.text)
				c.Assert(response, qt.IsNotNil)
				c.Assert(response.StatusCode, qt.Equals, test.status)
				c.Assert(time.Since(begin).Truncate(time.Second), qt.Equals, test.after)
			})
		})
	}
}

// A body may take as long as its client allows, if it never stops for the idle timeout.
func TestSlowBodies(t *testing.T) {
	const pause = 10 * time.Second
	for _, test := range []struct {
		name    string
		timeout time.Duration
		status  int
	}{
		{"in time", 45 * time.Second, http.StatusOK},
		{"late", 35 * time.Second, http.StatusRequestTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			runServer(t, 10, bodyHandler(BodyLimits{MaxBytes: 100, Timeout: test.timeout}), func(c *qt.C, s *testServer) {
				client := s.dial()
				response := send(client, chunkedHead)
				for range 4 {
					time.Sleep(pause)
					_, _ = io.WriteString(client, "1\r\na\r\n")
				}
				_, _ = io.WriteString(client, "0\r\n\r\n")
				c.Assert((<-response).StatusCode, qt.Equals, test.status)
			})
		})
	}
}

// A body that has been read for a while makes room for others; its client gets a rejection
// that states that the request has not run.
func TestOldBodiesMakeRoom(t *testing.T) {
	runServer(t, 10, bodyHandler(BodyLimits{MaxBytes: 4 << 20}), func(c *qt.C, s *testServer) {
		stopped := send(s.dial(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\na", 4<<20))
		time.Sleep(3 * time.Second)
		c.Assert(s.account.Take(memory.Bodies, s.account.ClassLimit(memory.Bodies)), qt.IsFalse)
		response := <-stopped
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(response.Close, qt.IsTrue)
		c.Assert(s.counts[countBodiesEvicted], qt.Equals, 1)
	})
}

// A connection whose handler does not read the body ends soon, even if the body never comes.
func TestUnreadBodiesHaveADeadline(t *testing.T) {
	for _, head := range []string{chunkedHead, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"} {
		runServer(t, 10, okHandler, func(c *qt.C, s *testServer) {
			begin := time.Now()
			client := s.dial()
			response := send(client, head)
			c.Assert((<-response).StatusCode, qt.Equals, http.StatusOK)
			_, err := client.Read(make([]byte, 1))
			c.Assert(err, qt.Equals, io.EOF)
			c.Assert(time.Since(begin) <= 3*unreadBodyTimeout, qt.IsTrue, qt.Commentf("after %s", time.Since(begin)))
		})
	}
}

// A connection whose client does not read its response makes room if no other can.
func TestBlockedWritesMakeRoom(t *testing.T) {
	large := func(*testServer) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, writePieceBytes)) })
	}
	runServer(t, 1, large, func(c *qt.C, s *testServer) {
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		_, err := io.WriteString(s.dial(), request)
		c.Assert(err, qt.IsNil)
		for range 2 {
			client, accepted := net.Pipe()
			rejected := send(client, "")
			s.queue <- accepted
			c.Assert((<-rejected).StatusCode, qt.Equals, http.StatusServiceUnavailable)
			time.Sleep(blockedWriteAge)
		}
		c.Assert(s.counts[countResponsesEvicted], qt.Equals, 1)
		c.Assert((<-send(s.dial(), request)).StatusCode, qt.Equals, http.StatusOK)
	})
}

// A client that does not read its response loses its connection.
func TestWritesHaveADeadline(t *testing.T) {
	large := func(*testServer) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 3*writePieceBytes)) })
	}
	runServer(t, 10, large, func(c *qt.C, s *testServer) {
		client := s.dial()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		time.Sleep(writeTimeout - time.Second)
		c.Assert(s.account.Used(), qt.Not(qt.Equals), int64(0))
		time.Sleep(2 * time.Second)
		c.Assert(s.account.Used(), qt.Equals, int64(0))
	})
}

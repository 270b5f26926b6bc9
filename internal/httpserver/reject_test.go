package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/memory"
	"myrtlewinch/internal/threads"
)

const (
	// plainBodyBytes is the largest body of the tests, more than the buffers of a connection
	// hold.
	plainBodyBytes = 4 << 20
	// plainTimeout bounds a request of the tests.
	plainTimeout = 30 * time.Second
)

// tcpServer serves a handler at a loopback address.
func tcpServer(t *testing.T, maxConnections int, handler func(*Connections) http.Handler) (connections *Connections, address string) {
	connections = NewConnections(Options{
		Limits: func() Limits {
			limits := testLimits
			limits.BodyBytes = plainBodyBytes
			return limits
		},
		Account: memory.NewAccount(memory.LimitFor(0)), MaxConnections: maxConnections,
	})
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: handler(connections)}
	connections.Attach(server)
	threads.Go(func() { _ = server.Serve(connections.Listen(opened)) })
	t.Cleanup(func() { _ = server.Close() })
	return connections, opened.Addr().String()
}

// plainRequest sends a head and then a body of plainBodyBytes, and reads the response only after
// all has been written.
func plainRequest(address, head string, body func(io.Writer) error) (*http.Response, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(plainTimeout))
	if _, err := io.WriteString(connection, head); err != nil {
		return nil, err
	}
	if err := body(connection); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(response.Body)
	return response, err
}

func writeChunkedBody(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", plainBodyBytes, make([]byte, plainBodyBytes))
	return err
}

func writePlainBody(w io.Writer) error {
	_, err := w.Write(make([]byte, plainBodyBytes))
	return err
}

// A client that reads only after it has sent its whole body gets the rejection, whatever the
// reason. Guards against a connection that is reset with unread bytes, which loses it.
func TestRejectionsReachClientsThatSendFirst(t *testing.T) {
	lengthLine := fmt.Sprintf("Content-Length: %d\r\n", plainBodyBytes)
	const chunkedLine = "Transfer-Encoding: chunked\r\n"
	longLine := "A: " + strings.Repeat("a", 8<<10) + "\r\n"
	readingHandler := func(connections *Connections) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if body, kind := connections.ReadBody(w, r, BodyLimits{MaxBytes: plainBodyBytes}); kind != "" {
				errkind.ErrorBody{Kind: kind, RetryMs: retryMemoryMs}.Write(w)
			} else {
				body.Close()
			}
		})
	}
	unreadHandler := func(*Connections) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			errkind.ErrorBody{Kind: errkind.Overloaded, RetryMs: retryMemoryMs}.Write(w)
		})
	}
	full := func(account *memory.Account, class memory.Class) { account.Take(class, account.ClassLimit(class)) }
	for _, test := range []struct {
		name, lines string
		handler     func(*Connections) http.Handler
		body        func(io.Writer) error
		fill        func(*memory.Account)
	}{
		{"body with a length", lengthLine, readingHandler, writePlainBody, func(a *memory.Account) { full(a, memory.Bodies) }},
		{"body in chunks", chunkedLine, readingHandler, writeChunkedBody, func(a *memory.Account) { full(a, memory.Bodies) }},
		{"last request of its connection", "Connection: close\r\n" + lengthLine, readingHandler, writePlainBody, func(a *memory.Account) { full(a, memory.Bodies) }},
		{"body that is not read", chunkedLine, unreadHandler, writeChunkedBody, func(*memory.Account) {}},
		{"connection", lengthLine, readingHandler, writePlainBody, func(a *memory.Account) { full(a, memory.Connections) }},
		{"head", lengthLine + longLine, readingHandler, writePlainBody, func(a *memory.Account) { full(a, memory.Heads) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			connections, address := tcpServer(t, 64, test.handler)
			test.fill(connections.options.Account)
			response, err := plainRequest(address, "POST / HTTP/1.1\r\nHost: h\r\n"+test.lines+"\r\n", test.body)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
			c.Assert(response.Close, qt.IsTrue)
		})
	}
}

// A connection without room is rejected once its client has begun its request, since a client
// takes what comes before that for no response to it.
func TestConnectionsAreRejectedAfterTheirRequest(t *testing.T) {
	runServer(t, 64, okHandler, func(c *qt.C, s *testServer) {
		full := s.account.ClassLimit(memory.Connections)
		c.Assert(s.account.Take(memory.Connections, full), qt.IsTrue)
		client := s.dial()
		response := receive(client)
		time.Sleep(rejectTimeout / 2)
		c.Assert(response, qt.HasLen, 0)
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert((<-response).StatusCode, qt.Equals, http.StatusServiceUnavailable)
		s.account.Release(memory.Connections, full)
	})
}

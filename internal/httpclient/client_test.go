package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/threads"
)

// door takes streams and does with each request what it is told to; it counts
// the requests whose head it has read.
func door(c *qt.C, do func(stream net.Conn, nth int64) bool) (address string, seen *atomic.Int64) {
	at, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = at.Close() })
	seen = &atomic.Int64{}
	threads.Go(func() {
		for {
			stream, err := at.Accept()
			if err != nil {
				return
			}
			threads.Go(func() {
				defer stream.Close()
				reader := bufio.NewReader(stream)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					nth := seen.Add(1)
					_, _ = io.Copy(io.Discard, request.Body)
					if !do(stream, nth) {
						return
					}
				}
			})
		}
	})
	return at.Addr().String(), seen
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func yes() bool { return true }

func TestEachRequestIsWrittenOnce(t *testing.T) {
	cases := []struct {
		about string
		do    func(stream net.Conn, nth int64) bool
		may   func() bool
		first bool
		wrote bool
		seen  int64
		fails bool
	}{
		{"answered", func(s net.Conn, _ int64) bool { _, _ = io.WriteString(s, answer); return true }, yes, false, true, 1, false},
		{"closed without an answer", func(net.Conn, int64) bool { return false }, yes, false, true, 1, true},
		{"half an answer's head", func(s net.Conn, _ int64) bool { _, _ = io.WriteString(s, "HTTP/1.1 200"); return false }, yes, false, true, 1, true},
		{"too late", nil, func() bool { return false }, false, false, 0, true},
		// The standard transport would send again on a kept stream that breaks.
		{"a kept stream that breaks", func(s net.Conn, nth int64) bool {
			if nth == 1 {
				_, _ = io.WriteString(s, answer)
			}
			return nth == 1
		}, yes, true, true, 2, true},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			address, seen := door(c, test.do)
			transport := New()
			defer transport.Close()
			send := func(may func() bool) (bool, error) {
				got, wrote, err := transport.Do(context.Background(), http.MethodPost, "http://"+address+"/run", []byte("{}"), may)
				if err == nil {
					_, err = io.ReadAll(got.Body)
					_ = got.Body.Close()
				}
				return wrote, err
			}
			if test.first {
				_, err := send(yes)
				c.Assert(err, qt.IsNil)
			}
			wrote, err := send(test.may)
			c.Assert(wrote, qt.Equals, test.wrote)
			c.Assert(err != nil, qt.Equals, test.fails)
			c.Assert(seen.Load(), qt.Equals, test.seen)
			if test.about == "too late" {
				c.Assert(errors.Is(err, ErrNotAllowed), qt.IsTrue)
			}
		})
	}
}

// Where nobody listens it is certain that nothing was written.
func TestConnectionRefused(t *testing.T) {
	c := qt.New(t)
	at, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := at.Addr().String()
	c.Assert(at.Close(), qt.IsNil)
	_, wrote, err := New().Do(context.Background(), http.MethodPost, "http://"+address+"/run", []byte("{}"), yes)
	c.Assert(err, qt.IsNotNil)
	c.Assert(wrote, qt.IsFalse)
}

package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/memory"
)

// A document counts while its client does not read it, is rejected if there is no memory for it,
// and makes room for others.
func TestDocumentsTakeMemory(t *testing.T) {
	const pageBytes = 1 << 20
	page := func(s *testServer) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.connections.WriteJSON(w, r, strings.Repeat("a", pageBytes))
		})
	}
	runServer(t, 10, page, func(c *qt.C, s *testServer) {
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client := s.dial()
		before := s.account.Used()
		_, err := io.WriteString(client, request)
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Assert(s.account.Used() >= before+pageBytes, qt.IsTrue, qt.Commentf("while it is not read"))
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Equals, `"`+strings.Repeat("a", pageBytes)+"\"\n")
		synctest.Wait()
		c.Assert(s.account.Used(), qt.Equals, before)

		unread := s.dial()
		_, err = io.WriteString(unread, request)
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		const pieceBytes = 64 << 10
		taken := int64(0)
		for s.account.Take(memory.Responses, pieceBytes) {
			taken += pieceBytes
		}
		c.Assert((<-send(s.dial(), request)).StatusCode, qt.Equals, http.StatusServiceUnavailable)
		time.Sleep(3 * time.Second)
		c.Assert((<-send(s.dial(), request)).StatusCode, qt.Equals, http.StatusServiceUnavailable)
		_, err = http.ReadResponse(bufio.NewReader(unread), nil)
		c.Assert(err, qt.IsNotNil, qt.Commentf("the document that was not read made room"))
		s.account.Release(memory.Responses, taken)
	})
}

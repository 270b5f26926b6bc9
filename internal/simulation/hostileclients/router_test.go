//go:build processtest

package hostileclients

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The numbers of clients of the tests.
const (
	// bodyClients each send a body.
	bodyClients = 60
	// headClients each send a head.
	headClients = 400
	// silentClients is more than openFiles.
	silentClients = 1200
)

// chunkBytes is the size of a large chunk. stoppedChunks of them are just short of
// maxBodyBytes.
const (
	chunkBytes    = 64 << 10
	stoppedChunks = maxBodyBytes/chunkBytes - 1
)

var chunkData = bytes.Repeat([]byte("h"), chunkBytes)

// checkRouter lets clients send to the router's clients' port. It checks that every daemon
// stays within its limits, and that an ordinary request is answered while the clients keep
// their connections open.
func checkRouter(t *testing.T, count int, send func(s *site, client *bufio.Writer, number int) error) {
	s := startSite(t)
	checkSite(t, s, addressOf(s.router, portClients), count, send)
}

// checkSite is checkRouter for any port of the site.
func checkSite(t *testing.T, s *site, address string, count int, send func(s *site, client *bufio.Writer, number int) error) {
	c := qt.New(t)
	var watches []*watch
	for _, d := range append([]*daemon{s.router}, s.controllers...) {
		watches = append(watches, watchDaemon(d))
	}
	sendAll(t, address, count, func(client *bufio.Writer, number int) error { return send(s, client, number) })
	c.Check(eventually(ordinaryTimeout, s.ordinaryRequest), qt.IsNil)
	c.Check(eventually(ordinaryTimeout, func() error { return s.get(s.readyURL()) }), qt.IsNil)
	for _, d := range s.controllers {
		c.Check(eventually(ordinaryTimeout, func() error { return s.readConfiguration(d) }), qt.IsNil)
	}
	for _, w := range watches {
		w.check(c, memoryMb<<20, openFiles)
	}
}

// writeHead writes the head of a request with these header lines.
func (s *site) writeHead(client *bufio.Writer, path string, lines ...string) error {
	_, err := fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: 20000\r\n", path, siteHost, s.newID())
	for _, line := range lines {
		if err == nil {
			_, err = io.WriteString(client, line+"\r\n")
		}
	}
	if err == nil {
		_, err = io.WriteString(client, "\r\n")
	}
	return err
}

func writeChunk(client *bufio.Writer, data []byte) error {
	if _, err := fmt.Fprintf(client, "%x\r\n", len(data)); err != nil {
		return err
	}
	if _, err := client.Write(data); err != nil {
		return err
	}
	_, err := io.WriteString(client, "\r\n")
	return err
}

// repeat calls write until it has been called count times or has failed.
func repeat(count int, write func(number int) error) error {
	for number := range count {
		if err := write(number); err != nil {
			return err
		}
	}
	return nil
}

const chunkedLine = "Transfer-Encoding: chunked"

func TestChunkedBodiesThatStopShort(t *testing.T) {
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, chunkedLine); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { return writeChunk(client, chunkData) })
	})
}

// The bodies end, and the runner works on the requests that it gets.
func TestChunkedBodiesThatEnd(t *testing.T) {
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, slowPath, chunkedLine); err != nil {
			return err
		}
		if err := repeat(stoppedChunks, func(int) error { return writeChunk(client, chunkData) }); err != nil {
			return err
		}
		_, err := io.WriteString(client, "0\r\n\r\n")
		return err
	})
}

func TestChunksOfOneByte(t *testing.T) {
	const chunks = maxBodyBytes / 2
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, chunkedLine); err != nil {
			return err
		}
		return repeat(chunks, func(int) error { return writeChunk(client, chunkData[:1]) })
	})
}

func TestBodiesWithALengthThatStopShort(t *testing.T) {
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, fmt.Sprintf("Content-Length: %d", maxBodyBytes)); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

// Every body is short enough not to count as a large one.
func TestShortBodiesThatStopShort(t *testing.T) {
	checkRouter(t, headClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, fmt.Sprintf("Content-Length: %d", chunkBytes)); err != nil {
			return err
		}
		_, err := client.Write(chunkData[1:])
		return err
	})
}

// Requests without the header that names them are rejected before their body is read.
func TestRejectedRequestsWhoseBodyNeverComes(t *testing.T) {
	checkRouter(t, silentClients, func(_ *site, client *bufio.Writer, _ int) error {
		_, err := fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", plainPath, siteHost)
		return err
	})
}

func TestTrailersWithoutEnd(t *testing.T) {
	const fields = 20_000
	checkRouter(t, headClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, chunkedLine); err != nil {
			return err
		}
		if _, err := io.WriteString(client, "0\r\n"); err != nil {
			return err
		}
		return repeat(fields, func(number int) error { _, err := fmt.Fprintf(client, "t%d: a\r\n", number); return err })
	})
}

func TestChunkExtensionsWithoutEnd(t *testing.T) {
	const blocks = 32
	checkRouter(t, headClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, chunkedLine); err != nil {
			return err
		}
		if _, err := io.WriteString(client, "5;"); err != nil {
			return err
		}
		return repeat(blocks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

// headFields is the number of short fields that make a head of 256 KiB.
const headFields = 32 << 10

func TestHeadsOfShortFieldsWithoutEnd(t *testing.T) {
	checkRouter(t, headClients, func(_ *site, client *bufio.Writer, _ int) error {
		if _, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: %s\r\n", plainPath, siteHost); err != nil {
			return err
		}
		return repeat(headFields, func(number int) error { _, err := fmt.Fprintf(client, "%x:a\r\n", number); return err })
	})
}

// The heads are within max_header_bytes, but not their number of fields times its cost.
func TestHeadsOfShortFieldsThatStopShort(t *testing.T) {
	checkRouter(t, headClients, func(_ *site, client *bufio.Writer, _ int) error {
		if _, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: %s\r\n", plainPath, siteHost); err != nil {
			return err
		}
		return repeat(maxHeaderBytes/8, func(number int) error { _, err := fmt.Fprintf(client, "%x:a\r\n", number); return err })
	})
}

func TestOneFieldWithoutEnd(t *testing.T) {
	checkRouter(t, headClients, func(_ *site, client *bufio.Writer, _ int) error {
		if _, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: %s\r\nA: ", plainPath, siteHost); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

func TestARequestLineWithoutEnd(t *testing.T) {
	checkRouter(t, headClients, func(_ *site, client *bufio.Writer, _ int) error {
		if _, err := io.WriteString(client, "GET /"); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

func TestEmptyLinesBeforeARequest(t *testing.T) {
	lines := []byte(strings.Repeat("\r\n", chunkBytes/2))
	checkRouter(t, headClients, func(_ *site, client *bufio.Writer, _ int) error {
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(lines); return err })
	})
}

// The empty lines follow a request, on a connection that is kept open.
func TestEmptyLinesAfterARequest(t *testing.T) {
	lines := []byte(strings.Repeat("\r\n", chunkBytes/2))
	checkRouter(t, headClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, plainPath, "Content-Length: 0"); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(lines); return err })
	})
}

func TestConnectionsThatSendNothing(t *testing.T) {
	checkRouter(t, silentClients, func(*site, *bufio.Writer, int) error { return nil })
}

// The connections have had a request each, and then stay open.
func TestConnectionsThatAreIdle(t *testing.T) {
	checkRouter(t, silentClients, func(s *site, client *bufio.Writer, _ int) error {
		return s.writeHead(client, "/none/", "Content-Length: 0")
	})
}

// The runner works on the requests while further bytes arrive behind them.
func TestBytesBehindARequest(t *testing.T) {
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		if err := s.writeHead(client, slowPath, "Content-Length: 0"); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

func TestAnswersThatNobodyReads(t *testing.T) {
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		return s.writeHead(client, largePath, "Content-Length: 0")
	})
}

// The responses are short, but each connection has very many of them.
func TestShortAnswersThatNobodyReads(t *testing.T) {
	const requests = 20_000
	checkRouter(t, bodyClients, func(s *site, client *bufio.Writer, _ int) error {
		return repeat(requests, func(int) error { return s.writeHead(client, "/none/", "Content-Length: 0") })
	})
}

func TestReadyPortConnectionsThatSendNothing(t *testing.T) {
	s := startSite(t)
	checkSite(t, s, addressOf(s.router, portReady), silentClients, func(*site, *bufio.Writer, int) error { return nil })
}

func TestReadyPortBodiesThatNeverCome(t *testing.T) {
	s := startSite(t)
	checkSite(t, s, addressOf(s.router, portReady), silentClients, func(_ *site, client *bufio.Writer, _ int) error {
		_, err := io.WriteString(client, "GET /v1/ready HTTP/1.1\r\nHost: r\r\nContent-Length: 1000\r\n\r\n")
		return err
	})
}

// A router with a crowd of unfinished requests ends after SIGTERM.
func TestARouterStopsInACrowd(t *testing.T) {
	s := startSite(t)
	sendAll(t, addressOf(s.router, portClients), bodyClients, func(client *bufio.Writer, number int) error {
		if err := s.writeHead(client, plainPath, chunkedLine); err != nil {
			return err
		}
		return repeat(number, func(int) error { return writeChunk(client, chunkData[:1]) })
	})
	qt.Assert(t, s.router.endsAfterSIGTERM(), qt.IsTrue)
}

// slowBodyTime is how long a slow body takes, within the 20 s that its client allows.
const slowBodyTime = 12 * time.Second

// Requests at the limits of the configuration are served if nothing else is going on.
func TestRequestsAtTheLimits(t *testing.T) {
	s := startSite(t)
	whole := bytes.Repeat([]byte("h"), maxBodyBytes)
	fields := http.Header{}
	for number := range maxHeaderBytes/8 - 100 {
		fields[fmt.Sprintf("%x", number)] = []string{"a"}
	}
	for _, test := range []struct {
		name   string
		body   io.Reader
		length int64
		header http.Header
	}{
		{"body of the largest size with a length", bytes.NewReader(whole), maxBodyBytes, nil},
		{"body of the largest size in chunks", io.MultiReader(bytes.NewReader(whole)), -1, nil},
		{"body in chunks of one byte", &smallReader{rest: 64 << 10}, -1, nil},
		{"slow body in chunks", &slowReader{end: time.Now().Add(slowBodyTime)}, -1, nil},
		{"head of the largest size", nil, 0, http.Header{"A": {strings.Repeat("h", maxHeaderBytes-500)}}},
		{"head of very many fields", nil, 0, fields},
	} {
		t.Run(test.name, func(t *testing.T) {
			if slow, ok := test.body.(*slowReader); ok {
				slow.end = time.Now().Add(slowBodyTime)
			}
			qt.Assert(t, s.post(plainPath, test.body, test.length, test.header), qt.IsNil)
		})
	}
}

// The time that a body took is no longer part of the time that the runner is given. The rule
// BUDGET allows half a second more than the client's.
func TestTimeLeftAfterASlowBody(t *testing.T) {
	const allowedMs, slackMs = 20_000, 500
	s := startSite(t)
	begin := time.Now()
	qt.Assert(t, s.post(plainPath, &slowReader{end: begin.Add(slowBodyTime)}, -1, nil), qt.IsNil)
	leftMs := lastTimeLeftMs.Load()
	qt.Assert(t, leftMs > 0 && leftMs <= allowedMs-slowBodyTime.Milliseconds()+slackMs, qt.IsTrue, qt.Commentf("%d ms", leftMs))
}

// smallReader returns its bytes one at a time.
type smallReader struct{ rest int }

func (r *smallReader) Read(p []byte) (int, error) {
	if r.rest == 0 {
		return 0, io.EOF
	}
	r.rest--
	p[0] = 'h'
	return 1, nil
}

// slowReader returns a byte every slowReaderPause until its end.
type slowReader struct{ end time.Time }

const slowReaderPause = 500 * time.Millisecond

func (r *slowReader) Read(p []byte) (int, error) {
	if time.Now().After(r.end) {
		return 0, io.EOF
	}
	time.Sleep(slowReaderPause)
	p[0] = 'h'
	return 1, nil
}

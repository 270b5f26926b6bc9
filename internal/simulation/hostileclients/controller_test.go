//go:build processtest

package hostileclients

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// checkController is checkRouter for the operators' port of the controller that is the
// first seed.
func checkController(t *testing.T, count int, send func(s *site, client *bufio.Writer, number int) error) {
	s := startSite(t)
	checkSite(t, s, addressOf(s.controllers[0], portControl), count, send)
}

// writeSubmissionHead writes the head of a submission.
func writeSubmissionHead(client *bufio.Writer, line string) error {
	_, err := fmt.Fprintf(client, "POST /v1/settings/replace HTTP/1.1\r\nHost: c\r\nX-Built-On: 5\r\n%s\r\n\r\n", line)
	return err
}

func TestSubmissionsInChunksThatStopShort(t *testing.T) {
	checkController(t, bodyClients, func(_ *site, client *bufio.Writer, _ int) error {
		if err := writeSubmissionHead(client, chunkedLine); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { return writeChunk(client, chunkData) })
	})
}

func TestSubmissionsWithALengthThatStopShort(t *testing.T) {
	checkController(t, bodyClients, func(_ *site, client *bufio.Writer, _ int) error {
		if err := writeSubmissionHead(client, fmt.Sprintf("Content-Length: %d", maxBodyBytes)); err != nil {
			return err
		}
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

func TestSubmissionsThatAreNone(t *testing.T) {
	checkController(t, bodyClients, func(_ *site, client *bufio.Writer, _ int) error {
		if err := writeSubmissionHead(client, chunkedLine); err != nil {
			return err
		}
		if err := repeat(stoppedChunks, func(int) error { return writeChunk(client, chunkData) }); err != nil {
			return err
		}
		_, err := io.WriteString(client, "0\r\n\r\n")
		return err
	})
}

func TestControlHeadsOfShortFieldsWithoutEnd(t *testing.T) {
	checkController(t, headClients, func(_ *site, client *bufio.Writer, _ int) error {
		if _, err := io.WriteString(client, "GET /status HTTP/1.1\r\nHost: c\r\n"); err != nil {
			return err
		}
		return repeat(headFields, func(number int) error { _, err := fmt.Fprintf(client, "%x:a\r\n", number); return err })
	})
}

func TestControlConnectionsThatSendNothing(t *testing.T) {
	checkController(t, silentClients, func(*site, *bufio.Writer, int) error { return nil })
}

func TestControlBodiesThatNeverCome(t *testing.T) {
	checkController(t, silentClients, func(_ *site, client *bufio.Writer, _ int) error {
		_, err := io.WriteString(client, "GET /counters HTTP/1.1\r\nHost: c\r\nContent-Length: 1000\r\n\r\n")
		return err
	})
}

func TestControlAnswersThatNobodyReads(t *testing.T) {
	const requests = 5000
	checkController(t, bodyClients, func(_ *site, client *bufio.Writer, _ int) error {
		return repeat(requests, func(int) error {
			_, err := io.WriteString(client, "GET /v1/settings/read HTTP/1.1\r\nHost: c\r\n\r\n")
			return err
		})
	})
}

// A controller with a crowd of unfinished requests ends after SIGTERM.
func TestAControllerStopsInACrowd(t *testing.T) {
	s := startSite(t)
	sendAll(t, addressOf(s.controllers[0], portControl), bodyClients, func(client *bufio.Writer, _ int) error {
		return writeSubmissionHead(client, "Content-Length: 1000")
	})
	qt.Assert(t, s.controllers[0].endsAfterSIGTERM(), qt.IsTrue)
}

// The submissions are JSON objects in each other, as deeply as fits.
func TestSubmissionsOfNestedObjects(t *testing.T) {
	const open, maxNesting = `{"a":`, 9_990
	nested := strings.Repeat(open, maxNesting) + "1" + strings.Repeat("}", maxNesting)
	const long = maxBodyBytes - 200<<10
	for _, test := range []struct{ name, text string }{
		{"objects", nested},
		{"objects around a long text", strings.Repeat(open, maxNesting) + `"` + strings.Repeat("a", long) + `"` + strings.Repeat("}", maxNesting)},
		{"lists", strings.Repeat("[", maxBodyBytes)},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkController(t, nestedClients, func(_ *site, client *bufio.Writer, _ int) error {
				if err := writeSubmissionHead(client, fmt.Sprintf("Content-Length: %d", len(test.text))); err != nil {
					return err
				}
				_, err := io.WriteString(client, test.text)
				return err
			})
		})
	}
}

// nestedClients each submit nested objects.
const nestedClients = 40

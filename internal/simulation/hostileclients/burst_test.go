//go:build processtest

package hostileclients

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// burstClients is how many clients one of two routers of a small site gets in the largest
	// burst of its pages: 63 clients, 2.4 times as many.
	burstClients = 75
	// burstRounds is how often they come.
	burstRounds = 3
	// burstTimeout bounds one of their requests. It does not depend on the machine.
	burstTimeout = 60 * time.Second
)

// Guards against review/3: bodies in chunks of max_body_bytes, from a burst of clients that stay
// within the limits of the pages, took a router over its memory, and it was killed with all of
// their requests. Every client gets the runner's answer, or a rejection that says when to come
// back.
func TestBurstOfLargestChunkedBodies(t *testing.T) {
	c := qt.New(t)
	s := startSite(t)
	router := watchDaemon(s.router)
	payload := bytes.Repeat([]byte("h"), maxBodyBytes)
	for range burstRounds {
		served, rejected := 0, 0
		for _, response := range s.burst(payload) {
			c.Assert(response.err, qt.IsNil)
			switch response.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				rejected++
				c.Check(response.retryAfter, qt.Not(qt.Equals), "")
			default:
				c.Errorf("status %d", response.status)
			}
		}
		c.Logf("%d served, %d rejected", served, rejected)
	}
	c.Check(eventually(ordinaryTimeout, s.ordinaryRequest), qt.IsNil)
	router.check(c, memoryMb<<20, openFiles)
}

// burstResponse is what one client of a burst got.
type burstResponse struct {
	err        error
	status     int
	retryAfter string
}

// burst lets burstClients send a body in chunks at the same moment.
func (s *site) burst(payload []byte) []burstResponse {
	responses := make([]burstResponse, burstClients)
	client := &http.Client{Timeout: burstTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var clients sync.WaitGroup
	for number := range responses {
		clients.Go(func() { responses[number] = s.sendChunked(client, payload) })
	}
	clients.Wait()
	return responses
}

// sendChunked makes one request with a body in chunks.
func (s *site) sendChunked(client *http.Client, payload []byte) burstResponse {
	// A reader of unknown type has no length, so that net/http sends chunks.
	body := io.MultiReader(bytes.NewReader(payload))
	request, err := http.NewRequest(http.MethodPost, "http://"+addressOf(s.router, portClients)+plainPath, body)
	if err != nil {
		return burstResponse{err: err}
	}
	request.Host = siteHost
	request.Header.Set("X-Try-Id", s.newID())
	request.Header.Set("X-Time-Left-Ms", "20000")
	response, err := client.Do(request)
	if err != nil {
		return burstResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return burstResponse{err, response.StatusCode, response.Header.Get("Retry-After")}
}

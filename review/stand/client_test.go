package stand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// tryOptions says how a client makes a request.
type tryOptions struct {
	path       string
	body       io.Reader
	length     int64
	timeLeftMs int64
	headers    map[string]string
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	err    error
	tookMs int64
}

func newTryID() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// client is a client of one router.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 256,
	}}}
}

// try makes one request at a router; a body of unknown length goes in chunks.
func (c *client) try(front string, options tryOptions) answer {
	result := answer{id: newTryID()}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(options.timeLeftMs)*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+options.path, options.body)
	if err != nil {
		result.err = err
		return result
	}
	request.Host, request.ContentLength = siteHost, options.length
	request.Header.Set("X-Try-Id", result.id)
	request.Header.Set("X-Time-Left-Ms", strconv.FormatInt(options.timeLeftMs, 10))
	for name, value := range options.headers {
		request.Header.Set(name, value)
	}
	began := time.Now()
	response, err := c.http.Do(request)
	if err == nil {
		result.status, result.seal = response.StatusCode, response.Header.Get("X-Server-Seal")
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.body = string(text)
	}
	result.err, result.tookMs = err, time.Since(began).Milliseconds()
	return result
}

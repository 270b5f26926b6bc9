package stand2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// events is how many events a stream has.
const events = 58

// The host and the prefixes of the routes.
const (
	hostName     = "ficu95.example"
	streamPrefix = "/lohu930/"
)

// outcome is what a client saw of one request.
type outcome struct {
	try    string
	status int
	seal   string
	body   string
	// err is the error that ended the answer; nil if the answer ended as complete.
	err error
	ms  int64
}

// ask sends one request over a new connection and reads the answer to its end.
func ask(address, path, try string, timeLeft time.Duration, headers map[string]string) outcome {
	out := outcome{try: try}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("prompt "+try))
	if err != nil {
		out.err = err
		return out
	}
	request.Host = hostName
	request.Header.Set("X-Try-Id", try)
	request.Header.Set("X-Time-Left-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		out.err, out.ms = err, time.Since(begin).Milliseconds()
		return out
	}
	defer func() { _ = response.Body.Close() }()
	out.status, out.seal = response.StatusCode, response.Header.Get("X-Server-Seal")
	text, err := io.ReadAll(response.Body)
	out.body, out.err, out.ms = string(text), err, time.Since(begin).Milliseconds()
	return out
}

// modelHeaders are the headers of a request to the service with models.
func modelHeaders(try string) map[string]string {
	return map[string]string{
		"X-Model": modelName, "X-Token-Count": fmt.Sprintf("628,%d", events*tokensPerEvent),
		"X-Prompt-Start": "5c1e07a2:198," + try + ":430",
	}
}

// wholeEvent is one event of a stream as the runner sends it.
var wholeEvent = regexp.MustCompile(`^id: (\d+)\ndata: t\d+\.1( t\d+\.\d+){4}$`)

// checkStream returns what is wrong with a stream that ended as complete, or "".
func checkStream(body string) string {
	pieces := strings.Split(body, "\n\n")
	for i, piece := range pieces[:len(pieces)-1] {
		match := wholeEvent.FindStringSubmatch(piece)
		if match == nil || match[1] != strconv.Itoa(i+1) {
			return fmt.Sprintf("event %d is %q", i+1, piece)
		}
	}
	switch rest := pieces[len(pieces)-1]; {
	case rest != "":
		return fmt.Sprintf("it ends as complete within event %d, after %q", len(pieces), rest)
	case len(pieces)-1 != events:
		return fmt.Sprintf("it ends as complete after event %d of %d", len(pieces)-1, events)
	}
	return ""
}

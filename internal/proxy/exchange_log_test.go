package proxy

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runStatement is what a runner stated about whether it ran a request that arrived.
type runStatement int

const (
	// statedNotRun means that the runner stated that the request has not run. Without
	// that statement (the zero value) it may have run.
	statedNotRun runStatement = iota + 1
)

// arrival is a request whose first bytes reached a runner.
type arrival struct {
	requestID, attempt string
	runner             string
	namedRunner        string
	statement          runStatement
	// onInvalidConn is true if something invalid was sent on the connection before, so
	// that it must not be reused. beforePreviousEnded is true if the request arrived
	// before the end of the previous one on the connection.
	onInvalidConn, beforePreviousEnded bool
}

// runnerResponse is a runner's response to a request, complete or truncated.
type runnerResponse struct {
	status   int
	body     string
	complete bool
}

// clientResponse is what a client received for a request.
type clientResponse struct {
	requestID, route string
	status           int
	seal             bool
	echo             string
	body             string
	// truncated is true if the connection ended within the response, noResponse if it
	// ended before the response, and disconnected if the client disconnected.
	truncated, noResponse, disconnected bool
	// extraBytes is true if bytes followed that belong to no request.
	extraBytes bool
}

// exchangeLog records what clients and runners received, and finds violated rules.
type exchangeLog struct {
	mu              sync.Mutex
	arrivals        []*arrival
	runnerResponses map[string][]runnerResponse
	clientResponses []clientResponse
}

// Names of the rules.
const (
	// The response is not one that a runner sent to this request.
	ruleOwnResponse = "a client got a response that no runner sent to its request"
	// An unsafe request was sent again though it may have run.
	ruleNotRepeated = "a request that must not be repeated was sent again"
	ruleAttemptOnce = "an attempt arrived more than once"
	ruleMaxAttempts = "more attempts than the route allows"
	// A request arrived on a connection before the response to the previous one.
	ruleOneInFlight = "a request arrived before the response to the previous one"
	// A connection was reused after something invalid had been sent on it.
	ruleInvalidConn = "a connection was reused after an invalid response"
	// The request does not state the ID of the runner.
	ruleRunnerNamed = "a request does not name its runner"
	// A status that states that the request has not run, though it may have run.
	ruleNotRunIsTrue = "a status states that a request which may have run has not run"
	// A stream lacks events but ends like a complete one, or its events are wrong.
	ruleCompleteStream = "a stream that is truncated or wrong looks complete"
	ruleExtraBytes     = "a client got extra bytes"
)

const maxRouteAttempts = 3

// isRetryable reports whether a route of exampleConfig, given by name, is retryable.
func isRetryable(route string) bool { return route == "safe" || route == "stream" }

func (l *exchangeLog) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	add := func(rule, detail string) { found = append(found, rule+": "+detail) }
	routes := map[string]string{}
	for _, o := range l.clientResponses {
		routes[o.requestID] = o.route
	}
	attempts, mayHaveRun := map[string]int{}, map[string]int{}
	byRequest := map[string]int{}
	for _, a := range l.arrivals {
		if attempts[a.attempt]++; attempts[a.attempt] > 1 {
			add(ruleAttemptOnce, a.attempt)
		}
		if byRequest[a.requestID]++; byRequest[a.requestID] > maxRouteAttempts {
			add(ruleMaxAttempts, a.requestID)
		}
		if mayHaveRun[a.requestID] > 0 && !isRetryable(routes[a.requestID]) {
			add(ruleNotRepeated, a.requestID)
		}
		if a.statement != statedNotRun {
			mayHaveRun[a.requestID]++
		}
		if a.onInvalidConn {
			add(ruleInvalidConn, a.requestID)
		}
		if a.beforePreviousEnded {
			add(ruleOneInFlight, a.requestID)
		}
		if a.namedRunner == "" {
			add(ruleRunnerNamed, a.requestID)
		}
	}
	for _, o := range l.clientResponses {
		l.checkClientResponse(o, mayHaveRun[o.requestID] > 0, add)
	}
	return found
}

func (l *exchangeLog) checkClientResponse(o clientResponse, mayHaveRun bool, add func(rule, detail string)) {
	if o.extraBytes {
		add(ruleExtraBytes, o.requestID)
	}
	if o.disconnected || o.noResponse {
		return
	}
	statesNotRun := o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421
	if statesNotRun && mayHaveRun && !isRetryable(o.route) {
		add(ruleNotRunIsTrue, fmt.Sprint(o.requestID, " got ", o.status))
	}
	isStream := o.route == "stream" || o.route == "once"
	switch {
	case o.status == 200 && isStream:
		if rule := l.checkStream(o); rule != "" {
			add(rule, fmt.Sprintf("%s got %q", o.requestID, o.body))
		}
	case o.status == 200 || o.seal || o.echo != "":
		same := func(r runnerResponse) bool { return r.complete && r.status == o.status && r.body == o.body }
		if o.truncated || o.echo != o.requestID || !slices.ContainsFunc(l.runnerResponses[o.requestID], same) {
			add(ruleOwnResponse, fmt.Sprintf("%s got %d %q for %q", o.requestID, o.status, o.body, o.echo))
		}
	}
}

// checkStream returns the rule that a stream violates, or "". Each event states its
// request, its number and the number of events.
func (l *exchangeLog) checkStream(o clientResponse) string {
	if o.echo != o.requestID {
		return ruleOwnResponse
	}
	rest := o.body
	for id := 1; id <= streamEvents; id++ {
		event := streamEvent(o.requestID, id)
		if rest == "" && o.truncated {
			return ""
		}
		if !strings.HasPrefix(rest, event) {
			if o.truncated && strings.HasPrefix(event, rest) {
				return ""
			}
			return ruleCompleteStream
		}
		rest = rest[len(event):]
	}
	if rest != "" {
		return ruleOwnResponse
	}
	return ""
}

const streamEvents = 5

func streamEvent(requestID string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", id, requestID, id, streamEvents)
}

func completeStream(requestID string) string {
	text := ""
	for id := 1; id <= streamEvents; id++ {
		text += streamEvent(requestID, id)
	}
	return text
}

// Each rule is reported for a log that violates it, and no other rule is.
func TestTheExchangeLogFindsEachBrokenRule(t *testing.T) {
	ran := &arrival{requestID: "a", attempt: "1", namedRunner: "r0"}
	rejected := &arrival{requestID: "a", attempt: "1", namedRunner: "r0", statement: statedNotRun}
	again := &arrival{requestID: "a", attempt: "2", namedRunner: "r1"}
	good := clientResponse{requestID: "a", route: "safe", status: 200, seal: true, echo: "a", body: "of a"}
	responses := map[string][]runnerResponse{"a": {{200, "of a", true}, {200, "of", false}, {500, "oops", true}}, "b": {{200, "of b", true}}}
	with := func(change func(o *clientResponse)) []clientResponse {
		o := good
		change(&o)
		return []clientResponse{o}
	}
	stream := func(body string, truncated bool) []clientResponse {
		return with(func(o *clientResponse) { o.route, o.body, o.truncated = "stream", body, truncated })
	}
	unsafe := with(func(o *clientResponse) { o.route = "unsafe" })
	cases := []struct {
		about           string
		arrivals        []*arrival
		clientResponses []clientResponse
		rule            string
	}{
		{"no violation", []*arrival{ran}, []clientResponse{good}, ""},
		{"a retryable request is sent again", []*arrival{ran, again}, []clientResponse{good}, ""},
		{"an unsafe request is sent again after it was not run", []*arrival{rejected, again}, unsafe, ""},
		{"an unsafe request is sent again though it may have run", []*arrival{ran, again}, unsafe, ruleNotRepeated},
		{"an attempt arrives twice", []*arrival{ran, ran}, []clientResponse{good}, ruleAttemptOnce},
		{"too many attempts", []*arrival{ran, again, {requestID: "a", attempt: "3", namedRunner: "r"}, {requestID: "a", attempt: "4", namedRunner: "r"}}, []clientResponse{good}, ruleMaxAttempts},
		{"a second request before the first has its response", []*arrival{{requestID: "a", namedRunner: "r0", beforePreviousEnded: true}}, []clientResponse{good}, ruleOneInFlight},
		{"a request on an invalid connection", []*arrival{{requestID: "a", namedRunner: "r0", onInvalidConn: true}}, []clientResponse{good}, ruleInvalidConn},
		{"no runner is named", []*arrival{{requestID: "a"}}, []clientResponse{good}, ruleRunnerNamed},
		{"the response to another request", []*arrival{ran}, with(func(o *clientResponse) { o.body = "of b" }), ruleOwnResponse},
		{"a response with another ID", []*arrival{ran}, with(func(o *clientResponse) { o.echo = "b" }), ruleOwnResponse},
		{"a part of the response", []*arrival{ran}, with(func(o *clientResponse) { o.body = "of" }), ruleOwnResponse},
		{"a different status", []*arrival{ran}, with(func(o *clientResponse) { o.status = 404 }), ruleOwnResponse},
		{"a server error is forwarded", []*arrival{ran}, with(func(o *clientResponse) { o.status, o.body = 500, "oops" }), ""},
		{"a truncated response", []*arrival{ran}, with(func(o *clientResponse) { o.truncated = true }), ruleOwnResponse},
		{"a 503 for a request that may have run", []*arrival{ran}, with(func(o *clientResponse) { *o = clientResponse{requestID: "a", route: "unsafe", status: 503} }), ruleNotRunIsTrue},
		{"a 503 for a request that has not run", []*arrival{rejected}, with(func(o *clientResponse) { *o = clientResponse{requestID: "a", route: "unsafe", status: 503} }), ""},
		{"extra bytes", []*arrival{ran}, with(func(o *clientResponse) { o.extraBytes = true }), ruleExtraBytes},
		{"a complete stream", []*arrival{ran}, stream(completeStream("a"), false), ""},
		{"a truncated stream", []*arrival{ran}, stream(streamEvent("a", 1)+"id: 2", true), ""},
		{"a stream that ends early", []*arrival{ran}, stream(streamEvent("a", 1), false), ruleCompleteStream},
		{"a stream that ends within an event", []*arrival{ran}, stream(streamEvent("a", 1)+"id: 2", false), ruleCompleteStream},
		{"a stream that ends within its last blank line", []*arrival{ran}, stream(strings.TrimSuffix(completeStream("a"), "\n"), false), ruleCompleteStream},
		{"a stream with a gap", []*arrival{ran}, stream(streamEvent("a", 1)+streamEvent("a", 3), true), ruleCompleteStream},
		{"a stream with a duplicate event", []*arrival{ran}, stream(streamEvent("a", 1)+streamEvent("a", 1), true), ruleCompleteStream},
		{"the events of another request", []*arrival{ran}, stream(completeStream("b"), false), ruleCompleteStream},
		{"more than the complete stream", []*arrival{ran}, stream(completeStream("a")+"x", false), ruleOwnResponse},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			log := &exchangeLog{arrivals: test.arrivals, clientResponses: test.clientResponses, runnerResponses: responses}
			found := log.violations()
			if test.rule == "" {
				c.Assert(found, qt.HasLen, 0)
				return
			}
			c.Assert(found, qt.HasLen, 1)
			c.Assert(strings.HasPrefix(found[0], test.rule), qt.IsTrue, qt.Commentf("%q", found))
		})
	}
}

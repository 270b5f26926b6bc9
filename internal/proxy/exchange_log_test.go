package proxy

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runEffect is what a runner did with a request that arrived.
type runEffect int

const (
	// effectNotRun: the runner promised that it has not run. Without a promise,
	// the zero value, it may have run.
	effectNotRun runEffect = iota + 1
)

// arrival is a request whose first bytes reached a runner.
type arrival struct {
	try, attempt string
	runner       string
	named        string
	effect       runEffect
	// afterDoubt says that the connection had shown a doubt before, tooEarly
	// that the exchange before was not over.
	afterDoubt, tooEarly bool
}

// forwardedResponse is a runner's response to a request, complete or in part.
type forwardedResponse struct {
	status int
	body   string
	whole  bool
}

// outcome is the response that a client got.
type outcome struct {
	try, route string
	status     int
	seal       bool
	echo       string
	body       string
	// broken says that the connection ended within the response, none that it
	// ended before one; left that the client disconnected.
	broken, none, left bool
	// surplus says that bytes followed that belong to no request.
	surplus bool
}

// exchangeLog is what clients and runners saw; it says which rules were broken.
type exchangeLog struct {
	mu       sync.Mutex
	arrivals []*arrival
	given    map[string][]forwardedResponse
	outcomes []outcome
}

// Names of the rules.
const (
	ruleOwnAnswer   = "a client got what no runner answered to its request"
	ruleOnce        = "a request that may not be repeated was written again"
	ruleAttempt     = "an attempt arrived more than once"
	ruleTries       = "more attempts than the route allows"
	ruleOneInFlight = "a request came before the exchange before it was over"
	ruleDoubt       = "a connection was used after a doubt"
	ruleNamed       = "a request reached a runner without naming it"
	rulePromise     = "a promise for a request that may have run"
	ruleStream      = "a stream looks whole and is not"
	ruleSurplus     = "a client got bytes that it did not ask for"
)

const triesMost = 3

// repeatable decides by the names of exampleConfig's routes.
func repeatable(route string) bool { return route == "safe" || route == "stream" }

func (l *exchangeLog) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	add := func(rule, about string) { broken = append(broken, rule+": "+about) }
	routes := map[string]string{}
	for _, o := range l.outcomes {
		routes[o.try] = o.route
	}
	attempts, mayHaveRun := map[string]int{}, map[string]int{}
	byTry := map[string]int{}
	for _, a := range l.arrivals {
		if attempts[a.attempt]++; attempts[a.attempt] > 1 {
			add(ruleAttempt, a.attempt)
		}
		if byTry[a.try]++; byTry[a.try] > triesMost {
			add(ruleTries, a.try)
		}
		if mayHaveRun[a.try] > 0 && !repeatable(routes[a.try]) {
			add(ruleOnce, a.try)
		}
		if a.effect != effectNotRun {
			mayHaveRun[a.try]++
		}
		if a.afterDoubt {
			add(ruleDoubt, a.try)
		}
		if a.tooEarly {
			add(ruleOneInFlight, a.try)
		}
		if a.named == "" {
			add(ruleNamed, a.try)
		}
	}
	for _, o := range l.outcomes {
		l.checkOutcome(o, mayHaveRun[o.try] > 0, add)
	}
	return broken
}

func (l *exchangeLog) checkOutcome(o outcome, mayHaveRun bool, add func(rule, about string)) {
	if o.surplus {
		add(ruleSurplus, o.try)
	}
	if o.left || o.none {
		return
	}
	promises := o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421
	if promises && mayHaveRun && !repeatable(o.route) {
		add(rulePromise, fmt.Sprint(o.try, " got ", o.status))
	}
	isStream := o.route == "stream" || o.route == "once"
	switch {
	case o.status == 200 && isStream:
		if rule := l.checkStream(o); rule != "" {
			add(rule, fmt.Sprintf("%s got %q", o.try, o.body))
		}
	case o.status == 200 || o.seal || o.echo != "":
		same := func(g forwardedResponse) bool { return g.whole && g.status == o.status && g.body == o.body }
		if o.broken || o.echo != o.try || !slices.ContainsFunc(l.given[o.try], same) {
			add(ruleOwnAnswer, fmt.Sprintf("%s got %d %q for %q", o.try, o.status, o.body, o.echo))
		}
	}
}

// checkStream returns the rule that a stream breaks. Events state their request and
// their number; the last one says that it is the last.
func (l *exchangeLog) checkStream(o outcome) string {
	if o.echo != o.try {
		return ruleOwnAnswer
	}
	rest := o.body
	for id := 1; id <= streamEvents; id++ {
		event := streamEvent(o.try, id)
		if rest == "" && o.broken {
			return ""
		}
		if !strings.HasPrefix(rest, event) {
			if o.broken && strings.HasPrefix(event, rest) {
				return ""
			}
			return ruleStream
		}
		rest = rest[len(event):]
	}
	if rest != "" {
		return ruleOwnAnswer
	}
	return ""
}

const streamEvents = 5

func streamEvent(try string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", id, try, id, streamEvents)
}

func wholeStream(try string) string {
	text := ""
	for id := 1; id <= streamEvents; id++ {
		text += streamEvent(try, id)
	}
	return text
}

// Each rule fires on a history that breaks it, and on no other.
func TestTheExchangeLogFindsEachBrokenRule(t *testing.T) {
	ran := &arrival{try: "a", attempt: "1", named: "r0"}
	turned := &arrival{try: "a", attempt: "1", named: "r0", effect: effectNotRun}
	again := &arrival{try: "a", attempt: "2", named: "r1"}
	good := outcome{try: "a", route: "safe", status: 200, seal: true, echo: "a", body: "of a"}
	answers := map[string][]forwardedResponse{"a": {{200, "of a", true}, {200, "of", false}, {500, "oops", true}}, "b": {{200, "of b", true}}}
	with := func(change func(o *outcome)) []outcome {
		o := good
		change(&o)
		return []outcome{o}
	}
	stream := func(body string, broken bool) []outcome {
		return with(func(o *outcome) { o.route, o.body, o.broken = "stream", body, broken })
	}
	unsafe := with(func(o *outcome) { o.route = "unsafe" })
	cases := []struct {
		about    string
		arrivals []*arrival
		outcomes []outcome
		rule     string
	}{
		{"all well", []*arrival{ran}, []outcome{good}, ""},
		{"a safe one again", []*arrival{ran, again}, []outcome{good}, ""},
		{"an unsafe one after a promise", []*arrival{turned, again}, unsafe, ""},
		{"an unsafe one again", []*arrival{ran, again}, unsafe, ruleOnce},
		{"an attempt twice", []*arrival{ran, ran}, []outcome{good}, ruleAttempt},
		{"too many", []*arrival{ran, again, {try: "a", attempt: "3", named: "r"}, {try: "a", attempt: "4", named: "r"}}, []outcome{good}, ruleTries},
		{"two at once", []*arrival{{try: "a", named: "r0", tooEarly: true}}, []outcome{good}, ruleOneInFlight},
		{"after a doubt", []*arrival{{try: "a", named: "r0", afterDoubt: true}}, []outcome{good}, ruleDoubt},
		{"nobody named", []*arrival{{try: "a"}}, []outcome{good}, ruleNamed},
		{"another's answer", []*arrival{ran}, with(func(o *outcome) { o.body = "of b" }), ruleOwnAnswer},
		{"another's id", []*arrival{ran}, with(func(o *outcome) { o.echo = "b" }), ruleOwnAnswer},
		{"a part of it", []*arrival{ran}, with(func(o *outcome) { o.body = "of" }), ruleOwnAnswer},
		{"another status", []*arrival{ran}, with(func(o *outcome) { o.status = 404 }), ruleOwnAnswer},
		{"a failure as it was", []*arrival{ran}, with(func(o *outcome) { o.status, o.body = 500, "oops" }), ""},
		{"a broken one", []*arrival{ran}, with(func(o *outcome) { o.broken = true }), ruleOwnAnswer},
		{"a false promise", []*arrival{ran}, with(func(o *outcome) { *o = outcome{try: "a", route: "unsafe", status: 503} }), rulePromise},
		{"a true one", []*arrival{turned}, with(func(o *outcome) { *o = outcome{try: "a", route: "unsafe", status: 503} }), ""},
		{"surplus bytes", []*arrival{ran}, with(func(o *outcome) { o.surplus = true }), ruleSurplus},
		{"a whole stream", []*arrival{ran}, stream(wholeStream("a"), false), ""},
		{"a cut one", []*arrival{ran}, stream(streamEvent("a", 1)+"id: 2", true), ""},
		{"one that ends early", []*arrival{ran}, stream(streamEvent("a", 1), false), ruleStream},
		{"one with a gap", []*arrival{ran}, stream(streamEvent("a", 1)+streamEvent("a", 3), true), ruleStream},
		{"one with a doubled piece", []*arrival{ran}, stream(streamEvent("a", 1)+streamEvent("a", 1), true), ruleStream},
		{"another's pieces", []*arrival{ran}, stream(wholeStream("b"), false), ruleStream},
		{"more than the whole", []*arrival{ran}, stream(wholeStream("a")+"x", false), ruleOwnAnswer},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			log := &exchangeLog{arrivals: test.arrivals, outcomes: test.outcomes, given: answers}
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

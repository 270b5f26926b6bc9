package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/threads"
)

// countingCodec numbers the attempts of the router in a header.
type countingCodec struct {
	Codec
	attempts *atomic.Int64
}

func (c countingCodec) WriteAttemptHeader(to, from http.Header, params AttemptParams) {
	c.Codec.WriteAttemptHeader(to, from, params)
	to.Set("Attempt", fmt.Sprint(c.attempts.Add(1)))
}

// anyIDCodec is a faulty codec: it accepts any response as the one to its request.
type anyIDCodec struct{ Codec }

func (c anyIDCodec) ParseResponseHead(response *http.Response) ResponseHead {
	head := c.Codec.ParseResponseHead(response)
	head.RequestID, head.HasSeal = response.Request.Header.Get("Try"), true
	return head
}

// noRunnerCodec is a faulty codec: it states no runner in the request.
type noRunnerCodec struct{ Codec }

func (c noRunnerCodec) WriteAttemptHeader(to, from http.Header, params AttemptParams) {
	c.Codec.WriteAttemptHeader(to, from, params)
	to.Del("Runner")
}

// constantIDCodec is a faulty codec: it reads the same ID from every event.
type constantIDCodec struct{ Codec }

func (constantIDCodec) ParseEvent([]byte) (string, int64) { return "1", 0 }

// exchangeModel runs a router between clients and runners of the model.
type exchangeModel struct {
	codec    Codec
	document config.Configuration
}

func (e exchangeModel) runClients(clients [][]modelRequest) ([]string, error) {
	reactions := map[string][]reaction{}
	for _, requests := range clients {
		for _, r := range requests {
			reactions[r.id] = r.reactions
		}
	}
	log := &exchangeLog{runnerResponses: map[string][]runnerResponse{}}
	runners := &modelRunners{log: log, reactions: reactions, unanswered: map[string]chan struct{}{}, open: map[io.Closer]bool{}}
	var addresses []string
	for i := range 3 {
		listener, err := runners.listen(fmt.Sprint("r", i))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
	}
	_, url, stop, err := startServer(countingCodec{e.codec, &atomic.Int64{}}, e.document, addresses, io.Discard, unwrapped)
	if err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	for _, requests := range clients {
		group.Add(1)
		threads.Go(func() {
			defer group.Done()
			(&modelClient{address: strings.TrimPrefix(url, "http://"), log: log, runners: runners}).run(requests)
		})
	}
	group.Wait()
	stop()
	runners.stop()
	return log.violations(), nil
}

func drawClients(t *rapid.T) [][]modelRequest {
	routes := []string{"safe", "unsafe", "stream", "once"}
	clients := make([][]modelRequest, rapid.IntRange(1, 3).Draw(t, "clients"))
	for i := range clients {
		for n := range rapid.IntRange(1, 4).Draw(t, "requests") {
			clients[i] = append(clients[i], modelRequest{
				id:          fmt.Sprintf("c%d-%d", i, n),
				route:       rapid.SampledFrom(routes).Draw(t, "route"),
				bodyBytes:   rapid.SampledFrom([]int{0, 8, 3000, 40_000}).Draw(t, "body"),
				pipelined:   n > 0 && rapid.IntRange(0, 4).Draw(t, "pipelined") == 4,
				disconnects: rapid.IntRange(0, 9).Draw(t, "leaves") == 9,
				reactions:   rapid.SliceOfN(rapid.SampledFrom(reactions), 0, maxRouteAttempts).Draw(t, "reactions"),
			})
		}
	}
	return clients
}

// Whatever runners and clients do, each client gets the complete response to its own
// request or an error, and no connection is used after something invalid was sent on it.
func TestEachClientGetsItsOwnResponseOnce(t *testing.T) {
	model := exchangeModel{plainCodec{}, exampleConfig(1)}
	rapid.Check(t, func(t *rapid.T) {
		violations, err := model.runClients(drawClients(t))
		if err != nil {
			t.Fatal(err)
		}
		if len(violations) > 0 {
			t.Fatalf("violations: %q", violations)
		}
	})
}

// Each faulty router is found by the rule that it violates.
func TestTheModelFindsBrokenRouters(t *testing.T) {
	unsafeAsSafe := exampleConfig(1)
	for i := range unsafeAsSafe.Routes {
		if unsafeAsSafe.Routes[i].Name == "unsafe" {
			unsafeAsSafe.Routes[i].Kind = config.Safe
		}
	}
	moreAttempts := exampleConfig(1)
	for i := range moreAttempts.Routes {
		moreAttempts.Routes[i].MaxAttempts = maxRouteAttempts + 2
	}
	cases := []struct {
		about     string
		model     exchangeModel
		reactions []reaction
		routes    []string
		rule      string
	}{
		{"any ID is accepted", exchangeModel{anyIDCodec{plainCodec{}}, exampleConfig(1)}, []reaction{reactOtherID}, []string{"safe"}, ruleOwnResponse},
		{"an unsafe request is sent again", exchangeModel{plainCodec{}, unsafeAsSafe}, []reaction{reactClose}, []string{"unsafe"}, ruleNotRepeated},
		{"a 503 without the statement that the request has not run is forwarded", exchangeModel{plainCodec{}, unsafeAsSafe}, []reaction{react503MayHaveRun}, []string{"unsafe"}, ruleNotRunIsTrue},
		{"more attempts than allowed", exchangeModel{plainCodec{}, moreAttempts}, []reaction{reactClose, reactClose, reactClose, reactClose}, []string{"safe"}, ruleMaxAttempts},
		{"no runner is stated", exchangeModel{noRunnerCodec{plainCodec{}}, exampleConfig(1)}, nil, []string{"safe"}, ruleRunnerNamed},
		{"event IDs are wrong", exchangeModel{constantIDCodec{plainCodec{}}, exampleConfig(1)}, []reaction{reactCutStream, reactCutStream}, []string{"stream"}, ruleCompleteStream},
		// With four requests to three runners, two use the same connection.
		{"any ID is accepted, and the connection is reused", exchangeModel{anyIDCodec{plainCodec{}}, exampleConfig(1)}, []reaction{reactOtherID},
			[]string{"safe", "safe", "safe", "safe"}, ruleInvalidConn},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			var requests []modelRequest
			for n, route := range test.routes {
				requests = append(requests, modelRequest{id: fmt.Sprint("c0-", n), route: route, bodyBytes: 8, reactions: test.reactions})
			}
			violations, err := test.model.runClients([][]modelRequest{requests})
			if err != nil {
				t.Fatal(err)
			}
			for _, found := range violations {
				if strings.HasPrefix(found, test.rule) {
					return
				}
			}
			t.Fatalf("want a violation of %q, found %q", test.rule, violations)
		})
	}
}

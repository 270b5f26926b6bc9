package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/testbackend"
)

// How requests of clients end, besides the error kinds.
const (
	outcomeAnswered = testbackend.OutcomeCompleted
	// outcomeNotConnected: the client did not reach the router, so nothing ran.
	outcomeNotConnected testbackend.Outcome = "no stream"
	// outcomeConnectionLost: the connection broke, so the client does not know
	// whether the request ran.
	outcomeConnectionLost testbackend.Outcome = "stream broke"
	// outcomeClientDisconnected: the client closed the connection.
	outcomeClientDisconnected testbackend.Outcome = "sender gone"
)

const (
	// An idempotent service gets idempotentPerSec requests a second, any other one
	// otherPerSec.
	idempotentPerSec = 20
	otherPerSec      = 2
	// burstMs is the time over which a burst of requests is spread.
	burstMs = 200
	// One request in adapterOneIn for a model with adapters names an adapter.
	adapterOneIn = 4
	// One request in duplicateOneIn is sent twice to the same router. Of the
	// idempotent requests, another one in duplicateOneIn is sent to two routers.
	duplicateOneIn = 50
	// One request in disconnectOneIn is abandoned by its client.
	disconnectOneIn = 50
	// maxClientRetries is how often a client sends a request again that was
	// rejected without having run.
	maxClientRetries = 2
	// probeIntervalMs is the mean time between two probes of a router.
	probeIntervalMs = 400
	// starvedRequests is how many requests a model needs without any complete
	// response to count as starved.
	starvedRequests = 5
)

// clients send requests to the services, each at its own rate, and count the
// outcomes.
type clients struct {
	stopped bool
	// requestsPerSec is the rate of requests by service.
	requestsPerSec map[string]float64
	// uniformModels makes all models of a service equally likely; otherwise the
	// first ones get most of the requests.
	uniformModels bool
	// requests counts the requests, and submissions counts how often a request
	// was sent to a router. The counts are used as ids.
	requests, submissions uint64
	// markers are the marker services of all submitted descriptions, in order.
	markers []string

	// outcomes counts by service how requests ended; retryOutcomes counts the
	// outcomes of clients' retries.
	outcomes      map[string]map[testbackend.Outcome]int
	retryOutcomes map[testbackend.Outcome]int
	// lastResponseMs and worstGapMs are by service: the time of its last response,
	// and the longest time without one.
	lastResponseMs, worstGapMs map[string]int64
	// requestsByModel and responsesByModel count requests and complete responses.
	requestsByModel, responsesByModel map[string]int
}

func newClients(d *description.Description) clients {
	c := clients{
		requestsPerSec:   map[string]float64{},
		outcomes:         map[string]map[testbackend.Outcome]int{},
		retryOutcomes:    map[testbackend.Outcome]int{},
		lastResponseMs:   map[string]int64{},
		worstGapMs:       map[string]int64{},
		requestsByModel:  map[string]int{},
		responsesByModel: map[string]int{},
	}
	for _, service := range d.Services {
		c.requestsPerSec[service.Name] = otherPerSec
		if service.Idempotent {
			c.requestsPerSec[service.Name] = idempotentPerSec
		}
	}
	return c
}

// StartClients starts sending requests to every service.
func (w *World) StartClients() {
	for _, service := range w.Description.Services {
		w.clients.lastResponseMs[service.Name] = w.events.NowMs()
		w.scheduleRequest(service.Name)
	}
}

// StopClients stops sending requests. Requests in flight continue.
func (w *World) StopClients() { w.clients.stopped = true }

func (w *World) scheduleRequest(service string) {
	if w.clients.stopped {
		return
	}
	pauseMs := 1 + int64(w.Random.ExpFloat64()*1000/w.clients.requestsPerSec[service])
	w.events.After(pauseMs, func() {
		if !w.clients.stopped {
			w.submitRequest(service)
			w.scheduleRequest(service)
		}
	})
}

// Burst sends many requests to a service within burstMs.
func (w *World) Burst(service string, count int) {
	w.tracef("a burst of %d requests for %s", count, service)
	for range count {
		w.events.After(w.Random.Int63n(burstMs), func() { w.submitRequest(service) })
	}
}

// submitRequest sends a request for a service to a router, and sends some
// requests twice.
func (w *World) submitRequest(name string) {
	service, _ := w.Description.Service(name)
	model, adapter := w.chooseModel(service)
	w.clients.requests++
	if model != "" {
		w.clients.requestsByModel[model]++
	}
	request := clientRequest{requestID: fmt.Sprintf("q-%d", w.clients.requests), service: name, model: model, adapter: adapter}
	router, draw := w.randomNode(protocol.RoleRouter), w.Random.Intn(duplicateOneIn)
	sameRouterTwice, twoRouters := draw == 0, draw == 1 && service.Idempotent
	if sameRouterTwice {
		// The client sends the same request twice at nearly the same time through
		// one router. Neither is retried, because the other may still be waiting.
		request.retries, request.duplicate = maxClientRetries, true
	}
	w.submitTo(router, request)
	if sameRouterTwice {
		w.events.After(w.Random.Int63n(100), func() { w.submitTo(router, request) })
	}
	if twoRouters {
		w.events.After(w.Random.Int63n(100), func() { w.submitTo(w.randomNode(protocol.RoleRouter), request) })
	}
}

// chooseModel draws a model of a service, and for some requests an adapter.
func (w *World) chooseModel(service *description.Service) (model, adapter string) {
	if len(service.Models) == 0 {
		return "", ""
	}
	spread := w.Random.Float64()
	if !w.clients.uniformModels {
		spread = spread * spread * spread
	}
	model = service.Models[int(spread*float64(len(service.Models)))]
	var adapters []string
	for _, a := range w.Description.Adapters {
		if a.Model == model {
			adapters = append(adapters, a.Name)
		}
	}
	if len(adapters) > 0 && w.Random.Intn(adapterOneIn) == 0 {
		adapter = adapters[w.Random.Intn(len(adapters))]
	}
	return model, adapter
}

// StartProbes regularly sends each router requests for the marker services of
// the last descriptions. These requests show which descriptions the router
// uses.
func (w *World) StartProbes() {
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		w.scheduleProbe(name)
	}
}

func (w *World) scheduleProbe(router string) {
	w.events.After(probeIntervalMs/2+w.Random.Int63n(probeIntervalMs), func() {
		if w.clients.stopped {
			return
		}
		if markers := w.clients.markers; len(markers) > 0 {
			w.clients.requests++
			w.submitTo(router, clientRequest{
				requestID: fmt.Sprintf("probe-%d", w.clients.requests), probe: true,
				service: markers[max(0, len(markers)-1-w.Random.Intn(4))],
			})
		}
		w.scheduleProbe(router)
	})
}

// requestEnded counts how a request ended.
func (w *World) requestEnded(service string, outcome testbackend.Outcome) {
	c := &w.clients
	if c.outcomes[service] == nil {
		c.outcomes[service] = map[testbackend.Outcome]int{}
	}
	c.outcomes[service][outcome]++
	if outcome == outcomeAnswered {
		nowMs := w.events.NowMs()
		c.worstGapMs[service] = max(c.worstGapMs[service], nowMs-c.lastResponseMs[service])
		c.lastResponseMs[service] = nowMs
	}
}

// isNotExecuted reports whether an outcome promises that the request did not run.
func isNotExecuted(outcome testbackend.Outcome) bool {
	return errkind.Kind(outcome).Response().NotExecuted
}

// StarvedModels returns the number of models with at least starvedRequests
// requests and no complete response.
func (w *World) StarvedModels() int {
	starved := 0
	for model, count := range w.clients.requestsByModel {
		if count >= starvedRequests && w.clients.responsesByModel[model] == 0 {
			starved++
		}
	}
	return starved
}

// RetryOutcomes returns the counts of outcomes of clients' retries as text.
func (w *World) RetryOutcomes() string {
	// The line shows how requests ended that clients sent again after they were
	// rejected without having run. A tool compares this line, so its label stays.
	return fmt.Sprintf("came back: %v", w.clients.retryOutcomes)
}

// OutcomeLines returns the counts of outcomes as sorted lines of text.
func (w *World) OutcomeLines() string {
	var lines []string
	for service, counts := range w.clients.outcomes {
		for outcome, count := range counts {
			lines = append(lines, fmt.Sprintf("%s %s: %d", service, outcome, count))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// CompleteResponses returns the number of complete responses of a service.
func (w *World) CompleteResponses(service string) int {
	return w.clients.outcomes[service][outcomeAnswered]
}

// WorstGapMs returns the longest time without a response of a service.
func (w *World) WorstGapMs(service string) int64 {
	return max(w.clients.worstGapMs[service], w.events.NowMs()-w.clients.lastResponseMs[service])
}

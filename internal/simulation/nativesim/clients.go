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

// How requests of clients end, besides answers and error kinds.
const (
	outcomeAnswered = testbackend.OutcomeAnswered
	// outcomeNotConnected: the router was not there, so nothing ran.
	outcomeNotConnected testbackend.Outcome = "no stream"
	// outcomeStreamBroke: the client can't know what became of it.
	outcomeStreamBroke testbackend.Outcome = "stream broke"
	// outcomeDisconnected: the client went away on its own.
	outcomeDisconnected testbackend.Outcome = "sender gone"
)

const (
	// A repeatable service, which is a small one, is asked smallPerSec times a
	// second, any other otherPerSec times.
	smallPerSec = 20
	otherPerSec = 2
	// burstMs is the time within which a burst of requests comes.
	burstMs = 200
	// One request in adapterShare for a model with adapters names one.
	adapterShare = 4
	// One request in oddShare is sent twice to the same router, and one to two
	// routers if it is repeatable.
	oddShare = 50
	// One request in disconnectShare is given up by its client.
	disconnectShare = 50
	// maxClientRetries is how often a client sends one id again after a drop.
	maxClientRetries = 2
	// probeIntervalMs is the mean time between two probes of a router.
	probeIntervalMs = 400
	// starvedRequests is how many requests for a model must go unanswered for
	// it to count as starved.
	starvedRequests = 5
)

// clients ask the services, each at its own rate, and count what comes of it.
type clients struct {
	stopped bool
	// requestsPerSec is by service.
	requestsPerSec map[string]float64
	// uniformModels makes all models be asked for alike; otherwise the first
	// ones of a service are asked for most.
	uniformModels bool
	// requests numbers the requests, submissions each sending of one.
	requests, submissions uint64
	// markers are the marker services of all submitted descriptions, in order.
	markers []string

	// outcomes counts by service how requests ended; retryOutcomes counts those
	// that had been dropped before.
	outcomes      map[string]map[testbackend.Outcome]int
	retryOutcomes map[testbackend.Outcome]int
	// lastAnswerMs and worstGapMs are by service: when it last answered, and how
	// long it was without any answer at worst.
	lastAnswerMs, worstGapMs map[string]int64
	// requestsByModel and answersByModel count by model.
	requestsByModel, answersByModel map[string]int
}

func newClients(d *description.Description) clients {
	c := clients{
		requestsPerSec:  map[string]float64{},
		outcomes:        map[string]map[testbackend.Outcome]int{},
		retryOutcomes:   map[testbackend.Outcome]int{},
		lastAnswerMs:    map[string]int64{},
		worstGapMs:      map[string]int64{},
		requestsByModel: map[string]int{},
		answersByModel:  map[string]int{},
	}
	for _, service := range d.Services {
		c.requestsPerSec[service.Name] = otherPerSec
		if service.Idempotent {
			c.requestsPerSec[service.Name] = smallPerSec
		}
	}
	return c
}

// StartClients begins asking every service.
func (w *World) StartClients() {
	for _, service := range w.Description.Services {
		w.clients.lastAnswerMs[service.Name] = w.events.NowMs()
		w.scheduleRequest(service.Name)
	}
}

// StopClients ends it; requests in flight continue.
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

// Burst asks a service many times at once.
func (w *World) Burst(service string, count int) {
	w.tracef("a burst of %d for %s", count, service)
	for range count {
		w.events.After(w.Random.Int63n(burstMs), func() { w.submitRequest(service) })
	}
}

// submitRequest sends a request for a service to a router, and some requests
// twice.
func (w *World) submitRequest(name string) {
	service, _ := w.Description.Service(name)
	model, adapter := w.chooseModel(service)
	w.clients.requests++
	if model != "" {
		w.clients.requestsByModel[model]++
	}
	request := clientRequest{name: fmt.Sprintf("q-%d", w.clients.requests), service: name, model: model, adapter: adapter}
	router, odd := w.randomNode(protocol.RoleRouter), w.Random.Intn(oddShare)
	isImpatient, isSpread := odd == 0, odd == 1 && service.Idempotent
	if isImpatient {
		// The client sends the same twice at once through one router. Neither is
		// sent again after a drop, since the other may still be waiting.
		request.retries, request.duplicate = maxClientRetries, true
	}
	w.submitTo(router, request)
	if isImpatient {
		w.events.After(w.Random.Int63n(100), func() { w.submitTo(router, request) })
	}
	if isSpread {
		w.events.After(w.Random.Int63n(100), func() { w.submitTo(w.randomNode(protocol.RoleRouter), request) })
	}
}

// chooseModel draws a model of a service and perhaps an adapter.
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
	if len(adapters) > 0 && w.Random.Intn(adapterShare) == 0 {
		adapter = adapters[w.Random.Intn(len(adapters))]
	}
	return model, adapter
}

// StartProbes keeps asking every router for the marker services of the last
// descriptions, which shows which descriptions are in effect there.
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
				name: fmt.Sprintf("probe-%d", w.clients.requests), probe: true,
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
		c.worstGapMs[service] = max(c.worstGapMs[service], nowMs-c.lastAnswerMs[service])
		c.lastAnswerMs[service] = nowMs
	}
}

// isDrop reports whether an outcome promises that the request did not run.
func isDrop(outcome testbackend.Outcome) bool { return errkind.Kind(outcome).Response().NotExecuted }

// StarvedModels counts the models that were asked for often and never answered.
func (w *World) StarvedModels() int {
	starved := 0
	for model, count := range w.clients.requestsByModel {
		if count >= starvedRequests && w.clients.answersByModel[model] == 0 {
			starved++
		}
	}
	return starved
}

// RetryOutcomes returns how requests ended that had been dropped before.
func (w *World) RetryOutcomes() string { return fmt.Sprintf("came back: %v", w.clients.retryOutcomes) }

// OutcomeLines gives the counts of outcomes as sorted lines of text.
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

// Answered counts the whole answers of a service.
func (w *World) Answered(service string) int { return w.clients.outcomes[service][outcomeAnswered] }

// WorstGapMs is the longest time without an answer of a service.
func (w *World) WorstGapMs(service string) int64 {
	return max(w.clients.worstGapMs[service], w.events.NowMs()-w.clients.lastAnswerMs[service])
}

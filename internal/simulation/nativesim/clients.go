package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// clients ask the services, each at its own rate.
type clients struct {
	// requests names what is asked, ids each sending of it.
	requests, submissions uint64
	// retryOutcomes tallies how those ended who came back when they were told to.
	retryOutcomes map[string]int
	// markers are the services of their own that handed over descriptions have.
	markers        []string
	requestsPerSec map[string]float64
	stopped        bool
	// Kinds tallies the ends by service and kind.
	outcomes map[string]map[string]int
	// lastAnswerMs and worstGapMs are of the small service: how long it went
	// without any answer.
	lastAnswerMs  map[string]int64
	worstGapMs    map[string]int64
	uniformModels bool
	// requestsByModel and answersByModel count by model.
	requestsByModel, answersByModel map[string]int
}

func (s *clients) init(w *World) {
	s.outcomes, s.requestsPerSec = map[string]map[string]int{}, map[string]float64{}
	s.retryOutcomes = map[string]int{}
	s.requestsByModel, s.answersByModel = map[string]int{}, map[string]int{}
	s.lastAnswerMs, s.worstGapMs = map[string]int64{}, map[string]int64{}
	for _, service := range w.Description.Services {
		s.requestsPerSec[service.Name] = 2
		if service.Repeatable {
			s.requestsPerSec[service.Name] = 20
		}
	}
}

// StartClients begins asking every service.
func (w *World) StartClients() {
	for _, service := range w.Description.Services {
		w.clients.lastAnswerMs[service.Name] = w.events.NowMs()
		w.scheduleRequest(service.Name)
	}
}

// StopClients ends it.
func (w *World) StopClients() { w.clients.stopped = true }

func (w *World) scheduleRequest(service string) {
	if w.clients.stopped {
		return
	}
	w.events.After(1+int64(w.Random.ExpFloat64()*1000/w.clients.requestsPerSec[service]), func() {
		if !w.clients.stopped {
			w.submitRequest(service)
			w.scheduleRequest(service)
		}
	})
}

// Burst asks a service many times at once.
func (w *World) Burst(service string, count int) {
	w.tracef("a crowd of %d for %s", count, service)
	for range count {
		w.events.After(w.Random.Int63n(200), func() { w.submitRequest(service) })
	}
}

func (w *World) submitRequest(name string) {
	service, _ := w.Description.Service(name)
	model, adapter := "", ""
	if len(service.Models) > 0 {
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
		if len(adapters) > 0 && w.Random.Intn(4) == 0 {
			adapter = adapters[w.Random.Intn(len(adapters))]
		}
	}
	w.clients.requests++
	if model != "" {
		w.clients.requestsByModel[model]++
	}
	first := clientRequest{name: fmt.Sprintf("q-%d", w.clients.requests), service: name, model: model, adapter: adapter}
	edge, odd := w.randomNode(protocol.RoleRouter), w.Random.Intn(50)
	if odd == 0 {
		// An impatient sender sends the same at once through the same router;
		// then neither comes back, since the other may still wait.
		first.retries, first.duplicate = maxClientRetries, true
	}
	w.submitTo(edge, first)
	switch odd {
	case 0:
		w.events.After(w.Random.Int63n(100), func() { w.submitTo(edge, first) })
	case 1:
		if service.Repeatable {
			w.events.After(w.Random.Int63n(100), func() { w.submitTo(w.randomNode(protocol.RoleRouter), first) })
		}
	}
}

// submitTo brings one sending of a request to a router.
func (w *World) submitTo(edge string, what clientRequest) {
	n := w.nodes[edge]
	w.clients.submissions++
	a := &what
	a.id, a.world, a.router = w.clients.submissions, w, n
	w.Checker.RequestSubmitted(a.service, a.name)
	w.transmit("senders", n.name, func() {
		if !n.up {
			a.finish("no stream", false)
			return
		}
		a.routerIncarnation = n.incarnation
		n.pending[a.id] = a
		w.deliver(n, n.incarnation, router.Request{ID: a.id, Service: a.service, Model: a.model, Adapter: a.adapter, RequestID: a.name, ClientChoseID: true, BodyBytes: 100})
		if !a.probe && w.Random.Intn(50) == 0 {
			w.events.After(w.Random.Int63n(3000), a.disconnect)
		}
	}, func() { a.finish("no stream", false) })
}

// maxClientRetries is how often a sender comes back with one id.
const maxClientRetries = 2

// scheduleRetry is a sender that sends a dropped request again, with its id, when
// it was told to, through any router.
func (a *clientRequest) scheduleRetry(kind string, drop bool) {
	reply := errkind.Kind(kind).Response()
	if !drop || reply.RetryAfterSec == 0 || a.retries >= maxClientRetries || a.world.clients.stopped {
		return
	}
	next := clientRequest{name: a.name, service: a.service, model: a.model, adapter: a.adapter, retries: a.retries + 1}
	told := errkind.ErrorBody{Kind: errkind.Kind(kind), RetryMs: a.retryMs}
	a.world.events.After(int64(told.RetryAfterSec())*1000, func() { a.world.submitTo(a.world.randomNode(protocol.RoleRouter), next) })
}

// StartProbes keeps asking every router for the services that only one handed over
// description has, so that it shows which texts take effect.
func (w *World) StartProbes() {
	for _, name := range w.nodeNames(protocol.RoleRouter) {
		w.scheduleProbe(name)
	}
}

const probeIntervalMs = 400

func (w *World) scheduleProbe(edge string) {
	w.events.After(probeIntervalMs/2+w.Random.Int63n(probeIntervalMs), func() {
		if w.clients.stopped {
			return
		}
		if marks := w.clients.markers; len(marks) > 0 {
			w.clients.requests++
			w.submitTo(edge, clientRequest{
				name: fmt.Sprintf("probe-%d", w.clients.requests), probe: true,
				service: marks[max(0, len(marks)-1-w.Random.Intn(4))],
			})
		}
		w.scheduleProbe(edge)
	})
}

func (s *clients) requestEnded(w *World, service, kind string) {
	if s.outcomes[service] == nil {
		s.outcomes[service] = map[string]int{}
	}
	s.outcomes[service][kind]++
	if kind == "answered" {
		s.worstGapMs[service] = max(s.worstGapMs[service], w.events.NowMs()-s.lastAnswerMs[service])
		s.lastAnswerMs[service] = w.events.NowMs()
	}
}

// StarvedModels counts the models that were asked for often and answered never.
func (w *World) StarvedModels() int {
	starved := 0
	for model, count := range w.clients.requestsByModel {
		if count >= 5 && w.clients.answersByModel[model] == 0 {
			starved++
		}
	}
	return starved
}

// RetryOutcomes tells how those ended who came back when they were told to.
func (w *World) RetryOutcomes() string { return fmt.Sprintf("came back: %v", w.clients.retryOutcomes) }

// OutcomeLines gives the tally as text.
func (w *World) OutcomeLines() string {
	var lines []string
	for service, kinds := range w.clients.outcomes {
		for kind, count := range kinds {
			lines = append(lines, fmt.Sprintf("%s %s: %d", service, kind, count))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// Answered counts the whole answers of a service.
func (w *World) Answered(service string) int { return w.clients.outcomes[service]["answered"] }

// WorstGapMs is the longest time without an answer of a service.
func (w *World) WorstGapMs(service string) int64 {
	return max(w.clients.worstGapMs[service], w.events.NowMs()-w.clients.lastAnswerMs[service])
}

package nativesim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/router"
	"myrtlewinch/internal/protocol"
)

// senders ask the services, each at its own rate.
type senders struct {
	// count names what is asked, ids each sending of it.
	count, ids uint64
	// backs tallies how those ended who came back when they were told to.
	backs map[string]int
	// marks are the services of their own that handed over descriptions have.
	marks []string
	rates map[string]float64
	stop  bool
	// Kinds tallies the ends by service and kind.
	kinds map[string]map[string]int
	// lastOkMs and worstGapMs are of the small service: how long it went
	// without any answer.
	lastOkMs   map[string]int64
	worstGapMs map[string]int64
	rare       bool
	// askedFor and servedOf count by model.
	askedFor, servedOf map[string]int
}

func (s *senders) init(w *World) {
	s.kinds, s.rates = map[string]map[string]int{}, map[string]float64{}
	s.backs = map[string]int{}
	s.askedFor, s.servedOf = map[string]int{}, map[string]int{}
	s.lastOkMs, s.worstGapMs = map[string]int64{}, map[string]int64{}
	for _, service := range w.Site.Services {
		s.rates[service.Name] = 2
		if service.Repeatable {
			s.rates[service.Name] = 20
		}
	}
}

// SendAll begins asking every service.
func (w *World) SendAll() {
	for _, service := range w.Site.Services {
		w.senders.lastOkMs[service.Name] = w.events.NowMs()
		w.askSoon(service.Name)
	}
}

// StopSending ends it.
func (w *World) StopSending() { w.senders.stop = true }

func (w *World) askSoon(service string) {
	if w.senders.stop {
		return
	}
	w.events.After(1+int64(w.Random.ExpFloat64()*1000/w.senders.rates[service]), func() {
		if !w.senders.stop {
			w.ask(service)
			w.askSoon(service)
		}
	})
}

// Crowd asks a service many times at once.
func (w *World) Crowd(service string, count int) {
	w.note("a crowd of %d for %s", count, service)
	for range count {
		w.events.After(w.Random.Int63n(200), func() { w.ask(service) })
	}
}

func (w *World) ask(name string) {
	service, _ := w.Site.Service(name)
	model, adapter := "", ""
	if len(service.Models) > 0 {
		spread := w.Random.Float64()
		if !w.senders.rare {
			spread = spread * spread * spread
		}
		model = service.Models[int(spread*float64(len(service.Models)))]
		var adapters []string
		for _, a := range w.Site.Adapters {
			if a.Model == model {
				adapters = append(adapters, a.Name)
			}
		}
		if len(adapters) > 0 && w.Random.Intn(4) == 0 {
			adapter = adapters[w.Random.Intn(len(adapters))]
		}
	}
	w.senders.count++
	if model != "" {
		w.senders.askedFor[model]++
	}
	first := asked{name: fmt.Sprintf("q-%d", w.senders.count), service: name, model: model, adapter: adapter}
	edge, odd := w.some(protocol.Router), w.Random.Intn(50)
	if odd == 0 {
		// An impatient sender sends the same at once through the same router;
		// then neither comes back, since the other may still wait.
		first.again, first.twin = comeBackMost, true
	}
	w.sendTo(edge, first)
	switch odd {
	case 0:
		w.events.After(w.Random.Int63n(100), func() { w.sendTo(edge, first) })
	case 1:
		if service.Repeatable {
			w.events.After(w.Random.Int63n(100), func() { w.sendTo(w.some(protocol.Router), first) })
		}
	}
}

// sendTo brings one sending of a request to a router.
func (w *World) sendTo(edge string, what asked) {
	n := w.nodes[edge]
	w.senders.ids++
	a := &what
	a.id, a.w, a.n = w.senders.ids, w, n
	w.Book.Asked(a.service, a.name)
	w.pass("senders", n.name, func() {
		if !n.up {
			a.end("no stream", false)
			return
		}
		a.life = n.life
		n.under[a.id] = a
		w.put(n, n.life, router.Request{ID: a.id, Service: a.service, Model: a.model, Adapter: a.adapter, Name: a.name, Given: true, Bytes: 100})
		if !a.probe && w.Random.Intn(50) == 0 {
			w.events.After(w.Random.Int63n(3000), a.leave)
		}
	}, func() { a.end("no stream", false) })
}

// comeBackMost is how often a sender comes back with one id.
const comeBackMost = 2

// comeBack is a sender that sends a dropped request again, with its id, when
// it was told to, through any router.
func (a *asked) comeBack(kind string, drop bool) {
	reply := errkind.Kind(kind).Reply()
	if !drop || reply.RetryAfterSec == 0 || a.again >= comeBackMost || a.w.senders.stop {
		return
	}
	next := asked{name: a.name, service: a.service, model: a.model, adapter: a.adapter, again: a.again + 1}
	told := errkind.Answer{Kind: errkind.Kind(kind), RetryMs: a.retryMs}
	a.w.events.After(int64(told.RetryAfterSec())*1000, func() { a.w.sendTo(a.w.some(protocol.Router), next) })
}

// Probe keeps asking every router for the services that only one handed over
// description has, so that it shows which texts take effect.
func (w *World) Probe() {
	for _, name := range w.names(protocol.Router) {
		w.probeSoon(name)
	}
}

const probeMs = 400

func (w *World) probeSoon(edge string) {
	w.events.After(probeMs/2+w.Random.Int63n(probeMs), func() {
		if w.senders.stop {
			return
		}
		if marks := w.senders.marks; len(marks) > 0 {
			w.senders.count++
			w.sendTo(edge, asked{
				name: fmt.Sprintf("probe-%d", w.senders.count), probe: true,
				service: marks[max(0, len(marks)-1-w.Random.Intn(4))],
			})
		}
		w.probeSoon(edge)
	})
}

func (s *senders) ended(w *World, service, kind string) {
	if s.kinds[service] == nil {
		s.kinds[service] = map[string]int{}
	}
	s.kinds[service][kind]++
	if kind == "answered" {
		s.worstGapMs[service] = max(s.worstGapMs[service], w.events.NowMs()-s.lastOkMs[service])
		s.lastOkMs[service] = w.events.NowMs()
	}
}

// Starved counts the models that were asked for often and answered never.
func (w *World) Starved() int {
	starved := 0
	for model, count := range w.senders.askedFor {
		if count >= 5 && w.senders.servedOf[model] == 0 {
			starved++
		}
	}
	return starved
}

// Backs tells how those ended who came back when they were told to.
func (w *World) Backs() string { return fmt.Sprintf("came back: %v", w.senders.backs) }

// Kinds gives the tally as text.
func (w *World) Kinds() string {
	var lines []string
	for service, kinds := range w.senders.kinds {
		for kind, count := range kinds {
			lines = append(lines, fmt.Sprintf("%s %s: %d", service, kind, count))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// Answered counts the whole answers of a service.
func (w *World) Answered(service string) int { return w.senders.kinds[service]["answered"] }

// WorstGapMs is the longest time without an answer of a service.
func (w *World) WorstGapMs(service string) int64 {
	return max(w.senders.worstGapMs[service], w.events.NowMs()-w.senders.lastOkMs[service])
}

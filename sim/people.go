package sim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/control"
	"myrtlewinch/defect"
	"myrtlewinch/traffic"
	"myrtlewinch/wire"
)

// senders ask the services, each at its own rate.
type senders struct {
	count uint64
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
		w.senders.lastOkMs[service.Name] = w.NowMs
		w.askSoon(service.Name)
	}
}

// StopSending ends it.
func (w *World) StopSending() { w.senders.stop = true }

func (w *World) askSoon(service string) {
	if w.senders.stop {
		return
	}
	w.after(1+int64(w.Random.ExpFloat64()*1000/w.senders.rates[service]), func() {
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
		w.after(w.Random.Int63n(200), func() { w.ask(service) })
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
	routers := w.names(wire.Router)
	n := w.nodes[routers[w.Random.Intn(len(routers))]]
	w.senders.count++
	a := &asked{id: w.senders.count, name: fmt.Sprintf("q-%d", w.senders.count), service: name, model: model, w: w, n: n}
	if model != "" {
		w.senders.askedFor[model]++
	}
	w.pass("senders", n.name, func() {
		if !n.up {
			a.end("no stream", false)
			return
		}
		a.life = n.life
		n.under[a.id] = a
		w.put(n, n.life, traffic.Request{Id: a.id, Service: name, Model: model, Adapter: adapter, Name: a.name, Given: true, Bytes: 100})
	}, func() { a.end("no stream", false) })
}

func (s *senders) ended(w *World, service, kind string) {
	if s.kinds[service] == nil {
		s.kinds[service] = map[string]int{}
	}
	s.kinds[service][kind]++
	if kind == "answered" {
		s.worstGapMs[service] = max(s.worstGapMs[service], w.NowMs-s.lastOkMs[service])
		s.lastOkMs[service] = w.NowMs
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
	return max(w.senders.worstGapMs[service], w.NowMs-w.senders.lastOkMs[service])
}

// operator hands descriptions over and takes down what it was told.
type operator struct {
	count    uint64
	asked    map[uint64]*handing
	accepted map[uint64]string
	outcomes map[string]int
	// lastNumber is the newest revision that was told as accepted.
	lastNumber uint64
}

type handing struct {
	text string
	at   string
	then func(body any)
}

const operatorIds = 1 << 40

func (o *operator) init() {
	o.count = operatorIds
	o.asked, o.accepted, o.outcomes = map[uint64]*handing{}, map[uint64]string{}, map[string]int{}
}

func (o *operator) answered(w *World, n *node, answer wire.Answer) {
	h := o.asked[answer.Id]
	delete(o.asked, answer.Id)
	w.pass(n.name, "operator", func() { h.then(answer.Body) }, func() { o.outcomes["no answer"]++ })
}

// Found founds the site with its first three controllers.
func (w *World) Found() {
	names := w.names(wire.Controller)
	w.tell(names[0], "", func(id uint64) any {
		return control.Founding{Id: id, Witnesses: names[:3], Backup: names[1]}
	}, func(body any) {
		w.note("founding: %+v", body)
	})
}

func (w *World) tell(name, text string, input func(id uint64) any, then func(body any)) {
	n := w.nodes[name]
	if n == nil {
		w.note("operator: no primary to be found")
		return
	}
	w.operator.count++
	id := w.operator.count
	w.operator.asked[id] = &handing{text: text, at: name, then: then}
	w.pass("operator", name, func() {
		if n.up {
			w.put(n, n.life, input(id))
		}
	}, nil)
}

// HandOver hands a text over to a controller. What comes of it is noted.
func (w *World) HandOver(name string, base uint64, text string) {
	w.tell(name, text, func(id uint64) any {
		return control.HandOver{Id: id, Base: base, Text: text}
	}, func(body any) {
		switch said := body.(type) {
		case control.Accepted:
			w.note("operator: revision %d accepted", said.Revision)
			w.operator.outcomes["accepted"]++
			w.Book.Accepted(w.NowMs, said.Revision)
			w.operator.accepted[said.Revision] = text
			w.operator.lastNumber = max(w.operator.lastNumber, said.Revision)
		case wire.Refused:
			w.note("operator: %s", said.Kind)
			w.operator.outcomes[string(said.Kind)]++
		}
	})
}

// Primary names a controller that speaks for the site, if there is one.
func (w *World) Primary() string {
	for _, name := range w.names(wire.Controller) {
		if n := w.nodes[name]; n.up && !n.frozen && w.status(n).Active {
			return name
		}
	}
	return ""
}

// status looks at a controller without anything else happening.
func (w *World) status(n *node) control.Status {
	effects := n.machine.Step(n.clock(w.NowMs), control.Look{Id: 1, Page: "status"})
	var status control.Status
	rest := effects.Answers[:0]
	for _, answer := range effects.Answers {
		if s, ok := answer.Body.(control.Status); ok {
			status = s
			continue
		}
		rest = append(rest, answer)
	}
	effects.Answers = rest
	w.perform(n, effects)
	return status
}

// CheckDescriptions compares what is in force with what operators were told.
func (w *World) CheckDescriptions() {
	name := w.Primary()
	if name == "" {
		w.Book.Lost(w.NowMs, "no controller speaks for the site")
		return
	}
	n := w.nodes[name]
	effects := n.machine.Step(n.clock(w.NowMs), control.Look{Id: 1, Page: "description"})
	for _, answer := range effects.Answers {
		said, ok := answer.Body.(control.Described)
		if !ok {
			continue
		}
		sums := map[uint64]string{}
		for _, past := range said.Past {
			sums[past.Number] = past.Sum
		}
		for number, text := range w.operator.accepted {
			if sums[number] != wire.Sum(text) {
				w.Book.Lost(w.NowMs, fmt.Sprintf("revision %d was accepted and is %q now", number, sums[number]))
			}
		}
	}
}

// Refusal tallies what operators were told.
func (w *World) Refusal(kind defect.Kind) int { return w.operator.outcomes[string(kind)] }

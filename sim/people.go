package sim

import (
	"fmt"
	"sort"
	"strings"

	"myrtlewinch/control"
	"myrtlewinch/defect"
	"myrtlewinch/description"
	"myrtlewinch/traffic"
	"myrtlewinch/wire"
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
	edge, odd := w.some(wire.Router), w.Random.Intn(50)
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
			w.events.After(w.Random.Int63n(100), func() { w.sendTo(w.some(wire.Router), first) })
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
		w.put(n, n.life, traffic.Request{ID: a.id, Service: a.service, Model: a.model, Adapter: a.adapter, Name: a.name, Given: true, Bytes: 100})
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
	reply := defect.Kind(kind).Reply()
	if !drop || reply.RetryAfterSec == 0 || a.again >= comeBackMost || a.w.senders.stop {
		return
	}
	next := asked{name: a.name, service: a.service, model: a.model, adapter: a.adapter, again: a.again + 1}
	told := defect.Answer{Kind: defect.Kind(kind), RetryMs: a.retryMs}
	a.w.events.After(int64(told.RetryAfterSec())*1000, func() { a.w.sendTo(a.w.some(wire.Router), next) })
}

// Probe keeps asking every router for the services that only one handed over
// description has, so that it shows which texts take effect.
func (w *World) Probe() {
	for _, name := range w.names(wire.Router) {
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

// operator hands descriptions over and takes down what it was told.
type operator struct {
	count    uint64
	asked    map[uint64]*handing
	accepted map[uint64]string
	// texts are the whole ones that were handed over, by mark.
	texts    map[string]string
	outcomes map[string]int
	// founding is how the last founding ended.
	founding any
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
	o.asked, o.accepted, o.outcomes, o.texts = map[uint64]*handing{}, map[uint64]string{}, map[string]int{}, map[string]string{}
}

func (o *operator) answered(w *World, n *node, answer wire.Answer) {
	h := o.asked[answer.Id]
	delete(o.asked, answer.Id)
	w.pass(n.name, "operator", func() { h.then(answer.Body) }, func() { o.outcomes["no answer"]++ })
}

// Found founds the site with its first three controllers.
func (w *World) Found() { w.foundWith(w.names(wire.Controller)[1]) }

// foundWith founds it with a backup; told is how the last founding ended.
func (w *World) foundWith(backup string) {
	names := w.names(wire.Controller)
	w.tell(names[0], "", func(id uint64) any {
		return control.Founding{Id: id, Witnesses: names[:3], Backup: backup}
	}, func(body any) {
		w.note("founding: %+v", body)
		w.operator.founding = body
	})
}

// Recover goes on from a daemon's copy with live controllers, as an operator
// does after having been shown what that would be.
func (w *World) Recover(name string, witnesses []string, backup string) {
	said := w.status(w.nodes[name])
	w.operator.founding = nil
	w.tell(name, "", func(id uint64) any {
		return control.Founding{
			Id: id, Witnesses: witnesses, Backup: backup, Recover: true,
			Change: said.Position.Number, Revision: said.Revision,
		}
	}, func(body any) {
		w.note("recovery: %+v", body)
		w.operator.founding = body
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
func (w *World) HandOver(name string, base uint64, text string) { w.handOver(name, base, text, false) }

// HandOverPart hands a change of named parts over.
func (w *World) HandOverPart(name string, base uint64, text string) {
	w.handOver(name, base, text, true)
}

func (w *World) handOver(name string, base uint64, text string, part bool) {
	mark := markOf(text)
	if !part {
		w.operator.texts[mark] = text
	}
	if mark != "" {
		w.Book.Handed(mark)
		w.senders.marks = append(w.senders.marks, mark)
	}
	w.tell(name, text, func(id uint64) any {
		return control.HandOver{Id: id, Base: base, Text: text, Part: part}
	}, func(body any) {
		if w.Breaks.LieToOperator {
			body = w.opposite(body)
		}
		switch said := body.(type) {
		case control.Accepted:
			w.note("operator: revision %d accepted, %s", said.Revision, mark)
			w.operator.outcomes["accepted"]++
			w.Book.Accepted(w.events.NowMs(), said.Revision)
			w.Book.InForce(w.events.NowMs(), mark, said.Revision)
			w.allow(text, part)
			if !part {
				w.operator.accepted[said.Revision] = text
			}
			w.operator.lastNumber = max(w.operator.lastNumber, said.Revision)
		case wire.Dropped:
			w.note("operator: %s, %s", said.Kind, mark)
			w.operator.outcomes[string(said.Kind)]++
			if said.Kind.Reply().Drop {
				w.Book.NoEffect(w.events.NowMs(), mark)
			}
		}
	})
}

// allow tells the rules what an accepted text allows.
func (w *World) allow(text string, part bool) {
	if part {
		return
	}
	if d, faults := description.Read([]byte(text), w.Site.Site); len(faults) == 0 && d.Store.LoadsPer10s != w.Site.Store.LoadsPer10s {
		rooms := map[string]int64{}
		for _, r := range d.Runners {
			rooms[r.Name] = r.Room
		}
		w.Book.Allow(w.events.NowMs(), d.Store.LoadsPer10s, rooms)
	}
}

// opposite is the wrong answer to a handing over.
func (w *World) opposite(body any) any {
	switch body.(type) {
	case control.Accepted:
		return wire.Dropped{Kind: defect.NotTaken}
	case wire.Dropped:
		return control.Accepted{Revision: 2}
	}
	return body
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
	effects := n.machine.Step(n.clock(w.events.NowMs()), control.Look{Id: 1, Page: "status"})
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
		w.Book.Lost(w.events.NowMs(), "no controller speaks for the site")
		return
	}
	n := w.nodes[name]
	effects := n.machine.Step(n.clock(w.events.NowMs()), control.Look{Id: 1, Page: "description"})
	for _, answer := range effects.Answers {
		said, ok := answer.Body.(control.Described)
		if !ok {
			continue
		}
		sums := map[uint64]string{}
		for _, past := range said.Past {
			sums[past.Number] = past.Sum
		}
		w.checkMarks(said, sums)
		for number, text := range w.operator.accepted {
			if sums[number] != wire.Sum(text) {
				w.Book.Lost(w.events.NowMs(), fmt.Sprintf("revision %d was accepted and is %q now", number, sums[number]))
			}
		}
	}
}

// checkMarks looks whether what was once in effect, or accepted, is still a
// part of the history, and whether the newest is in force.
func (w *World) checkMarks(said control.Described, sums map[uint64]string) {
	for mark, seen := range w.Book.Marks() {
		number := seen.Revision
		if number == 0 || len(said.Past) == 0 || number < said.Past[0].Number {
			continue
		}
		if text, whole := w.operator.texts[mark]; whole && sums[number] != wire.Sum(text) {
			w.Book.Lost(w.events.NowMs(), fmt.Sprintf("%s was in effect as revision %d, which is %q now", mark, number, sums[number]))
		}
		if number == said.Revision.Number && markOf(said.Revision.Text) != mark {
			w.Book.Lost(w.events.NowMs(), fmt.Sprintf("%s was in effect as revision %d, which is another text now", mark, number))
		}
	}
	if last := w.operator.lastNumber; said.Revision.Number < last {
		w.Book.Lost(w.events.NowMs(), fmt.Sprintf("revision %d was accepted and %d is in force", last, said.Revision.Number))
	}
}

// Drops tallies what operators were told.
func (w *World) Drops(kind defect.Kind) int { return w.operator.outcomes[string(kind)] }

package faultsim

import (
	"fmt"
	"slices"
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// Breach is a rule that was broken.
type Breach struct {
	Rule string
	AtMs int64
	What string
}

func (b Breach) String() string { return fmt.Sprintf("%s at %d ms: %s", b.Rule, b.AtMs, b.What) }

// Book takes down what clients, runners and operators saw, and checks it.
type Book struct {
	w        *World
	breaches []Breach
	// By try: runs, refusals, and whether a runner was reached.
	runs    map[string]int
	denied  map[string]errkind.Kind
	reached map[string]bool
	// By service: arrivals, and when requests for it were sent.
	arrivals map[string][]arrival
	wants    map[string][]int64
	// listed says when the list first showed that a runner is leaving.
	listed map[string]int64
	// seen are, by life of a router, the versions that took effect; shown are
	// those of any router.
	seen     map[string][]effect
	shown    map[uint64]int64
	accepted map[uint64]int64
	// builds says which accepted version was built on a version.
	builds     map[uint64]uint64
	ineffect   map[uint64]string
	lastOrders map[string]order
	holders    map[uint64]string
	loads      []int64
	looks      map[string]map[uint64]int
	sends      map[string]map[string]bool
	Ran        int
}

type arrival struct {
	atMs    int64
	further bool
}

type effect struct {
	version uint64
	atMs    int64
}

type order struct {
	atMs   int64
	holder string
	fence  uint64
}

func newBook(w *World) *Book {
	return &Book{
		w: w, runs: map[string]int{}, denied: map[string]errkind.Kind{}, reached: map[string]bool{}, arrivals: map[string][]arrival{},
		wants: map[string][]int64{}, listed: map[string]int64{}, seen: map[string][]effect{}, shown: map[uint64]int64{},
		accepted: map[uint64]int64{}, builds: map[uint64]uint64{}, ineffect: map[uint64]string{}, lastOrders: map[string]order{},
		holders: map[uint64]string{}, looks: map[string]map[uint64]int{}, sends: map[string]map[string]bool{},
	}
}

func (b *Book) breach(rule string, atMs int64, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	b.breaches = append(b.breaches, Breach{rule, atMs, what})
	b.w.note("BREACH of %s: %s", rule, what)
}

func life(n *node) string { return fmt.Sprintf("%s/%d", n.name, n.life) }

// asked notes that a client sent a request, and for which services.
func (b *Book) asked(r *request) {
	services := []string{plain}
	switch {
	case r.streams():
		services = []string{llm}
	case r.path[1] == 'm' || r.path[1] == 'o':
		services = []string{plain, other}
	}
	for _, service := range services {
		b.wants[service] = append(b.wants[service], b.w.NowMs())
	}
}

// sent notes that a router wrote a request.
func (b *Book) sent(p *passage, s proxy.Send) {
	if b.sends[life(p.n)] == nil {
		b.sends[life(p.n)] = map[string]bool{}
	}
	b.sends[life(p.n)][p.c.try] = true
}

// arrived notes that a request reached a runner, run or not.
func (b *Book) arrived(p *passage, s proxy.Send, r *runner) {
	w := b.w
	further := b.reached[p.c.try]
	b.reached[p.c.try] = true
	b.arrivals[r.entry.Service] = append(b.arrivals[r.entry.Service], arrival{w.NowMs(), further})
	shownMs, leaving := b.listed[r.entry.ID]
	if leaving && r.entry.ID == s.Go.Runner {
		fromMs := max(shownMs, w.touch.fromMs(p.n.name), w.touch.linksMs+w.Bounds.InTouchMs)
		if w.NowMs()-fromMs > w.Bounds.DrainMs {
			b.breach("DRAIN", w.NowMs(), "%s reached %s %d ms after it was listed as leaving", p.c.try, r.entry.ID, w.NowMs()-fromMs)
		}
	}
}

// listedLeaving notes that the list showed a runner as leaving.
func (b *Book) listedLeaving(id string) {
	if _, known := b.listed[id]; !known {
		b.listed[id] = b.w.NowMs()
	}
}

// started notes that a runner began to run a request.
func (b *Book) started(p *passage, s proxy.Send, r *runner) {
	w, try := b.w, p.c.try
	b.Ran++
	b.runs[try]++
	if b.runs[try] > 1 && !s.Route.Repeatable() {
		b.breach("TWICE", w.NowMs(), "%s (%s) runs again, on %s", try, s.Route.Name, r.entry.ID)
	}
	if kind, refused := b.denied[try]; refused && !s.Route.Repeatable() {
		b.breach("REFUSED", w.NowMs(), "%s runs on %s after it was refused as %q", try, r.entry.ID, kind)
	}
	if s.Route.Split[0].Service != r.entry.Service {
		b.breach("ROUTE", w.NowMs(), "%s of route %s runs at %s", try, s.Route.Name, r.entry.Service)
	}
	if version := versionOf(s.Route.Name); version > 0 {
		b.follows(p, version)
	}
}

// follows judges the version by which a router handled a request.
func (b *Book) follows(p *passage, version uint64) {
	w, sentMs, name := b.w, p.c.sentMs, p.n.name
	if _, known := b.shown[version]; !known {
		b.shown[version] = w.NowMs()
	}
	if why, not := b.ineffect[version]; not {
		b.breach("CONFIG", w.NowMs(), "%s follows version %d, which was answered with %q", name, version, why)
	}
	for newer, ackMs := range b.accepted {
		if newer <= version {
			continue
		}
		lateMs := sentMs - ackMs
		inTouch := lateMs > w.Bounds.ApplyByMs && w.touch.in(name, sentMs)
		outer := lateMs > w.Bounds.ApplyByMs+w.Bounds.StretchMs && w.touch.calm(name, sentMs) && w.touch.heartMs < ackMs
		if inTouch || outer {
			b.breach("CONFIG", w.NowMs(), "%s handles %s, sent %d ms after %d was accepted, by version %d", name, p.c.try, lateMs, newer, version)
		}
	}
	at := life(p.n)
	known := false
	for _, e := range b.seen[at] {
		known = known || e.version == version
		if version < e.version && sentMs > e.atMs+w.Bounds.GoBackMs {
			b.breach("CONFIG", w.NowMs(), "%s goes back to version %d after %d", at, version, e.version)
		}
	}
	if !known {
		b.seen[at] = append(b.seen[at], effect{version, w.NowMs()})
	}
}

// refused notes an answer of a router's own.
func (b *Book) refused(r *request, kind errkind.Kind) {
	w := b.w
	if kind.Reply().Drop {
		b.denied[r.try] = kind
		if b.runs[r.try] > 0 && (r.path == "/unsafe/x" || r.path == "/once/x") {
			b.breach("REFUSED", w.NowMs(), "%s (%s) has run and was refused as %q", r.try, r.path, kind)
		}
	}
	if kind != errkind.UnknownPage && kind != errkind.UnknownModel && kind != errkind.UnknownAdapter {
		return
	}
	if r.path[1] != 'o' || r.streams() {
		b.breach("DENIED", w.NowMs(), "%s (%s) is answered with %q", r.try, r.path, kind)
		return
	}
	// A route of one version alone may be gone with the next.
	for version, ackMs := range b.accepted {
		if r.path == fmt.Sprintf("/only-%d/x", version) && version == w.operators.handed &&
			r.sentMs > ackMs+w.Bounds.ApplyByMs && w.touch.in(r.router, r.sentMs) {
			b.breach("CONFIG", w.NowMs(), "%s refuses the route of version %d, %d ms after it was accepted", r.router, version, r.sentMs-ackMs)
		}
	}
}

// taken notes that an operator was told yes.
func (b *Book) taken(version, builtOn uint64) {
	if _, again := b.accepted[version]; again {
		return
	}
	b.accepted[version] = b.w.NowMs()
	if why, not := b.ineffect[version]; not {
		b.breach("CONFIG", b.w.NowMs(), "version %d is accepted after it was answered with %q", version, why)
	}
	if rival, both := b.builds[builtOn]; both {
		b.breach("CONFIG", b.w.NowMs(), "versions %d and %d on top of %d are both accepted", rival, version, builtOn)
	}
	b.builds[builtOn] = version
}

// notTaken notes that an operator was told that an order has no effect.
func (b *Book) notTaken(version uint64, why string) {
	b.ineffect[version] = why
	if _, accepted := b.accepted[version]; accepted {
		b.breach("CONFIG", b.w.NowMs(), "version %d was accepted and is then answered with %q", version, why)
	}
	if atMs, shown := b.shown[version]; shown {
		b.breach("CONFIG", b.w.NowMs(), "version %d is answered with %q and was in force at %d ms", version, why, atMs)
	}
}

// order notes an order as a runner got it.
func (b *Book) order(sender, runner, holder string, fence uint64) {
	w := b.w
	if w.NowMs()-w.healedMs <= w.Bounds.ThawMs {
		return
	}
	if thawedMs, thawed := w.thawedMs[sender]; thawed && w.NowMs()-thawedMs <= w.Bounds.ThawMs {
		return
	}
	if known, used := b.holders[fence]; used && known != holder {
		b.breach("ONE", w.NowMs(), "%s and %s order under fence %d", known, holder, fence)
	}
	b.holders[fence] = holder
	last, any := b.lastOrders[runner]
	if any && last.holder != holder && w.NowMs()-last.atMs < w.Bounds.LeaseMs {
		b.breach("ONE", w.NowMs(), "%s orders %s %d ms after %s", holder, runner, w.NowMs()-last.atMs, last.holder)
	}
	if any && fence < last.fence && !w.Bounds.Fenced {
		b.breach("ONE", w.NowMs(), "%s takes fence %d of %s after %d", runner, fence, holder, last.fence)
	}
	b.lastOrders[runner] = order{w.NowMs(), holder, max(fence, last.fence)}
}

// room says whether a runner is told to hold more than it can.
func (b *Book) room(runner, what string, mb float64, places int) bool {
	if mb <= roomMb && places <= adapterRoom {
		return false
	}
	b.breach("LIMIT", b.w.NowMs(), "%s is told to hold %.0f MB and %d adapters with %s", runner, mb, places, what)
	return true
}

// load notes that a load from the weight store began.
func (b *Book) load(runner, what string) {
	w := b.w
	if !w.touch.settled(w.NowMs()) || w.NowMs()-w.touch.linksMs < w.Bounds.InTouchMs {
		return
	}
	b.loads = append(b.loads, w.NowMs())
	within := 0
	for _, atMs := range b.loads {
		if atMs > w.NowMs()-w.Bounds.OriginWindowMs {
			within++
		}
	}
	if most := w.storePace()*float64(w.Bounds.OriginWindowMs)/1000*w.Bounds.OriginOver + 3; float64(within) > most {
		b.breach("CEILING", w.NowMs(), "%d loads within the window, %s at %s the last", within, what, runner)
	}
}

// lookUp notes that a router asked for a request.
func (b *Book) lookUp(n *node, l protocol.IndexLookUp) {
	at := life(n)
	if b.looks[at] == nil {
		b.looks[at] = map[uint64]int{}
	}
	b.looks[at][l.ID]++
	// One that waits for a holder may be asked for at another controller.
	if count := b.looks[at][l.ID]; count > 2 || count > 1 && !l.Waits {
		b.breach("LOOKUP", b.w.NowMs(), "%s asks %d times for its request %d", at, count, l.ID)
	}
}

// Breaches checks what only the whole shows, and lists all in order of time.
func (b *Book) Breaches() []Breach {
	out := slices.Clone(b.breaches)
	for _, service := range []string{plain, other, llm} {
		if breach, broken := b.budget(service); broken {
			out = append(out, breach)
		}
	}
	for at, sends := range b.sends {
		if len(b.looks[at]) < len(sends) {
			out = append(out, Breach{"LOOKUP", b.w.NowMs(), fmt.Sprintf("%s asked for %d requests and sent %d on", at, len(b.looks[at]), len(sends))})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out
}

// budget slides the window over the arrivals at a service.
func (b *Book) budget(service string) (Breach, bool) {
	bounds := b.w.Bounds
	wants := b.wants[service]
	count := func(fromMs, toMs int64) int {
		return sort.Search(len(wants), func(i int) bool { return wants[i] > toMs }) - sort.Search(len(wants), func(i int) bool { return wants[i] > fromMs })
	}
	var further []int64
	for _, a := range b.arrivals[service] {
		if !a.further {
			continue
		}
		further = append(further, a.atMs)
		for a.atMs-further[0] >= bounds.RetryWindowMs {
			further = further[1:]
		}
		windowMs := bounds.RetryWindowMs
		asked := max(count(a.atMs-windowMs, a.atMs), count(a.atMs-2*windowMs, a.atMs-windowMs), count(a.atMs-windowMs*3/2, a.atMs-windowMs/2))
		if float64(len(further)) > bounds.RetryRatio*float64(asked)+float64(bounds.ExtraTries) {
			return Breach{"BUDGET", a.atMs, fmt.Sprintf("%s: %d further arrivals for %d requests", service, len(further), asked)}, true
		}
	}
	return Breach{}, false
}

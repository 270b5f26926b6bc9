package faultsim

import (
	"fmt"
	"slices"
	"sort"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    string
	AtMs    int64
	Message string
}

func (b Violation) String() string { return fmt.Sprintf("%s at %d ms: %s", b.Rule, b.AtMs, b.Message) }

// Checker takes down what clients, runners and operators saw, and checks it.
type Checker struct {
	sim        *Simulation
	violations []Violation
	// By try: runs, refusals, and whether a runner was reached.
	runs          map[string]int
	rejected      map[string]errkind.Kind
	reachedRunner map[string]bool
	// By service: arrivals, and when requests for it were sent.
	arrivals   map[string][]arrival
	requestsMs map[string][]int64
	// listedDrainingMs says when the list first showed that a runner is leaving.
	listedDrainingMs map[string]int64
	// configsByRouter are, by life of a router, the versions that took effect; shown are
	// those of any router.
	configsByRouter map[string][]configUse
	firstUsedMs     map[uint64]int64
	acceptedMs      map[uint64]int64
	// successorOf says which accepted version was built on a version.
	successorOf   map[uint64]uint64
	refusedReason map[uint64]string
	lastOrders    map[string]order
	fenceHolder   map[uint64]string
	loadsMs       []int64
	lookUps       map[string]map[uint64]int
	sent          map[string]map[string]bool
	Runs          int
}

type arrival struct {
	atMs    int64
	isRetry bool
}

type configUse struct {
	version uint64
	atMs    int64
}

type order struct {
	atMs   int64
	holder string
	fence  uint64
}

func newChecker(sim *Simulation) *Checker {
	return &Checker{
		sim: sim, runs: map[string]int{}, rejected: map[string]errkind.Kind{}, reachedRunner: map[string]bool{}, arrivals: map[string][]arrival{},
		requestsMs: map[string][]int64{}, listedDrainingMs: map[string]int64{}, configsByRouter: map[string][]configUse{}, firstUsedMs: map[uint64]int64{},
		acceptedMs: map[uint64]int64{}, successorOf: map[uint64]uint64{}, refusedReason: map[uint64]string{}, lastOrders: map[string]order{},
		fenceHolder: map[uint64]string{}, lookUps: map[string]map[uint64]int{}, sent: map[string]map[string]bool{},
	}
}

func (b *Checker) report(rule string, atMs int64, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	b.violations = append(b.violations, Violation{rule, atMs, what})
	b.sim.logf("BREACH of %s: %s", rule, what)
}

func incarnationName(n *node) string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

// recordRequest notes that a client sent a request, and for which services.
func (b *Checker) recordRequest(r *clientRequest) {
	services := []string{plainService}
	switch {
	case r.isStream():
		services = []string{modelService}
	case r.path[1] == 'm' || r.path[1] == 'o':
		services = []string{plainService, otherService}
	}
	for _, service := range services {
		b.requestsMs[service] = append(b.requestsMs[service], b.sim.NowMs())
	}
}

// recordSend notes that a router wrote a request.
func (b *Checker) recordSend(p *proxiedRequest, s proxy.StartAttempt) {
	if b.sent[incarnationName(p.router)] == nil {
		b.sent[incarnationName(p.router)] = map[string]bool{}
	}
	b.sent[incarnationName(p.router)][p.client.id] = true
}

// recordArrival notes that a request reached a runner, run or not.
func (b *Checker) recordArrival(p *proxiedRequest, s proxy.StartAttempt, r *runner) {
	sim := b.sim
	further := b.reachedRunner[p.client.id]
	b.reachedRunner[p.client.id] = true
	b.arrivals[r.entry.Service] = append(b.arrivals[r.entry.Service], arrival{sim.NowMs(), further})
	shownMs, leaving := b.listedDrainingMs[r.entry.ID]
	if leaving && r.entry.ID == s.Params.Runner {
		fromMs := max(shownMs, sim.connectivity.connectedFromMs(p.router.name), sim.connectivity.linkFaultMs+sim.Bounds.InTouchMs)
		if sim.NowMs()-fromMs > sim.Bounds.DrainMs {
			b.report("DRAIN", sim.NowMs(), "%s reached %s %d ms after it was listed as leaving", p.client.id, r.entry.ID, sim.NowMs()-fromMs)
		}
	}
}

// recordListedDraining notes that the list showed a runner as leaving.
func (b *Checker) recordListedDraining(id string) {
	if _, known := b.listedDrainingMs[id]; !known {
		b.listedDrainingMs[id] = b.sim.NowMs()
	}
}

// recordStart notes that a runner began to run a request.
func (b *Checker) recordStart(p *proxiedRequest, s proxy.StartAttempt, r *runner) {
	sim, try := b.sim, p.client.id
	b.Runs++
	b.runs[try]++
	if b.runs[try] > 1 && !s.Route.Retryable() {
		b.report("TWICE", sim.NowMs(), "%s (%s) runs again, on %s", try, s.Route.Name, r.entry.ID)
	}
	if kind, refused := b.rejected[try]; refused && !s.Route.Retryable() {
		b.report("REFUSED", sim.NowMs(), "%s runs on %s after it was refused as %q", try, r.entry.ID, kind)
	}
	if s.Route.Split[0].Service != r.entry.Service {
		b.report("ROUTE", sim.NowMs(), "%s of route %s runs at %s", try, s.Route.Name, r.entry.Service)
	}
	if version := versionOf(s.Route.Name); version > 0 {
		b.checkConfigVersion(p, version)
	}
}

// checkConfigVersion judges the version by which a router handled a request.
func (b *Checker) checkConfigVersion(p *proxiedRequest, version uint64) {
	sim, sentMs, name := b.sim, p.client.sentMs, p.router.name
	if _, known := b.firstUsedMs[version]; !known {
		b.firstUsedMs[version] = sim.NowMs()
	}
	if why, not := b.refusedReason[version]; not {
		b.report("CONFIG", sim.NowMs(), "%s follows version %d, which was answered with %q", name, version, why)
	}
	for newer, ackMs := range b.acceptedMs {
		if newer <= version {
			continue
		}
		lateMs := sentMs - ackMs
		inTouch := lateMs > sim.Bounds.ApplyByMs && sim.connectivity.isConnectedSince(name, sentMs)
		outer := lateMs > sim.Bounds.ApplyByMs+sim.Bounds.StretchMs && sim.connectivity.isUndisturbedSince(name, sentMs) && sim.connectivity.noMajorityMs < ackMs
		if inTouch || outer {
			b.report("CONFIG", sim.NowMs(), "%s handles %s, sent %d ms after %d was accepted, by version %d", name, p.client.id, lateMs, newer, version)
		}
	}
	at := incarnationName(p.router)
	known := false
	for _, e := range b.configsByRouter[at] {
		known = known || e.version == version
		if version < e.version && sentMs > e.atMs+sim.Bounds.GoBackMs {
			b.report("CONFIG", sim.NowMs(), "%s goes back to version %d after %d", at, version, e.version)
		}
	}
	if !known {
		b.configsByRouter[at] = append(b.configsByRouter[at], configUse{version, sim.NowMs()})
	}
}

// recordRejection notes an answer of a router's own.
func (b *Checker) recordRejection(r *clientRequest, kind errkind.Kind) {
	sim := b.sim
	if kind.Response().NotExecuted {
		b.rejected[r.id] = kind
		if b.runs[r.id] > 0 && (r.path == "/unsafe/x" || r.path == "/once/x") {
			b.report("REFUSED", sim.NowMs(), "%s (%s) has run and was refused as %q", r.id, r.path, kind)
		}
	}
	if kind != errkind.UnknownPage && kind != errkind.UnknownModel && kind != errkind.UnknownAdapter {
		return
	}
	if r.path[1] != 'o' || r.isStream() {
		b.report("DENIED", sim.NowMs(), "%s (%s) is answered with %q", r.id, r.path, kind)
		return
	}
	// A route of one version alone may be gone with the next.
	for version, ackMs := range b.acceptedMs {
		if r.path == fmt.Sprintf("/only-%d/x", version) && version == sim.operators.submittedVersion &&
			r.sentMs > ackMs+sim.Bounds.ApplyByMs && sim.connectivity.isConnectedSince(r.router, r.sentMs) {
			b.report("CONFIG", sim.NowMs(), "%s refuses the route of version %d, %d ms after it was accepted", r.router, version, r.sentMs-ackMs)
		}
	}
}

// recordAccepted notes that an operator was told yes.
func (b *Checker) recordAccepted(version, builtOn uint64) {
	if _, again := b.acceptedMs[version]; again {
		return
	}
	b.acceptedMs[version] = b.sim.NowMs()
	if why, not := b.refusedReason[version]; not {
		b.report("CONFIG", b.sim.NowMs(), "version %d is accepted after it was answered with %q", version, why)
	}
	if rival, both := b.successorOf[builtOn]; both {
		b.report("CONFIG", b.sim.NowMs(), "versions %d and %d on top of %d are both accepted", rival, version, builtOn)
	}
	b.successorOf[builtOn] = version
}

// recordRefused notes that an operator was told that an order has no effect.
func (b *Checker) recordRefused(version uint64, why string) {
	b.refusedReason[version] = why
	if _, accepted := b.acceptedMs[version]; accepted {
		b.report("CONFIG", b.sim.NowMs(), "version %d was accepted and is then answered with %q", version, why)
	}
	if atMs, shown := b.firstUsedMs[version]; shown {
		b.report("CONFIG", b.sim.NowMs(), "version %d is answered with %q and was in force at %d ms", version, why, atMs)
	}
}

// recordOrder notes an order as a runner got it.
func (b *Checker) recordOrder(sender, runner, holder string, fence uint64) {
	sim := b.sim
	if sim.NowMs()-sim.healedAtMs <= sim.Bounds.ThawMs {
		return
	}
	if thawedMs, thawed := sim.thawedAtMs[sender]; thawed && sim.NowMs()-thawedMs <= sim.Bounds.ThawMs {
		return
	}
	if known, used := b.fenceHolder[fence]; used && known != holder {
		b.report("ONE", sim.NowMs(), "%s and %s order under fence %d", known, holder, fence)
	}
	b.fenceHolder[fence] = holder
	last, any := b.lastOrders[runner]
	if any && last.holder != holder && sim.NowMs()-last.atMs < sim.Bounds.LeaseMs {
		b.report("ONE", sim.NowMs(), "%s orders %s %d ms after %s", holder, runner, sim.NowMs()-last.atMs, last.holder)
	}
	if any && fence < last.fence && !sim.Bounds.Fenced {
		b.report("ONE", sim.NowMs(), "%s takes fence %d of %s after %d", runner, fence, holder, last.fence)
	}
	b.lastOrders[runner] = order{sim.NowMs(), holder, max(fence, last.fence)}
}

// exceedsCapacity says whether a runner is told to hold more than it can.
func (b *Checker) exceedsCapacity(runner, what string, mb float64, places int) bool {
	if mb <= capacityMb && places <= adapterCapacity {
		return false
	}
	b.report("LIMIT", b.sim.NowMs(), "%s is told to hold %.0f MB and %d adapters with %s", runner, mb, places, what)
	return true
}

// recordLoad notes that a load from the weight store began.
func (b *Checker) recordLoad(runner, what string) {
	sim := b.sim
	if !sim.connectivity.isCoreStableSince(sim.NowMs()) || sim.NowMs()-sim.connectivity.linkFaultMs < sim.Bounds.InTouchMs {
		return
	}
	b.loadsMs = append(b.loadsMs, sim.NowMs())
	within := 0
	for _, atMs := range b.loadsMs {
		if atMs > sim.NowMs()-sim.Bounds.OriginWindowMs {
			within++
		}
	}
	if most := sim.storeLoadsPerSec()*float64(sim.Bounds.OriginWindowMs)/1000*sim.Bounds.OriginOver + 3; float64(within) > most {
		b.report("CEILING", sim.NowMs(), "%d loads within the window, %s at %s the last", within, what, runner)
	}
}

// recordLookUp notes that a router asked for a request.
func (b *Checker) recordLookUp(n *node, l protocol.IndexLookUp) {
	at := incarnationName(n)
	if b.lookUps[at] == nil {
		b.lookUps[at] = map[uint64]int{}
	}
	b.lookUps[at][l.ID]++
	// One that waits for a holder may be asked for at another controller.
	if count := b.lookUps[at][l.ID]; count > 2 || count > 1 && !l.Waits {
		b.report("LOOKUP", b.sim.NowMs(), "%s asks %d times for its request %d", at, count, l.ID)
	}
}

// Violations checks what only the whole shows, and lists all in order of time.
func (b *Checker) Violations() []Violation {
	out := slices.Clone(b.violations)
	for _, service := range []string{plainService, otherService, modelService} {
		if breach, broken := b.checkBudget(service); broken {
			out = append(out, breach)
		}
	}
	for at, sends := range b.sent {
		if len(b.lookUps[at]) < len(sends) {
			out = append(out, Violation{"LOOKUP", b.sim.NowMs(), fmt.Sprintf("%s asked for %d requests and sent %d on", at, len(b.lookUps[at]), len(sends))})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out
}

// checkBudget slides the window over the arrivals at a service.
func (b *Checker) checkBudget(service string) (Violation, bool) {
	bounds := b.sim.Bounds
	wants := b.requestsMs[service]
	count := func(fromMs, toMs int64) int {
		return sort.Search(len(wants), func(i int) bool { return wants[i] > toMs }) - sort.Search(len(wants), func(i int) bool { return wants[i] > fromMs })
	}
	var further []int64
	for _, a := range b.arrivals[service] {
		if !a.isRetry {
			continue
		}
		further = append(further, a.atMs)
		for a.atMs-further[0] >= bounds.RetryWindowMs {
			further = further[1:]
		}
		windowMs := bounds.RetryWindowMs
		asked := max(count(a.atMs-windowMs, a.atMs), count(a.atMs-2*windowMs, a.atMs-windowMs), count(a.atMs-windowMs*3/2, a.atMs-windowMs/2))
		if float64(len(further)) > bounds.RetryRatio*float64(asked)+float64(bounds.ExtraTries) {
			return Violation{"BUDGET", a.atMs, fmt.Sprintf("%s: %d further arrivals for %d requests", service, len(further), asked)}, true
		}
	}
	return Violation{}, false
}

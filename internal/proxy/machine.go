// Package proxy is the data plane of the users' platform: a router takes
// clients' requests by host and path, looks up once which runners can serve
// each of them, chooses a runner and forwards the response, event by event if
// it is a stream.
//
// Machine holds all decisions and all state; Server performs them over HTTP.
// The concerns, one file each: config updates and the search for the primary
// (controlplane.go), the platform's list of runners while there is no primary
// (runnerlist.go), index look-ups (lookup.go) and their cache (cache.go), the
// life of a request (request.go), which runners can take it (candidates.go),
// their load and health (runnerstate.go, runnerreports.go, prefill.go), the
// choice among them (balancer.go), the queue (queue.go) and how long a request
// waits in it (rejection.go), attempts and their outcomes (attempt.go), the
// retry budget (retrybudget.go); and on the HTTP side clients' connections
// (clientconn.go), request bodies (server.go), one attempt (exchange.go),
// unreachable runners (attempttracker.go), complete responses (response.go)
// and streams (stream.go, eventsplitter.go). Platforms plug in their headers
// with a Codec (codec.go).
package proxy

import (
	"fmt"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/dataplane"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/protocol"
)

const (
	// stallMs is the time between two steps from which on the process is taken
	// to have stood still, for example in a suspended virtual machine.
	stallMs = 1000
	// stallGuardMs is how long after a stall requests wait for the primary
	// before they are dispatched by what was known before the stall.
	stallGuardMs = 400
	// sweepEachMs is the time between two removals of expired state.
	sweepEachMs = 10_000
	// latencyWeight is the part of a new measurement in a route's latency.
	latencyWeight = 1.0 / 16
	// Routes and models that a new configuration no longer has are removed from the
	// latency estimates once these have more entries than
	// latencyEntriesPerRoute for each route and extraLatencyEntries.
	latencyEntriesPerRoute = 4
	extraLatencyEntries    = 64
)

// Settings is the configuration of a router, fixed at its start.
type Settings struct {
	// Site is the site's name. Messages of other sites are ignored.
	Site string
	// Self is this router as its peers know it.
	Self protocol.Node
	// Seeds are the addresses at which the control plane is searched for until
	// SetSeeds replaces them.
	Seeds []string
	// Bounds are the limits that the platform sets for the whole site.
	Bounds bounds.Bounds
	// ListAddress is where the platform lists its runners. If it is empty, the
	// router never reads the list itself.
	ListAddress string
	// MemoryMb and OpenFiles limit the requests and bodies that are held at
	// the same time; 0 sets no limit of that kind.
	MemoryMb, OpenFiles int
}

// Format parses configurations.
type Format interface {
	// Parse returns the configuration, or a description of every fault in the text.
	Parse(text []byte) (*config.Configuration, []string)
}

// Machine is the state machine of one router. It takes inputs through Step and
// returns effects; it has no clock, connection or goroutine of its own. All of it
// but Configuration belongs to the goroutine that calls Step.
type Machine struct {
	// Counters counts what the router did since its start.
	Counters Counters

	settings   Settings
	format     Format
	nowMs      int64
	lastStepMs int64
	// outbox collects the effects of the current step.
	outbox dataplane.Outbox
	// detector knows the daemons of the site and which of them are alive.
	detector *failuredetector.Detector

	controlPlane
	ownListing

	shutdown shutdownState
	// drainingRunners are the runners that are shutting down, with the time of
	// the last report of it.
	drainingRunners map[string]int64
	lastSweepMs     int64

	cache   cache
	runners map[string]*runnerState
	// requests are all requests under way; queue are those without an attempt
	// under way, in order of arrival in the queue.
	requests map[uint64]*request
	queue    []*request
	// slotWaiters counts, by service, the queued requests whose runners are
	// all full; completionRates is how fast its attempts end here.
	slotWaiters     map[string]int
	completionRates map[string]*completionRate
	retryBudgets    map[string]*retryBudget
	prefillReports  prefillMinimums
	prefillExchange prefillExchange
	// prefillEstimates is the estimated time to prefill 1,000 tokens, in
	// milliseconds by model.
	prefillEstimates map[modelKey]float64
	// meanPrefills are the means of the estimated prefill times by service.
	meanPrefills map[string]*meanPrefill
	// routeLatencies is a moving average of the time from arrival to
	// completion, in milliseconds by route.
	routeLatencies map[string]float64
	// lookUpCount is the id of the last look-up.
	lookUpCount uint64

	// The results of the last call of candidates, kept to reuse the memory.
	candidateHolders []protocol.IndexHolder
	candidateList    []candidate
	allFull          bool
}

// New returns the machine of a router that knows only its settings: no primary
// and no configuration.
func New(settings Settings, format Format, nowMs int64) *Machine {
	return &Machine{
		settings: settings, format: format, nowMs: nowMs, lastStepMs: nowMs, lastSweepMs: nowMs,
		detector: failuredetector.New(settings.Self, nil, nil),
		controlPlane: controlPlane{
			seeds:              settings.Seeds,
			primaryConfirmedMs: nowMs - primarySilentMs - 1,
			lastPollMs:         nowMs - pollEachMs,
			lastSearchMs:       nowMs - searchEachMs,
		},
		ownListing:       ownListing{nextListReadMs: nowMs},
		drainingRunners:  map[string]int64{},
		cache:            cache{},
		runners:          map[string]*runnerState{},
		requests:         map[uint64]*request{},
		slotWaiters:      map[string]int{},
		completionRates:  map[string]*completionRate{},
		retryBudgets:     map[string]*retryBudget{},
		prefillReports:   prefillMinimums{},
		prefillExchange:  prefillExchange{changed: map[string]bool{}, refreshedMs: nowMs},
		prefillEstimates: map[modelKey]float64{},
		meanPrefills:     map[string]*meanPrefill{},
		routeLatencies:   map[string]float64{},
		Counters:         Counters{Rejections: map[errkind.Kind]uint64{}},
	}
}

// Configuration returns the configuration in use, or nil before the first one. It may be
// called from any goroutine; the result must not be changed.
func (m *Machine) Configuration() *config.Configuration { return m.configuration.Load() }

// Step applies one input at the given time and returns its effects: messages,
// outputs, outbound calls and log lines. Times of successive calls must not
// decrease. An input that is neither an Input nor one of the types of package
// protocol that Input names panics.
func (m *Machine) Step(nowMs int64, input protocol.Input) protocol.Effects {
	m.nowMs = nowMs
	m.outbox = dataplane.Outbox{}
	if nowMs-m.lastStepMs > stallMs {
		m.resumeAfterStall()
	}
	m.lastStepMs = nowMs
	switch in := input.(type) {
	case Input:
		in.apply(m)
	case protocol.Envelope:
		m.receive(in)
	case protocol.RunnerList:
		m.runnerListRead(in)
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("proxy: unknown input %T", input))
	}
	return m.outbox.Effects
}

// resumeAfterStall polls the primary at once, since everything this router
// knows is from before the stall.
func (m *Machine) resumeAfterStall() {
	m.stallGuardUntilMs = m.nowMs + stallGuardMs
	m.pollPrimary()
}

// tick does what is due by the time.
func (m *Machine) tick() {
	if m.nowMs-m.lastPollMs >= pollEachMs {
		m.pollPrimary()
	}
	if m.primarySilent() && m.nowMs-m.lastSearchMs >= searchEachMs {
		m.searchPrimary()
	}
	if m.listReadDue() {
		m.readRunnerList()
	}
	if m.nowMs-m.lastSweepMs >= sweepEachMs {
		m.sweep()
	}
	m.dispatchQueue()
	m.reportPrefill()
}

// expectedLatencyMs estimates the time from arrival to completion of a request
// of the route; 0 before the first completed request.
func (m *Machine) expectedLatencyMs(route string) int64 { return int64(m.routeLatencies[route]) }

// recordLatency updates the route's estimate with a completed request.
func (m *Machine) recordLatency(route string, ms int64) {
	if m.routeLatencies[route] == 0 {
		m.routeLatencies[route] = float64(ms)
	}
	m.routeLatencies[route] += (float64(ms) - m.routeLatencies[route]) * latencyWeight
}

// sweep removes expired state.
func (m *Machine) sweep() {
	m.lastSweepMs = m.nowMs
	m.sweepDraining()
	for id, runner := range m.runners {
		if runner.inFlight == 0 && m.nowMs-max(runner.lastUsedMs, runner.reportedMs) > runnerIdleMs {
			delete(m.runners, id)
		}
	}
	configuration := m.configuration.Load()
	if configuration == nil {
		return
	}
	if len(m.routeLatencies) > latencyEntriesPerRoute*len(configuration.Routes)+extraLatencyEntries {
		clear(m.routeLatencies)
		clear(m.prefillEstimates)
	}
}

// reply adds the output for the request or query with this id to the effects.
func (m *Machine) reply(id uint64, output Output) { m.outbox.Respond(id, output) }

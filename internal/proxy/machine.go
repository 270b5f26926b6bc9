// Package proxy is the data plane of the operators' platform. A router receives
// clients' requests, finds their route by host and path, looks up once which runners
// can serve each of them, chooses a runner and forwards the response, event by event
// if it is a stream.
//
// Machine makes all decisions and holds all state; Server carries them out over HTTP.
// Each concern has its file: config updates and the search for the primary
// (controlplane.go), the platform's list of runners while there is no primary
// (runnerlist.go), index look-ups (lookup.go) and their cache (cache.go), the
// lifecycle of a request (request.go), which runners can take it (candidates.go),
// their load and health (runnerstate.go, runnerreports.go), their prefill
// (prefill.go, prefillexchange.go), the choice among them (balancer.go), the queue
// (queue.go) and how long a request waits in it (rejection.go, completionrate.go),
// attempts and their outcomes (attempt.go), the retry budget (retrybudget.go) and
// the planned shutdown (shutdowntimes.go). On the HTTP side: limits of client
// connections (clientlimits.go), request bodies (server.go), one request with its
// attempts (exchange.go), unreachable runners (attempttracker.go), complete
// responses (response.go), streams (stream.go, eventsplitter.go, lateness.go) and
// the planned shutdown (shutdown.go). A Codec (codec.go) translates the platform's
// headers.
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
	// If two steps are more than stallMs apart, the process is assumed to have been
	// stalled, for example in a suspended virtual machine.
	stallMs = 1000
	// stallWaitMs is how long after a stall requests wait for a reply of the primary
	// before they are dispatched with the information from before the stall.
	stallWaitMs = 400
	// sweepIntervalMs is the time between two removals of expired state.
	sweepIntervalMs = 10_000
	// latencyWeight is the weight of a new measurement in the moving average of a route's
	// latency.
	latencyWeight = 1.0 / 16
	// The latency and prefill estimates are cleared once routeLatencies has more entries
	// than latencyEntriesPerRoute times the number of configured routes, plus
	// extraLatencyEntries. That removes routes and models that the configuration no longer
	// has.
	latencyEntriesPerRoute = 4
	extraLatencyEntries    = 64
)

// Settings is the configuration of a router, fixed at its start.
type Settings struct {
	// Site is the site's name. Messages of other sites are ignored.
	Site string
	// Self is this router as its peers know it.
	Self protocol.Node
	// Seeds are the addresses at which the router searches for the primary until SetSeeds
	// replaces them.
	Seeds []string
	// Bounds are the limits that the platform sets for the whole site.
	Bounds bounds.Bounds
	// RunnerListAddress is the address of the platform's list of runners. If it is empty, the
	// router never reads the list itself.
	RunnerListAddress string
	// MemoryMb and OpenFiles limit the requests and bodies that are in progress at the
	// same time; 0 sets no limit of that kind.
	MemoryMb, OpenFiles int
}

// Format parses configurations.
type Format interface {
	// Parse returns the configuration, or a description of every fault in the text.
	Parse(text []byte) (*config.Configuration, []string)
}

// Machine is the state machine of one router. It receives inputs through Step and returns
// effects; it has no clock, connection or goroutine of its own. Only Configuration may be
// called from other goroutines than the one that calls Step.
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
	runnerListing

	shutdown shutdownState
	// drainingRunners are the runners that are draining, with the time of the last report
	// of it.
	drainingRunners map[string]int64
	lastSweepMs     int64

	cache   cache
	runners map[string]*runnerState
	// requests are all unfinished requests; queue are those without an attempt in flight,
	// in the order in which they were queued.
	requests map[uint64]*request
	queue    []*request
	// slotWaiters counts, by service, the queued requests whose runners are all full.
	// completionRates are the rates at which attempts end at this router, by service.
	slotWaiters     map[string]int
	completionRates map[string]*completionRate
	retryBudgets    map[string]*retryBudget
	prefillReports  prefillMinimums
	prefillExchange prefillExchange
	// prefillEstimates is the estimated time to prefill 1,000 tokens, in milliseconds by
	// model.
	prefillEstimates map[modelKey]float64
	// meanPrefills are the means of the estimated prefill times by service.
	meanPrefills map[string]*meanPrefill
	// routeLatencies is a moving average of the time from arrival to
	// completion, in milliseconds by route.
	routeLatencies map[string]float64
	// lookUpCount is the ID of the last look-up.
	lookUpCount uint64

	// The results of the last call of candidates, kept to reuse the memory.
	candidateHolders []protocol.IndexHolder
	candidateList    []candidate
	allFull          bool
}

// New returns the state machine of a router that has only its settings: no primary and no
// configuration yet.
func New(settings Settings, format Format, nowMs int64) *Machine {
	return &Machine{
		settings: settings, format: format, nowMs: nowMs, lastStepMs: nowMs, lastSweepMs: nowMs,
		detector: failuredetector.New(settings.Self, nil, nil),
		controlPlane: controlPlane{
			seeds:              settings.Seeds,
			primaryConfirmedMs: nowMs - primaryUnresponsiveMs - 1,
			lastPollMs:         nowMs - pollIntervalMs,
			lastSearchMs:       nowMs - searchIntervalMs,
		},
		runnerListing:    runnerListing{nextListReadMs: nowMs},
		drainingRunners:  map[string]int64{},
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

// Configuration returns the active configuration, or nil before the first one. It may be
// called from any goroutine; the result must not be changed.
func (m *Machine) Configuration() *config.Configuration { return m.configuration.Load() }

// Step applies one input at the given time and returns its effects: messages, outputs,
// outbound calls and log lines. Times of successive calls must not decrease. Step panics
// if the input is neither an Input nor one of the types of package protocol that Input
// names.
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

// resumeAfterStall polls the primary at once, because the router's information is from
// before the stall.
func (m *Machine) resumeAfterStall() {
	m.stallWaitUntilMs = m.nowMs + stallWaitMs
	m.pollPrimary()
}

// tick does the periodic work that is due.
func (m *Machine) tick() {
	if m.nowMs-m.lastPollMs >= pollIntervalMs {
		m.pollPrimary()
	}
	if m.primaryUnresponsive() && m.nowMs-m.lastSearchMs >= searchIntervalMs {
		m.searchPrimary()
	}
	if m.listReadDue() {
		m.readRunnerList()
	}
	if m.nowMs-m.lastSweepMs >= sweepIntervalMs {
		m.sweep()
	}
	m.dispatchQueue()
	m.reportPrefill()
}

// expectedLatencyMs estimates the time from arrival to completion of a request of the
// route. It returns 0 before the first completed request.
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

// reply adds the output for the request or query with this ID to the effects.
func (m *Machine) reply(id uint64, output Output) { m.outbox.Respond(id, output) }

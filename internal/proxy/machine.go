package proxy

import (
	"fmt"
	"sync/atomic"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/protocol"
)

const (
	pollEachMs = 300
	// primarySilentMs is when the primary's silence counts: the router asks around
	// for another, and reads the platform's list itself.
	primarySilentMs = 1000
	searchEachMs    = 300
	// stallMs between two steps means that the process stood still, and stallGuardMs
	// is how long it then waits for a word before it sends a request on.
	stallMs      = 1000
	stallGuardMs = 400
	// drainingMemoryMs is how long a leaving runner is remembered after the last word
	// of it. Its id never comes back.
	drainingMemoryMs   = 600_000
	maxDrainingRunners = 8192
	sweepEachMs        = 10_000
	// listMaxAgeMs is how old the router's own reading of the list may be and
	// stand in for the index, while no controller answers.
	listMaxAgeMs        = 10_000
	listReadPerRouterMs = 50
)

// Settings is the configuration of a router: what it knows at its start.
type Settings struct {
	Site   string
	Self   protocol.Node
	Seeds  []string
	Bounds bounds.Bounds
	// ListAddress is where the platform lists its runners; empty is nowhere.
	ListAddress         string
	MemoryMb, OpenFiles int
}

// Format reads service maps as operators write them.
type Format interface {
	// Parse gives the map, or every fault found.
	Parse(text []byte) (*config.Configuration, []string)
}

// Machine is the state machine of one router. It takes inputs through Step and
// returns effects; it has no clock, connection or goroutine of its own. All of it
// but Map belongs to the goroutine that calls Step.
type Machine struct {
	settings   Settings
	format     Format
	nowMs      int64
	lastStepMs int64
	effects    protocol.Effects
	roster     *failuredetector.Detector
	seeds      []string

	// serviceMap is the map in use, also for those on other threads.
	serviceMap atomic.Pointer[config.Configuration]
	mapVersion uint64
	mapSum     string
	epoch      uint64
	primary    string
	// highestSeenEpoch is the highest epoch that a peer told of.
	highestSeenEpoch uint64
	// primaryConfirmedMs is when the question was asked that the last word answers.
	primaryConfirmedMs int64
	lastPollMs         int64
	lastSearchMs       int64
	stallGuardUntilMs  int64
	routerCount        int
	// drainingRunners are the runners that are leaving, with the last word of each.
	drainingRunners map[string]int64
	// reportedDraining is the primary's last list of them. It and that of the
	// controllers are told again only where their sums changed.
	reportedDraining            []string
	drainingSum, controllersSum uint64
	// nearestController is the controller that answers look-ups which need not wait.
	nearestController string
	lastSweepMs       int64
	// The router's own reading of the list: when the next is due, and what
	// the last brought at listedAtMs.
	nextListReadMs  int64
	listReadPending bool
	listedRunners   []protocol.RunnerEntry
	listedAtMs      int64
	draining        bool
	drainStartMs    int64

	cache    cache
	runners  map[string]*runnerState
	requests map[uint64]*request
	queue    []*request
	// slotWaiters counts, by service, requests that wait for want of a place.
	slotWaiters     map[string]int
	retryBudgets    map[string]*retryBudget
	completionRates map[string]*completionRate
	prefillReports  prefillMinimums
	// prefillEstimates is about how long 1,000 tokens of a prompt take, by model.
	prefillEstimates map[modelKey]float64
	// routeLatencies is about how long a request of a route takes.
	routeLatencies map[string]float64
	lookUpCount    uint64
	// What candidates found last.
	candidateHolders []protocol.IndexHolder
	candidateList    []candidate
	allFull          bool
	Counters         Counters
}

// New makes the machine of a router that knows only its settings: no primary and
// no service map.
func New(set Settings, format Format, nowMs int64) *Machine {
	return &Machine{
		settings: set, format: format, nowMs: nowMs, lastStepMs: nowMs, roster: failuredetector.New(set.Self, nil, nil), seeds: set.Seeds,
		primaryConfirmedMs: nowMs - primarySilentMs - 1, lastPollMs: nowMs - pollEachMs, lastSearchMs: nowMs - searchEachMs, nextListReadMs: nowMs, lastSweepMs: nowMs,
		drainingRunners: map[string]int64{}, cache: cache{}, runners: map[string]*runnerState{}, requests: map[uint64]*request{},
		slotWaiters: map[string]int{}, retryBudgets: map[string]*retryBudget{}, completionRates: map[string]*completionRate{}, prefillReports: prefillMinimums{}, prefillEstimates: map[modelKey]float64{}, routeLatencies: map[string]float64{},
		Counters: Counters{Rejections: map[errkind.Kind]uint64{}},
	}
}

// Map is the map in use, or nil; any thread may ask.
func (m *Machine) Map() *config.Configuration { return m.serviceMap.Load() }

// Step applies one input at the given time and returns its effects: messages to
// send, answers to requests, calls and notes. An input of unknown type panics.
func (m *Machine) Step(nowMs int64, input any) protocol.Effects {
	m.nowMs = nowMs
	m.effects = protocol.Effects{}
	if nowMs-m.lastStepMs > stallMs {
		m.resumeAfterStall()
	}
	m.lastStepMs = nowMs
	switch in := input.(type) {
	case protocol.Envelope:
		m.receive(in)
	case Request:
		m.admit(in)
	case ResponseStarted:
		m.responseStarted(in)
	case AttemptEnded:
		m.attemptEnded(in)
	case ClientDisconnected:
		m.clientDisconnected(in.ID)
	case protocol.RunnerList:
		m.runnerListRead(in)
	case Drain:
		if !m.draining {
			m.draining, m.drainStartMs = true, nowMs
		}
	case SetSeeds:
		m.seeds = in.Seeds
	case StatusQuery:
		m.reply(in.ID, m.status())
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("relay: unknown input %T", input))
	}
	return m.effects
}

// resumeAfterStall asks at once: what this router believes is from before it stood still.
func (m *Machine) resumeAfterStall() {
	m.stallGuardUntilMs = m.nowMs + stallGuardMs
	m.pollPrimary()
}

// tick does what is due by the time: it asks the primary or looks for it, has the
// list of runners read, sweeps, and gives waiting requests their turn.
func (m *Machine) tick() {
	if m.nowMs-m.lastPollMs >= pollEachMs {
		m.pollPrimary()
	}
	if m.primarySilent() && m.nowMs-m.lastSearchMs >= searchEachMs {
		m.searchPrimary()
	}
	// The list is read here only while the primary gives no word.
	if m.settings.ListAddress != "" && m.serviceMap.Load() != nil && m.primarySilent() && m.nowMs >= m.nextListReadMs && !m.listReadPending {
		// All routers share the platform's patience.
		m.nextListReadMs, m.listReadPending = m.nowMs+max(primarySilentMs, int64(m.routerCount)*listReadPerRouterMs), true
		m.effects.Calls = append(m.effects.Calls, protocol.OutboundCall{Address: m.settings.ListAddress, Body: protocol.ListRunners{}})
	}
	if m.nowMs-m.lastSweepMs >= sweepEachMs {
		m.sweep()
	}
	m.dispatchQueue()
}

// expectedLatencyMs is about how long a request of a route takes here.
func (m *Machine) expectedLatencyMs(route string) int64 { return int64(m.routeLatencies[route]) }

// recordLatency notes how long an answered request of a route took.
func (m *Machine) recordLatency(route string, ms int64) {
	if m.routeLatencies[route] == 0 {
		m.routeLatencies[route] = float64(ms)
	}
	m.routeLatencies[route] += (float64(ms) - m.routeLatencies[route]) / 16
}

// sweep forgets what is long gone.
func (m *Machine) sweep() {
	m.lastSweepMs = m.nowMs
	for _, id := range m.reportedDraining {
		m.markDraining(id)
	}
	for id, toldMs := range m.drainingRunners {
		if m.nowMs-toldMs > drainingMemoryMs {
			delete(m.drainingRunners, id)
		}
	}
	for id, r := range m.runners {
		if r.inFlight == 0 && m.nowMs-max(r.lastUsedMs, r.reportedMs) > runnerIdleMs {
			delete(m.runners, id)
		}
	}
	if document := m.serviceMap.Load(); document != nil && len(m.routeLatencies) > 4*len(document.Routes)+64 {
		clear(m.routeLatencies)
		clear(m.prefillEstimates)
	}
}

// sendMessage adds a message to another daemon to the effects.
func (m *Machine) sendMessage(to protocol.Node, body protocol.Message) {
	m.effects.Sends = append(m.effects.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

// reply adds an answer to the request or question with this id to the effects.
func (m *Machine) reply(id uint64, body any) {
	m.effects.Responses = append(m.effects.Responses, protocol.Response{ID: id, Body: body})
}

// logf adds a log line to the effects.
func (m *Machine) logf(format string, args ...any) {
	m.effects.LogLines = append(m.effects.LogLines, fmt.Sprintf(format, args...))
}

// countError adds an error to be counted by its kind to the effects.
func (m *Machine) countError(kind errkind.Kind) {
	m.effects.Counts = append(m.effects.Counts, string(kind))
}

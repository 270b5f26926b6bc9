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
	askMs = 300
	// silentMs is when the primary's silence counts: the router asks around
	// for another, and reads the platform's list itself.
	silentMs = 1000
	helloMs  = 300
	// gapMs between two steps means that the process stood still, and thawMs
	// is how long it then waits for a word before it sends a request on.
	gapMs  = 1000
	thawMs = 400
	// leavingMs is how long a leaving runner is remembered after the last word
	// of it. Its id never comes back.
	leavingMs   = 600_000
	leavingMost = 8192
	sweepMs     = 10_000
	// listedMs is how old the router's own reading of the list may be and
	// stand in for the index, while no controller answers.
	listedMs   = 10_000
	readEachMs = 50
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
	set    Settings
	format Format
	nowMs  int64
	stepMs int64
	out    protocol.Effects
	roster *failuredetector.Detector
	seeds  []string

	// current is the map in use, also for those on other threads.
	current atomic.Pointer[config.Configuration]
	version uint64
	sum     string
	epoch   uint64
	primary string
	// heeded is the highest epoch that a peer told of.
	heeded uint64
	// heardMs is when the question was asked that the last word answers.
	heardMs     int64
	askedMs     int64
	helloMs     int64
	thawUntilMs int64
	routers     int
	// leavers are the runners that are leaving, with the last word of each.
	leavers map[string]int64
	// leavingTold is the primary's last list of them. It and that of the
	// controllers are told again only where their sums changed.
	leavingTold                []string
	leavingSum, controllersSum uint64
	// near is the controller that answers look-ups which need not wait.
	near    string
	sweptMs int64
	// The router's own reading of the list: when the next is due, and what
	// the last brought at atMs.
	readMs  int64
	reading bool
	listed  []protocol.RunnerEntry
	atMs    int64
	leaving bool
	leaveMs int64

	cache    cache
	runners  map[string]*runner
	requests map[uint64]*request
	waiting  []*request
	// crowded counts, by service, requests that wait for want of a place.
	crowded map[string]int
	budgets map[string]*budget
	paces   map[string]*paced
	pricing pricing
	// reads is about how long 1,000 tokens of a prompt take, by model.
	reads map[modelOf]float64
	// times is about how long a request of a route takes.
	times map[string]float64
	asks  uint64
	// What candidates found last.
	offered    []protocol.IndexHolder
	chosen     []candidate
	crowdedNow bool
	Counters   Counters
}

// New makes the machine of a router that knows only its settings: no primary and
// no service map.
func New(set Settings, format Format, nowMs int64) *Machine {
	return &Machine{
		set: set, format: format, nowMs: nowMs, stepMs: nowMs, roster: failuredetector.New(set.Self, nil, nil), seeds: set.Seeds,
		heardMs: nowMs - silentMs - 1, askedMs: nowMs - askMs, helloMs: nowMs - helloMs, readMs: nowMs, sweptMs: nowMs,
		leavers: map[string]int64{}, cache: cache{}, runners: map[string]*runner{}, requests: map[uint64]*request{},
		crowded: map[string]int{}, budgets: map[string]*budget{}, paces: map[string]*paced{}, pricing: pricing{}, reads: map[modelOf]float64{}, times: map[string]float64{},
		Counters: Counters{Rejections: map[errkind.Kind]uint64{}},
	}
}

// Map is the map in use, or nil; any thread may ask.
func (m *Machine) Map() *config.Configuration { return m.current.Load() }

// Step applies one input at the given time and returns its effects: messages to
// send, answers to requests, calls and notes. An input of unknown type panics.
func (m *Machine) Step(nowMs int64, input any) protocol.Effects {
	m.nowMs = nowMs
	m.out = protocol.Effects{}
	if nowMs-m.stepMs > gapMs {
		m.thaw()
	}
	m.stepMs = nowMs
	switch in := input.(type) {
	case protocol.Envelope:
		m.receive(in)
	case Request:
		m.take(in)
	case ResponseStarted:
		m.told(in)
	case AttemptEnded:
		m.ended(in)
	case ClientDisconnected:
		m.gone(in.ID)
	case protocol.RunnerList:
		m.fleet(in)
	case Drain:
		if !m.leaving {
			m.leaving, m.leaveMs = true, nowMs
		}
	case SetSeeds:
		m.seeds = in.Seeds
	case StatusQuery:
		m.answer(in.ID, m.status())
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("relay: unknown input %T", input))
	}
	return m.out
}

// thaw asks at once: what this router believes is from before it stood still.
func (m *Machine) thaw() {
	m.thawUntilMs = m.nowMs + thawMs
	m.ask()
}

// tick does what is due by the time: it asks the primary or looks for it, has the
// list of runners read, sweeps, and gives waiting requests their turn.
func (m *Machine) tick() {
	if m.nowMs-m.askedMs >= askMs {
		m.ask()
	}
	if m.silent() && m.nowMs-m.helloMs >= helloMs {
		m.hello()
	}
	// The list is read here only while the primary gives no word.
	if m.set.ListAddress != "" && m.current.Load() != nil && m.silent() && m.nowMs >= m.readMs && !m.reading {
		// All routers share the platform's patience.
		m.readMs, m.reading = m.nowMs+max(silentMs, int64(m.routers)*readEachMs), true
		m.out.Calls = append(m.out.Calls, protocol.OutboundCall{Address: m.set.ListAddress, Body: protocol.ListRunners{}})
	}
	if m.nowMs-m.sweptMs >= sweepMs {
		m.sweep()
	}
	m.wake()
}

// lasts is about how long a request of a route takes here.
func (m *Machine) lasts(route string) int64 { return int64(m.times[route]) }

// lasted notes how long an answered request of a route took.
func (m *Machine) lasted(route string, ms int64) {
	if m.times[route] == 0 {
		m.times[route] = float64(ms)
	}
	m.times[route] += (float64(ms) - m.times[route]) / 16
}

// sweep forgets what is long gone.
func (m *Machine) sweep() {
	m.sweptMs = m.nowMs
	for _, id := range m.leavingTold {
		m.leaves(id)
	}
	for id, toldMs := range m.leavers {
		if m.nowMs-toldMs > leavingMs {
			delete(m.leavers, id)
		}
	}
	for id, r := range m.runners {
		if r.own == 0 && m.nowMs-max(r.usedMs, r.toldMs) > idleMs {
			delete(m.runners, id)
		}
	}
	if document := m.current.Load(); document != nil && len(m.times) > 4*len(document.Routes)+64 {
		clear(m.times)
		clear(m.reads)
	}
}

// send adds a message to another daemon to the effects.
func (m *Machine) send(to protocol.Node, body any) {
	m.out.Sends = append(m.out.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

// answer adds an answer to the request or question with this id to the effects.
func (m *Machine) answer(id uint64, body any) {
	m.out.Responses = append(m.out.Responses, protocol.Response{ID: id, Body: body})
}

// note adds a log line to the effects.
func (m *Machine) note(format string, args ...any) {
	m.out.LogLines = append(m.out.LogLines, fmt.Sprintf(format, args...))
}

// count adds an error to be counted by its kind to the effects.
func (m *Machine) count(kind errkind.Kind) { m.out.Counts = append(m.out.Counts, string(kind)) }

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/index"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/simulation/eventqueue"
)

// The stand plays the platform: its list, its runners and its store, with
// states that lag, orders that are taken before they are done, and answers
// that get lost. It notes when a runner is told to take more than it holds.

const llm = "llm"

type simRunner struct {
	entry       protocol.RunnerEntry
	held        map[string]map[string]bool
	disk        map[string]bool
	orderCount  int64
	fence       uint64
	busyUntilMs int64
	finish      func()
	dead        bool
	active      map[string]int
	history     []pastState
}

type pastState struct {
	atMs  int64
	state protocol.RunnerState
}

func (r *simRunner) models() []protocol.HeldModel {
	var out []protocol.HeldModel
	for _, name := range sortedKeys(r.held) {
		out = append(out, protocol.HeldModel{Name: name, Version: 1, Adapters: sortedKeys(r.held[name])})
	}
	return out
}

func (r *simRunner) state() protocol.RunnerState {
	active := 0
	for _, n := range r.active {
		active += n
	}
	return protocol.RunnerState{Models: r.models(), Busy: r.finish != nil, Calls: r.orderCount, Active: active, CacheTotal: 100_000, CacheUsed: int64(active) * 1000}
}

type platformSim struct {
	t       testing.TB
	rnd     *rand.Rand
	m       *config.Configuration
	engine  *config.Engine
	bounds  bounds.Bounds
	events  *eventqueue.Queue
	runners map[string]*simRunner
	lists   []struct {
		atMs int64
		list []protocol.RunnerEntry
	}
	managers      []*Manager
	leaseUntilMs  map[*Manager]int64
	requestLoss   float64
	replyLoss     float64
	storeStartsMs []int64
	violations    []string
	orders        int
	loads         int
	next          int
}

func newServiceMap(models, adapters int, perSec float64) *config.Configuration {
	e := &config.Engine{Slots: 64, CacheTokens: 150_000, TokensPerEvent: 6, WeightMemoryMb: 220_000, MaxAdapters: 8, LoadsPerSec: perSec}
	for i := range models {
		m := config.Model{Name: fmt.Sprintf("m%03d", i), SizeMb: 65_100, LoadMs: 1900, AdapterSizeMb: 12}
		if i%2 == 1 {
			m.SizeMb, m.LoadMs = 72_700, 2100
		}
		if i == 0 {
			m.AdapterCount = adapters
		}
		if i == 2 {
			m.AdapterCount, m.AdapterSizeMb = 16, 66
		}
		e.Models = append(e.Models, m)
	}
	m := &config.Configuration{Version: 1, Services: []config.Service{{Name: llm, Engine: e}, {Name: "plain"}}}
	m.BuildIndex()
	return m
}

var simBounds = bounds.Bounds{DrainMs: 3000, LeaseMs: 3000, ThawMs: 300, InTouchMs: 3000, OriginWindowMs: 5000, OriginOver: 1.1, Fenced: true}

func newPlatformSim(t testing.TB, seed uint64, m *config.Configuration, runners int) *platformSim {
	s := &platformSim{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), m: m, engine: m.Services[0].Engine, bounds: simBounds, events: eventqueue.New(1000), runners: map[string]*simRunner{}, leaseUntilMs: map[*Manager]int64{}}
	zones := []string{"a", "b", "c", "d"}
	for i := range runners {
		s.start(fmt.Sprintf("10.0.0.%d:80", i), zones[i%len(zones)])
	}
	s.recordList()
	return s
}

func (s *platformSim) start(address, zone string) *simRunner {
	s.next++
	id := fmt.Sprintf("r%04d", s.next)
	r := &simRunner{held: map[string]map[string]bool{}, disk: map[string]bool{}, active: map[string]int{}}
	r.entry = protocol.RunnerEntry{ID: id, Service: llm, Address: address, Zone: zone, Slots: s.engine.Slots, LeftMs: -1}
	s.runners[id] = r
	return r
}

// fill gives the runners models at the start: the busy ones many times.
func (s *platformSim) fill(busy ...int) {
	ids := sortedKeys(s.runners)
	at := 0
	put := func(name string) bool {
		for range ids {
			r := s.runners[ids[at%len(ids)]]
			at++
			if r.held[name] == nil && s.usedMb(r)+s.model(name).SizeMb <= s.engine.WeightMemoryMb {
				r.held[name] = map[string]bool{}
				r.disk[name] = true
				return true
			}
		}
		return false
	}
	for i := range s.engine.Models {
		put(s.engine.Models[i].Name)
	}
	for more := true; more && len(busy) > 0; {
		more = false
		for _, i := range busy {
			more = put(s.engine.Models[i].Name) || more
		}
	}
	s.recordList()
}

func (s *platformSim) model(name string) *config.Model {
	m, _ := s.engine.FindModel(name)
	return m
}

func (s *platformSim) usedMb(r *simRunner) float64 {
	sum := 0.0
	for name, adapters := range r.held {
		sum += s.model(name).SizeMb + float64(len(adapters))*s.model(name).AdapterSizeMb
	}
	return sum
}

func (s *platformSim) manager(name string) *Manager {
	manager := New(s.bounds, name, "list", 47)
	manager.SetMap(s.m)
	s.managers = append(s.managers, manager)
	return manager
}

func (s *platformSim) recordList() {
	var list []protocol.RunnerEntry
	for _, id := range sortedKeys(s.runners) {
		r := s.runners[id]
		e := r.entry
		e.Models = r.models()
		list = append(list, e)
	}
	s.lists = append(s.lists, struct {
		atMs int64
		list []protocol.RunnerEntry
	}{s.events.NowMs(), list})
	if len(s.lists) > 40 {
		s.lists = s.lists[1:]
	}
}

// list is what the platform showed some time ago.
func (s *platformSim) list(lagMs int64) []protocol.RunnerEntry {
	out := s.lists[0].list
	for _, l := range s.lists {
		if l.atMs <= s.events.NowMs()-lagMs {
			out = l.list
		}
	}
	return out
}

// step goes on by some ms: 10 at a time.
func (s *platformSim) step() {
	s.events.RunFor(10)
	if s.events.NowMs()%100 == 0 {
		s.recordList()
	}
	for _, r := range s.runners {
		if r.finish != nil && s.events.NowMs() >= r.busyUntilMs {
			finish := r.finish
			r.finish = nil
			finish()
		}
		if s.events.NowMs()%20 == 0 {
			r.history = append(r.history, pastState{s.events.NowMs(), r.state()})
			if len(r.history) > 20 {
				r.history = r.history[1:]
			}
		}
	}
	if s.events.NowMs()%50 == 0 {
		for _, manager := range s.managers {
			s.tick(manager)
		}
	}
}

func (s *platformSim) tick(manager *Manager) []index.Update {
	holdMs := s.events.NowMs() + 2000
	if until, ok := s.leaseUntilMs[manager]; ok {
		holdMs = until
	}
	calls, tells := manager.Tick(s.events.NowMs(), holdMs)
	for _, call := range calls {
		s.call(manager, call)
	}
	return tells
}

func (s *platformSim) call(manager *Manager, call protocol.OutboundCall) {
	way := int64(1 + s.rnd.IntN(4))
	switch body := call.Body.(type) {
	case protocol.ListRunners:
		s.events.After(2*way, func() {
			manager.HandleRunnerList(s.events.NowMs(), protocol.RunnerList{Ok: true, Runners: s.list(800)})
		})
	case protocol.GetRunnerState:
		s.events.After(2*way, func() {
			r := s.runnerAt(call.Address)
			said := protocol.RunnerStateResult{Runner: body.Runner, Number: body.Number}
			if r != nil && !r.dead && r.entry.ID == body.Runner && s.rnd.Float64() >= s.replyLoss && len(r.history) > 0 {
				said.Ok = true
				lagMs := int64(100 + s.rnd.IntN(100))
				said.State = r.history[0].state
				for _, p := range r.history {
					if p.atMs <= s.events.NowMs()-lagMs {
						said.State = p.state
					}
				}
			}
			manager.HandleRunnerState(s.events.NowMs(), said)
		})
	case protocol.RunnerOrder:
		s.orders++
		if s.rnd.Float64() < s.requestLoss/2 {
			s.events.After(300, func() {
				manager.HandleOrderResult(s.events.NowMs(), protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number})
			})
			return
		}
		if s.rnd.Float64() < s.requestLoss {
			// It comes late, long after its sender gave it up.
			way = int64(s.rnd.IntN(900))
		}
		s.events.After(way, func() {
			outcome := s.applyOrder(call.Address, body)
			lost := s.rnd.Float64() < s.replyLoss || way > 300
			s.events.After(way, func() {
				if lost {
					outcome = protocol.OutcomeUnknown
				}
				manager.HandleOrderResult(s.events.NowMs(), protocol.RunnerOrderResult{Runner: body.Runner, Number: body.Number, Outcome: outcome})
			})
		})
	}
}

func (s *platformSim) runnerAt(address string) *simRunner {
	for _, r := range s.runners {
		if r.entry.Address == address && !r.dead {
			return r
		}
	}
	return nil
}

// applyOrder is the runner's side of an order.
func (s *platformSim) applyOrder(address string, c protocol.RunnerOrder) protocol.OrderOutcome {
	r := s.runnerAt(address)
	if r == nil {
		return protocol.OutcomeNotSent
	}
	if r.entry.ID != c.Runner {
		return protocol.OutcomeRejected
	}
	if c.Fence < r.fence {
		return protocol.OutcomeFenced
	}
	r.fence = c.Fence
	if r.finish != nil || c.Expected != r.orderCount {
		return protocol.OutcomeBusy
	}
	_, there := r.held[c.Model]
	if c.Adapter != "" {
		if !there {
			return protocol.OutcomeRejected
		}
		there = r.held[c.Model][c.Adapter]
	}
	if c.Load == there {
		return protocol.OutcomeAlreadyInEffect
	}
	r.orderCount++
	m := s.model(c.Model)
	took := int64(10)
	switch {
	case c.Load && c.Adapter == "":
		s.loads++
		if s.usedMb(r)+m.SizeMb > s.engine.WeightMemoryMb {
			s.violations = append(s.violations, fmt.Sprintf("%d ms: %s overfilled with %s", s.events.NowMs(), r.entry.ID, c.Model))
		}
		took = m.LoadMs
		if r.disk[c.Model] {
			took = 380
		} else {
			s.storeStartsMs = append(s.storeStartsMs, s.events.NowMs())
		}
		r.finish = func() { r.held[c.Model] = map[string]bool{}; r.disk[c.Model] = true }
	case c.Load:
		adapters := 0
		for _, held := range r.held {
			adapters += len(held)
		}
		if adapters >= s.engine.MaxAdapters || s.usedMb(r)+m.AdapterSizeMb > s.engine.WeightMemoryMb {
			s.violations = append(s.violations, fmt.Sprintf("%d ms: %s overfilled with %s %s", s.events.NowMs(), r.entry.ID, c.Model, c.Adapter))
		}
		r.finish = func() { r.held[c.Model][c.Adapter] = true }
	case c.Adapter == "":
		took = int64(20 + s.rnd.IntN(600))
		r.finish = func() { delete(r.held, c.Model) }
	default:
		took = int64(5 + s.rnd.IntN(30))
		r.finish = func() { delete(r.held[c.Model], c.Adapter) }
	}
	r.busyUntilMs = s.events.NowMs() + took
	return protocol.OutcomeAccepted
}

// mostStoreLoads gives the most loads that began in any window.
func (s *platformSim) mostStoreLoads() int {
	most := 0
	for i := range s.storeStartsMs {
		n := 0
		for _, at := range s.storeStartsMs[i:] {
			if at-s.storeStartsMs[i] <= s.bounds.OriginWindowMs {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (s *platformSim) allowedStoreLoads() int {
	return int(s.engine.LoadsPerSec*float64(s.bounds.OriginWindowMs)/1000*s.bounds.OriginOver + 3)
}

// routerSim plays clients behind one router.
type routerSim struct {
	s       *platformSim
	manager *Manager
	from    protocol.Node
	waiting map[demand.Key][]int64
	asked   map[demand.Key]int
	late    map[demand.Key]int
	waitsMs []int64
	denied  int
	runMs   int64
}

func newRouterSim(s *platformSim, manager *Manager) *routerSim {
	return &routerSim{s: s, manager: manager, from: protocol.Node{Name: "router-1", Address: "x"}, waiting: map[demand.Key][]int64{}, asked: map[demand.Key]int{}, late: map[demand.Key]int{}, runMs: 600}
}

// ask sends one request. Holders are checked against the runners themselves.
func (t *routerSim) ask(model, adapter string) {
	key := demand.Key{Service: llm, Model: model, Adapter: adapter}
	t.asked[key]++
	t.manager.LookUp(t.s.events.NowMs(), t.from, protocol.IndexLookUp{ID: 1, Service: llm, Model: model, Adapter: adapter, Tokens: 1000, Waits: !t.hasHolder(key)})
	if !t.hasHolder(key) {
		t.waiting[key] = append(t.waiting[key], t.s.events.NowMs())
	} else {
		t.waitsMs = append(t.waitsMs, 0)
		t.start(key)
	}
}

// hasHolder says whether a holder is offered.
func (t *routerSim) hasHolder(key demand.Key) bool {
	for _, h := range t.manager.reply(t.s.events.NowMs(), key.Service, key.Model, key.Adapter).Holders {
		if h.Adapter {
			return true
		}
	}
	return false
}

func (t *routerSim) start(key demand.Key) {
	var best *simRunner
	for _, h := range t.manager.reply(t.s.events.NowMs(), key.Service, key.Model, key.Adapter).Holders {
		if !h.Adapter {
			continue
		}
		r := t.s.runners[h.ID]
		if r == nil || r.dead {
			t.denied++
			continue
		}
		if _, there := r.held[key.Model]; !there || key.Adapter != "" && !r.held[key.Model][key.Adapter] {
			t.denied++
			continue
		}
		if best == nil || r.active["all"] < best.active["all"] {
			best = r
		}
	}
	if best != nil {
		best.active["all"]++
		t.s.events.After(t.runMs, func() { best.active["all"]-- })
	}
}

// step serves those who wait.
func (t *routerSim) step() {
	for key, since := range t.waiting {
		if t.hasHolder(key) {
			for _, atMs := range since {
				t.waitsMs = append(t.waitsMs, t.s.events.NowMs()-atMs)
				if t.s.events.NowMs()-atMs > 3000 {
					t.late[key]++
				}
				t.start(key)
			}
			delete(t.waiting, key)
		}
	}
}

// lateShare is the part of the requests that waited for longer.
func (t *routerSim) lateShare(ms int64) float64 {
	late := 0
	for _, waitMs := range t.waitsMs {
		if waitMs > ms {
			late++
		}
	}
	for _, since := range t.waiting {
		for _, atMs := range since {
			if t.s.events.NowMs()-atMs > ms {
				late++
			}
		}
	}
	return float64(late) / float64(max(1, len(t.waitsMs)))
}

// reply makes the reply that a router without a name gets, without counting it.
func (m *Manager) reply(nowMs int64, service, model, adapter string) protocol.IndexReply {
	return m.replyInto(nil, nowMs, protocol.Node{}, service, model, adapter)
}

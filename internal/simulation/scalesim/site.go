package scalesim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/bounds"
	"myrtlewinch/internal/consensus"
	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
	"myrtlewinch/internal/simulation/eventqueue"
)

const (
	siteName    = "hollow"
	listAddress = "list"
	tickMs      = 50
	wayMs       = 2
	// listLagMs is how long a reading of the whole list takes.
	listLagMs = 20
	// firstMs is when the first piece of an answer comes.
	firstMs   = 150
	startMs   = 1_000_000
	foundedMs = 20_000
	// longLine holders and more are not told whole.
	longLine = 30
)

var usualBounds = bounds.Bounds{
	SeedLagMs: 3000, ReuseAfterMs: 2000, InTouchMs: 3000, AckMs: 4000, CatchUpMs: 4000, DrainMs: 3000, GraceMs: 8000,
	LostSlackMs: 200, ApplyByMs: 2000, GoBackMs: 250, StretchMs: 5000, RetryRatio: 0.2, RetryWindowMs: 10_000, ExtraTries: 58,
	RecoverMs: 12_000, PassMs: 120, Fenced: true, LeaseMs: 3000, ThawMs: 300, OriginWindowMs: 5000, OriginOver: 1.1,
}

// node is one daemon.
type node struct {
	place   protocol.Node
	machine interface {
		Step(nowMs int64, input any) protocol.Effects
	}
	load  Load
	lines map[string]bool
	// stepNs is the longest step.
	stepNs int64
	// primary is what a router took for the primary when it was asked last.
	primary string
}

// Site is a whole site in virtual time.
type Site struct {
	size  Size
	clock func() int64
	// clockNs is what reading the clock twice costs.
	clockNs              int64
	events               *eventqueue.Queue
	random               *rand.Rand
	line                 *line
	nodes                map[string]*node
	routers, controllers []*node
	runners              []*runner
	byAddress            map[string]*runner
	byID                 map[string]*runner
	kinds                map[string]Kind
	counting             bool
	fault                error
	// ranks says which model has which rank of demand.
	ranks    []int
	shares   []float64
	owed     float64
	requests int64
	dropped  int64
	loads    int64
	taken    bool
	version  uint64
	handedMs int64
	lagMs    int64
}

// Run measures a site. The clock gives the processor time of the thread in ns;
// the caller keeps the run on one thread.
func Run(size Size, clock func() int64) (Result, error) {
	if faults := size.Faults(); len(faults) > 0 {
		return Result{}, errors.Newf("%v", faults)
	}
	l, err := newLine()
	if err != nil {
		return Result{}, errors.Wrap(err, "line")
	}
	s := &Site{
		size: size, clock: clock, events: eventqueue.New(startMs), random: rand.New(rand.NewPCG(1, 2)), line: l, nodes: map[string]*node{},
		byAddress: map[string]*runner{}, byID: map[string]*runner{}, kinds: map[string]Kind{}, shares: size.shares(),
	}
	s.calibrate()
	for i := range size.Models {
		s.ranks = append(s.ranks, i)
	}
	s.fill()
	if err := s.begin(); err != nil {
		return Result{}, err
	}
	return s.measure()
}

// fill makes the runners; the busy models begin on many of them.
func (s *Site) fill() {
	places := s.size.Runners * perRunner
	at := 0
	for i := range s.size.Runners {
		r := &runner{held: map[string]map[string]bool{}, disk: map[string]bool{}}
		r.entry = protocol.RunnerEntry{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: service, Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i>>16, i>>8&255, i&255),
			Zone: s.zone(i), Slots: slots, LeftMs: -1,
		}
		s.runners = append(s.runners, r)
		s.byAddress[r.entry.Address], s.byID[r.entry.ID] = r, r
	}
	put := func(model int) {
		for range s.runners {
			r := s.runners[at%len(s.runners)]
			at++
			if len(r.held) < perRunner && r.held[modelName(model)] == nil {
				r.held[modelName(model)], r.disk[modelName(model)] = map[string]bool{}, true
				places--
				return
			}
		}
	}
	before := 0.0
	for i := range s.size.Models {
		share := s.shares[i] - before
		before = s.shares[i]
		for range max(1, int(share*0.8*float64(s.size.Runners*perRunner))) {
			if places > 0 {
				put(i)
			}
		}
	}
}

func (s *Site) zone(i int) string { return fmt.Sprintf("zone-%02d", i%s.size.Zones) }

func (s *Site) add(name string, i int, part string) *node {
	n := &node{lines: map[string]bool{}}
	n.place = protocol.Node{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:7660", map[string]int{protocol.RoleRouter: 1, protocol.RoleController: 2}[part], i/250, i%250), Zone: s.zone(i), Part: part, Incarnation: fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)}
	s.nodes[n.place.Address] = n
	return n
}

// begin starts all daemons and waits until the first map is in force.
func (s *Site) begin() error {
	var seeds []string
	for i := range s.size.Controllers {
		n := s.add(fmt.Sprintf("core-%s-%d", s.zone(i), i), i, protocol.RoleController)
		s.controllers = append(s.controllers, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.place.Address)
		}
	}
	for i := range s.size.Routers {
		s.routers = append(s.routers, s.add(fmt.Sprintf("edge-%s-%d", s.zone(i), i), i, protocol.RoleRouter))
	}
	for _, n := range s.controllers {
		tenant := controller.New(controller.Settings{Self: n.place, Bounds: usualBounds, ListAddress: listAddress, ListPerSec: 47, ControlPort: "8146"}, format{})
		machine, err := consensus.New(consensus.Settings{
			Site: siteName, Self: n.place, Seeds: seeds, Application: tenant, MaxLosses: 2, FirstStart: true,
			GapMs: usualBounds.LeaseMs + usualBounds.ThawMs, WitnessTimeoutMs: max(1000, usualBounds.CatchUpMs/4), ReplicaGraceMs: 400,
		}, map[string]string{}, s.events.NowMs())
		if err != nil {
			return errors.Wrap(err, "a controller does not start")
		}
		n.machine = machine
	}
	for _, n := range s.routers {
		n.machine = proxy.New(proxy.Settings{Site: siteName, Self: n.place, Seeds: seeds, Bounds: usualBounds}, format{}, s.events.NowMs())
	}
	for _, n := range append(slices.Clone(s.controllers), s.routers...) {
		s.events.After(s.random.Int64N(tickMs), func() { s.tick(n) })
	}
	for s.events.NowMs() < startMs+foundedMs && s.fault == nil {
		if !s.taken && s.events.NowMs()%200 == 0 {
			s.handOver()
		}
		if s.taken && s.behind() == 0 {
			return nil
		}
		s.events.RunFor(10)
	}
	if s.fault != nil {
		return s.fault
	}
	return errors.Newf("%d routers have no map %d s after the start", s.behind(), foundedMs/1000)
}

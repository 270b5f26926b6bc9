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
	"myrtlewinch/internal/simulation/modelmemory"
)

const (
	// siteName is part of every message, so its length counts in the measured sizes.
	siteName              = "site-1"
	runnerListAddress     = "list"
	runnerListCallsPerSec = 47
	operatorPort          = "8146"
	// seedCount is how many controllers are the seeds of all daemons.
	seedCount = 3
	// maxLosses is how many disks of controllers may be lost at the same time.
	maxLosses = 2

	startMs = 1_000_000
	tickMs  = 50
	// oneWayMs is the latency of a message, of one direction of a call to a runner, and
	// of a disk write.
	oneWayMs = 2
	// runnerListReadMs is how long a read of the whole runner list takes.
	runnerListReadMs = 20
	// firstEventMs is the time until the first event of a response.
	firstEventMs = 150
	// startTimeoutMs bounds the start of a site, and submitIntervalMs is the interval
	// at which its first configuration is submitted until it is accepted.
	startTimeoutMs   = 20_000
	submitIntervalMs = 200
	// prefilledShare is the fraction of the runners' capacity that is filled at the
	// start in proportion to demand. While capacity is left, a rare model gets one copy
	// even if its share of demand is too small for one.
	prefilledShare = 0.8
)

// siteBounds are the bounds that the platform sets.
var siteBounds = bounds.Bounds{
	SeedLagMs: 3000, ReuseAfterMs: 2000, InTouchMs: 3000, AckMs: 4000, CatchUpMs: 4000, DrainMs: 3000, GraceMs: 8000,
	LostSlackMs: 200, ApplyByMs: 2000, GoBackMs: 250, StretchMs: 5000, RetryRatio: 0.2, RetryWindowMs: 10_000, ExtraTries: 58,
	RecoverMs: 12_000, PassMs: 120, Fenced: true, LeaseMs: 3000, ThawMs: 300, OriginWindowMs: 5000, OriginOver: 1.1,
}

// node is one daemon.
type node struct {
	self    protocol.Node
	machine interface {
		Step(nowMs int64, input protocol.Input) protocol.Effects
	}
	usage usage
	// peers holds the addresses of the daemons that it exchanged messages with.
	peers         map[string]bool
	longestStepNs int64
	// primary is the name of the primary that a router's status last named.
	primary string
}

// simulation is a whole site in virtual time.
type simulation struct {
	size Size
	// clock returns the processor time in ns; clockNs is how long one reading takes.
	clock   func() int64
	clockNs int64
	events  *eventqueue.Queue
	random  *rand.Rand
	codec   *frameCodec
	// err is the first error of an event; it ends the run.
	err error

	// nodes holds all daemons by address.
	nodes                map[string]*node
	routers, controllers []*node
	runners              []*simRunner
	runnersByAddress     map[string]*simRunner
	runnersByID          map[string]*simRunner

	// modelByRank holds the numbers of the models, the busiest first; shares holds the
	// cumulative shares of the demand by rank.
	modelByRank []int
	shares      []float64
	// requestsDue is how many requests are due. Its fractional part is carried over to
	// the next ms.
	requestsDue float64
	requests    int64
	rejected    int64
	storeLoads  int64

	// measuring is true while usage is counted; messages counts the messages by type.
	measuring bool
	messages  map[string]MessageCount

	// configAccepted is true once a configuration was accepted. version is the version of
	// the newest accepted configuration, and acceptedMs is when it was accepted.
	configAccepted bool
	version        uint64
	acceptedMs     int64
	// configLagMs is the longest time that a configuration took until all routers used
	// it.
	configLagMs int64
}

// Run measures a site. The clock returns the processor time of the thread in ns, so
// the caller must keep the run on one thread.
func Run(size Size, clock func() int64) (Result, error) {
	if faults := size.Faults(); len(faults) > 0 {
		return Result{}, errors.Newf("%v", faults)
	}
	codec, err := newFrameCodec()
	if err != nil {
		return Result{}, errors.Wrap(err, "creating the codec")
	}
	s := &simulation{
		size: size, clock: clock, events: eventqueue.New(startMs), random: rand.New(rand.NewPCG(1, 2)), codec: codec,
		nodes: map[string]*node{}, runnersByAddress: map[string]*simRunner{}, runnersByID: map[string]*simRunner{},
		messages: map[string]MessageCount{}, shares: size.demandShares(),
	}
	s.calibrateClock()
	for i := range size.Models {
		s.modelByRank = append(s.modelByRank, i)
	}
	s.addRunners()
	s.fillRunners()
	if err := s.start(); err != nil {
		return Result{}, err
	}
	return s.measure()
}

func (s *simulation) addRunners() {
	// idFactor spreads the IDs, so that they are in a different order than the runners.
	const idFactor = 2654435761
	for i := range s.size.Runners {
		r := &simRunner{memory: modelmemory.New(map[string]bool{})}
		r.entry = protocol.RunnerEntry{
			ID: fmt.Sprintf("i-%08x", uint32(i)*idFactor), Service: serviceName,
			Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i>>16, i>>8&255, i&255),
			Zone:    s.zone(i), Slots: slots, LeftMs: -1,
		}
		s.runners = append(s.runners, r)
		s.runnersByAddress[r.entry.Address], s.runnersByID[r.entry.ID] = r, r
	}
}

// fillRunners places models on the runners as on a site that has run for some time:
// the busy models are on many runners.
func (s *simulation) fillRunners() {
	capacity := s.size.Runners * modelsPerRunner
	capacityLeft := capacity
	next := 0
	place := func(model string) {
		for range s.runners {
			r := s.runners[next%len(s.runners)]
			next++
			if len(r.memory.Models) < modelsPerRunner && r.memory.Models[model] == nil {
				r.memory.Models[model], r.memory.OnDisk[model] = map[string]bool{}, true
				capacityLeft--
				return
			}
		}
	}
	before := 0.0
	for i := range s.size.Models {
		share := s.shares[i] - before
		before = s.shares[i]
		for range max(1, int(share*prefilledShare*float64(capacity))) {
			if capacityLeft > 0 {
				place(modelName(i))
			}
		}
	}
}

func (s *simulation) zone(i int) string { return fmt.Sprintf("zone-%02d", i%s.size.Zones) }

// addNode adds the i-th daemon of a role, without its state machine.
func (s *simulation) addNode(name, role string, i int) *node {
	// incarnationFactor spreads the names of the incarnations.
	const incarnationFactor = 0x9e3779b97f4a7c15
	network := 1
	if role == protocol.RoleController {
		network = 2
	}
	n := &node{peers: map[string]bool{}, self: protocol.Node{
		Name: name, Address: fmt.Sprintf("10.%d.%d.%d:7660", network, i/250, i%250), Zone: s.zone(i),
		Part: role, Incarnation: fmt.Sprintf("%016x", uint64(i+1)*incarnationFactor),
	}}
	s.nodes[n.self.Address] = n
	return n
}

// start starts all daemons and waits until all routers use the first configuration.
func (s *simulation) start() error {
	var seeds []string
	for i := range s.size.Controllers {
		n := s.addNode(fmt.Sprintf("core-%s-%d", s.zone(i), i), protocol.RoleController, i)
		s.controllers = append(s.controllers, n)
		if len(seeds) < seedCount {
			seeds = append(seeds, n.self.Address)
		}
	}
	for i := range s.size.Routers {
		s.routers = append(s.routers, s.addNode(fmt.Sprintf("edge-%s-%d", s.zone(i), i), protocol.RoleRouter, i))
	}
	for _, n := range s.controllers {
		if err := s.startController(n, seeds); err != nil {
			return err
		}
	}
	for _, n := range s.routers {
		settings := proxy.Settings{Site: siteName, Self: n.self, Seeds: seeds, Bounds: siteBounds}
		n.machine = proxy.New(settings, jsonFormat{}, s.events.NowMs())
	}
	for _, n := range append(slices.Clone(s.controllers), s.routers...) {
		s.events.After(s.random.Int64N(tickMs), func() { s.tick(n) })
	}
	return s.awaitFirstConfig()
}

func (s *simulation) startController(n *node, seeds []string) error {
	application := controller.New(controller.Settings{
		Self: n.self, Bounds: siteBounds, RunnerListAddress: runnerListAddress, RunnerListCallsPerSec: runnerListCallsPerSec, OperatorPort: operatorPort,
	}, jsonFormat{})
	machine, err := consensus.New(consensus.Settings{
		Site: siteName, Self: n.self, Seeds: seeds, Application: application, MaxLosses: maxLosses, FirstStart: true,
		OrderDelayMs:     siteBounds.LeaseMs + siteBounds.ThawMs,
		WitnessTimeoutMs: max(1000, siteBounds.CatchUpMs/4),
		ReplicaGraceMs:   400,
	}, map[string]string{}, s.events.NowMs())
	if err != nil {
		return errors.Wrap(err, "creating the state machine of a controller")
	}
	n.machine = machine
	return nil
}

// awaitFirstConfig submits a configuration until it is accepted, and waits until all
// routers use it.
func (s *simulation) awaitFirstConfig() error {
	for s.events.NowMs() < startMs+startTimeoutMs && s.err == nil {
		if !s.configAccepted && s.events.NowMs()%submitIntervalMs == 0 {
			s.submitConfig()
		}
		if s.configAccepted && s.routersBehind() == 0 {
			return nil
		}
		s.events.RunFor(configPollMs)
	}
	if s.err != nil {
		return s.err
	}
	return errors.Newf("%d routers have no configuration %d s after the start", s.routersBehind(), startTimeoutMs/1000)
}

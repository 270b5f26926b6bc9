package hollow

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlewinch/bounds"
	"myrtlewinch/control"
	"myrtlewinch/eventqueue"
	"myrtlewinch/relay"
	"myrtlewinch/steward"
	"myrtlewinch/wire"
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
	place   wire.Place
	machine interface {
		Step(nowMs int64, input any) wire.Effects
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

// calibrate works out what the clock itself costs.
func (s *Site) calibrate() {
	const times = 2000
	beganNs := s.clock()
	for range times {
		s.clock()
	}
	s.clockNs = (s.clock() - beganNs) / times
}

// fill makes the runners; the busy models begin on many of them.
func (s *Site) fill() {
	places := s.size.Runners * perRunner
	at := 0
	for i := range s.size.Runners {
		r := &runner{held: map[string]map[string]bool{}, disk: map[string]bool{}}
		r.entry = wire.RunnerEntry{
			Id: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: service, Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i>>16, i>>8&255, i&255),
			Zone: s.zone(i), Slots: slots, LeftMs: -1,
		}
		s.runners = append(s.runners, r)
		s.byAddress[r.entry.Address], s.byID[r.entry.Id] = r, r
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
	n.place = wire.Place{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:7660", map[string]int{wire.Router: 1, wire.Controller: 2}[part], i/250, i%250), Zone: s.zone(i), Part: part, Incarnation: fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)}
	s.nodes[n.place.Address] = n
	return n
}

// begin starts all daemons and waits until the first map is in force.
func (s *Site) begin() error {
	var seeds []string
	for i := range s.size.Controllers {
		n := s.add(fmt.Sprintf("core-%s-%d", s.zone(i), i), i, wire.Controller)
		s.controllers = append(s.controllers, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.place.Address)
		}
	}
	for i := range s.size.Routers {
		s.routers = append(s.routers, s.add(fmt.Sprintf("edge-%s-%d", s.zone(i), i), i, wire.Router))
	}
	for _, n := range s.controllers {
		tenant := steward.New(steward.Settings{Self: n.place, Bounds: usualBounds, ListAddress: listAddress, ListPerSec: 47, ControlPort: "8146"}, format{})
		machine, err := control.New(control.Settings{
			Site: siteName, Self: n.place, Seeds: seeds, Tenant: tenant, Losses: 2, Founds: true,
			GapMs: usualBounds.LeaseMs + usualBounds.ThawMs, AwayMs: max(1000, usualBounds.CatchUpMs/4), ShowMs: 400,
		}, map[string]string{}, s.events.NowMs())
		if err != nil {
			return errors.Wrap(err, "a controller does not start")
		}
		n.machine = machine
	}
	for _, n := range s.routers {
		n.machine = relay.New(relay.Settings{Site: siteName, Self: n.place, Seeds: seeds, Bounds: usualBounds}, format{}, s.events.NowMs())
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

// handOver gives the next map to every controller; the primary takes it.
func (s *Site) handOver() {
	text := s.size.text(s.version + 1)
	for _, n := range s.controllers {
		s.step(n, steward.HandOver{Id: 1, BuiltOn: s.version, Text: text})
	}
}

// behind counts the routers that don't use the map in force.
func (s *Site) behind() int {
	count := 0
	for _, n := range s.routers {
		if m := n.machine.(*relay.Machine).Map(); m == nil || m.Version < s.version {
			count++
		}
	}
	return count
}

// fail ends the run; of several errors the first one counts.
func (s *Site) fail(err error) {
	if s.fault == nil {
		s.fault = err
	}
	s.events.Stop()
}

func (s *Site) tick(n *node) {
	if n.machine == nil {
		return
	}
	s.step(n, wire.Tick{})
	s.events.After(tickMs, func() { s.tick(n) })
}

// timed adds what work costs, without the clock's own cost.
func (s *Site) timed(to *int64, work func()) int64 {
	beganNs := s.clock()
	work()
	tookNs := max(0, s.clock()-beganNs-s.clockNs)
	if s.counting {
		*to += tookNs
	}
	return tookNs
}

func (s *Site) step(n *node, input any) {
	to := &n.load.ControlNs
	switch input.(type) {
	case relay.Request, relay.Told, relay.Ended:
		to = &n.load.ServingNs
	}
	var out wire.Effects
	tookNs := s.timed(to, func() { out = n.machine.Step(s.events.NowMs(), input) })
	if s.counting {
		n.stepNs = max(n.stepNs, tookNs)
	}
	for _, save := range out.Saves {
		s.events.After(wayMs, func() { s.step(n, wire.Saved{Number: save.Number, Ok: true}) })
	}
	for _, send := range out.Sends {
		s.send(n, send)
	}
	for _, call := range out.Calls {
		s.call(n, call)
	}
	for _, answer := range out.Answers {
		s.answered(n, answer)
	}
}

// send brings a message over, through the codec.
func (s *Site) send(n *node, send wire.Send) {
	to := s.nodes[send.Address]
	if to == nil {
		return
	}
	var size int
	var got wire.Envelope
	var err error
	s.timed(&n.load.WireNs, func() {
		size, err = s.line.encode(wire.Envelope{Site: siteName, From: n.place, To: send.To, Body: send.Body})
	})
	if err == nil {
		s.timed(&to.load.WireNs, func() { got, err = s.line.decode() })
	}
	if err != nil {
		s.fail(errors.Wrapf(err, "a message %T", send.Body))
		return
	}
	if s.counting {
		kind := fmt.Sprintf("%T", send.Body)
		k := s.kinds[kind]
		s.kinds[kind] = Kind{k.Messages + 1, k.Bytes + int64(size)}
		n.load.Sent++
		to.load.Got++
		n.load.SentBytes += int64(size)
		to.load.GotBytes += int64(size)
		to.load.SentBytes += int64(s.line.ackBytes)
		n.load.GotBytes += int64(s.line.ackBytes)
		n.lines[send.Address], to.lines[n.place.Address] = true, true
	}
	s.events.After(wayMs, func() { s.step(to, got) })
}

// call carries a call of a controller outward.
func (s *Site) call(n *node, call wire.Call) {
	count := func(to *int64) {
		if s.counting {
			*to++
		}
	}
	switch body := call.Body.(type) {
	case wire.FleetCall:
		count(&n.load.Lists)
		s.events.After(listLagMs, func() { s.step(n, wire.Fleet{Ok: true, Runners: s.list()}) })
	case wire.StateCall:
		count(&n.load.States)
		s.events.After(2*wayMs, func() {
			said := wire.StateSaid{Runner: body.Runner, Number: body.Number}
			if r := s.byAddress[call.Address]; r != nil && r.entry.Id == body.Runner {
				said.Ok, said.State, r.toldMs = true, r.state(), s.events.NowMs()
			}
			s.step(n, said)
		})
	case wire.CommandCall:
		count(&n.load.Orders)
		s.events.After(wayMs, func() {
			outcome := wire.CommandRefused
			if r := s.byAddress[call.Address]; r != nil {
				outcome = r.command(s, body)
			}
			s.events.After(wayMs, func() {
				s.step(n, wire.CommandSaid{Runner: body.Runner, Number: body.Number, Outcome: outcome})
			})
		})
	}
}

func (s *Site) list() []wire.RunnerEntry {
	out := make([]wire.RunnerEntry, 0, len(s.runners))
	for _, r := range s.runners {
		e := r.entry
		e.Models = r.models()
		out = append(out, e)
	}
	return out
}

// answered plays the runner that a request was sent to.
func (s *Site) answered(n *node, answer wire.Answer) {
	switch body := answer.Body.(type) {
	case steward.Taken:
		s.taken, s.version, s.handedMs = true, body.Version, s.events.NowMs()
		s.watch()
	case relay.Status:
		n.primary = body.Primary
	case relay.Send:
		r := s.byID[body.Go.Runner]
		if r == nil {
			return
		}
		r.active++
		s.events.After(firstMs, func() {
			s.step(n, relay.Told{Id: answer.Id, Runner: body.Go.Runner, Heard: relay.Heard{HasLoad: true, Running: r.active, Slots: slots}})
		})
		s.events.After(int64(s.size.LastsMs), func() {
			r.active--
			s.step(n, relay.Ended{Id: answer.Id, Outcome: relay.Answered, Passed: true})
		})
	case wire.Dropped:
		if n.place.Part == wire.Router && s.counting {
			s.dropped++
		}
	}
}

// watch notes when the map that was taken last is in use everywhere.
func (s *Site) watch() {
	if s.behind() == 0 {
		s.lagMs = max(s.lagMs, s.events.NowMs()-s.handedMs)
		return
	}
	s.events.After(10, s.watch)
}

// ask sends the requests of one ms.
func (s *Site) ask() {
	for s.owed += float64(s.size.PerSec) / 1000; s.owed >= 1; s.owed-- {
		s.requests++
		rank, _ := slices.BinarySearch(s.shares, s.random.Float64())
		model := s.ranks[min(rank, len(s.ranks)-1)]
		asked := relay.Asked{
			Try: fmt.Sprintf("%016x", s.random.Uint64()), Model: modelName(model), PromptTokens: promptTokens, OutTokens: outTokens, LeftMs: 30_000,
		}
		if of := s.size.adaptersOf(model); of > 0 && s.random.IntN(2) == 0 {
			asked.Adapter = fmt.Sprintf("a%d", 1+s.random.IntN(of))
		}
		n := s.routers[s.random.IntN(len(s.routers))]
		s.step(n, relay.Request{Id: uint64(s.requests), Host: host, Path: routeName(s.random.IntN(s.size.Routes)) + "x", Asked: asked})
	}
	s.events.After(1, s.ask)
}

// shift makes another model one of the busiest.
func (s *Site) shift() {
	a, b := s.random.IntN(min(10, len(s.ranks))), s.random.IntN(len(s.ranks))
	s.ranks[a], s.ranks[b] = s.ranks[b], s.ranks[a]
	s.events.After(int64(s.size.ShiftMs), s.shift)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// seconds lets whole seconds go by, and looks after the memory.
func (s *Site) seconds(count int) error {
	for range count {
		s.events.RunFor(1000)
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		if usedMb := int(stats.HeapAlloc >> 20); usedMb > s.size.HeapMb {
			return errors.Newf("the run takes %d MB, over its %d MB", usedMb, s.size.HeapMb)
		}
		if s.fault != nil {
			return s.fault
		}
	}
	return nil
}

func (s *Site) measure() (Result, error) {
	if s.size.PerSec > 0 {
		s.events.After(1, s.ask)
	}
	if s.size.ShiftMs > 0 {
		s.events.After(int64(s.size.ShiftMs), s.shift)
	}
	if err := s.seconds(s.size.WarmSeconds); err != nil {
		return Result{}, err
	}
	before := s.tally()
	s.counting, s.lagMs, s.loads = true, 0, 0
	beganMs, requests := s.events.NowMs(), s.requests
	for i := range s.size.Changes {
		s.events.After(int64(1+i)*int64(s.size.Seconds)*1000/int64(1+s.size.Changes), s.handOver)
	}
	if err := s.seconds(s.size.Seconds); err != nil {
		return Result{}, err
	}
	s.counting = false
	tally := s.tally()
	out := Result{
		Size: s.size, Kinds: s.kinds, Requests: s.requests - requests, Dropped: s.dropped, Loads: s.loads, MapLagMs: s.lagMs,
		LookUps: int64(tally.LookUps - before.LookUps), Misses: int64(tally.Misses - before.Misses), MapKb: float64(len(s.size.text(1))) / 1024,
	}
	if behind := s.behind(); behind > 0 {
		out.MapLagMs = max(out.MapLagMs, s.events.NowMs()-beganMs)
	}
	for _, r := range s.runners {
		out.StateAgeMs += (s.events.NowMs() - r.toldMs) / int64(len(s.runners))
		out.OldestMs = max(out.OldestMs, s.events.NowMs()-r.toldMs)
	}
	s.split(&out)
	return out, nil
}

func (s *Site) tally() relay.Tally {
	var sum relay.Tally
	for _, n := range s.routers {
		t := n.machine.(*relay.Machine).Tally
		sum.LookUps += t.LookUps
		sum.Misses += t.Misses
	}
	return sum
}

// split tells the roles apart, and lets go of one after the other to see what
// each holds.
func (s *Site) split(out *Result) {
	s.step(s.routers[0], relay.Look{})
	primary := s.routers[0].primary
	leader := slices.IndexFunc(s.controllers, func(n *node) bool { return n.place.Name == primary })
	followers := slices.Clone(s.controllers)
	var leaders []*node
	if leader >= 0 {
		leaders = []*node{s.controllers[leader]}
		followers = slices.Delete(followers, leader, leader+1)
		out.StepMsMax = float64(leaders[0].stepNs) / 1e6
		out.Offered = s.offered(leaders[0])
	}
	s.events.Clear()
	usedBytes := heapBytes()
	role := func(nodes []*node) Role {
		var sum Load
		lines := 0
		for _, n := range nodes {
			sum.add(n.load)
			lines += len(n.lines)
			n.machine = nil
		}
		r := sum.role(len(nodes), s.size.Seconds)
		left := heapBytes()
		r.HeapKb = float64(usedBytes-left) / 1024 / float64(max(1, len(nodes)))
		r.Lines = float64(lines) / float64(max(1, len(nodes)))
		usedBytes = left
		return r
	}
	out.Router, out.Follower, out.Primary = role(s.routers), role(followers), role(leaders)
}

// offered counts the runners that the primary's index offers to any router for
// any model. Of models that many hold each router is offered others.
func (s *Site) offered(leader *node) int {
	offered := map[string]bool{}
	for i := range s.size.Models {
		for _, router := range s.routers {
			e := wire.Envelope{Site: siteName, From: router.place, Body: wire.MapLookUp{Service: service, Model: modelName(i)}}
			long := false
			for _, send := range leader.machine.Step(s.events.NowMs(), e).Sends {
				index, is := send.Body.(wire.MapIndex)
				if !is {
					continue
				}
				long = len(index.Holders) >= longLine
				for j := range index.Holders {
					offered[index.Holders[j].Id] = true
				}
			}
			if !long {
				break
			}
		}
	}
	return len(offered)
}

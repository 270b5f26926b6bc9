package scalesim

import (
	"runtime"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// partialReplyHolders is a number of holders. A reply of the index that lists at least
// this many holders may leave out others.
const partialReplyHolders = 30

// calibrateClock measures how long one reading of the clock takes.
func (s *simulation) calibrateClock() {
	const readings = 2000
	beganNs := s.clock()
	for range readings {
		s.clock()
	}
	s.clockNs = (s.clock() - beganNs) / readings
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// runSeconds runs the simulation for a number of seconds of virtual time. It fails if
// an event fails or the heap exceeds its limit.
func (s *simulation) runSeconds(count int) error {
	for range count {
		s.events.RunFor(1000)
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		if usedMb := int(stats.HeapAlloc >> 20); usedMb > s.size.HeapMb {
			return errors.Newf("the heap of %d MB exceeds the limit of %d MB", usedMb, s.size.HeapMb)
		}
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

// measure runs the workload of a site that has started, and measures it after the
// warm-up.
func (s *simulation) measure() (Result, error) {
	if s.size.RequestsPerSec > 0 {
		s.events.After(1, s.sendRequests)
	}
	if s.size.ShiftMs > 0 {
		s.events.After(int64(s.size.ShiftMs), s.shiftDemand)
	}
	if err := s.runSeconds(s.size.WarmSeconds); err != nil {
		return Result{}, err
	}
	before, requestsBefore := s.routerCounters(), s.requests
	s.measuring, s.configLagMs, s.storeLoads = true, 0, 0
	beganMs := s.events.NowMs()
	for i := range s.size.Changes {
		s.events.After(int64(1+i)*int64(s.size.Seconds)*1000/int64(1+s.size.Changes), s.submitConfig)
	}
	if err := s.runSeconds(s.size.Seconds); err != nil {
		return Result{}, err
	}
	s.measuring = false
	after := s.routerCounters()
	out := Result{
		Size: s.size, Messages: s.messages, Requests: s.requests - requestsBefore,
		LookUps: int64(after.LookUps - before.LookUps), Misses: int64(after.Misses - before.Misses),
		Rejected: s.rejected, StoreLoads: s.storeLoads,
		ConfigKb: float64(len(s.size.configText(1))) / 1024, ConfigLagMs: s.configLagMs,
	}
	if s.routersBehind() > 0 {
		out.ConfigLagMs = max(out.ConfigLagMs, s.events.NowMs()-beganMs)
	}
	s.measureStateAges(&out)
	s.measureRoles(&out)
	return out, nil
}

// routerCounters returns the sums of the look-ups and misses of all routers.
func (s *simulation) routerCounters() proxy.Counters {
	var sum proxy.Counters
	for _, n := range s.routers {
		counters := n.machine.(*proxy.Machine).Counters
		sum.LookUps += counters.LookUps
		sum.Misses += counters.Misses
	}
	return sum
}

// measureStateAges measures how long ago the primary last polled the runners.
func (s *simulation) measureStateAges(out *Result) {
	for _, r := range s.runners {
		ageMs := s.events.NowMs() - r.polledMs
		out.StateAgeMs += ageMs / int64(len(s.runners))
		out.OldestMs = max(out.OldestMs, ageMs)
	}
}

// measureRoles measures the cost of each role. It ends the simulation, because it
// drops the state machines of one role after another to measure the heap that they
// use.
func (s *simulation) measureRoles(out *Result) {
	s.step(s.routers[0], proxy.StatusQuery{})
	primaryName := s.routers[0].primary
	followers := slices.Clone(s.controllers)
	var primaries []*node
	if i := slices.IndexFunc(followers, func(n *node) bool { return n.self.Name == primaryName }); i >= 0 {
		primary := followers[i]
		primaries = []*node{primary}
		followers = slices.Delete(followers, i, i+1)
		out.LongestStepMs = float64(primary.longestStepNs) / 1e6
		out.ListedRunners = s.listedRunners(primary)
	}
	s.events.Clear()
	usedBytes := heapBytes()
	for _, role := range []struct {
		nodes []*node
		cost  *RoleCost
	}{{s.routers, &out.Router}, {followers, &out.Follower}, {primaries, &out.Primary}} {
		*role.cost = dropNodes(role.nodes, s.size.Seconds)
		leftBytes := heapBytes()
		role.cost.HeapKb = float64(usedBytes-leftBytes) / 1024 / float64(max(1, len(role.nodes)))
		usedBytes = leftBytes
	}
	// Without this, the simulation itself could be collected with the last role. The
	// simulation's heap would then be counted as part of the role's heap.
	runtime.KeepAlive(s)
}

// dropNodes returns the mean cost of nodes and drops their state machines.
func dropNodes(nodes []*node, seconds int) RoleCost {
	var sum usage
	peers := 0
	for _, n := range nodes {
		sum.add(n.usage)
		peers += len(n.peers)
		n.machine = nil
	}
	cost := sum.cost(len(nodes), seconds)
	cost.Peers = float64(peers) / float64(max(1, len(nodes)))
	return cost
}

// listedRunners returns how many runners the primary's index lists to any router for
// any model. If a model has many holders, each router gets a different selection.
func (s *simulation) listedRunners(primary *node) int {
	listed := map[string]bool{}
	for i := range s.size.Models {
		for _, router := range s.routers {
			holders := s.lookUp(primary, router, modelName(i))
			for j := range holders {
				listed[holders[j].ID] = true
			}
			if len(holders) < partialReplyHolders {
				break
			}
		}
	}
	return len(listed)
}

// lookUp returns the holders of a model that the primary lists to a router.
func (s *simulation) lookUp(primary, router *node, model string) []protocol.IndexHolder {
	body := protocol.IndexLookUp{Service: serviceName, Model: model}
	effects := primary.machine.Step(s.events.NowMs(), protocol.Envelope{Site: siteName, From: router.self, Body: body})
	var holders []protocol.IndexHolder
	for _, send := range effects.Sends {
		if reply, is := send.Body.(protocol.IndexReply); is {
			holders = append(holders, reply.Holders...)
		}
	}
	return holders
}

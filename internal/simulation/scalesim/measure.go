package scalesim

import (
	"runtime"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/proxy"
)

// calibrate works out what the clock itself costs.
func (s *Site) calibrate() {
	const times = 2000
	beganNs := s.clock()
	for range times {
		s.clock()
	}
	s.clockNs = (s.clock() - beganNs) / times
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

func (s *Site) tally() proxy.Counters {
	var sum proxy.Counters
	for _, n := range s.routers {
		t := n.machine.(*proxy.Machine).Counters
		sum.LookUps += t.LookUps
		sum.Misses += t.Misses
	}
	return sum
}

// split tells the roles apart, and lets go of one after the other to see what
// each holds.
func (s *Site) split(out *Result) {
	s.step(s.routers[0], proxy.StatusQuery{})
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
			e := protocol.Envelope{Site: siteName, From: router.place, Body: protocol.IndexLookUp{Service: service, Model: modelName(i)}}
			long := false
			for _, send := range leader.machine.Step(s.events.NowMs(), e).Sends {
				index, is := send.Body.(protocol.IndexReply)
				if !is {
					continue
				}
				long = len(index.Holders) >= longLine
				for j := range index.Holders {
					offered[index.Holders[j].ID] = true
				}
			}
			if !long {
				break
			}
		}
	}
	return len(offered)
}

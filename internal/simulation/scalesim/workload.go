package scalesim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/proxy"
)

// handOver gives the next map to every controller; the primary takes it.
func (s *Site) handOver() {
	text := s.size.text(s.version + 1)
	for _, n := range s.controllers {
		s.step(n, controller.SubmitConfig{ID: 1, BaseVersion: s.version, Text: text})
	}
}

// behind counts the routers that don't use the map in force.
func (s *Site) behind() int {
	count := 0
	for _, n := range s.routers {
		if m := n.machine.(*proxy.Machine).Map(); m == nil || m.Version < s.version {
			count++
		}
	}
	return count
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
		asked := proxy.RequestParams{
			RequestID: fmt.Sprintf("%016x", s.random.Uint64()), Model: modelName(model), PromptTokens: promptTokens, MaxOutputTokens: outTokens, TimeoutMs: 30_000,
		}
		if of := s.size.adaptersOf(model); of > 0 && s.random.IntN(2) == 0 {
			asked.Adapter = fmt.Sprintf("a%d", 1+s.random.IntN(of))
		}
		n := s.routers[s.random.IntN(len(s.routers))]
		s.step(n, proxy.Request{ID: uint64(s.requests), Host: host, Path: routeName(s.random.IntN(s.size.Routes)) + "x", Params: asked})
	}
	s.events.After(1, s.ask)
}

// shift makes another model one of the busiest.
func (s *Site) shift() {
	a, b := s.random.IntN(min(10, len(s.ranks))), s.random.IntN(len(s.ranks))
	s.ranks[a], s.ranks[b] = s.ranks[b], s.ranks[a]
	s.events.After(int64(s.size.ShiftMs), s.shift)
}

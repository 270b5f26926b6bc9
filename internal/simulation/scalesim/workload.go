package scalesim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/proxy"
)

const (
	// requestTimeoutMs is the time-out that clients ask for.
	requestTimeoutMs = 30_000
	// busiestModels is among how many of the busiest a model that shifts comes.
	busiestModels = 10
	// configPollMs is how often to look whether all routers use a configuration.
	configPollMs = 10
)

// submitConfig gives the next configuration to every controller; the primary
// accepts it.
func (s *simulation) submitConfig() {
	text := s.size.configText(s.version + 1)
	for _, n := range s.controllers {
		s.step(n, controller.SubmitConfig{ID: 1, BaseVersion: s.version, Text: text})
	}
}

// routersBehind counts the routers that don't use the configuration in force.
func (s *simulation) routersBehind() int {
	count := 0
	for _, n := range s.routers {
		if m := n.machine.(*proxy.Machine).Configuration(); m == nil || m.Version < s.version {
			count++
		}
	}
	return count
}

// awaitConfig notes when the configuration accepted last is in use everywhere.
func (s *simulation) awaitConfig() {
	if s.routersBehind() == 0 {
		s.configLagMs = max(s.configLagMs, s.events.NowMs()-s.acceptedMs)
		return
	}
	s.events.After(configPollMs, s.awaitConfig)
}

// sendRequests sends the requests of each ms from now on.
func (s *simulation) sendRequests() {
	for s.requestsDue += float64(s.size.RequestsPerSec) / 1000; s.requestsDue >= 1; s.requestsDue-- {
		s.sendRequest()
	}
	s.events.After(1, s.sendRequests)
}

// sendRequest sends one request to a random router: for a model by its share of
// the demand, and every other time for an adapter where the model has some.
func (s *simulation) sendRequest() {
	s.requests++
	rank, _ := slices.BinarySearch(s.shares, s.random.Float64())
	model := s.modelByRank[min(rank, len(s.modelByRank)-1)]
	params := proxy.RequestParams{
		RequestID: fmt.Sprintf("%016x", s.random.Uint64()), Model: modelName(model),
		PromptTokens: promptTokens, MaxOutputTokens: outputTokens, TimeoutMs: requestTimeoutMs,
	}
	if adapters := s.size.adapterCount(model); adapters > 0 && s.random.IntN(2) == 0 {
		params.Adapter = fmt.Sprintf("a%d", 1+s.random.IntN(adapters))
	}
	n := s.routers[s.random.IntN(len(s.routers))]
	path := pathPrefix(s.random.IntN(s.size.Routes)) + "x"
	s.step(n, proxy.Request{ID: uint64(s.requests), Host: host, Path: path, Params: params})
}

// shiftDemand makes another model one of the busiest, now and at each interval.
func (s *simulation) shiftDemand() {
	ranks := s.modelByRank
	a, b := s.random.IntN(min(busiestModels, len(ranks))), s.random.IntN(len(ranks))
	ranks[a], ranks[b] = ranks[b], ranks[a]
	s.events.After(int64(s.size.ShiftMs), s.shiftDemand)
}

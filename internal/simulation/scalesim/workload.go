package scalesim

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/controller"
	"myrtlewinch/internal/proxy"
)

const (
	// requestTimeoutMs is the timeout that clients request.
	requestTimeoutMs = 30_000
	// busiestModels is how many models count as the busiest. shiftDemand replaces one of
	// them by a random model.
	busiestModels = 10
	// configPollMs is the interval at which to check whether all routers use a
	// configuration.
	configPollMs = 10
)

// submitConfig submits the next configuration to every controller. The primary
// accepts the configuration.
func (s *simulation) submitConfig() {
	text := s.size.configText(s.version + 1)
	for _, n := range s.controllers {
		s.step(n, controller.SubmitConfig{ID: 1, BaseVersion: s.version, Text: text})
	}
}

// routersBehind returns how many routers do not use the active configuration yet.
func (s *simulation) routersBehind() int {
	count := 0
	for _, n := range s.routers {
		if m := n.machine.(*proxy.Machine).Configuration(); m == nil || m.Version < s.version {
			count++
		}
	}
	return count
}

// trackConfigLag waits until all routers use the last accepted configuration, and
// records how long that took.
func (s *simulation) trackConfigLag() {
	if s.routersBehind() == 0 {
		s.configLagMs = max(s.configLagMs, s.events.NowMs()-s.acceptedMs)
		return
	}
	s.events.After(configPollMs, s.trackConfigLag)
}

// sendRequests sends the requests that are due, now and at each ms from now on.
func (s *simulation) sendRequests() {
	for s.requestsDue += float64(s.size.RequestsPerSec) / 1000; s.requestsDue >= 1; s.requestsDue-- {
		s.sendRequest()
	}
	s.events.After(1, s.sendRequests)
}

// sendRequest sends one request to a random router. The model is drawn by its share of
// the demand; half of the requests for a model with adapters name an adapter.
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

// shiftDemand makes a random model one of the busiest, now and at each interval.
func (s *simulation) shiftDemand() {
	ranks := s.modelByRank
	a, b := s.random.IntN(min(busiestModels, len(ranks))), s.random.IntN(len(ranks))
	ranks[a], ranks[b] = ranks[b], ranks[a]
	s.events.After(int64(s.size.ShiftMs), s.shiftDemand)
}

package placement

import (
	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// findModel returns the model of a look-up, or the service's placeholder if the look-up needs
// no model. It returns nil if neither a runner nor the configuration names the model or the
// service; nothing is stored about such a name.
func (m *Manager) findModel(service, name string) *runnerstate.Model {
	s := m.services[service]
	if s == nil {
		return nil
	}
	if s.Engine == nil || name == "" {
		return s.Placeholder
	}
	return s.Models[name]
}

// countLookUp counts a router's look-up as demand: directly on the primary, or for the next
// report on a follower.
func (m *Manager) countLookUp(nowMs int64, model *runnerstate.Model, lookUp protocol.IndexLookUp, waits int64) {
	if !m.active {
		m.followerDemand.Add(demand.Key{Service: lookUp.Service, Model: lookUp.Model, Adapter: lookUp.Adapter}, lookUp, waits)
		return
	}
	model.AddPrompts(float64(lookUp.Prompt), lookUp.ReadMs, 1)
	m.addDemandCount(nowMs, demand.Count{
		Service: lookUp.Service, Model: lookUp.Model, Adapter: lookUp.Adapter,
		Requests: 1, Tokens: lookUp.Tokens, Waits: waits,
	})
}

// addDemandCount adds one count to the demand for its model and adapter.
func (m *Manager) addDemandCount(nowMs int64, count demand.Count) {
	s := m.services[count.Service]
	if s == nil || s.Engine == nil {
		return
	}
	model := s.Models[count.Model]
	if model == nil || !model.Configured {
		return
	}
	requests, tokens, waits := float64(count.Requests), float64(count.Tokens), float64(count.Waits)
	model.Demand.Add(nowMs, requests, tokens, waits)
	if count.Adapter != "" && model.HasAdapter(count.Adapter) {
		model.Adapter(count.Adapter).Demand.Add(nowMs, requests, tokens, waits)
	}
	if waits > 0 {
		m.replanNeeded = true
	}
}

// HasWaitingRequests reports whether a follower counted, since its last report, a look-up whose
// request waits for a load. Its demand should then be sent to the primary at once.
func (m *Manager) HasWaitingRequests() bool { return m.followerDemand.HasWaiting() }

// DrainDemand returns the look-ups that a follower answered since the last call, for its report
// to the primary.
func (m *Manager) DrainDemand() demand.Counts { return m.followerDemand.Drain() }

// AddDemand adds, on the primary, the demand that a follower reported.
func (m *Manager) AddDemand(nowMs int64, counts demand.Counts) {
	if !m.active {
		return
	}
	for _, count := range counts {
		if model := m.findModel(count.Service, count.Model); model != nil && count.Requests > 0 {
			model.AddPrompts(float64(count.Prompt)/float64(count.Requests), count.ReadMs, int(count.Requests))
		}
		m.addDemandCount(nowMs, count)
	}
}

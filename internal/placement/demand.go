package placement

import (
	"myrtlewinch/internal/placement/demand"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// findModel finds what a look-up is about; nil means that no runner and no
// configuration knows the name, so that nothing is kept of it.
func (m *Manager) findModel(service, name string) *runnerstate.Model {
	s := m.services[service]
	if s == nil {
		return nil
	}
	if s.Engine == nil || name == "" {
		return s.Plain
	}
	return s.Models[name]
}

// countLookUp counts a router's look-up as demand: the primary at once, a
// follower for its next report.
func (m *Manager) countLookUp(nowMs int64, model *runnerstate.Model, lookUp protocol.IndexLookUp, waits int64) {
	if !m.active {
		m.followerDemand.Add(demand.Key{Service: lookUp.Service, Model: lookUp.Model, Adapter: lookUp.Adapter}, lookUp, waits)
		return
	}
	model.AddPrompts(float64(lookUp.Prompt), lookUp.ReadMs, 1)
	m.addDemand(nowMs, demand.Count{
		Service: lookUp.Service, Model: lookUp.Model, Adapter: lookUp.Adapter,
		Requests: 1, Tokens: lookUp.Tokens, Waits: waits,
	})
}

// addDemand adds to the demand for a model and its adapter.
func (m *Manager) addDemand(nowMs int64, count demand.Count) {
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

// HasWaitingRequests says whether a follower was asked for what nobody holds
// since its last report: then its demand should go to the primary at once.
func (m *Manager) HasWaitingRequests() bool { return m.followerDemand.HasWaiting() }

// DrainDemand returns the look-ups that a follower answered since the last call, for its
// report to the primary.
func (m *Manager) DrainDemand() demand.Counts { return m.followerDemand.Drain() }

// AddDemand counts, at the primary, what a follower was asked.
func (m *Manager) AddDemand(nowMs int64, counts demand.Counts) {
	if !m.active {
		return
	}
	for _, count := range counts {
		if model := m.findModel(count.Service, count.Model); model != nil && count.Requests > 0 {
			model.AddPrompts(float64(count.Prompt)/float64(count.Requests), count.ReadMs, int(count.Requests))
		}
		m.addDemand(nowMs, count)
	}
}

package placement

import (
	"slices"

	"myrtlewinch/internal/placement/index"
	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// LookUp answers a router's look-up, counts it as demand and subscribes the router to changes.
func (m *Manager) LookUp(nowMs int64, from protocol.Node, lookUp protocol.IndexLookUp) protocol.IndexReply {
	model := m.findModel(lookUp.Service, lookUp.Model)
	if model != nil && !knowsAdapter(model, lookUp.Adapter) {
		model = nil
	}
	if model != nil {
		waits := int64(0)
		// A router that only confirms a known holder waits for no load.
		if lookUp.Waits && !index.HasHolder(model, lookUp.Adapter) {
			waits = 1
		}
		m.countLookUp(nowMs, model, lookUp, waits)
	}
	reply := m.replyInto(nil, nowMs, from, lookUp.Service, lookUp.Model, lookUp.Adapter)
	reply.ID = lookUp.ID
	if model != nil {
		m.subscriptions.Record(nowMs, model, from, &reply)
	}
	return reply
}

// knowsAdapter reports whether the configuration or a runner names the adapter. Clients choose
// the name in a look-up, and nothing is stored about others.
func knowsAdapter(model *runnerstate.Model, adapter string) bool {
	return adapter == "" || model.HasAdapter(adapter) || len(model.AdapterHolders[adapter]) > 0
}

// replyForUpdate returns the reply for all subscribers of a key.
func (m *Manager) replyForUpdate(buffer []protocol.IndexHolder, model *runnerstate.Model, adapter string) protocol.IndexReply {
	return m.replyInto(buffer, m.nowMs, protocol.Node{}, model.Service.Name, model.Name, adapter)
}

// replyInto returns the reply for a key, with its holders in the given buffer.
func (m *Manager) replyInto(buffer []protocol.IndexHolder, nowMs int64, router protocol.Node, service, name, adapter string) protocol.IndexReply {
	reply := protocol.IndexReply{
		Service: service, Model: name, Adapter: adapter, Epoch: m.epoch, Change: m.revision, Known: m.indexKnown,
		TurnMs: -1, Holders: buffer,
	}
	model := m.findModel(service, name)
	if model == nil {
		return reply
	}
	item := runnerstate.Item{Model: name, Adapter: adapter}
	reply.Holders = m.holderLister.AppendHolders(reply.Holders, index.Query{NowMs: nowMs, Router: router, Model: model, Item: item})
	if model != model.Service.Placeholder {
		reply.TurnMs, reply.Loading = m.estimateWait(nowMs, model, adapter, reply.Holders)
	}
	// Requests are not sent to holders of the model that lack the adapter, and there may be
	// many of them.
	reply.Holders = slices.DeleteFunc(reply.Holders, func(h protocol.IndexHolder) bool { return !h.Adapter })
	return reply
}

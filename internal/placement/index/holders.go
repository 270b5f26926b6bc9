// Package index lists the runners that routers may send requests to, and keeps the
// subscriptions of routers that looked a key up recently. A key is a model of a service and, if
// the request needs one, an adapter. It is a pure state machine: the caller passes the time in
// and sends the updates.
package index

import (
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// Query asks for the holders of a key.
type Query struct {
	NowMs int64
	// Router is the router that asks. If there are many holders, its name and zone determine
	// which of them are listed.
	Router protocol.Node
	Model  *runnerstate.Model
	// Item is the model and adapter that the request needs. For a service without models, the
	// name of the model is ignored.
	Item runnerstate.Item
}

// needsModel reports whether requests need a model. In a service without models every runner
// can serve them.
func (q *Query) needsModel() bool { return q.Model != q.Model.Service.Placeholder }

// candidates returns the runners that may hold the model.
func (q *Query) candidates() []*runnerstate.Runner {
	if q.needsModel() {
		return q.Model.Holders
	}
	return q.Model.Service.Runners
}

// Lister lists holders. Its zero value is ready for use; reusing one saves allocations.
type Lister struct{ sampler sampler }

// AppendHolders appends the holders of a key's model to a list and marks those that have the
// adapter too. If there are very many holders, it lists a sample of them. A runner that is
// suspected to be down is listed only if there is no other.
func (l *Lister) AppendHolders(list []protocol.IndexHolder, q Query) []protocol.IndexHolder {
	all := q.candidates()
	before := len(list)
	list = q.appendFrom(list, l.selectRunners(all, &q), false)
	if len(list) == before {
		list = q.appendFrom(list, all, true)
	}
	return list
}

// selectRunners returns the runners that are listed for a router: all of them, or a sample if
// there are many. The sample prefers runners with the adapter.
func (l *Lister) selectRunners(all []*runnerstate.Runner, q *Query) []*runnerstate.Runner {
	if len(all) <= MaxHolders {
		return all
	}
	runners := all
	if holders := q.Model.AdapterHolders[q.Item.Adapter]; len(holders) > 0 {
		runners = holders
	}
	usable := func(r *runnerstate.Runner) bool { return !r.Unavailable() && !r.Suspect }
	serves := func(r *runnerstate.Runner) bool { return usable(r) && (!q.needsModel() || r.Offers(q.Item)) }
	if sampled := l.sampler.sample(runners, q.Router, serves); len(sampled) > 0 {
		return sampled
	}
	if sampled := l.sampler.sample(all, q.Router, usable); len(sampled) > 0 {
		return sampled
	}
	return runners
}

// appendFrom appends the available runners that offer the model and whose Suspect is as given.
func (q *Query) appendFrom(list []protocol.IndexHolder, runners []*runnerstate.Runner, suspect bool) []protocol.IndexHolder {
	model := runnerstate.Item{Model: q.Model.Name}
	needsModel := q.needsModel()
	for _, r := range runners {
		if r.Unavailable() || r.Suspect != suspect || needsModel && !r.Offers(model) {
			continue
		}
		list = append(list, protocol.IndexHolder{
			ID: r.Entry.ID, Address: r.Entry.Address, Zone: r.Entry.Zone, Slots: r.Entry.Slots,
			Adapter: q.Item.Adapter == "" || r.Offers(q.Item),
			Active:  r.State.Active, Queued: r.State.Queued,
			CacheUsed: r.State.CacheUsed, CacheTotal: r.State.CacheTotal,
			AgeMs: max(0, q.NowMs-r.StateMs),
		})
	}
	return list
}

// HasHolder reports whether an available runner offers the model and the adapter, even if that
// runner is suspected to be down. For a service without models it reports whether there are any
// runners, available or not.
func HasHolder(m *runnerstate.Model, adapter string) bool {
	if m == m.Service.Placeholder {
		return len(m.Service.Runners) > 0
	}
	item := runnerstate.Item{Model: m.Name, Adapter: adapter}
	return slices.ContainsFunc(m.Holders, func(r *runnerstate.Runner) bool { return !r.Unavailable() && r.Offers(item) })
}

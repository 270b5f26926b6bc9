// Package index lists the runners that routers may send requests to, and keeps
// the subscriptions of those routers that looked a key up lately. A key is a
// model of a service and, where the request needs one, an adapter. It is pure
// state: the caller passes the time in and sends what is to be sent.
package index

import (
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

// Query asks for the holders of a key.
type Query struct {
	NowMs int64
	// Router is who asks; its name and zone decide which holders of many it is
	// offered.
	Router protocol.Node
	Model  *runnerstate.Model
	// Item is what the request needs, by the names in it. A service without models
	// ignores the name of the model.
	Item runnerstate.Item
}

// needsModel is false for a service without models, all of whose runners can
// serve.
func (q *Query) needsModel() bool { return q.Model != q.Model.Service.Plain }

// candidates are the runners that may hold the model.
func (q *Query) candidates() []*runnerstate.Runner {
	if q.needsModel() {
		return q.Model.Holders
	}
	return q.Model.Service.Runners
}

// Lister lists holders. Its zero value is ready for use; keeping one saves
// allocations.
type Lister struct{ sampler sampler }

// AppendHolders appends the holders of a key's model to a list, each with
// whether it has the adapter too. Of very many holders it lists some. A runner
// that is suspected to be down is listed only if there is no other.
func (l *Lister) AppendHolders(list []protocol.IndexHolder, q Query) []protocol.IndexHolder {
	all := q.candidates()
	empty := len(list)
	list = q.appendFrom(list, l.narrow(all, &q), false)
	if len(list) == empty {
		list = q.appendFrom(list, all, true)
	}
	return list
}

// narrow picks those runners that a router is offered, where there are many. It
// prefers those with the adapter.
func (l *Lister) narrow(all []*runnerstate.Runner, q *Query) []*runnerstate.Runner {
	if len(all) <= MaxHolders {
		return all
	}
	runners := all
	if with := q.Model.AdapterHolders[q.Item.Adapter]; len(with) > 0 {
		runners = with
	}
	usable := func(r *runnerstate.Runner) bool { return !r.Unavailable() && !r.Suspect }
	serves := func(r *runnerstate.Runner) bool { return usable(r) && (!q.needsModel() || r.Offers(q.Item)) }
	if some := l.sampler.sample(runners, q.Router, serves); len(some) > 0 {
		return some
	}
	if some := l.sampler.sample(all, q.Router, usable); len(some) > 0 {
		return some
	}
	return runners
}

// appendFrom appends those runners that offer the model and are suspected, or
// are not.
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

// HasHolder says whether any runner serves a key.
func HasHolder(m *runnerstate.Model, adapter string) bool {
	if m == m.Service.Plain {
		return len(m.Service.Runners) > 0
	}
	item := runnerstate.Item{Model: m.Name, Adapter: adapter}
	return slices.ContainsFunc(m.Holders, func(r *runnerstate.Runner) bool { return !r.Unavailable() && r.Offers(item) })
}

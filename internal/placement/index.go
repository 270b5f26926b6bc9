package placement

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

// Tell is what a router that asked lately is told unasked.
type Tell struct {
	To    protocol.Node
	Index protocol.IndexReply
}

const (
	// askedMs is for how long a router that asked is told that a holder is gone,
	// and freshMs for how long that one came: without the first its next request
	// may go astray, without the second it has a little less to choose from, and
	// its next answer brings it.
	askedMs = 4_000
	freshMs = 1_500
	// asksMost bounds how many pairs of router and key are remembered.
	asksMost = 20_000
)

// asked are the routers that asked for a key lately, and what held it when it
// was last looked at.
type asked struct {
	by map[string]*ask
	// held names the holders; lost counts the times that one of them went.
	held []uint64
	lost uint64
}

// ask is a router's last look-up of a key; waits says that it had no holder,
// sum what it was last told, and lost the count up to which it was told.
type ask struct {
	to        *protocol.Node
	atMs      int64
	waits     bool
	sum, lost uint64
}

// see counts whether a holder went.
func (a *asked) see(index *protocol.IndexReply) {
	now := make([]uint64, 0, len(index.Holders))
	for i := range index.Holders {
		now = append(now, sumHolder(sumStart, &index.Holders[i]))
	}
	if slices.ContainsFunc(a.held, func(n uint64) bool { return !slices.Contains(now, n) }) {
		a.lost++
	}
	a.held = now
}

// due says whether a router is to be told what a key's answer is now.
func (one *ask) due(nowMs int64, now, lost uint64) bool {
	agoMs := nowMs - one.atMs
	switch {
	case agoMs > askedMs:
		return false
	case one.waits:
		return true
	// Most changes of a model are of one adapter, of which those who asked for
	// another need not hear.
	case one.sum == now:
		return false
	}
	return one.lost != lost || agoMs <= freshMs
}

// askers are the routers that asked lately.
type askers struct {
	places map[string]*protocol.Node
	models map[*model]bool
	count  int
}

func newAskers() askers {
	return askers{places: map[string]*protocol.Node{}, models: map[*model]bool{}}
}

func (a *askers) note(nowMs int64, m *model, from protocol.Node, told *protocol.IndexReply) {
	adapter := told.Adapter
	place := a.places[from.Name]
	if place == nil || *place != from {
		place = &from
		a.places[from.Name] = place
	}
	if m.asks == nil {
		m.asks = map[string]*asked{}
	}
	asks := m.asks[adapter]
	if asks == nil {
		asks = &asked{by: map[string]*ask{}}
		asks.see(told)
		m.asks[adapter] = asks
	}
	last := asks.by[from.Name]
	if last == nil {
		if a.count >= asksMost {
			return
		}
		a.count++
		last = &ask{}
		asks.by[from.Name] = last
	}
	last.to, last.atMs = place, nowMs
	last.sum, last.lost, last.waits = sum(told), asks.lost, len(told.Holders) == 0
	a.models[m] = true
}

func (a *askers) tidy(nowMs int64) {
	for m := range a.models {
		for adapter, asks := range m.asks {
			for name, one := range asks.by {
				if nowMs-one.atMs > askedMs {
					delete(asks.by, name)
					a.count--
				}
			}
			if len(asks.by) == 0 {
				delete(m.asks, adapter)
			}
		}
		if len(m.asks) == 0 {
			delete(a.models, m)
		}
	}
}

// LookUp answers a router's look-up, and counts it as demand.
func (k *Keeper) LookUp(nowMs int64, from protocol.Node, in protocol.IndexLookUp) protocol.IndexReply {
	m := k.lookedUp(in.Service, in.Model)
	if m != nil {
		key := demandKey{in.Service, in.Model, in.Adapter}
		// A router that only wants to be sure waits for no load.
		waits := 0
		if in.Waits && !k.offered(m, in.Adapter) {
			waits = 1
		}
		if k.active {
			m.reading(float64(in.Prompt), in.ReadMs, 1)
			k.count(nowMs, key, 1, float64(in.Tokens), float64(waits))
		} else {
			k.pend(key, in, waits)
		}
	}
	out := k.indexIn(nil, nowMs, from, in.Service, in.Model, in.Adapter)
	out.ID = in.ID
	if m != nil {
		k.askers.note(nowMs, m, from, &out)
	}
	return out
}

// offered says whether some runner can be asked for a model and an adapter.
func (k *Keeper) offered(m *model, adapter string) bool {
	if m == m.service.plain {
		return len(m.service.runners) > 0
	}
	return slices.ContainsFunc(m.holders, func(r *runner) bool { return !r.away() && r.offers(thing{m.name, adapter}) })
}

// sum names what a router does by an answer: which runners it may choose, or
// whether there is hope of one. Loads and times change all the while; they come
// with the next answer.
func sum(index *protocol.IndexReply) uint64 {
	n := sumStart
	for i := range index.Holders {
		n = sumHolder(n, &index.Holders[i])
	}
	if len(index.Holders) == 0 && index.Loading {
		n++
	}
	return n
}

const (
	sumStart uint64 = 14695981039346656037
	sumPrime uint64 = 1099511628211
)

func sumHolder(n uint64, h *protocol.IndexHolder) uint64 {
	for _, text := range [...]string{h.ID, h.Address} {
		for i := range len(text) {
			n = (n ^ uint64(text[i])) * sumPrime
		}
		n = (n ^ 0xff) * sumPrime
	}
	return n
}

// lookedUp finds what a look-up is about; nil is that no runner nor map knows
// the name, so that nothing is kept of it.
func (k *Keeper) lookedUp(service, name string) *model {
	s := k.services[service]
	if s == nil {
		return nil
	}
	if s.engine == nil || name == "" {
		return s.plain
	}
	return s.models[name]
}

// index makes the answer for a key as a router without a name gets it.
func (k *Keeper) index(nowMs int64, service, name, adapter string) protocol.IndexReply {
	return k.indexIn(nil, nowMs, protocol.Node{}, service, name, adapter)
}

// indexIn makes the answer for a key, with its holders in the given room. Of
// very many holders a router is offered some.
func (k *Keeper) indexIn(room []protocol.IndexHolder, nowMs int64, to protocol.Node, service, name, adapter string) protocol.IndexReply {
	out := protocol.IndexReply{
		Service: service, Model: name, Adapter: adapter, Epoch: k.epoch, Change: k.change, Known: k.known, TurnMs: -1, Holders: room,
	}
	m := k.lookedUp(service, name)
	if m == nil {
		return out
	}
	runners := m.holders
	if m == m.service.plain {
		runners = m.service.runners
	}
	x := thing{name, adapter}
	all := runners
	if len(all) > offeredMost {
		if with := m.with[adapter]; len(with) > 0 {
			runners = with
		}
		may := func(r *runner) bool { return !r.away() && !r.suspect && (m == m.service.plain || r.offers(x)) }
		if some := k.sample(runners, to, may); len(some) > 0 {
			runners = some
		} else if some := k.sample(all, to, func(r *runner) bool { return !r.away() && !r.suspect }); len(some) > 0 {
			runners = some
		}
	}
	add := func(suspect bool) {
		for _, r := range runners {
			if r.away() || r.suspect != suspect || m != m.service.plain && !r.offers(thing{Model: name}) {
				continue
			}
			out.Holders = append(out.Holders, protocol.IndexHolder{
				ID: r.entry.ID, Address: r.entry.Address, Zone: r.entry.Zone, Slots: r.entry.Slots,
				Adapter: adapter == "" || r.offers(x),
				Active:  r.state.Active, Queued: r.state.Queued,
				CacheUsed: r.state.CacheUsed, CacheTotal: r.state.CacheTotal,
				AgeMs: max(0, nowMs-r.stateMs),
			})
		}
	}
	add(false)
	if len(out.Holders) == 0 {
		// A silent runner is better than none.
		runners = all
		add(true)
	}
	if m != m.service.plain {
		out.TurnMs, out.Loading = k.turn(nowMs, m, adapter, out.Holders)
	}
	// No request goes where only the adapter lacks, and there may be many such.
	out.Holders = slices.DeleteFunc(out.Holders, func(h protocol.IndexHolder) bool { return !h.Adapter })
	return out
}

// turn works out when something will be held, and whether it is being loaded.
func (k *Keeper) turn(nowMs int64, m *model, adapter string, holders []protocol.IndexHolder) (turnMs int64, loading bool) {
	if slices.ContainsFunc(holders, func(h protocol.IndexHolder) bool { return h.Adapter }) {
		return 0, false
	}
	if !k.active {
		if soft, ok := k.soft[m.service.name+" "+m.name]; ok && len(holders) == 0 {
			return max(0, soft.LeftMs-(nowMs-k.agesAt)), true
		}
	}
	turnMs = -1
	for _, r := range m.service.runners {
		o := r.order
		if o == nil || o.assumed || r.away() || r.suspect {
			continue
		}
		leftMs := int64(-1)
		switch {
		case o.load && o.thing == thing{m.name, adapter} && adapter != "":
			leftMs = max(20, assumeMs-(nowMs-o.firstMs))
		case o.load && o.thing == thing{m.name, ""}:
			leftMs = max(100, k.likelyMs(r, m)+150-(nowMs-o.firstMs))
		case !o.load && r.plan.Model == m.name && r.plan.Adapter == adapter:
			leftMs = 300
			if adapter == "" {
				leftMs += k.likelyMs(r, m)
			}
		}
		if leftMs >= 0 {
			loading = true
			if turnMs < 0 || leftMs < turnMs {
				turnMs = leftMs
			}
		}
	}
	if turnMs >= 0 {
		return turnMs, loading
	}
	if len(holders) > 0 {
		// Only the adapter lacks.
		return 200, false
	}
	// A new primary orders nothing for a while, and plans nothing until then.
	waitMs := int64(0)
	if k.active {
		waitMs = max(0, k.ordersFromMs-nowMs)
	}
	if m.queueMs >= 0 || waitMs > 0 {
		return max(0, m.queueMs) + waitMs + m.spec.LoadMs + 300, false
	}
	return -1, false
}

// likelyMs is how long the load of a model should take at a runner.
func (k *Keeper) likelyMs(r *runner, m *model) int64 {
	if r.disk[m.name] {
		return m.warm()
	}
	return m.spec.LoadMs
}

// tells gives, for each model whose holders changed, the routers that asked
// for it lately the new answer.
func (k *Keeper) tells(nowMs int64) []Tell {
	var out []Tell
	slices.SortFunc(k.dirty, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.service.name, b.service.name), cmp.Compare(a.name, b.name))
	})
	for _, m := range k.dirty {
		m.dirty = false
		for _, adapter := range sortedKeys(m.asks) {
			index := k.indexIn(k.room[:0], nowMs, protocol.Node{}, m.service.name, m.name, adapter)
			k.room = index.Holders[:0]
			// Of so many holders each router is offered others. That one of them
			// comes or goes makes little difference, and so much is looked up all
			// the while: the next answer brings it.
			if len(index.Holders) >= offeredMost {
				continue
			}
			now, kept := sum(&index), false
			asks := m.asks[adapter]
			asks.see(&index)
			for _, name := range sortedKeys(asks.by) {
				one := asks.by[name]
				if !one.due(nowMs, now, asks.lost) {
					continue
				}
				one.sum, one.lost, one.waits = now, asks.lost, len(index.Holders) == 0
				if !kept {
					kept, index.Holders = true, slices.Clone(index.Holders)
				}
				out = append(out, Tell{To: *one.to, Index: index})
			}
		}
	}
	k.dirty = k.dirty[:0]
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

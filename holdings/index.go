package holdings

import (
	"cmp"
	"slices"

	"myrtlewinch/wire"
)

// Tell is what a router that asked lately is told unasked.
type Tell struct {
	To    wire.Place
	Index wire.MapIndex
}

const (
	// askedMs is for how long a router that asked is told of changes.
	askedMs = 10_000
	// asksMost bounds how many pairs of router and key are remembered.
	asksMost = 20_000
)

// ask is a router's last look-up of a key; waits says that it had no holder.
type ask struct {
	to    *wire.Place
	atMs  int64
	waits bool
}

// askers are the routers that asked lately.
type askers struct {
	places map[string]*wire.Place
	models map[*model]bool
	count  int
}

func newAskers() askers {
	return askers{places: map[string]*wire.Place{}, models: map[*model]bool{}}
}

func (a *askers) note(nowMs int64, m *model, adapter string, from wire.Place, waits bool) {
	place := a.places[from.Name]
	if place == nil || *place != from {
		place = &from
		a.places[from.Name] = place
	}
	if m.asks == nil {
		m.asks = map[string]map[string]*ask{}
	}
	asks := m.asks[adapter]
	if asks == nil {
		asks = map[string]*ask{}
		m.asks[adapter] = asks
	}
	last := asks[from.Name]
	if last == nil {
		if a.count >= asksMost {
			return
		}
		a.count++
		last = &ask{}
		asks[from.Name] = last
	}
	last.to, last.atMs = place, nowMs
	last.waits = waits
	a.models[m] = true
}

func (a *askers) tidy(nowMs int64) {
	for m := range a.models {
		for adapter, asks := range m.asks {
			for name, one := range asks {
				if nowMs-one.atMs > askedMs {
					delete(asks, name)
					a.count--
				}
			}
			if len(asks) == 0 {
				delete(m.asks, adapter)
			}
		}
		if len(m.asks) == 0 {
			delete(a.models, m)
		}
	}
}

// LookUp answers a router's look-up, and counts it as demand.
func (k *Keeper) LookUp(nowMs int64, from wire.Place, in wire.MapLookUp) wire.MapIndex {
	m := k.lookedUp(in.Service, in.Model)
	if m != nil {
		key := demandKey{in.Service, in.Model, in.Adapter}
		waits := 0
		if in.Waits {
			waits = 1
		}
		m.readCost(in.ReadMs)
		m.prompts += promptShare * (float64(in.Prompt) - m.prompts)
		if k.active {
			k.count(nowMs, key, 1, float64(in.Tokens), float64(waits))
		} else {
			k.pend(key, in.Tokens, waits)
		}
		k.askers.note(nowMs, m, in.Adapter, from, in.Waits)
	}
	out := k.index(nowMs, in.Service, in.Model, in.Adapter)
	out.Id = in.Id
	return out
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

// index makes the answer for a key.
func (k *Keeper) index(nowMs int64, service, name, adapter string) wire.MapIndex {
	out := wire.MapIndex{Service: service, Model: name, Adapter: adapter, Epoch: k.epoch, Change: k.change, Known: k.known, TurnMs: -1}
	m := k.lookedUp(service, name)
	if m == nil {
		return out
	}
	runners := m.holders
	if m == m.service.plain {
		runners = m.service.runners
	}
	x := thing{name, adapter}
	add := func(suspect bool) {
		for _, r := range runners {
			if r.away() || r.suspect != suspect || m != m.service.plain && !r.offers(thing{Model: name}) {
				continue
			}
			out.Holders = append(out.Holders, wire.MapHolder{
				Id: r.entry.Id, Address: r.entry.Address, Zone: r.entry.Zone, Slots: r.entry.Slots,
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
		add(true)
	}
	if m != m.service.plain {
		out.TurnMs, out.Loading = k.turn(nowMs, m, adapter, out.Holders)
	}
	return out
}

// turn works out when something will be held, and whether it is being loaded.
func (k *Keeper) turn(nowMs int64, m *model, adapter string, holders []wire.MapHolder) (turnMs int64, loading bool) {
	if slices.ContainsFunc(holders, func(h wire.MapHolder) bool { return h.Adapter }) {
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
	if m.queueMs >= 0 {
		return m.queueMs + m.spec.LoadMs + 300, false
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
			var index wire.MapIndex
			asks := m.asks[adapter]
			for _, name := range sortedKeys(asks) {
				one := asks[name]
				if nowMs-one.atMs > askedMs {
					continue
				}
				if index.Service == "" {
					index = k.index(nowMs, m.service.name, m.name, adapter)
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

package placement

import (
	"cmp"
	"slices"

	"myrtlewinch/internal/protocol"
)

// IndexUpdate is what a router that asked lately is told unasked.
type IndexUpdate struct {
	To    protocol.Node
	Index protocol.IndexReply
}

const (
	// subscriptionMs is for how long a router that asked is told that a holder is gone,
	// and gainNotifyMs for how long that one came: without the first its next request
	// may go astray, without the second it has a little less to choose from, and
	// its next answer brings it.
	subscriptionMs = 4_000
	gainNotifyMs   = 1_500
	// maxSubscriptions bounds how many pairs of router and key are remembered.
	maxSubscriptions = 20_000
)

// subscribers are the routers that asked for a key lately, and what held it when it
// was last looked at.
type subscribers struct {
	byRouter map[string]*subscription
	// holderHashes names the holders; lost counts the times that one of them went.
	holderHashes []uint64
	losses       uint64
}

// subscription is a router's last look-up of a key; waits says that it had no holder,
// sum what it was last told, and lost the count up to which it was told.
type subscription struct {
	router               *protocol.Node
	lookedUpMs           int64
	noHolder             bool
	lastHash, lossesSent uint64
}

// update counts whether a holder went.
func (a *subscribers) update(index *protocol.IndexReply) {
	now := make([]uint64, 0, len(index.Holders))
	for i := range index.Holders {
		now = append(now, hashHolder(fnvOffset, &index.Holders[i]))
	}
	if slices.ContainsFunc(a.holderHashes, func(n uint64) bool { return !slices.Contains(now, n) }) {
		a.losses++
	}
	a.holderHashes = now
}

// updateDue says whether a router is to be told what a key's answer is now.
func (one *subscription) updateDue(nowMs int64, now, lost uint64) bool {
	agoMs := nowMs - one.lookedUpMs
	switch {
	case agoMs > subscriptionMs:
		return false
	case one.noHolder:
		return true
	// Most changes of a model are of one adapter, of which those who asked for
	// another need not hear.
	case one.lastHash == now:
		return false
	}
	return one.lossesSent != lost || agoMs <= gainNotifyMs
}

// subscriptionTable are the routers that asked lately.
type subscriptionTable struct {
	routers map[string]*protocol.Node
	models  map[*Model]bool
	count   int
}

func newSubscriptionTable() subscriptionTable {
	return subscriptionTable{routers: map[string]*protocol.Node{}, models: map[*Model]bool{}}
}

func (a *subscriptionTable) record(nowMs int64, m *Model, from protocol.Node, told *protocol.IndexReply) {
	adapter := told.Adapter
	place := a.routers[from.Name]
	if place == nil || *place != from {
		place = &from
		a.routers[from.Name] = place
	}
	if m.subscribers == nil {
		m.subscribers = map[string]*subscribers{}
	}
	asks := m.subscribers[adapter]
	if asks == nil {
		asks = &subscribers{byRouter: map[string]*subscription{}}
		asks.update(told)
		m.subscribers[adapter] = asks
	}
	last := asks.byRouter[from.Name]
	if last == nil {
		if a.count >= maxSubscriptions {
			return
		}
		a.count++
		last = &subscription{}
		asks.byRouter[from.Name] = last
	}
	last.router, last.lookedUpMs = place, nowMs
	last.lastHash, last.lossesSent, last.noHolder = hashReply(told), asks.losses, len(told.Holders) == 0
	a.models[m] = true
}

func (a *subscriptionTable) expire(nowMs int64) {
	for m := range a.models {
		for adapter, asks := range m.subscribers {
			for name, one := range asks.byRouter {
				if nowMs-one.lookedUpMs > subscriptionMs {
					delete(asks.byRouter, name)
					a.count--
				}
			}
			if len(asks.byRouter) == 0 {
				delete(m.subscribers, adapter)
			}
		}
		if len(m.subscribers) == 0 {
			delete(a.models, m)
		}
	}
}

// LookUp answers a router's look-up, and counts it as demand.
func (k *Manager) LookUp(nowMs int64, from protocol.Node, in protocol.IndexLookUp) protocol.IndexReply {
	m := k.findModel(in.Service, in.Model)
	if m != nil {
		key := DemandKey{in.Service, in.Model, in.Adapter}
		// A router that only wants to be sure waits for no load.
		waits := 0
		if in.Waits && !k.hasHolder(m, in.Adapter) {
			waits = 1
		}
		if k.active {
			m.AddPrefill(float64(in.Prompt), in.ReadMs, 1)
			k.addDemand(nowMs, key, 1, float64(in.Tokens), float64(waits))
		} else {
			k.recordFollowerDemand(key, in, waits)
		}
	}
	out := k.replyInto(nil, nowMs, from, in.Service, in.Model, in.Adapter)
	out.ID = in.ID
	if m != nil {
		k.subscriptions.record(nowMs, m, from, &out)
	}
	return out
}

// hasHolder says whether some runner can be asked for a model and an adapter.
func (k *Manager) hasHolder(m *Model, adapter string) bool {
	if m == m.Service.Plain {
		return len(m.Service.Runners) > 0
	}
	return slices.ContainsFunc(m.Holders, func(r *Runner) bool { return !r.Unavailable() && r.Offers(Item{m.Name, adapter}) })
}

// hashReply names what a router does by an answer: which runners it may choose, or
// whether there is hope of one. Loads and times change all the while; they come
// with the next answer.
func hashReply(index *protocol.IndexReply) uint64 {
	n := fnvOffset
	for i := range index.Holders {
		n = hashHolder(n, &index.Holders[i])
	}
	if len(index.Holders) == 0 && index.Loading {
		n++
	}
	return n
}

const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

func hashHolder(n uint64, h *protocol.IndexHolder) uint64 {
	for _, text := range [...]string{h.ID, h.Address} {
		for i := range len(text) {
			n = (n ^ uint64(text[i])) * fnvPrime
		}
		n = (n ^ 0xff) * fnvPrime
	}
	return n
}

// findModel finds what a look-up is about; nil is that no runner nor map knows
// the name, so that nothing is kept of it.
func (k *Manager) findModel(service, name string) *Model {
	s := k.services[service]
	if s == nil {
		return nil
	}
	if s.Engine == nil || name == "" {
		return s.Plain
	}
	return s.Models[name]
}

// reply makes the answer for a key as a router without a name gets it.
func (k *Manager) reply(nowMs int64, service, name, adapter string) protocol.IndexReply {
	return k.replyInto(nil, nowMs, protocol.Node{}, service, name, adapter)
}

// replyInto makes the answer for a key, with its holders in the given room. Of
// very many holders a router is offered some.
func (k *Manager) replyInto(room []protocol.IndexHolder, nowMs int64, to protocol.Node, service, name, adapter string) protocol.IndexReply {
	out := protocol.IndexReply{
		Service: service, Model: name, Adapter: adapter, Epoch: k.epoch, Change: k.revision, Known: k.indexKnown, TurnMs: -1, Holders: room,
	}
	m := k.findModel(service, name)
	if m == nil {
		return out
	}
	runners := m.Holders
	if m == m.Service.Plain {
		runners = m.Service.Runners
	}
	x := Item{name, adapter}
	all := runners
	if len(all) > maxListedHolders {
		if with := m.AdapterHolders[adapter]; len(with) > 0 {
			runners = with
		}
		may := func(r *Runner) bool { return !r.Unavailable() && !r.Suspect && (m == m.Service.Plain || r.Offers(x)) }
		if some := k.sampleRunners(runners, to, may); len(some) > 0 {
			runners = some
		} else if some := k.sampleRunners(all, to, func(r *Runner) bool { return !r.Unavailable() && !r.Suspect }); len(some) > 0 {
			runners = some
		}
	}
	add := func(suspect bool) {
		for _, r := range runners {
			if r.Unavailable() || r.Suspect != suspect || m != m.Service.Plain && !r.Offers(Item{Model: name}) {
				continue
			}
			out.Holders = append(out.Holders, protocol.IndexHolder{
				ID: r.Entry.ID, Address: r.Entry.Address, Zone: r.Entry.Zone, Slots: r.Entry.Slots,
				Adapter: adapter == "" || r.Offers(x),
				Active:  r.State.Active, Queued: r.State.Queued,
				CacheUsed: r.State.CacheUsed, CacheTotal: r.State.CacheTotal,
				AgeMs: max(0, nowMs-r.StateMs),
			})
		}
	}
	add(false)
	if len(out.Holders) == 0 {
		// A silent runner is better than none.
		runners = all
		add(true)
	}
	if m != m.Service.Plain {
		out.TurnMs, out.Loading = k.estimateWait(nowMs, m, adapter, out.Holders)
	}
	// No request goes where only the adapter lacks, and there may be many such.
	out.Holders = slices.DeleteFunc(out.Holders, func(h protocol.IndexHolder) bool { return !h.Adapter })
	return out
}

// estimateWait works out when something will be held, and whether it is being loaded.
func (k *Manager) estimateWait(nowMs int64, m *Model, adapter string, holders []protocol.IndexHolder) (turnMs int64, loading bool) {
	if slices.ContainsFunc(holders, func(h protocol.IndexHolder) bool { return h.Adapter }) {
		return 0, false
	}
	if !k.active {
		if soft, ok := k.primaryLoads[m.Service.Name+" "+m.Name]; ok && len(holders) == 0 {
			return max(0, soft.LeftMs-(nowMs-k.priorLoadAgesAtMs)), true
		}
	}
	turnMs = -1
	for _, r := range m.Service.Runners {
		o := r.Order
		if o == nil || o.Assumed || r.Unavailable() || r.Suspect {
			continue
		}
		leftMs := int64(-1)
		switch {
		case o.Load && o.Item == Item{m.Name, adapter} && adapter != "":
			leftMs = max(20, assumeLoadedMs-(nowMs-o.FirstSentMs))
		case o.Load && o.Item == Item{m.Name, ""}:
			leftMs = max(100, k.expectedLoadMs(r, m)+150-(nowMs-o.FirstSentMs))
		case !o.Load && r.ReservedFor.Model == m.Name && r.ReservedFor.Adapter == adapter:
			leftMs = 300
			if adapter == "" {
				leftMs += k.expectedLoadMs(r, m)
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
	if m.QueueMs >= 0 || waitMs > 0 {
		return max(0, m.QueueMs) + waitMs + m.Spec.LoadMs + 300, false
	}
	return -1, false
}

// expectedLoadMs is how long the load of a model should take at a runner.
func (k *Manager) expectedLoadMs(r *Runner, m *Model) int64 {
	if r.OnDisk[m.Name] {
		return m.WarmLoadMs()
	}
	return m.Spec.LoadMs
}

// indexUpdates gives, for each model whose holders changed, the routers that asked
// for it lately the new answer.
func (k *Manager) indexUpdates(nowMs int64) []IndexUpdate {
	var out []IndexUpdate
	slices.SortFunc(k.changedModels, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(a.Service.Name, b.Service.Name), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range k.changedModels {
		m.changed = false
		for _, adapter := range sortedKeys(m.subscribers) {
			index := k.replyInto(k.holderBuffer[:0], nowMs, protocol.Node{}, m.Service.Name, m.Name, adapter)
			k.holderBuffer = index.Holders[:0]
			// Of so many holders each router is offered others. That one of them
			// comes or goes makes little difference, and so much is looked up all
			// the while: the next answer brings it.
			if len(index.Holders) >= maxListedHolders {
				continue
			}
			now, kept := hashReply(&index), false
			asks := m.subscribers[adapter]
			asks.update(&index)
			for _, name := range sortedKeys(asks.byRouter) {
				one := asks.byRouter[name]
				if !one.updateDue(nowMs, now, asks.losses) {
					continue
				}
				one.lastHash, one.lossesSent, one.noHolder = now, asks.losses, len(index.Holders) == 0
				if !kept {
					kept, index.Holders = true, slices.Clone(index.Holders)
				}
				out = append(out, IndexUpdate{To: *one.router, Index: index})
			}
		}
	}
	k.changedModels = k.changedModels[:0]
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

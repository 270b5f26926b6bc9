package index

import (
	"cmp"
	"maps"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// subscriptionMs is for how long after a look-up a router is notified that a
	// holder went; without that its next request might go astray.
	subscriptionMs = 4_000
	// GainNotifyMs is for how long it is notified that a holder came; without that it
	// has a little less to choose from until its next look-up.
	GainNotifyMs = 1_500
	// maxSubscriptions bounds how many pairs of router and key are kept.
	maxSubscriptions = 20_000
)

// Update is a reply that a router gets without asking again.
type Update struct {
	To    protocol.Node
	Index protocol.IndexReply
}

// Subscriptions are the routers that looked a key up lately, and the models
// whose holders changed since the last Updates. Make it with NewSubscriptions.
type Subscriptions struct {
	// routers holds each router's address once.
	routers map[string]*protocol.Node
	// byModel holds the subscribers of each model by adapter.
	byModel map[*runnerstate.Model]map[string]*subscribers
	count   int
	changed map[*runnerstate.Model]struct{}
	// buffer is for replies that are not sent.
	buffer []protocol.IndexHolder
}

// subscribers are the routers that looked one key up, and what held it when it
// was looked at last.
type subscribers struct {
	byRouter map[string]*subscription
	// holderHashes are those of the holders; losses counts the times that one of
	// them went.
	holderHashes []uint64
	losses       uint64
}

// subscription is a router's last look-up of a key.
type subscription struct {
	router     *protocol.Node
	lookedUpMs int64
	// noHolder says that the last reply listed no holder.
	noHolder bool
	// lastHash is that of the last reply sent, lossesSent the count of losses up to
	// which the router knows.
	lastHash, lossesSent uint64
}

// NewSubscriptions makes a table without subscriptions.
func NewSubscriptions() *Subscriptions {
	return &Subscriptions{
		routers: map[string]*protocol.Node{},
		byModel: map[*runnerstate.Model]map[string]*subscribers{},
		changed: map[*runnerstate.Model]struct{}{},
	}
}

// Record notes a router's look-up of a model and the reply to it.
func (s *Subscriptions) Record(nowMs int64, m *runnerstate.Model, router protocol.Node, reply *protocol.IndexReply) {
	known := s.routers[router.Name]
	if known == nil || *known != router {
		known = &router
		s.routers[router.Name] = known
	}
	key := s.subscribersOf(m, reply)
	last := key.byRouter[router.Name]
	if last == nil {
		if s.count >= maxSubscriptions {
			return
		}
		s.count++
		last = &subscription{}
		key.byRouter[router.Name] = last
	}
	last.router, last.lookedUpMs = known, nowMs
	last.sent(reply, hashReply(reply), key.losses)
}

// subscribersOf returns the subscribers of a reply's key and makes them if need
// be.
func (s *Subscriptions) subscribersOf(m *runnerstate.Model, reply *protocol.IndexReply) *subscribers {
	byAdapter := s.byModel[m]
	if byAdapter == nil {
		byAdapter = map[string]*subscribers{}
		s.byModel[m] = byAdapter
	}
	key := byAdapter[reply.Adapter]
	if key == nil {
		key = &subscribers{byRouter: map[string]*subscription{}}
		key.updateHolders(reply)
		byAdapter[reply.Adapter] = key
	}
	return key
}

// Has says whether a model has subscribers.
func (s *Subscriptions) Has(m *runnerstate.Model) bool { return len(s.byModel[m]) > 0 }

// Expire drops the subscriptions that have run out.
func (s *Subscriptions) Expire(nowMs int64) {
	for m, byAdapter := range s.byModel {
		for adapter, key := range byAdapter {
			for name, one := range key.byRouter {
				if nowMs-one.lookedUpMs > subscriptionMs {
					delete(key.byRouter, name)
					s.count--
				}
			}
			if len(key.byRouter) == 0 {
				delete(byAdapter, adapter)
			}
		}
		if len(byAdapter) == 0 {
			delete(s.byModel, m)
		}
	}
}

// HoldersChanged marks a model as one whose subscribers may need an update.
func (s *Subscriptions) HoldersChanged(m *runnerstate.Model) { s.changed[m] = struct{}{} }

// replyFunc makes the reply for a key, with its holders in the given buffer.
type replyFunc func(buffer []protocol.IndexHolder, m *runnerstate.Model, adapter string) protocol.IndexReply

// Updates returns the updates for the routers that are subscribed to the models
// that changed since the last call, ordered by service, model, adapter and
// router.
func (s *Subscriptions) Updates(nowMs int64, reply replyFunc) []Update {
	if len(s.changed) == 0 {
		return nil
	}
	var out []Update
	for _, m := range slices.SortedFunc(maps.Keys(s.changed), compareModels) {
		byAdapter := s.byModel[m]
		for _, adapter := range slices.Sorted(maps.Keys(byAdapter)) {
			out = s.appendUpdates(out, nowMs, byAdapter[adapter], reply(s.buffer[:0], m, adapter))
		}
	}
	clear(s.changed)
	return out
}

func compareModels(a, b *runnerstate.Model) int {
	return cmp.Or(cmp.Compare(a.Service.Name, b.Service.Name), cmp.Compare(a.Name, b.Name))
}

// appendUpdates appends the updates for one key, whose reply is in the buffer.
func (s *Subscriptions) appendUpdates(out []Update, nowMs int64, key *subscribers, reply protocol.IndexReply) []Update {
	s.buffer = reply.Holders[:0]
	// Of so many holders each router is offered others. That one of them comes or
	// goes makes little difference, and a key with so many is looked up
	// constantly, so the next reply has it.
	if len(reply.Holders) >= MaxHolders {
		return out
	}
	hash, cloned := hashReply(&reply), false
	key.updateHolders(&reply)
	for _, name := range slices.Sorted(maps.Keys(key.byRouter)) {
		one := key.byRouter[name]
		if !one.updateDue(nowMs, hash, key.losses) {
			continue
		}
		one.sent(&reply, hash, key.losses)
		if !cloned {
			cloned, reply.Holders = true, slices.Clone(reply.Holders)
		}
		out = append(out, Update{To: *one.router, Index: reply})
	}
	return out
}

// updateHolders notes the holders of a key and counts whether one of them went.
func (k *subscribers) updateHolders(reply *protocol.IndexReply) {
	hashes := make([]uint64, 0, len(reply.Holders))
	for i := range reply.Holders {
		hashes = append(hashes, hashHolder(fnvOffset, &reply.Holders[i]))
	}
	gone := func(hash uint64) bool { return !slices.Contains(hashes, hash) }
	if slices.ContainsFunc(k.holderHashes, gone) {
		k.losses++
	}
	k.holderHashes = hashes
}

// sent notes the reply that a router got last.
func (one *subscription) sent(reply *protocol.IndexReply, hash, losses uint64) {
	one.lastHash, one.lossesSent, one.noHolder = hash, losses, len(reply.Holders) == 0
}

// updateDue says whether a router needs to know the present reply.
func (one *subscription) updateDue(nowMs int64, hash, losses uint64) bool {
	agoMs := nowMs - one.lookedUpMs
	switch {
	case agoMs > subscriptionMs:
		return false
	case one.noHolder:
		return true
	// Most changes of a model are of one adapter, which don't matter to those who
	// looked up another.
	case one.lastHash == hash:
		return false
	}
	return one.lossesSent != losses || agoMs <= GainNotifyMs
}

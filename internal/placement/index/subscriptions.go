package index

import (
	"cmp"
	"maps"
	"slices"

	"myrtlewinch/internal/placement/runnerstate"
	"myrtlewinch/internal/protocol"
)

const (
	// subscriptionMs is how long after a look-up a router is notified that a holder was
	// removed. Without the update its next request might go to a runner that doesn't hold the
	// key.
	subscriptionMs = 4_000
	// NewHolderNotifyMs is how long after a look-up a router is notified that a holder was
	// added. Without the update it only has one holder fewer to choose from until its next
	// look-up.
	NewHolderNotifyMs = 1_500
	// maxSubscriptions limits the number of subscriptions, one for each router and key.
	maxSubscriptions = 20_000
)

// Update is a reply that a router gets without a new look-up.
type Update struct {
	To    protocol.Node
	Reply protocol.IndexReply
}

// Subscriptions holds the routers that looked a key up recently, and the models whose holders
// changed since the last call of Updates. Create it with NewSubscriptions.
type Subscriptions struct {
	// routers holds each router once, by name; the subscriptions refer to it.
	routers map[string]*protocol.Node
	// byModel holds the subscribers of each model by adapter.
	byModel map[*runnerstate.Model]map[string]*subscribers
	count   int
	changed map[*runnerstate.Model]struct{}
	// buffer is reused for the holders of replies that are not sent.
	buffer []protocol.IndexHolder
}

// subscribers are the routers that looked one key up, and the holders of the key at the last
// check.
type subscribers struct {
	byRouter map[string]*subscription
	// holderHashes are the hashes of the holders. losses counts the checks at which a holder of
	// the previous check was missing.
	holderHashes []uint64
	losses       uint64
}

// subscription is a router's last look-up of a key.
type subscription struct {
	router     *protocol.Node
	lookedUpMs int64
	// noHolder is true if the last reply listed no holder.
	noHolder bool
	// lastHash is the hash of the last reply sent. lossesSent is the value of losses when it
	// was sent.
	lastHash, lossesSent uint64
}

// NewSubscriptions returns an empty table of subscriptions.
func NewSubscriptions() *Subscriptions {
	return &Subscriptions{
		routers: map[string]*protocol.Node{},
		byModel: map[*runnerstate.Model]map[string]*subscribers{},
		changed: map[*runnerstate.Model]struct{}{},
	}
}

// Record records a router's look-up of a model and the reply to it.
func (s *Subscriptions) Record(nowMs int64, m *runnerstate.Model, router protocol.Node, reply *protocol.IndexReply) {
	node := s.routers[router.Name]
	if node == nil || *node != router {
		node = &router
		s.routers[router.Name] = node
	}
	subs := s.subscribersOf(m, reply)
	last := subs.byRouter[router.Name]
	if last == nil {
		if s.count >= maxSubscriptions {
			return
		}
		s.count++
		last = &subscription{}
		subs.byRouter[router.Name] = last
	}
	last.router, last.lookedUpMs = node, nowMs
	last.recordSent(reply, hashReply(reply), subs.losses)
}

// subscribersOf returns the subscribers of a reply's key and creates them on first use.
func (s *Subscriptions) subscribersOf(m *runnerstate.Model, reply *protocol.IndexReply) *subscribers {
	byAdapter := s.byModel[m]
	if byAdapter == nil {
		byAdapter = map[string]*subscribers{}
		s.byModel[m] = byAdapter
	}
	subs := byAdapter[reply.Adapter]
	if subs == nil {
		subs = &subscribers{byRouter: map[string]*subscription{}}
		subs.updateHolders(reply)
		byAdapter[reply.Adapter] = subs
	}
	return subs
}

// Has reports whether a model has subscribers.
func (s *Subscriptions) Has(m *runnerstate.Model) bool { return len(s.byModel[m]) > 0 }

// Expire removes the expired subscriptions.
func (s *Subscriptions) Expire(nowMs int64) {
	for m, byAdapter := range s.byModel {
		for adapter, subs := range byAdapter {
			for name, sub := range subs.byRouter {
				if nowMs-sub.lookedUpMs > subscriptionMs {
					delete(subs.byRouter, name)
					s.count--
				}
			}
			if len(subs.byRouter) == 0 {
				delete(byAdapter, adapter)
			}
		}
		if len(byAdapter) == 0 {
			delete(s.byModel, m)
		}
	}
}

// HoldersChanged marks a model whose subscribers may need an update.
func (s *Subscriptions) HoldersChanged(m *runnerstate.Model) { s.changed[m] = struct{}{} }

// replyFunc returns the reply for a key, with its holders in the given buffer.
type replyFunc func(buffer []protocol.IndexHolder, m *runnerstate.Model, adapter string) protocol.IndexReply

// Updates returns the updates for the subscribers of models that changed since the last call,
// ordered by service, model, adapter and router.
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

// appendUpdates appends the updates for one key, whose reply uses the buffer.
func (s *Subscriptions) appendUpdates(out []Update, nowMs int64, subs *subscribers, reply protocol.IndexReply) []Update {
	s.buffer = reply.Holders[:0]
	// If a key has this many holders, a different sample is listed for each router. A single
	// added or removed holder makes little difference. The key is looked up constantly, so the
	// next reply shows the change.
	if len(reply.Holders) >= MaxHolders {
		return out
	}
	hash, cloned := hashReply(&reply), false
	subs.updateHolders(&reply)
	for _, name := range slices.Sorted(maps.Keys(subs.byRouter)) {
		sub := subs.byRouter[name]
		if !sub.updateDue(nowMs, hash, subs.losses) {
			continue
		}
		sub.recordSent(&reply, hash, subs.losses)
		if !cloned {
			cloned, reply.Holders = true, slices.Clone(reply.Holders)
		}
		out = append(out, Update{To: *sub.router, Reply: reply})
	}
	return out
}

// updateHolders records the holders of a key and counts a loss if any holder was removed.
func (subs *subscribers) updateHolders(reply *protocol.IndexReply) {
	hashes := make([]uint64, 0, len(reply.Holders))
	for i := range reply.Holders {
		hashes = append(hashes, hashHolder(fnvOffset, &reply.Holders[i]))
	}
	gone := func(hash uint64) bool { return !slices.Contains(hashes, hash) }
	if slices.ContainsFunc(subs.holderHashes, gone) {
		subs.losses++
	}
	subs.holderHashes = hashes
}

// recordSent records the reply that was last sent to the router.
func (sub *subscription) recordSent(reply *protocol.IndexReply, hash, losses uint64) {
	sub.lastHash, sub.lossesSent, sub.noHolder = hash, losses, len(reply.Holders) == 0
}

// updateDue reports whether the current reply must be sent to the router.
func (sub *subscription) updateDue(nowMs int64, hash, losses uint64) bool {
	agoMs := nowMs - sub.lookedUpMs
	switch {
	case agoMs > subscriptionMs:
		return false
	case sub.noHolder:
		return true
	// Most changes of a model concern one adapter and don't matter to routers that looked up
	// another.
	case sub.lastHash == hash:
		return false
	}
	return sub.lossesSent != losses || agoMs <= NewHolderNotifyMs
}

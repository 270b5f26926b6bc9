package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

const (
	// missDelayedMs is how long a miss waits before it counts as delayed.
	missDelayedMs = 50
	// lookUpRetryMs is how long after the first look-up of a miss another controller is
	// asked if there is no reply.
	lookUpRetryMs = 300
)

// sendLookUpWith sends the look-up of a hit together with its first attempt, and states
// the runner in it. It returns false if the look-up was sent before.
func (m *Machine) sendLookUpWith(r *request, runner string) bool {
	if !r.lookUpDue {
		return false
	}
	r.lookUpDue = false
	m.sendLookUp(r, m.lookUpTarget(false), runner)
	return true
}

// sendDueLookUp sends the look-up of a hit for which no attempt has started.
func (m *Machine) sendDueLookUp(r *request) {
	if r.lookUpDue {
		r.lookUpDue = false
		m.sendLookUp(r, m.lookUpTarget(false), "")
	}
}

// sendLookUp sends the look-up of a request to a controller. runner names the runner to
// which the request is sent at the same time, or is empty. Nothing is sent while the
// controller's address is unknown.
func (m *Machine) sendLookUp(r *request, controller, runner string) {
	node, known := m.detector.Node(controller)
	if !known || controller == "" {
		return
	}
	r.lookUpsSent++
	r.lookUpSentMs, r.lookUpController = m.nowMs, controller
	m.outbox.Send(node, protocol.IndexLookUp{
		ID: r.lookUpID, Service: r.key.service, Model: r.key.model, Adapter: r.key.adapter,
		Tokens: r.tokens, Waits: r.cacheMiss, Prompt: r.Params.PromptTokens,
		ReadMs: m.prefillReports.takeMinimum(r.key.service, r.key.model),
		Runner: runner, PrefillMs: r.prefillMs,
	})
}

// retryLookUp sends a look-up that could not be sent on arrival. It repeats the look-up
// of an unanswered miss once, at the next controller.
func (m *Machine) retryLookUp(r *request) {
	unanswered := r.cacheMiss && !r.lookUpReplied
	switch {
	case r.lookUpsSent == 0:
		m.sendLookUp(r, m.lookUpTarget(r.cacheMiss), "")
	case r.lookUpsSent == 1 && unanswered && m.nowMs-r.lookUpSentMs >= lookUpRetryMs:
		if next := m.nextController(r.lookUpController); next != "" {
			m.Counters.LookUpRetries++
			m.sendLookUp(r, next, "")
		}
	}
	if r.cacheMiss && !r.missCounted && m.nowMs-r.arrivedMs >= missDelayedMs {
		r.missCounted = true
		m.Counters.MissesDelayed++
	}
}

// indexEntry returns the cached index entry of a key, or nil. While the primary is
// unresponsive, the runner list that the router has read itself replaces entries that are
// missing or empty.
func (m *Machine) indexEntry(key cacheKey) *cacheEntry {
	entry := m.cache.get(key)
	if entry != nil && len(entry.holders) > 0 || !m.listUsable() {
		return entry
	}
	update := protocol.IndexReply{
		Service: key.service, Model: key.model, Adapter: key.adapter,
		TurnMs: -1, Holders: m.listedHolders(key),
	}
	if entry != nil {
		update.Epoch, update.Change = entry.epoch, entry.change
	}
	if len(update.Holders) == 0 || !m.cache.update(m.nowMs, update) {
		return entry
	}
	return m.cache.get(key)
}

// applyIndexReply applies the reply to a look-up, or the notification of a change of the
// index, which has ID 0.
func (m *Machine) applyIndexReply(reply protocol.IndexReply) {
	if !reply.Known {
		return
	}
	key := cacheKey{reply.Service, reply.Model, reply.Adapter}
	requested := false
	for _, r := range m.queue {
		if r.route != nil && r.key == key {
			requested = true
			r.lookUpReplied = true
		}
	}
	// Only keys that were requested are cached.
	if !requested && m.cache.get(key) == nil && reply.ID == 0 {
		return
	}
	for i := range reply.Holders {
		m.updateFromIndex(&reply.Holders[i])
	}
	if m.cache.update(m.nowMs, reply) && requested {
		m.dispatchQueue()
	}
}

// lookUpTarget returns the controller for a look-up. The primary, which alone orders
// loads, gets the look-ups of all misses. While there are few routers, it also gets the
// look-ups of hits, so that it can compare all demand without delay. With more routers,
// the look-ups of hits are sent to a controller, preferably in the router's own zone.
// That controller replies from its replica and reports the demand to the primary.
func (m *Machine) lookUpTarget(cacheMiss bool) string {
	spread := m.nearestController != "" && m.routerCount > protocol.SpreadLookUpsAbove
	if !cacheMiss && spread && !m.primaryUnresponsive() {
		return m.nearestController
	}
	return m.respondingController()
}

// respondingController returns the primary or, while it is unresponsive, another
// controller that is alive.
func (m *Machine) respondingController() string {
	if m.primaryUnresponsive() {
		if other := m.nextController(m.primary); other != "" && m.detector.Live(m.nowMs, other) {
			return other
		}
	}
	return m.primary
}

// nearest returns one of the live controllers, preferably of the router's own zone. The
// choice differs between routers, which spreads their look-ups.
func nearest(self protocol.Node, live []protocol.Node) string {
	best, bestRank, bestInZone := "", uint64(0), false
	for _, node := range live {
		inZone := node.Zone == self.Zone
		rank := mix(hash(self.Name) ^ hash(node.Name))
		if best == "" || inZone && !bestInZone || inZone == bestInZone && rank > bestRank {
			best, bestRank, bestInZone = node.Name, rank, inZone
		}
	}
	return best
}

// nextController returns the next controller after the named one in the order of names,
// if possible one that is alive. It returns "" if there is no other controller.
func (m *Machine) nextController(name string) string {
	controllers := m.detector.NodesOf(protocol.RoleController)
	start := slices.IndexFunc(controllers, func(node protocol.Node) bool { return node.Name > name })
	first := ""
	for i := range controllers {
		other := controllers[(max(0, start)+i)%len(controllers)].Name
		if other == name {
			continue
		}
		if m.detector.Live(m.nowMs, other) {
			return other
		}
		if first == "" {
			first = other
		}
	}
	return first
}

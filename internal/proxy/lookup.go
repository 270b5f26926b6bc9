package proxy

import (
	"slices"

	"myrtlewinch/internal/protocol"
)

// sendLookUp sends the look-up of a request to a controller. Nothing is sent while
// the controller's address is unknown.
func (m *Machine) sendLookUp(r *request, to string) {
	place, ok := m.roster.Node(to)
	if !ok || to == "" {
		return
	}
	r.lookUpsSent++
	r.lookUpSentMs, r.lookUpController = m.nowMs, to
	m.sendMessage(place, protocol.IndexLookUp{
		ID: r.lookUpID, Service: r.key.service, Model: r.key.model, Adapter: r.key.adapter,
		Tokens: r.tokens, Waits: r.cacheMiss, Prompt: r.Params.PromptTokens, ReadMs: m.prefillReports.takeMinimum(r.key.service, r.key.model),
	})
}

// retryLookUp sends a look-up that found no primary yet, and once another one
// to the next controller where a miss got no answer.
func (m *Machine) retryLookUp(r *request) {
	switch {
	case r.lookUpsSent == 0:
		m.sendLookUp(r, m.lookUpTarget(r.cacheMiss))
	case r.lookUpsSent == 1 && r.cacheMiss && !r.lookUpAnswered && m.nowMs-r.lookUpSentMs >= lookUpRetryMs:
		if next := m.nextController(r.lookUpController); next != "" {
			m.Counters.LookUpRetries++
			m.sendLookUp(r, next)
		}
	}
	if r.cacheMiss && !r.missCounted && m.nowMs-r.arrivedMs >= missDelayedMs {
		r.missCounted = true
		m.Counters.MissesDelayed++
	}
}

// indexEntry gives the cached line of a key. While no controller answers, the list
// that the router read itself stands in for lines that it lacks.
func (m *Machine) indexEntry(at cacheKey) *cacheEntry {
	e := m.cache[at]
	if e != nil && len(e.holders) > 0 || m.listedRunners == nil || !m.primarySilent() || m.nowMs-m.listedAtMs > listMaxAgeMs {
		return e
	}
	line := protocol.IndexReply{Service: at.service, Model: at.model, Adapter: at.adapter, TurnMs: -1}
	if e != nil {
		line.Epoch, line.Change = e.epoch, e.change
	}
	for i := range m.listedRunners {
		r := &m.listedRunners[i]
		held := at.model == ""
		adapter := false
		for _, model := range r.Models {
			if model.Name == at.model {
				held, adapter = true, slices.Contains(model.Adapters, at.adapter)
			}
		}
		if r.Service == at.service && held {
			line.Holders = append(line.Holders, protocol.IndexHolder{ID: r.ID, Address: r.Address, Zone: r.Zone, Adapter: adapter, Slots: r.Slots})
		}
	}
	if len(line.Holders) == 0 || !m.cache.update(m.nowMs, line) {
		return e
	}
	return m.cache[at]
}

// applyIndexReply takes an answer of the index, or its word of a change.
func (m *Machine) applyIndexReply(in protocol.IndexReply) {
	if !in.Known {
		return
	}
	at := cacheKey{in.Service, in.Model, in.Adapter}
	asked := false
	for _, r := range m.queue {
		if r.route != nil && r.key == at {
			asked = true
			r.lookUpAnswered = true
		}
	}
	// Only what requests named is kept.
	if !asked && m.cache[at] == nil && in.ID == 0 {
		return
	}
	for i := range in.Holders {
		m.updateFromIndex(&in.Holders[i])
	}
	if m.cache.update(m.nowMs, in) && asked {
		m.dispatchQueue()
	}
}

// indexController names whom look-ups go to: the primary, or while it gives no word
// another controller that does.
func (m *Machine) indexController() string {
	if m.primarySilent() {
		if other := m.nextController(m.primary); other != "" && m.roster.Live(m.nowMs, other) {
			return other
		}
	}
	return m.primary
}

// spreadLookUpsFrom is from how many routers on look-ups are spread.
const spreadLookUpsFrom = 32

// lookUpTarget names whom a look-up goes to. What a request can't go on without is
// asked of the primary, which loads it. Else a controller of the own zone
// answers from the primary's image and tells it of the demand, so that look-ups
// are spread over all of them.
func (m *Machine) lookUpTarget(missed bool) string {
	// The primary knows all that is asked at once; that is given up only where
	// there are so many routers that it could not answer them all.
	if !missed && m.nearestController != "" && m.routerCount > spreadLookUpsFrom && !m.primarySilent() {
		return m.nearestController
	}
	return m.indexController()
}

// nearest picks one of the live controllers for a router: one of its zone, and
// of those another for each router.
func nearest(self protocol.Node, live []protocol.Node) string {
	best, bestRank, bestOwn := "", uint64(0), false
	for _, place := range live {
		own, rank := place.Zone == self.Zone, mix(hash(self.Name)^hash(place.Name))
		if best == "" || own && !bestOwn || own == bestOwn && rank > bestRank {
			best, bestRank, bestOwn = place.Name, rank, own
		}
	}
	return best
}

// nextController names the one after another, a live one if there is one.
func (m *Machine) nextController(than string) string {
	places := m.roster.NodesOf(protocol.RoleController)
	at := slices.IndexFunc(places, func(p protocol.Node) bool { return p.Name > than })
	first := ""
	for i := range places {
		name := places[(max(0, at)+i)%len(places)].Name
		if name == than {
			continue
		}
		if m.roster.Live(m.nowMs, name) {
			return name
		}
		if first == "" {
			first = name
		}
	}
	return first
}

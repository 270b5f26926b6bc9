package router

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// namePolicy checks what the request names against the description.
type namePolicy struct{}

// Decide drops what the description does not allow.
func (namePolicy) Decide(m *Machine, r *request) verdict {
	if m.draining {
		return drop(errkind.ShuttingDown, "this router is stopping")
	}
	if m.description == nil {
		return drop(errkind.NoConfig, "this router has no description yet")
	}
	service, ok := m.description.Service(r.Service)
	if !ok {
		return drop(errkind.UnknownService, r.Service)
	}
	r.service = service
	r.deadlineMs = m.nowMs + service.DeadlineMs
	if r.BodyBytes > service.BytesMost {
		return drop(errkind.TooLarge, fmt.Sprintf("this service takes %d bytes at most", service.BytesMost))
	}
	if len(service.Models) == 0 {
		if r.Model != "" || r.Adapter != "" {
			return drop(errkind.ModelNotAllowed, "this service has no models")
		}
		return next
	}
	if _, ok := m.description.Model(r.Model); !ok {
		return drop(errkind.UnknownModel, "model: "+r.Model)
	}
	if !service.Allows(r.Model) {
		return drop(errkind.ModelNotAllowed, "model: "+r.Model)
	}
	if r.Adapter == "" {
		return next
	}
	adapter, ok := m.description.Adapter(r.Adapter)
	if !ok {
		return drop(errkind.UnknownAdapter, "adapter: "+r.Adapter)
	}
	if adapter.Model != r.Model {
		return drop(errkind.ModelNotAllowed, "adapter: "+r.Adapter+" belongs to model "+adapter.Model)
	}
	return next
}

// repeatPolicy refuses an id that was seen lately where its first sending may
// have run and may not run twice.
type repeatPolicy struct{}

// Decide lets what may be repeated pass.
func (repeatPolicy) Decide(m *Machine, r *request) verdict {
	if !r.ClientChoseID || r.service.Repeatable {
		return next
	}
	if m.recentIDs.has(r.Service + "/" + r.RequestID) {
		return drop(errkind.DuplicateRequest, "this id was taken here before; the first sending may have run")
	}
	// Taken from now on, so that two of one id that wait together are no two.
	m.recentIDs.add(r.Service + "/" + r.RequestID)
	r.idRecorded = true
	return next
}

// roomPolicy drops early when no place is left to wait in, so that a request
// costs nothing that it can't use.
type roomPolicy struct{}

// Decide drops only what would have to wait.
func (roomPolicy) Decide(m *Machine, r *request) verdict {
	if m.queued[r.Service] >= int(r.service.Holding) && (m.cachedEntry(r.key) == nil || !m.maySendNow()) {
		return drop(errkind.QueueFull, "too many requests of this service wait here")
	}
	return next
}

// lookUpPolicy sends the one look-up of the request, hit or miss, so that the
// index's burden follows the requests and never the warmth of this cache.
type lookUpPolicy struct{}

// Decide never waits: a hit goes on at once.
func (lookUpPolicy) Decide(m *Machine, r *request) verdict {
	m.lookUpCount++
	r.lookUpID = m.lookUpCount
	m.Counters.LookUps++
	if m.cachedEntry(r.key) != nil {
		m.Counters.Hits++
	} else {
		r.cacheMiss = true
		m.Counters.Misses++
	}
	m.sendLookUp(r)
	return next
}

// timePolicy gives the final answer as soon as it is certain.
type timePolicy struct{}

// Decide ends what has no time, no word or no look-up left to hope for.
func (timePolicy) Decide(m *Machine, r *request) verdict {
	// What waits here can be taken by another router at once.
	if m.draining {
		return drop(errkind.ShuttingDown, "this router is stopping; another takes it")
	}
	if m.nowMs >= r.deadlineMs {
		return drop(errkind.DeadlinePassed, "its time passed while it waited")
	}
	// What can't be had in time is not waited for: who comes back at its turn
	// finds it held.
	if r.loadExpectedMs >= r.deadlineMs && m.cachedEntry(r.key) == nil {
		return drop(errkind.PlacementTimeout, "what it needs is not held, and its turn comes after this request's time")
	}
	if m.nowMs-r.arrivedMs >= maxWaitMs && !m.maySendNow() {
		return drop(errkind.NoConfig, "no word from control")
	}
	if m.nowMs-r.arrivedMs >= maxWaitMs && !r.lookUpAnswered && m.cachedEntry(r.key) == nil {
		return drop(errkind.NoConfig, "the index did not answer")
	}
	if r.cacheMiss && !r.missCounted && m.nowMs-r.arrivedMs >= missDelayedMs {
		r.missCounted = true
		m.Counters.MissesDelayed++
	}
	return next
}

// wordPolicy holds requests while this router may not use its revision.
type wordPolicy struct{}

// Decide waits for control's word.
func (wordPolicy) Decide(m *Machine, _ *request) verdict {
	if !m.maySendNow() {
		return wait
	}
	return next
}

// choicePolicy looks the runner up in the cached line.
type choicePolicy struct{}

// Decide takes the least burdened holder, one of this zone where they are alike.
func (choicePolicy) Decide(m *Machine, r *request) verdict {
	e := m.cachedEntry(r.key)
	if e == nil {
		// A runner has said no and the index knows no other: that is final.
		if r.lastErrorKind != "" {
			return drop(r.lastErrorKind, "no other runner is to be had")
		}
		return wait
	}
	// The description may have changed while the request waited.
	service, ok := m.description.Service(r.Service)
	if !ok || r.Model != "" && !service.Allows(r.Model) {
		return drop(errkind.ModelNotAllowed, "the description has changed")
	}
	r.service = service
	best, bestCost := -1, int64(0)
	for i, h := range e.holders {
		mark := protocol.LeavingRunner{Runner: h.Runner, Incarnation: h.Incarnation}
		runner, listed := m.description.Runner(h.Runner)
		if !listed || !service.Uses(runner.Pool) || m.drained[mark] || m.drainingRunners[h.Runner] || r.triedRunners[mark] {
			continue
		}
		cost := 4 * (m.inFlight[h.Runner] + h.Burden)
		if runner.Zone != m.settings.Self.Zone {
			cost += 2
		}
		if m.unhealthyUntilMs[h.Runner] > m.nowMs {
			cost += 1000
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		// Where a runner has already said no, waiting for another would only
		// keep the sender from coming back.
		if r.lastErrorKind != "" {
			return drop(r.lastErrorKind, "no other runner is to be had")
		}
		return wait
	}
	r.runner = e.holders[best].Runner
	return next
}

// budgetPolicy keeps second goes within their bucket.
type budgetPolicy struct{}

// Decide earns for a first go and spends for each further one.
func (budgetPolicy) Decide(m *Machine, r *request) verdict {
	b := m.retryBudget(r.Service)
	if r.attempts == 0 {
		return next
	}
	if !b.withdraw() {
		return drop(r.lastErrorKind, "second goes of this service are used up")
	}
	m.Counters.Retries++
	return next
}

// sendPolicy makes the go, with the last moment at which it may be written.
type sendPolicy struct{}

// Decide is the check at the moment of sending.
func (sendPolicy) Decide(m *Machine, r *request) verdict {
	e := m.cachedEntry(r.key)
	for _, h := range e.holders {
		if h.Runner != r.runner {
			continue
		}
		if !r.budgetCredited {
			r.budgetCredited = true
			m.retryBudget(r.Service).deposit()
		}
		r.attempts++
		r.attemptActive = true
		m.dequeue(r)
		m.inFlight[h.Runner]++
		m.Counters.Attempts++
		r.triedRunners[protocol.LeavingRunner{Runner: h.Runner, Incarnation: h.Incarnation}] = true
		m.answer(r.ID, StartAttempt{
			RequestID: r.RequestID, Service: r.Service, Model: r.Model, Adapter: r.Adapter,
			Runner: h.Runner, Address: h.Address, Incarnation: h.Incarnation, Revision: m.revision,
			Streaming: r.service.Telling, Repeatable: r.service.Repeatable,
			WriteByMs: min(m.maySendUntil(), r.deadlineMs), DeadlineMs: r.deadlineMs, ChunkTimeoutMs: r.service.DeadlineMs,
		})
		return next
	}
	return wait
}

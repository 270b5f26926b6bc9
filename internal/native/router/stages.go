package router

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

const (
	// missDelayedMs is how long a miss waits before it counts as delayed.
	missDelayedMs = 50
	// maxWaitMs ends a request whose look-up is not answered, or that waits
	// for the primary.
	maxWaitMs = 1500
)

// The cost of a candidate, which the least one wins: loadCost for each request
// there, otherZoneCost outside the router's zone, and unhealthyCost after a
// failure.
const (
	loadCost      = 4
	otherZoneCost = 2
	unhealthyCost = 1000
)

// stage decides on one aspect of a request. A list of stages is run until one
// does not return proceed.
type stage func(m *Machine, r *request) decision

// decision is the result of a stage.
type decision struct {
	// proceed goes on with the next stage.
	proceed bool
	// kind and detail reject the request. Without a kind it waits.
	kind   errkind.Kind
	detail string
}

var (
	proceed = decision{proceed: true}
	wait    = decision{}
)

func rejectWith(kind errkind.Kind, detail string) decision {
	return decision{kind: kind, detail: detail}
}

// arrivalStages are run when a request arrives, dispatchStages then and at
// each later dispatch.
var (
	arrivalStages  = []stage{checkNames, checkDuplicate, checkQueueLimit, startLookUp}
	dispatchStages = []stage{checkTime, checkLease, chooseRunner, checkRetryBudget, startAttempt}
)

// checkNames checks what the request names against the description.
func checkNames(m *Machine, r *request) decision {
	if m.draining {
		return rejectWith(errkind.ShuttingDown, "this router is stopping")
	}
	if m.description == nil {
		return rejectWith(errkind.NoConfig, "this router has no description yet")
	}
	service, found := m.description.Service(r.Service)
	if !found {
		return rejectWith(errkind.UnknownService, r.Service)
	}
	r.service = service
	r.deadlineMs = m.nowMs + service.DeadlineMs
	if r.BodyBytes > service.MaxBytes {
		return rejectWith(errkind.TooLarge, fmt.Sprintf("this service takes %d bytes at most", service.MaxBytes))
	}
	return checkModel(m, r, service)
}

// checkModel checks that the service may use the model and the adapter.
func checkModel(m *Machine, r *request, service *description.Service) decision {
	if len(service.Models) == 0 {
		if r.Model != "" || r.Adapter != "" {
			return rejectWith(errkind.ModelNotAllowed, "this service has no models")
		}
		return proceed
	}
	if _, found := m.description.Model(r.Model); !found {
		return rejectWith(errkind.UnknownModel, "model: "+r.Model)
	}
	if !service.Allows(r.Model) {
		return rejectWith(errkind.ModelNotAllowed, "model: "+r.Model)
	}
	if r.Adapter == "" {
		return proceed
	}
	adapter, found := m.description.Adapter(r.Adapter)
	if !found {
		return rejectWith(errkind.UnknownAdapter, "adapter: "+r.Adapter)
	}
	if adapter.Model != r.Model {
		return rejectWith(errkind.ModelNotAllowed, "adapter: "+r.Adapter+" belongs to model "+adapter.Model)
	}
	return proceed
}

// checkDuplicate rejects an id that came before if the first request may have
// run and the service's requests must not run twice.
func checkDuplicate(m *Machine, r *request) decision {
	if !r.ClientChoseID || r.service.Idempotent {
		return proceed
	}
	if m.recentIDs.has(r.idKey()) {
		return rejectWith(errkind.DuplicateRequest, "this id was taken here before; the first sending may have run")
	}
	// Recorded now, since two requests of one id may wait together.
	m.recentIDs.add(r.idKey())
	r.idRecorded = true
	return proceed
}

// checkQueueLimit rejects a request that would have to wait in a full queue.
func checkQueueLimit(m *Machine, r *request) decision {
	queueFull := m.queued[r.Service] >= int(r.service.MaxQueued)
	if queueFull && (m.cachedEntry(r.key) == nil || !m.maySendNow()) {
		return rejectWith(errkind.QueueFull, "too many requests of this service wait here")
	}
	return proceed
}

// startLookUp sends the look-up of the request. There is one for every
// request, hit or miss, so that the load of the control plane follows the
// number of requests. A hit does not wait for the answer.
func startLookUp(m *Machine, r *request) decision {
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
	return proceed
}

// checkTime rejects a request as soon as waiting is hopeless.
func checkTime(m *Machine, r *request) decision {
	if m.draining {
		return rejectWith(errkind.ShuttingDown, "this router is stopping; another takes it")
	}
	if m.nowMs >= r.deadlineMs {
		return rejectWith(errkind.DeadlinePassed, "its time passed while it waited")
	}
	hit := m.cachedEntry(r.key) != nil
	if r.loadExpectedMs >= r.deadlineMs && !hit {
		return rejectWith(errkind.PlacementTimeout, "what it needs is not held, and its turn comes after this request's time")
	}
	waitedMs := m.nowMs - r.arrivedMs
	if waitedMs >= maxWaitMs && !m.maySendNow() {
		return rejectWith(errkind.NoConfig, "no word from control")
	}
	if waitedMs >= maxWaitMs && !r.lookUpAnswered && !hit {
		return rejectWith(errkind.NoConfig, "the index did not answer")
	}
	if r.cacheMiss && !r.missCounted && waitedMs >= missDelayedMs {
		r.missCounted = true
		m.Counters.MissesDelayed++
	}
	return proceed
}

// checkLease lets requests wait while this router may not use its revision.
func checkLease(m *Machine, _ *request) decision {
	if !m.maySendNow() {
		return wait
	}
	return proceed
}

// chooseRunner chooses the holder of the least cost.
func chooseRunner(m *Machine, r *request) decision {
	entry := m.cachedEntry(r.key)
	if entry == nil {
		return r.noRunner()
	}
	// The description may have changed while the request waited.
	service, found := m.description.Service(r.Service)
	if !found || r.Model != "" && !service.Allows(r.Model) {
		return rejectWith(errkind.ModelNotAllowed, "the description has changed")
	}
	r.service = service
	best, bestCost := -1, int64(0)
	for i := range entry.holders {
		cost, usable := m.holderCost(r, entry.holders[i])
		if usable && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return r.noRunner()
	}
	r.runner = entry.holders[best].Runner
	return proceed
}

// noRunner decides on a request for which no runner is known. After a failed
// attempt it is rejected, so that its client can come back soon.
func (r *request) noRunner() decision {
	if r.lastErrorKind != "" {
		return rejectWith(r.lastErrorKind, "no other runner is to be had")
	}
	return wait
}

// holderCost returns the cost of a holder, and whether it may get the request
// at all.
func (m *Machine) holderCost(r *request, holder protocol.Holder) (cost int64, usable bool) {
	process := protocol.LeavingRunner{Runner: holder.Runner, Incarnation: holder.Incarnation}
	runner, listed := m.description.Runner(holder.Runner)
	if !listed || !r.service.Uses(runner.Pool) || m.isDraining(process) || r.triedRunners[process] {
		return 0, false
	}
	cost = loadCost * (m.inFlight[holder.Runner] + holder.Burden)
	if runner.Zone != m.settings.Self.Zone {
		cost += otherZoneCost
	}
	if m.unhealthyUntilMs[holder.Runner] > m.nowMs {
		cost += unhealthyCost
	}
	return cost, true
}

// checkRetryBudget takes a token for every attempt but the first.
func checkRetryBudget(m *Machine, r *request) decision {
	budget := m.retryBudget(r.Service)
	if r.attempts == 0 {
		return proceed
	}
	if !budget.Withdraw() {
		return rejectWith(r.lastErrorKind, "second goes of this service are used up")
	}
	m.Counters.Retries++
	return proceed
}

// startAttempt starts an attempt at the chosen runner.
func startAttempt(m *Machine, r *request) decision {
	for _, holder := range m.cachedEntry(r.key).holders {
		if holder.Runner == r.runner {
			m.startAttemptAt(r, holder)
			return proceed
		}
	}
	return wait
}

// startAttemptAt starts an attempt at a holder.
func (m *Machine) startAttemptAt(r *request, holder protocol.Holder) {
	if !r.budgetCredited {
		r.budgetCredited = true
		m.retryBudget(r.Service).Deposit(retryRatio)
	}
	r.attempts++
	r.attemptActive = true
	m.dequeue(r)
	m.inFlight[holder.Runner]++
	m.Counters.Attempts++
	r.triedRunners[protocol.LeavingRunner{Runner: holder.Runner, Incarnation: holder.Incarnation}] = true
	m.respond(r.ID, StartAttempt{
		RequestID: r.RequestID, Service: r.Service, Model: r.Model, Adapter: r.Adapter,
		Runner: holder.Runner, Address: holder.Address, Incarnation: holder.Incarnation, Revision: m.revision,
		Streaming: r.service.Streaming, Repeatable: r.service.Idempotent,
		WriteByMs: min(m.maySendUntil(), r.deadlineMs), DeadlineMs: r.deadlineMs, ChunkTimeoutMs: r.service.DeadlineMs,
	})
}

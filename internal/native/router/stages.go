package router

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

const (
	// missDelayedMs is how long a miss waits before it is counted in Counters.MissesDelayed.
	missDelayedMs = 50
	// maxWaitMs is how long a request waits for the reply to its look-up, or for this router's
	// lease, before it is rejected.
	maxWaitMs = 1500
)

// The cost of sending a request to a holder; the holder with the lowest cost is chosen. It is
// requestCost for each of this router's attempts in flight there and for each unit of the load that
// the runner reported, plus otherZoneCost if the holder is in another zone than the router, plus
// unhealthyCost for unhealthyMs after a failure.
const (
	requestCost   = 4
	otherZoneCost = 2
	unhealthyCost = 1000
)

// stage decides on one aspect of a request. The stages of a list are run in order until one does
// not return proceed.
type stage func(m *Machine, r *request) decision

// decision is the result of a stage.
type decision struct {
	// proceed is true if the next stage is to run.
	proceed bool
	// kind and detail describe the rejection if the request is rejected. If proceed is false and
	// kind is empty, the request waits.
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

// arrivalStages are run when a request arrives. dispatchStages are run directly after them and at
// each later dispatch.
var (
	arrivalStages  = []stage{checkNames, checkDuplicate, checkQueueLimit, startLookUp}
	dispatchStages = []stage{checkDeadline, checkLease, chooseRunner, checkRetryBudget, startAttempt}
)

// checkNames checks the service, model and adapter that the request names, and the size of its
// body.
func checkNames(m *Machine, r *request) decision {
	if m.draining {
		return rejectWith(errkind.ShuttingDown, "this router is shutting down")
	}
	if m.description == nil {
		return rejectWith(errkind.ControlPlaneUnavailable, "this router has no description yet")
	}
	service, found := m.description.Service(r.Service)
	if !found {
		return rejectWith(errkind.UnknownService, r.Service)
	}
	r.service = service
	r.deadlineMs = m.nowMs + service.DeadlineMs
	if r.BodyBytes > service.MaxBytes {
		return rejectWith(errkind.TooLarge, fmt.Sprintf("the body of a request to this service may have at most %d bytes", service.MaxBytes))
	}
	return checkModel(m, r, service)
}

// checkModel checks that the service may use the model, and that the adapter is one of that model.
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

// checkDuplicate rejects a request if an earlier one with its id may have been executed and the
// service is not idempotent.
func checkDuplicate(m *Machine, r *request) decision {
	if !r.ClientChoseID || r.service.Idempotent {
		return proceed
	}
	if m.recentIDs.has(r.idKey()) {
		return rejectWith(errkind.DuplicateRequest, "this router has received a request with this id before, which may have been executed")
	}
	// Recorded now because two requests with the same id may wait at the same time.
	m.recentIDs.add(r.idKey())
	r.idRecorded = true
	return proceed
}

// checkQueueLimit rejects a request that would have to wait while the queue is full.
func checkQueueLimit(m *Machine, r *request) decision {
	queueFull := m.queued[r.Service] >= int(r.service.MaxQueued)
	if queueFull && (m.cachedEntry(r.key) == nil || !m.maySendNow()) {
		return rejectWith(errkind.Overloaded, "too many requests to this service are queued at this router")
	}
	return proceed
}

// startLookUp sends the look-up of the request. Every request causes one, hit or miss, so that the
// load of the control plane depends only on the number of requests. A hit does not wait for the
// reply.
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

// checkDeadline rejects a request that can no longer be served in time, or that has waited for too
// long.
func checkDeadline(m *Machine, r *request) decision {
	if m.draining {
		return rejectWith(errkind.ShuttingDown, "this router is shutting down; retry at another one")
	}
	if m.nowMs >= r.deadlineMs {
		return rejectWith(errkind.DeadlinePassed, "the deadline passed while the request was queued")
	}
	hit := m.cachedEntry(r.key) != nil
	if r.loadExpectedMs >= r.deadlineMs && !hit {
		return rejectWith(errkind.PlacementTimeout, "no runner holds what the request needs, and it is expected to be loaded only after the deadline")
	}
	waitedMs := m.nowMs - r.arrivedMs
	if waitedMs >= maxWaitMs && !m.maySendNow() {
		return rejectWith(errkind.ControlPlaneUnavailable, "no word from control")
	}
	if waitedMs >= maxWaitMs && !r.lookUpReplied && !hit {
		return rejectWith(errkind.ControlPlaneUnavailable, "no controller replied to the look-up in time")
	}
	if r.cacheMiss && !r.missCounted && waitedMs >= missDelayedMs {
		r.missCounted = true
		m.Counters.MissesDelayed++
	}
	return proceed
}

// checkLease makes requests wait while this router may not send.
func checkLease(m *Machine, _ *request) decision {
	if !m.maySendNow() {
		return wait
	}
	return proceed
}

// chooseRunner chooses the holder with the lowest cost.
func chooseRunner(m *Machine, r *request) decision {
	entry := m.cachedEntry(r.key)
	if entry == nil {
		return r.noRunner()
	}
	// The description may have changed while the request waited.
	service, found := m.description.Service(r.Service)
	if !found || r.Model != "" && !service.Allows(r.Model) {
		return rejectWith(errkind.ModelNotAllowed, "the description has changed: the service no longer exists or no longer allows the model")
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

// noRunner returns the decision on a request for which no runner can be chosen. After a failed
// attempt it is rejected, so that its client can retry soon.
func (r *request) noRunner() decision {
	if r.lastErrorKind != "" {
		return rejectWith(r.lastErrorKind, "no other runner is available")
	}
	return wait
}

// holderCost returns the cost of a holder, and whether the request may be sent to it at all.
func (m *Machine) holderCost(r *request, holder protocol.Holder) (cost int64, usable bool) {
	process := protocol.LeavingRunner{Runner: holder.Runner, Incarnation: holder.Incarnation}
	runner, listed := m.description.Runner(holder.Runner)
	if !listed || !r.service.Uses(runner.Pool) || m.isDraining(process) || r.triedRunners[process] {
		return 0, false
	}
	cost = requestCost * (m.inFlight[holder.Runner] + holder.Burden)
	if runner.Zone != m.settings.Self.Zone {
		cost += otherZoneCost
	}
	if m.unhealthyUntilMs[holder.Runner] > m.nowMs {
		cost += unhealthyCost
	}
	return cost, true
}

// checkRetryBudget withdraws a token from the retry budget for every attempt after the first. It
// rejects the request if there is none.
func checkRetryBudget(m *Machine, r *request) decision {
	budget := m.retryBudget(r.Service)
	if r.attempts == 0 {
		return proceed
	}
	if !budget.Withdraw() {
		return rejectWith(r.lastErrorKind, "the retry budget of this service is exhausted")
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
		Streaming: r.service.Streaming, Idempotent: r.service.Idempotent,
		WriteByMs: min(m.maySendUntil(), r.deadlineMs), DeadlineMs: r.deadlineMs, ChunkTimeoutMs: r.service.DeadlineMs,
	})
}

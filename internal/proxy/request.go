package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
)

const (
	// firstConfigWaitMs is how long a request waits for the first configuration.
	firstConfigWaitMs = 300
	// defaultDeadlineMs is the time for a request if neither its client nor
	// its route states one.
	defaultDeadlineMs = 30_000
	// serviceDrawSeed makes the pseudo-random choice of the service independent of that
	// of the runner.
	serviceDrawSeed = 0x5f
)

// request is the state of a client's request from its arrival to its end. At any time it
// either has an attempt in flight (attemptActive) or is in Machine.queue.
type request struct {
	Request
	// arrivedMs is when it arrived, deadlineMs when its client stops waiting.
	arrivedMs, deadlineMs int64
	// route, service and key are set by resolve, once a configuration is known.
	route   *config.Route
	service *config.Service
	key     cacheKey
	// affinity is the hash of its shared prompt parts, or 0. draw is a hash of
	// Params.RequestID that is used in place of random numbers.
	affinity, draw uint64
	// tokens is the size of its prompt and output, for requests to services with models.
	tokens int64

	// lookUpID is the number of its look-up of the index. It was last sent to
	// lookUpController at lookUpSentMs, and lookUpsSent times in all.
	lookUpID         uint64
	lookUpSentMs     int64
	lookUpController string
	lookUpsSent      int
	lookUpReplied    bool
	// lookUpDue is true if the look-up of a hit is still to be sent, with its first
	// attempt.
	lookUpDue bool
	// cacheMiss is true if no runner was known on arrival, missCounted if it has been
	// counted in MissesDelayed.
	cacheMiss   bool
	missCounted bool

	// attemptActive is true while an attempt at the runner runnerID is in flight;
	// otherwise runnerID is the runner of the last attempt.
	attemptActive bool
	runnerID      string
	// attemptStartMs is when the last attempt began. prefillPending is true while its
	// prompt is counted in the runner's prefillTokens.
	attemptStartMs int64
	prefillPending bool
	// prefillMs is the estimated time of its prefill, set when an attempt begins.
	prefillMs int64
	// prefillAlone is true if no other prefill was known at the runner when the attempt
	// began.
	prefillAlone bool
	// attempts counts the attempts, except those that ended before a byte was written.
	// failedDials counts the attempts that ended as NotSent.
	attempts    int
	failedDials int
	// budgetCredited is true if the retry budget has had its deposit for this request.
	budgetCredited bool
	// waitsForSlot is true while it is counted in Machine.slotWaiters.
	waitsForSlot bool
	// rejectedBy lists the runners that did not run the request. failedAt lists the
	// runners where an attempt failed and that may have run it.
	rejectedBy, failedAt []string
	// unreachable are the runners to which no connection could be made. They are not used
	// until unreachableUntilMs.
	unreachable        []string
	unreachableUntilMs int64
	// mayHaveRun is set by the first attempt that a runner may have executed. From then
	// on the client never gets a response that states that the request has not run.
	mayHaveRun bool
	// forwarded is true if the client has the head of a response, hasKeptResponse if the
	// Server keeps a failed response for it.
	forwarded, hasKeptResponse bool
	// lastEventID and weightsVersion are what a resumed stream must continue from, see
	// AttemptEnded.
	lastEventID    string
	weightsVersion int64
	// waitingSinceMs is when it was queued last: on arrival, or when the last
	// attempt ended.
	waitingSinceMs int64
	// lastErrorKind is the error kind of the last attempt, which the client gets if no
	// other attempt follows.
	lastErrorKind errkind.Kind
}

// admit adds a new request. It is dispatched at once if a runner is free and no request
// of its service waits for a slot.
func (m *Machine) admit(in Request) {
	m.Counters.Requests++
	r := &request{
		Request: in, arrivedMs: m.nowMs, waitingSinceMs: m.nowMs,
		deadlineMs: m.nowMs + defaultDeadlineMs, draw: hash(in.Params.RequestID),
	}
	m.requests[in.ID] = r
	m.enqueue(r)
	if !m.resolve(r) {
		return
	}
	if m.slotWaiters[r.key.service] > 0 {
		// More urgent requests of the queue come first.
		m.dispatchQueue()
		return
	}
	m.dispatch(r)
}

// resolve finds the route and the service of a request and starts its look-up. It returns
// false if the request waits for a configuration or was rejected.
func (m *Machine) resolve(r *request) bool {
	if r.route != nil {
		return true
	}
	configuration := m.configuration.Load()
	if configuration == nil {
		return false
	}
	route, found := configuration.FindRoute(r.Host, r.Path)
	if !found {
		m.rejectUnknownRoute(r)
		return false
	}
	r.service, found = chooseService(configuration, route, r.Params, r.draw)
	if !found {
		m.reject(r, errkind.UnknownModel, 0)
		return false
	}
	r.setRoute(route)
	m.startLookUp(r)
	return true
}

// rejectUnknownRoute rejects a request for which there is no route. While the primary is
// unresponsive the route may be a new one that this router does not know yet.
func (m *Machine) rejectUnknownRoute(r *request) {
	if m.primaryUnresponsive() {
		m.reject(r, errkind.ControlPlaneUnavailable, retryUnknownMs)
		return
	}
	m.reject(r, errkind.UnknownPage, 0)
}

// setRoute sets the route and the fields that depend on the route and the service.
func (r *request) setRoute(route *config.Route) {
	r.route = route
	r.key = cacheKey{service: r.service.Name}
	if r.service.Engine != nil {
		r.key.model, r.key.adapter = r.Params.Model, r.Params.Adapter
		r.tokens = r.Params.PromptTokens + r.Params.MaxOutputTokens
	}
	if route.PrefixCacheAffinity || len(r.Params.PromptParts) > 0 {
		r.affinity = affinity(r.service.Name, r.Params)
	}
	timeoutMs := int64(defaultDeadlineMs)
	if route.TimeoutMs > 0 {
		timeoutMs = route.TimeoutMs
	}
	if r.Params.TimeoutMs > 0 {
		timeoutMs = min(timeoutMs, r.Params.TimeoutMs)
	}
	r.deadlineMs = r.arrivedMs + timeoutMs
}

// startLookUp starts the look-up of a request. There is one for every request, hit or
// miss, so that the load of the control plane follows the number of requests. The look-up
// of a hit is sent later in the same step, so that it can state the chosen runner.
func (m *Machine) startLookUp(r *request) {
	m.Counters.LookUps++
	m.lookUpCount++
	r.lookUpID = m.lookUpCount
	if len(m.candidates(r)) > 0 || m.allFull {
		m.Counters.Hits++
		r.lookUpDue = true
		return
	}
	r.cacheMiss = true
	m.Counters.Misses++
	m.sendLookUp(r, m.lookUpTarget(true), "")
}

// chooseService chooses the service of a request pseudo-randomly by the weights of the
// route's split, among the services that can hold the model. It returns false if there is
// none.
func chooseService(configuration *config.Configuration, route *config.Route, params RequestParams, draw uint64) (*config.Service, bool) {
	var services []*config.Service
	var weights []int64
	total := int64(0)
	for _, share := range route.Split {
		service, found := configuration.FindService(share.Service)
		if !found || share.Weight <= 0 || !canHoldModel(service, params.Model) {
			continue
		}
		services, weights = append(services, service), append(weights, share.Weight)
		total += share.Weight
	}
	if total == 0 {
		return nil, false
	}
	drawn := int64(mix(draw^serviceDrawSeed) % uint64(total))
	for i, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return services[i], true
		}
	}
	return services[len(services)-1], true
}

// canHoldModel reports whether the service's runners may hold the model. Runners of a
// service without models can take any request.
func canHoldModel(service *config.Service, model string) bool {
	if service.Engine == nil || model == "" {
		return true
	}
	_, found := service.Engine.FindModel(model)
	return found
}

// dispatch starts the next attempt of a queued request, rejects the request, or leaves it
// queued. Afterwards it sends the request's look-up if that is still due.
func (m *Machine) dispatch(r *request) {
	m.dispatchOrWait(r)
	m.sendDueLookUp(r)
}

// dispatchOrWait is dispatch without the look-up.
func (m *Machine) dispatchOrWait(r *request) {
	if r.attemptActive || m.requests[r.ID] == nil {
		return
	}
	if m.nowMs >= r.deadlineMs {
		m.reject(r, errkind.DeadlinePassed, retryAfterAttemptsMs)
		return
	}
	if !m.resolve(r) {
		if m.requests[r.ID] != nil && m.nowMs-r.arrivedMs >= firstConfigWaitMs {
			m.reject(r, errkind.ControlPlaneUnavailable, retryUnknownMs)
		}
		return
	}
	if !m.shutdown.mayAttempt(m.nowMs, r.arrivedMs, r.deadlineMs) {
		m.reject(r, errkind.ShuttingDown, retryShutdownMs)
		return
	}
	// After a stall the configuration and the index entries may be stale.
	if m.nowMs < m.stallWaitUntilMs {
		return
	}
	candidates := m.candidates(r)
	switch {
	case len(candidates) > 0:
		m.tryCandidates(r, candidates)
	case m.allFull:
		m.waitForSlot(r)
	default:
		m.waitForRunner(r)
	}
}

// tryCandidates starts an attempt at one of the candidates. A retry needs a token of the
// retry budget.
func (m *Machine) tryCandidates(r *request, candidates []candidate) {
	if r.attempts > 0 && (r.attemptsExhausted() || !m.retryBudget(r.service.Name).Withdraw()) {
		m.failAfterAttempts(r)
		return
	}
	chosen := choose(candidates, selection{
		affinity: r.affinity, mostlyShared: mostlyShared(r.Params), prefillDelaysStreams: m.prefillDelaysStreams(r),
		draw: r.draw + uint64(r.attempts+r.failedDials),
	})
	m.startAttempt(r, m.candidateHolders[chosen])
}

// clientDisconnected removes a request whose client disconnected.
func (m *Machine) clientDisconnected(id uint64) {
	r := m.requests[id]
	if r == nil {
		return
	}
	if r.attemptActive {
		m.releaseSlot(r)
	}
	m.dequeue(r)
	delete(m.requests, id)
	m.dispatchQueue()
}

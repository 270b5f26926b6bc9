package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// firstMapWaitMs is how long a request waits for a first map.
	firstMapWaitMs = 300
	// missDelayedMs is how long a miss waits before it counts as held.
	missDelayedMs = 50
	// lookUpRetryMs is when another controller is asked for a miss.
	lookUpRetryMs = 300
	// unknownWaitMs ends what no one knows anything about, where no one waits for a
	// model that control may yet have loaded.
	unknownWaitMs = 1500
	// A client of a stream gives it up after a silence of the longest of these,
	// its first piece included.
	streamSilenceMs, streamSilenceAims, streamSilenceGaps = 2000, 4, 8
	// writeWindowMs is how long after its choice a send may be written.
	writeWindowMs = 400
	// resumeWaitMs is how long a stream that broke midway waits for a runner; its
	// client bears about two seconds of silence.
	resumeWaitMs = 1500
	// defaultDeadlineMs is the time of a request for which nobody said one.
	defaultDeadlineMs = 30_000
	// loadDelayMs is by how much a turn may come late and still be hoped for.
	loadDelayMs = 500
	// unreachableMs is when a runner that could not be reached is tried again.
	unreachableMs = 150
	// maxFailedDials bounds runners that can't be reached, for one request.
	maxFailedDials = 4
)

// request is the state of a client's request from its arrival to its end. At any
// time it either has an attempt under way (away) or is in Machine.waiting.
type request struct {
	Request
	arrivedMs, deadlineMs int64
	route                 *config.Route
	service               *config.Service
	key                   cacheKey
	affinity, draw        uint64
	tokens                int64
	// The look-up of the index: its number, when and to which controller it was
	// last sent, how often, and whether an answer came. missed says that no
	// runner was known on arrival; held that this was counted in MissesDelayed.
	lookUpID         uint64
	lookUpSentMs     int64
	lookUpController string
	lookUpsSent      int
	lookUpAnswered   bool
	cacheMiss        bool
	missCounted      bool
	// attemptActive says that an attempt at runner is under way; runner is the last one
	// that the request was sent to.
	attemptActive bool
	runnerID      string
	// attemptStartMs is when the last attempt began. reads says that its prompt counts
	// as unread at the runner. goes counts the attempts, without those
	// that ended before a byte was written; dials counts those that ended as
	// NotSent. earned says that the request has been added to the retry budget.
	attemptStartMs int64
	prefillPending bool
	attempts       int
	failedDials    int
	budgetCredited bool
	// waitsForSlot says that it waits because all its runners are full.
	waitsForSlot bool
	// rejectedBy are the runners that rejected it without running it, failed those
	// where an attempt failed and it may have run.
	rejectedBy, failedAt []string
	// unreachable are the runners that could not be reached; they are left out
	// until unreachableUntilMs.
	unreachable        []string
	unreachableUntilMs int64
	// mayHaveRun is set by the first attempt that a runner may have run: from
	// then on the client is never told that the request has not run.
	mayHaveRun bool
	// forwarded says that the client has the head of a response; kept that the
	// shell has a failed response to forward. after and version are what a
	// resumed stream must continue from, see Ended.
	forwarded, hasKeptResponse bool
	lastEventID                string
	weightsVersion             int64
	// waitingSinceMs is when it began to wait: on arrival, or when the last attempt
	// ended.
	waitingSinceMs int64
	// lastErrorKind is the error kind of the last attempt, for the client if no other
	// attempt follows.
	lastErrorKind errkind.Kind
}

// admit admits a request: it is looked up, and sent on at once if a runner is free
// and no more urgent request waits for a place.
func (m *Machine) admit(in Request) {
	m.Counters.Requests++
	r := &request{Request: in, arrivedMs: m.nowMs, waitingSinceMs: m.nowMs, deadlineMs: m.nowMs + defaultDeadlineMs, draw: hash(in.Params.RequestID)}
	m.requests[in.ID] = r
	m.enqueue(r)
	if !m.resolve(r) {
		return
	}
	// Others that wait for a place come first if they are more urgent.
	if m.slotWaiters[r.key.service] > 0 {
		m.dispatchQueue()
		return
	}
	m.dispatch(r)
}

// resolve finds the route and sends the one look-up; false says that it waits
// for a map, or was dropped.
func (m *Machine) resolve(r *request) bool {
	if r.route != nil {
		return true
	}
	document := m.serviceMap.Load()
	if document == nil {
		return false
	}
	route, ok := document.FindRoute(r.Host, r.Path)
	if !ok {
		// Without word the route may be there and this map an old one.
		if m.primarySilent() {
			m.reject(r, errkind.NoConfig, 500)
		} else {
			m.reject(r, errkind.UnknownPage, 0)
		}
		return false
	}
	r.service, ok = chooseService(document, route, r.Params, r.draw)
	if !ok {
		m.reject(r, errkind.UnknownModel, 0)
		return false
	}
	r.route = route
	r.key = cacheKey{service: r.service.Name}
	if r.service.Engine != nil {
		r.key.model, r.key.adapter = r.Params.Model, r.Params.Adapter
		r.tokens = r.Params.PromptTokens + r.Params.MaxOutputTokens
	}
	if route.PrefixCacheAffinity || len(r.Params.PromptParts) > 0 {
		r.affinity = affinity(r.service.Name, r.Params)
	}
	leftMs := int64(defaultDeadlineMs)
	if route.TimeoutMs > 0 {
		leftMs = route.TimeoutMs
	}
	if r.Params.TimeoutMs > 0 {
		leftMs = min(leftMs, r.Params.TimeoutMs)
	}
	r.deadlineMs = r.arrivedMs + leftMs
	m.Counters.LookUps++
	m.lookUpCount++
	r.lookUpID = m.lookUpCount
	if len(m.candidates(r)) > 0 || m.allFull {
		m.Counters.Hits++
	} else {
		r.cacheMiss = true
		m.Counters.Misses++
	}
	m.sendLookUp(r, m.lookUpTarget(r.cacheMiss))
	return true
}

// chooseService draws the service of a request. One that can't hold the model is not
// drawn where another can.
func chooseService(document *config.Configuration, route *config.Route, a RequestParams, draw uint64) (*config.Service, bool) {
	var able []*config.Service
	var weights []int64
	total := int64(0)
	for _, share := range route.Split {
		service, ok := document.FindService(share.Service)
		if !ok || share.Weight <= 0 {
			continue
		}
		if e := service.Engine; e != nil && a.Model != "" {
			if _, ok := e.FindModel(a.Model); !ok {
				continue
			}
		}
		able, weights, total = append(able, service), append(weights, share.Weight), total+share.Weight
	}
	if total == 0 {
		return nil, false
	}
	at := int64(mix(draw^0x5f) % uint64(total))
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return able[i], true
		}
	}
	return able[len(able)-1], true
}

// dispatch sends a waiting request on, drops it, or leaves it waiting.
func (m *Machine) dispatch(r *request) {
	if r.attemptActive || m.requests[r.ID] == nil {
		return
	}
	if m.nowMs >= r.deadlineMs {
		m.reject(r, errkind.DeadlinePassed, 200)
		return
	}
	if r.route == nil {
		if !m.resolve(r) {
			if m.requests[r.ID] != nil && m.nowMs-r.arrivedMs >= firstMapWaitMs {
				m.reject(r, errkind.NoConfig, 500)
			}
			return
		}
	}
	if m.draining && m.nowMs >= m.drainStartMs+m.settings.Bounds.GraceMs/2 {
		m.reject(r, errkind.ShuttingDown, 200)
		return
	}
	// After standing still the map may be an old one, and the runners others.
	if m.nowMs < m.stallGuardUntilMs {
		return
	}
	candidates := m.candidates(r)
	if len(candidates) == 0 {
		if m.allFull {
			m.waitForSlot(r)
		} else {
			m.waitForRunner(r)
		}
		return
	}
	if r.attempts > 0 {
		if r.attempts >= max(1, r.route.MaxAttempts) || !m.retryBudget(r.service.Name).withdraw() {
			m.failAfterAttempts(r)
			return
		}
	}
	holder := m.candidateHolders[choose(candidates, selection{r.affinity, mostlyShared(r.Params), r.draw + uint64(r.attempts+r.failedDials)})]
	m.startAttempt(r, holder)
}

// startAttempt starts an attempt at a runner.
func (m *Machine) startAttempt(r *request, h protocol.IndexHolder) {
	if !r.budgetCredited {
		r.budgetCredited = true
		m.retryBudget(r.service.Name).deposit(m.settings.Bounds.RetryRatio)
	}
	if r.attempts++; r.attempts > 1 {
		m.Counters.Retries++
	}
	m.Counters.Attempts++
	if r.forwarded {
		m.Counters.Resumes++
	}
	r.attemptActive, r.runnerID = true, h.ID
	m.dequeue(r)
	m.runnerState(h.ID).addInFlight(m.nowMs, 1, r.tokens)
	r.attemptStartMs, r.prefillPending = m.nowMs, true
	m.runnerState(h.ID).prefillTokens += r.Params.PromptTokens
	m.reply(r.ID, StartAttempt{
		Params: AttemptParams{
			Runner: h.ID, Urgency: urgency(r.route.Priority), LastEventID: r.lastEventID, WeightsVersion: r.weightsVersion,
		},
		Address: h.Address, Route: r.route, NewConnection: !r.route.Retryable(),
		WriteByMs: min(m.nowMs+writeWindowMs, r.deadlineMs), DeadlineMs: r.deadlineMs,
	})
}

// urgency maps a rank, nought first, to nought to nine.
func urgency(priority int) int { return min(8, 3*max(0, priority)-max(0, priority-2)) }

// clientDisconnected forgets a request whose client disconnected.
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

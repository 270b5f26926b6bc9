package proxy

import (
	"myrtlewinch/internal/config"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

const (
	// mapWaitMs is how long a request waits for a first map.
	mapWaitMs = 300
	// missMs is how long a miss waits before it counts as held.
	missMs = 50
	// againMs is when another controller is asked for a miss.
	againMs = 300
	// unknownMs ends what no one knows anything about, where no one waits for a
	// model that control may yet have loaded.
	unknownMs = 1500
	// A client of a stream gives it up after a silence of the longest of these,
	// its first piece included.
	silenceMs, silenceAims, silenceGaps = 2000, 4, 8
	// writeMs is how long after its choice a send may be written.
	writeMs = 400
	// brokenMs is how long a stream that broke midway waits for a runner; its
	// client bears about two seconds of silence.
	brokenMs = 1500
	// plainMs is the time of a request for which nobody said one.
	plainMs = 30_000
	// turnSlackMs is by how much a turn may come late and still be hoped for.
	turnSlackMs = 500
	// unreachedMs is when a runner that could not be reached is tried again.
	unreachedMs = 150
	// dialsMost bounds runners that can't be reached, for one request.
	dialsMost = 4
)

// request is the state of a client's request from its arrival to its end. At any
// time it either has an attempt under way (away) or is in Machine.waiting.
type request struct {
	Request
	cameMs, deadlineMs int64
	route              *config.Route
	service            *config.Service
	key                key
	affinity, draw     uint64
	tokens             int64
	// The look-up of the index: its number, when and to which controller it was
	// last sent, how often, and whether an answer came. missed says that no
	// runner was known on arrival; held that this was counted in MissesDelayed.
	lookUp   uint64
	lookedMs int64
	lookedAt string
	looks    int
	answered bool
	missed   bool
	held     bool
	// away says that an attempt at runner is under way; runner is the last one
	// that the request was sent to.
	away   bool
	runner string
	// goneMs is when the last attempt began. reads says that its prompt counts
	// as unread at the runner. goes counts the attempts, without those
	// that ended before a byte was written; dials counts those that ended as
	// NotSent. earned says that the request has been added to the retry budget.
	goneMs int64
	reads  bool
	goes   int
	dials  int
	earned bool
	// crowds says that it waits because all its runners are full.
	crowds bool
	// refused are the runners that rejected it without running it, failed those
	// where an attempt failed and it may have run.
	refused, failed []string
	// unreached are the runners that could not be reached; they are left out
	// until unreachedMs.
	unreached   []string
	unreachedMs int64
	// mayHaveRun is set by the first attempt that a runner may have run: from
	// then on the client is never told that the request has not run.
	mayHaveRun bool
	// passed says that the client has the head of a response; kept that the
	// shell has a failed response to forward. after and version are what a
	// resumed stream must continue from, see Ended.
	passed, kept bool
	after        string
	version      int64
	// sinceMs is when it began to wait: on arrival, or when the last attempt
	// ended.
	sinceMs int64
	// last is the error kind of the last attempt, for the client if no other
	// attempt follows.
	last errkind.Kind
}

// take admits a request: it is looked up, and sent on at once if a runner is free
// and no more urgent request waits for a place.
func (m *Machine) take(in Request) {
	m.Counters.Requests++
	r := &request{Request: in, cameMs: m.nowMs, sinceMs: m.nowMs, deadlineMs: m.nowMs + plainMs, draw: hash(in.Params.RequestID)}
	m.requests[in.ID] = r
	m.wait(r)
	if !m.begin(r) {
		return
	}
	// Others that wait for a place come first if they are more urgent.
	if m.crowded[r.key.service] > 0 {
		m.wake()
		return
	}
	m.turn(r)
}

// begin finds the route and sends the one look-up; false says that it waits
// for a map, or was dropped.
func (m *Machine) begin(r *request) bool {
	if r.route != nil {
		return true
	}
	document := m.current.Load()
	if document == nil {
		return false
	}
	route, ok := document.FindRoute(r.Host, r.Path)
	if !ok {
		// Without word the route may be there and this map an old one.
		if m.silent() {
			m.drop(r, errkind.NoConfig, 500)
		} else {
			m.drop(r, errkind.UnknownPage, 0)
		}
		return false
	}
	r.service, ok = split(document, route, r.Params, r.draw)
	if !ok {
		m.drop(r, errkind.UnknownModel, 0)
		return false
	}
	r.route = route
	r.key = key{service: r.service.Name}
	if r.service.Engine != nil {
		r.key.model, r.key.adapter = r.Params.Model, r.Params.Adapter
		r.tokens = r.Params.PromptTokens + r.Params.MaxOutputTokens
	}
	if route.PrefixCacheAffinity || len(r.Params.PromptParts) > 0 {
		r.affinity = affinity(r.service.Name, r.Params)
	}
	leftMs := int64(plainMs)
	if route.TimeoutMs > 0 {
		leftMs = route.TimeoutMs
	}
	if r.Params.TimeoutMs > 0 {
		leftMs = min(leftMs, r.Params.TimeoutMs)
	}
	r.deadlineMs = r.cameMs + leftMs
	m.Counters.LookUps++
	m.asks++
	r.lookUp = m.asks
	if len(m.candidates(r)) > 0 || m.crowdedNow {
		m.Counters.Hits++
	} else {
		r.missed = true
		m.Counters.Misses++
	}
	m.lookUp(r, m.lookUpAt(r.missed))
	return true
}

// split draws the service of a request. One that can't hold the model is not
// drawn where another can.
func split(document *config.Configuration, route *config.Route, a RequestParams, draw uint64) (*config.Service, bool) {
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

// turn sends a waiting request on, drops it, or leaves it waiting.
func (m *Machine) turn(r *request) {
	if r.away || m.requests[r.ID] == nil {
		return
	}
	if m.nowMs >= r.deadlineMs {
		m.drop(r, errkind.DeadlinePassed, 200)
		return
	}
	if r.route == nil {
		if !m.begin(r) {
			if m.requests[r.ID] != nil && m.nowMs-r.cameMs >= mapWaitMs {
				m.drop(r, errkind.NoConfig, 500)
			}
			return
		}
	}
	if m.leaving && m.nowMs >= m.leaveMs+m.set.Bounds.GraceMs/2 {
		m.drop(r, errkind.ShuttingDown, 200)
		return
	}
	// After standing still the map may be an old one, and the runners others.
	if m.nowMs < m.thawUntilMs {
		return
	}
	candidates := m.candidates(r)
	if len(candidates) == 0 {
		if m.crowdedNow {
			m.full(r)
		} else {
			m.lacking(r)
		}
		return
	}
	if r.goes > 0 {
		if r.goes >= max(1, r.route.MaxAttempts) || !m.budget(r.service.Name).spend() {
			m.giveUp(r)
			return
		}
	}
	holder := m.offered[choose(candidates, wish{r.affinity, shared(r.Params), r.draw + uint64(r.goes+r.dials)})]
	m.goTo(r, holder)
}

// goTo starts an attempt at a runner.
func (m *Machine) goTo(r *request, h protocol.IndexHolder) {
	if !r.earned {
		r.earned = true
		m.budget(r.service.Name).earn(m.set.Bounds.RetryRatio)
	}
	if r.goes++; r.goes > 1 {
		m.Counters.Retries++
	}
	m.Counters.Attempts++
	if r.passed {
		m.Counters.Resumes++
	}
	r.away, r.runner = true, h.ID
	m.unwait(r)
	m.runner(h.ID).change(m.nowMs, 1, r.tokens)
	r.goneMs, r.reads = m.nowMs, true
	m.runner(h.ID).reading += r.Params.PromptTokens
	m.answer(r.ID, StartAttempt{
		Params: AttemptParams{
			Runner: h.ID, Urgency: urgency(r.route.Priority), LastEventID: r.after, WeightsVersion: r.version,
		},
		Address: h.Address, Route: r.route, NewConnection: !r.route.Retryable(),
		WriteByMs: min(m.nowMs+writeMs, r.deadlineMs), DeadlineMs: r.deadlineMs,
	})
}

// urgency maps a rank, nought first, to nought to nine.
func urgency(priority int) int { return min(8, 3*max(0, priority)-max(0, priority-2)) }

// gone forgets a request whose client disconnected.
func (m *Machine) gone(id uint64) {
	r := m.requests[id]
	if r == nil {
		return
	}
	if r.away {
		m.release(r)
	}
	m.unwait(r)
	delete(m.requests, id)
	m.wake()
}

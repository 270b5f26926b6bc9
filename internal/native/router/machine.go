// Package router is the data plane of the own interface: the state machine of
// a router, and the server that forwards clients' requests to runners.
//
// A router sends requests only while it is certain that no newer description
// is in force: the primary gives it a lease on its revision (description.go),
// which a majority of its peers can extend while the primary is silent
// (lease.go). A request passes a list of stages on arrival and another one at
// each dispatch (stages.go).
package router

import (
	"fmt"
	"slices"
	"sync/atomic"

	"myrtlewinch/internal/dataplane"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

const (
	// pollEachMs is the time between two polls of the primary.
	pollEachMs = 300
	// maxMissingKeys limits the keys that a poll lists as missing.
	maxMissingKeys = 64
	// ownReadAfterMs is the age of what is known of draining runners from
	// which on the router reads the platform's list itself, every
	// listReadEachMs.
	ownReadAfterMs = 1000
	listReadEachMs = 300
)

// Settings is the configuration of a router, fixed at its start.
type Settings struct {
	// Site is the site's name. Messages of other sites are ignored.
	Site string
	// Self is this router as its peers know it.
	Self protocol.Node
	// Seeds are the addresses at which peers are searched for.
	Seeds []string
	// Platform is the address of the platform's list of runners. If it is
	// empty, the router never reads the list itself.
	Platform string
}

// Machine is the state machine of one router. It takes inputs through Step and
// returns effects; it has no clock, connection or goroutine of its own. All of
// it but MaySend belongs to the goroutine that calls Step.
type Machine struct {
	// Counters counts what the router did since its start.
	Counters Counters

	settings Settings
	nowMs    int64
	// outbox collects the effects of the current step.
	outbox dataplane.Outbox
	// detector knows the daemons of the site and which of them are alive.
	detector *failuredetector.Detector

	// revision is that of the description in use; 0 without one.
	revision    uint64
	description *description.Description
	// revisionInUse is revision for the goroutines that call MaySend.
	revisionInUse atomic.Uint64
	// leaseUntilMs is until when no higher revision can be in force.
	leaseUntilMs int64
	// pendingDescription is the next one, if this router has acknowledged
	// one: its digest is pendingDigest, otherwise empty. pendingSeenMs is when
	// the last poll was sent whose answer called it pending.
	pendingDigest      string
	pendingDescription *description.Description
	pendingSeenMs      int64
	// highestSeenRevision is the highest revision that a runner reported.
	highestSeenRevision uint64
	// extensionsUntilMs is until when extensions may run that this router has
	// granted to its peers.
	extensionsUntilMs int64
	lastExtendMs      int64
	// extensions are the times of the requests that each peer granted last.
	extensions map[string]int64

	// epoch and primary are those of the control plane as this router knows
	// them.
	epoch   uint64
	primary string
	// primaryConfirmedMs is when the last answered poll was sent,
	// lastHeartbeatMs when the primary's last heartbeat came.
	primaryConfirmedMs int64
	lastHeartbeatMs    int64
	lastPollMs         int64
	// registration is the number under which the primary registered this
	// process.
	registration uint64
	// retired is set once a later process has this router's name.
	retired bool
	// draining is set by Drain.
	draining bool

	// drained are all processes of runners that have ever been reported as
	// draining. drainingRunners are the runners that the last report, as of
	// drainingAsOfMs, names: a cached entry may still name the incarnation
	// before, and a request to that would reach the draining one.
	drained         map[protocol.LeavingRunner]bool
	drainingRunners map[string]bool
	drainingAsOfMs  int64
	// lastListReadMs and listReadStartMs are when the last read of the
	// platform's list began; listReadPending is set while it is under way.
	lastListReadMs  int64
	listReadPending bool
	listReadStartMs int64

	cache    map[choice.Key]*cacheEntry
	requests map[uint64]*request
	// queue is the order of arrival of the requests.
	queue []uint64
	// queued counts the requests in the waiting queue, by service.
	queued       map[string]int
	retryBudgets map[string]*dataplane.TokenBucket
	recentIDs    recentIDs
	// inFlight counts this router's attempts under way, by runner.
	inFlight map[string]int64
	// unhealthyUntilMs is until when a runner is the last choice.
	unhealthyUntilMs map[string]int64

	// lookUpTarget selects the controller that look-ups are sent to;
	// lookUpCount is the id of the last one.
	lookUpTarget int
	lookUpCount  uint64
	// unansweredLookUps are the ids of look-ups, with when they were sent.
	unansweredLookUps map[uint64]int64
	// controllersSilentSinceMs is since when no look-up has been answered; 0
	// while they are.
	controllersSilentSinceMs int64
}

// New returns the machine of a router that knows only its settings.
func New(settings Settings, nowMs int64) *Machine {
	return &Machine{
		settings: settings, nowMs: nowMs, detector: failuredetector.New(settings.Self, settings.Seeds, nil),
		lastPollMs:         nowMs - pollEachMs,
		drainingAsOfMs:     nowMs - drainingMaxAgeMs - 1,
		primaryConfirmedMs: nowMs - 1,
		leaseUntilMs:       nowMs,
		// An earlier process of this name may have granted extensions.
		extensionsUntilMs: nowMs + leaseMs,
		extensions:        map[string]int64{},
		drained:           map[protocol.LeavingRunner]bool{},
		cache:             map[choice.Key]*cacheEntry{},
		requests:          map[uint64]*request{},
		queued:            map[string]int{},
		retryBudgets:      map[string]*dataplane.TokenBucket{},
		recentIDs:         newRecentIDs(),
		inFlight:          map[string]int64{},
		unhealthyUntilMs:  map[string]int64{},
		unansweredLookUps: map[uint64]int64{},
		Counters:          Counters{Rejections: map[errkind.Kind]uint64{}},
	}
}

// MaySend reports whether the first byte of an attempt may be written now. It
// may not once its time has passed or another revision is in use. It may be
// called from any goroutine.
func (m *Machine) MaySend(nowMs int64, attempt StartAttempt) bool {
	return nowMs < attempt.WriteByMs && m.revisionInUse.Load() == attempt.Revision
}

// Step applies one input at the given time and returns its effects. Times of
// successive calls must not decrease. An input that is neither an Input nor
// one of the types of package protocol that Input names panics.
func (m *Machine) Step(nowMs int64, input protocol.Input) protocol.Effects {
	m.nowMs = nowMs
	m.outbox = dataplane.Outbox{}
	switch in := input.(type) {
	case Input:
		in.apply(m)
	case protocol.Envelope:
		// A retired router is never used again.
		if !m.retired {
			m.receive(in)
		}
	case protocol.RunnerListResult:
		m.runnerListRead(in)
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("router: unknown input %T", input))
	}
	return m.outbox.Effects
}

// startDraining rejects what is queued.
func (m *Machine) startDraining() {
	m.draining = true
	m.dispatchQueue()
}

// tick does what is due by the time.
func (m *Machine) tick() {
	if m.retired {
		m.dispatchQueue()
		return
	}
	m.outbox.Sends = append(m.outbox.Sends, m.detector.Tick(m.nowMs, m.epoch, m.primary, false)...)
	if m.nowMs-m.lastPollMs >= pollEachMs {
		m.pollPrimary()
	}
	if m.listReadDue() {
		m.readRunnerList()
	}
	m.extendLease()
	m.checkLookUpTarget()
	m.dispatchQueue()
}

// pollPrimary asks the primary for changes and reports what this router has.
func (m *Machine) pollPrimary() {
	m.lastPollMs = m.nowMs
	node, known := m.detector.Node(m.primary)
	if !known || m.primary == "" {
		return
	}
	m.outbox.Send(node, protocol.RouterPoll{
		EchoMs: m.nowMs, Revision: m.revision, Held: m.pendingDigest,
		GivenMs: max(0, m.extensionsUntilMs-m.nowMs), Waiting: m.missingKeys(), Number: m.registration,
	})
}

// missingKeys returns what the oldest queued requests need and the cache does
// not have, once each.
func (m *Machine) missingKeys() []protocol.LookUp {
	var keys []protocol.LookUp
	for _, id := range m.queue {
		r := m.requests[id]
		if r == nil || r.attemptActive || m.cachedEntry(r.key) != nil || len(keys) >= maxMissingKeys {
			continue
		}
		key := protocol.LookUp{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// receive handles a message of another daemon. One that is not meant for this
// daemon is counted and ignored.
func (m *Machine) receive(e protocol.Envelope) {
	if m.outbox.Misaddressed(e, m.settings.Site, m.settings.Self.Name) {
		return
	}
	m.detector.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
		m.noteHeartbeat(body)
	case protocol.PeersRequest:
		m.answerPeersRequest(e.From)
	case protocol.PeersReply:
		m.detector.AddNodes(m.nowMs, body.Peers)
		m.observePrimary(body.Record.Epoch, body.Record.Primary)
	case protocol.PrimaryQuery:
		m.answerPrimaryQuery(e.From, body)
	case protocol.PollRequest:
		m.pollRequested(e.From, body)
	case protocol.RouterUpdate:
		m.applyUpdate(e.From, body)
	case protocol.ExtendLease:
		m.grantExtension(e.From, body)
	case protocol.ExtendLeaseReply:
		m.extensionGranted(e.From, body)
	case protocol.LookUpReply:
		m.applyLookUpReply(body)
	default:
		m.outbox.CountError(errkind.Malformed)
	}
}

// noteHeartbeat notes that the primary is alive.
func (m *Machine) noteHeartbeat(heartbeat protocol.Heartbeat) {
	if heartbeat.Serving && heartbeat.Epoch == m.epoch {
		m.lastHeartbeatMs = m.nowMs
	}
}

// answerPeersRequest reports the known daemons and the primary.
func (m *Machine) answerPeersRequest(from protocol.Node) {
	m.outbox.Send(from, protocol.PeersReply{
		Peers:  m.detector.Nodes(),
		Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary},
	})
}

// answerPrimaryQuery reports when this router last heard of the primary of the
// queried epoch.
func (m *Machine) answerPrimaryQuery(from protocol.Node, query protocol.PrimaryQuery) {
	if query.Epoch == m.epoch {
		aliveMs := max(m.lastHeartbeatMs, m.primaryConfirmedMs)
		m.outbox.Send(from, protocol.PrimaryReply{Epoch: query.Epoch, HeardMs: m.nowMs - aliveMs})
	}
}

// pollRequested polls a primary that asks for it.
func (m *Machine) pollRequested(from protocol.Node, request protocol.PollRequest) {
	if request.Epoch < m.epoch {
		m.outbox.CountError(errkind.LowerEpoch)
		return
	}
	m.observePrimary(request.Epoch, from.Name)
	m.pollPrimary()
}

// observePrimary takes note of a primary that a peer reports. An update of an
// older epoch is rejected only once the newer primary has sent one itself.
func (m *Machine) observePrimary(epoch uint64, primary string) {
	if epoch >= m.epoch && primary != "" && epoch > 0 {
		m.primary = primary
	}
}

// Package router is the data plane of the native interface: the state machine of a router, and
// the server that forwards clients' requests to runners.
//
// A router sends requests to runners only while it is certain that no newer description is
// active. For that the primary grants it a lease on its revision (description.go), which a
// majority of the routers can extend while the primary is unresponsive (lease.go). A request
// passes one list of stages on arrival and another one at each dispatch (stages.go).
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
	// pollIntervalMs is the interval between two polls of the primary.
	pollIntervalMs = 300
	// maxMissingKeys is the maximum number of keys that a poll lists as missing.
	maxMissingKeys = 64
	// listReadAfterMs is the age of the last report of draining runners above which the router
	// reads the platform's runner list itself. listReadIntervalMs is the minimum time between
	// the starts of two reads.
	listReadAfterMs    = 1000
	listReadIntervalMs = 300
)

// Settings is the configuration of a router, fixed at its start.
type Settings struct {
	// Site is the site's name. Messages of other sites are ignored.
	Site string
	// Self is this router's name, address, role, zone and incarnation, as its peers know them.
	Self protocol.Node
	// Seeds are the addresses that this router contacts first to find its peers.
	Seeds []string
	// RunnerListAddress is the address of the platform's runner list. If it is empty, the
	// router never reads the list itself.
	RunnerListAddress string
}

// Machine is the state machine of one router. Step applies inputs and returns effects; the
// machine has no clock, connection or goroutine of its own. Only the goroutine that calls Step
// may use it, except for MaySend.
type Machine struct {
	// Counters counts what the router did since its start.
	Counters Counters

	settings Settings
	nowMs    int64
	// outbox collects the effects of the current step.
	outbox dataplane.Outbox
	// detector knows the daemons of the site and which of them are alive.
	detector *failuredetector.Detector

	// revision is the revision of the description in use, or 0 if there is none.
	revision    uint64
	description *description.Description
	// revisionInUse has the value of revision, for the goroutines that call MaySend.
	revisionInUse atomic.Uint64
	// leaseUntilMs is when the lease expires. Until then no higher revision can be active.
	leaseUntilMs int64
	// pendingDescription is the next description, if this router has acknowledged one, and
	// pendingDigest the token that identifies it; otherwise they are nil and empty.
	// pendingSeenMs is when the last poll whose reply named it as pending was sent.
	pendingDigest      string
	pendingDescription *description.Description
	pendingSeenMs      int64
	// highestSeenRevision is the highest revision that a runner reported.
	highestSeenRevision uint64
	// extensionsUntilMs is when the last lease extension that this router has granted to its peers
	// expires.
	extensionsUntilMs int64
	lastExtendMs      int64
	// extensions holds, for each other router, the time at which this router requested the last
	// lease extension that the other router granted.
	extensions map[string]int64

	// epoch and primary are the epoch and the name of the primary that this router knows.
	epoch   uint64
	primary string
	// primaryConfirmedMs is when the last poll that the primary replied to was sent;
	// lastHeartbeatMs is when the primary's last heartbeat arrived.
	primaryConfirmedMs int64
	lastHeartbeatMs    int64
	lastPollMs         int64
	// registration is the number that the primary assigned to this process.
	registration uint64
	// retired is set once a later process has this router's name.
	retired bool
	// draining is set by Drain.
	draining bool

	// drainingProcesses holds all processes of runners that were ever reported as draining.
	// drainingRunners holds the names of the runners in the last report, which is as of
	// drainingAsOfMs. The names are needed because a cached entry may still have an earlier
	// incarnation, and a request to that one would reach the draining process.
	drainingProcesses map[protocol.LeavingRunner]bool
	drainingRunners   map[string]bool
	drainingAsOfMs    int64
	// lastListReadMs and listReadStartMs are when the last read of the platform's runner list
	// began; listReadPending is true while it is in flight.
	lastListReadMs  int64
	listReadPending bool
	listReadStartMs int64

	cache    map[choice.Key]*cacheEntry
	requests map[uint64]*request
	// queue holds the ids of the requests in the order of their arrival.
	queue []uint64
	// queued counts the waiting requests by service.
	queued       map[string]int
	retryBudgets map[string]*dataplane.TokenBucket
	recentIDs    recentIDs
	// inFlight counts this router's attempts in flight by runner.
	inFlight map[string]int64
	// unhealthyUntilMs holds, by runner, the time until which it is unhealthy after a failure.
	unhealthyUntilMs map[string]int64

	// lookUpTarget selects the controller to which look-ups are sent; lookUpCount is the id of
	// the last look-up.
	lookUpTarget int
	lookUpCount  uint64
	// unansweredLookUps holds, by id, when the look-ups without a reply were sent.
	unansweredLookUps map[uint64]int64
	// controllersUnresponsiveSinceMs is 0 after a reply to a look-up. Once a look-up has timed out,
	// it is the time at which that look-up was sent.
	controllersUnresponsiveSinceMs int64
}

// New returns the state machine of a router without a description.
func New(settings Settings, nowMs int64) *Machine {
	return &Machine{
		settings: settings, nowMs: nowMs, detector: failuredetector.New(settings.Self, settings.Seeds, nil),
		lastPollMs:         nowMs - pollIntervalMs,
		drainingAsOfMs:     nowMs - drainingMaxAgeMs - 1,
		primaryConfirmedMs: nowMs - 1,
		leaseUntilMs:       nowMs,
		// An earlier process of this name may have granted extensions.
		extensionsUntilMs: nowMs + leaseMs,
		extensions:        map[string]int64{},
		drainingProcesses: map[protocol.LeavingRunner]bool{},
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

// MaySend reports whether the first byte of an attempt may be written at nowMs: its WriteByMs has
// not passed and its revision is still in use. It may be called from any goroutine.
func (m *Machine) MaySend(nowMs int64, attempt StartAttempt) bool {
	return nowMs < attempt.WriteByMs && m.revisionInUse.Load() == attempt.Revision
}

// Step applies one input at the given time and returns its effects. Times of successive calls
// must not decrease. It panics if the input is neither an Input nor of one of the types of
// package protocol that the comment of Input names.
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
	case protocol.NativeRunnerListResult:
		m.runnerListRead(in)
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("router: unknown input %T", input))
	}
	return m.outbox.Effects
}

// startDraining rejects the queued requests.
func (m *Machine) startDraining() {
	m.draining = true
	m.dispatchQueue()
}

// tick runs what is due at this time.
func (m *Machine) tick() {
	if m.retired {
		m.dispatchQueue()
		return
	}
	m.outbox.Sends = append(m.outbox.Sends, m.detector.Tick(m.nowMs, m.epoch, m.primary, false)...)
	if m.nowMs-m.lastPollMs >= pollIntervalMs {
		m.pollPrimary()
	}
	if m.listReadDue() {
		m.readRunnerList()
	}
	m.extendLease()
	m.checkLookUpTarget()
	m.dispatchQueue()
}

// pollPrimary asks the primary for changes. The poll also reports which description this router
// has acknowledged and what its queued requests wait for.
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

// missingKeys returns the keys, without duplicates, that the oldest queued requests need and
// that are not cached.
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

// receive handles a message from another daemon. A message that is not for this daemon is counted
// and ignored.
func (m *Machine) receive(e protocol.Envelope) {
	if m.outbox.Misaddressed(e, m.settings.Site, m.settings.Self.Name) {
		return
	}
	m.detector.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
		m.recordHeartbeat(body)
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
		m.handleExtension(e.From, body)
	case protocol.LookUpReply:
		m.applyLookUpReply(body)
	default:
		m.outbox.CountError(errkind.Malformed)
	}
}

// recordHeartbeat records that the primary is alive.
func (m *Machine) recordHeartbeat(heartbeat protocol.Heartbeat) {
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

// answerPrimaryQuery reports when this router was last in contact with the primary of the queried
// epoch.
func (m *Machine) answerPrimaryQuery(from protocol.Node, query protocol.PrimaryQuery) {
	if query.Epoch == m.epoch {
		aliveMs := max(m.lastHeartbeatMs, m.primaryConfirmedMs)
		m.outbox.Send(from, protocol.PrimaryReply{Epoch: query.Epoch, HeardMs: m.nowMs - aliveMs})
	}
}

// pollRequested polls a primary that asks for it.
func (m *Machine) pollRequested(from protocol.Node, request protocol.PollRequest) {
	if request.Epoch < m.epoch {
		m.outbox.CountError(errkind.StaleEpoch)
		return
	}
	m.observePrimary(request.Epoch, from.Name)
	m.pollPrimary()
}

// observePrimary records a primary that a peer reports. The epoch is not raised by it: updates of
// an older epoch are rejected only after the newer primary has itself sent an update.
func (m *Machine) observePrimary(epoch uint64, primary string) {
	if epoch >= m.epoch && primary != "" && epoch > 0 {
		m.primary = primary
	}
}

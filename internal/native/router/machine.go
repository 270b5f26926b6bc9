// Package router is the data plane: the router's state machine, the policies
// that a request passes, and the going to a runner and back.
package router

import (
	"fmt"
	"slices"
	"sync/atomic"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/native/choice"
	"myrtlewinch/internal/native/description"
	"myrtlewinch/internal/protocol"
)

const (
	pollEachMs = 300
	// pendingLeaseMs is how long a router that acknowledged a next revision goes
	// on with the present one after the question whose answer said "pending".
	pendingLeaseMs = 1500
	// drainingMaxAgeMs is how old the last word on leaving runners may be at a send.
	drainingMaxAgeMs = 2000
	// ownReadAfterMs is when the router reads the platform for itself.
	ownReadAfterMs = 1000
	listReadEachMs = 300
	// missDelayedMs is how long a miss waits for its look-up before it counts as held.
	missDelayedMs = 50
	// maxWaitMs ends a request whose look-up was never answered, and one
	// for which there is no word from control.
	maxWaitMs = 1500
	// entryMaxAgeMs is how old a cached entry may be and still be a hit.
	entryMaxAgeMs   = 10_000
	maxCacheEntries = 4096
	// controllersSilentMs is how long all controllers are silent before old entries serve,
	// and staleEntryMaxAgeMs how old those may be.
	controllersSilentMs = 1000
	staleEntryMaxAgeMs  = 600_000
	maxRecentIDs        = 65_536
	// unhealthyMs keeps a runner that just failed from being the first choice.
	unhealthyMs     = 1000
	lookUpTimeoutMs = 300
	// maxMissingKeys bounds the keys that a question names.
	maxMissingKeys = 64
)

// Settings is what a router knows before it knows anyone.
type Settings struct {
	Site     string
	Self     protocol.Node
	Seeds    []string
	Platform string
}

// Machine is one router.
type Machine struct {
	settings Settings
	nowMs    int64
	effects  protocol.Effects
	detector *failuredetector.Detector

	// The revision in force as far as this router knows.
	revision uint64
	// revisionInUse is the revision for those at the socket, on other threads.
	revisionInUse       atomic.Uint64
	description         *description.Description
	leaseUntilMs        int64
	pendingDigest       string
	pendingDescription  *description.Description
	pendingSeenMs       int64
	highestSeenRevision uint64
	// extensionsUntilMs is until when renewals given to peers may run.
	extensionsUntilMs  int64
	lastExtendMs       int64
	extensions         map[string]int64
	epoch              uint64
	primary            string
	primaryConfirmedMs int64
	lastHeartbeatMs    int64
	lastPollMs         int64
	drainingAsOfMs     int64
	lastListReadMs     int64
	listReadPending    bool
	listReadStartMs    int64
	drained            map[protocol.LeavingRunner]bool
	// drainingRunners are the runners whose present incarnation is leaving by the
	// latest word. A cached entry may still name the incarnation before, and
	// a request to that would reach the leaver as well.
	drainingRunners map[string]bool
	draining        bool
	// registration is what the primary registered this process under.
	registration uint64
	// retired says that a later process has this router's name.
	retired bool

	cache    map[choice.Key]*cacheEntry
	requests map[uint64]*request
	// queue keeps requests as they came, so that the eldest goes first.
	queue             []uint64
	queued            map[string]int
	retryBudgets      map[string]*retryBudget
	recentIDs         recentIDs
	inFlight          map[string]int64
	unhealthyUntilMs  map[string]int64
	lookUpTarget      int
	lookUpCount       uint64
	unansweredLookUps map[uint64]int64
	// controllersSilentSinceMs is since when no look-up has been answered, or nought.
	controllersSilentSinceMs int64
	Counters                 Counters
}

// Counters counts what a router did.
type Counters struct {
	Requests      uint64
	LookUps       uint64
	LookUpRetries uint64 `json:"LookUpsAgain"`
	Hits          uint64
	Misses        uint64
	MissesDelayed uint64                  `json:"MissesHeld"`
	Attempts      uint64                  `json:"Goes"`
	Retries       uint64                  `json:"SecondGoes"`
	Rejections    map[errkind.Kind]uint64 `json:"Drops"`
}

// New makes a router that knows nothing but its seeds.
func New(set Settings, nowMs int64) *Machine {
	return &Machine{
		settings: set, nowMs: nowMs, detector: failuredetector.New(set.Self, set.Seeds, nil),
		lastPollMs: nowMs - pollEachMs, drainingAsOfMs: nowMs - drainingMaxAgeMs - 1, primaryConfirmedMs: nowMs - 1, leaseUntilMs: nowMs,
		extensionsUntilMs: nowMs + leaseMs, extensions: map[string]int64{},
		drained: map[protocol.LeavingRunner]bool{}, cache: map[choice.Key]*cacheEntry{}, requests: map[uint64]*request{},
		queued: map[string]int{}, retryBudgets: map[string]*retryBudget{}, recentIDs: newRecentIDs(),
		inFlight: map[string]int64{}, unhealthyUntilMs: map[string]int64{}, unansweredLookUps: map[uint64]int64{},
		Counters: Counters{Rejections: map[errkind.Kind]uint64{}},
	}
}

// WriteCheck is the check at the socket: a go that was made under an earlier
// revision, or whose time has passed, may not be written any more.
func (m *Machine) MaySend(nowMs int64, to StartAttempt) bool {
	return nowMs < to.WriteByMs && m.revisionInUse.Load() == to.Revision
}

// Step takes one input and returns what to do.
func (m *Machine) Step(nowMs int64, input any) protocol.Effects {
	m.nowMs = nowMs
	m.effects = protocol.Effects{}
	switch in := input.(type) {
	case protocol.Envelope:
		// It disturbs no one any more, and nothing brings it back.
		if !m.retired {
			m.receive(in)
		}
	case Request:
		m.admit(in)
	case AttemptEnded:
		m.attemptEnded(in)
	case ClientDisconnected:
		if r := m.requests[in.ID]; r != nil {
			// It comes only while no go is under way, so one that was made
			// and not begun yet never will be.
			if r.attemptActive {
				m.inFlight[r.runner]--
			} else if r.idRecorded && !r.mayHaveRun {
				// It only waited, so its sender may come back with its id.
				m.recentIDs.forget(r.Service + "/" + r.RequestID)
			}
			m.forget(r)
		}
	case protocol.RunnerListResult:
		m.runnerListRead(in)
	case Drain:
		m.draining = true
		m.dispatchQueue()
	case StatusQuery:
		m.reportStatus(in)
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("traffic: unknown input %T", input))
	}
	return m.effects
}

func (m *Machine) tick() {
	if m.retired {
		m.dispatchQueue()
		return
	}
	m.effects.Sends = append(m.effects.Sends, m.detector.Tick(m.nowMs, m.epoch, m.primary, false)...)
	if m.nowMs-m.lastPollMs >= pollEachMs {
		m.pollPrimary()
	}
	// The platform is read here only while the primary gives no word.
	if m.settings.Platform != "" && m.nowMs-m.drainingAsOfMs > ownReadAfterMs && m.nowMs-m.lastListReadMs >= listReadEachMs && !m.listReadPending {
		m.lastListReadMs, m.listReadStartMs, m.listReadPending = m.nowMs, m.nowMs, true
		m.effects.Calls = append(m.effects.Calls, protocol.OutboundCall{Address: m.settings.Platform, Body: protocol.PlatformCall{}})
	}
	m.extendLease()
	m.checkLookUpTarget()
	m.dispatchQueue()
}

func (m *Machine) pollPrimary() {
	m.lastPollMs = m.nowMs
	if place, ok := m.detector.Node(m.primary); ok && m.primary != "" {
		m.send(place, protocol.RouterPoll{EchoMs: m.nowMs, Revision: m.revision, Held: m.pendingDigest, GivenMs: max(0, m.extensionsUntilMs-m.nowMs), Waiting: m.missingKeys(), Number: m.registration})
	}
}

// missingKeys lists what the eldest waiting requests need, once each.
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

func (m *Machine) receive(e protocol.Envelope) {
	if e.Site != m.settings.Site {
		m.count(errkind.WrongSite)
		return
	}
	// An address may have passed to another daemon.
	if e.To != "" && e.To != m.settings.Self.Name {
		m.count(errkind.WrongDaemon)
		return
	}
	m.detector.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
		if body.Serving && body.Epoch == m.epoch {
			m.lastHeartbeatMs = m.nowMs
		}
	case protocol.PeersRequest:
		m.send(e.From, protocol.PeersReply{Peers: m.detector.Nodes(), Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary}})
	case protocol.PeersReply:
		m.detector.AddNodes(m.nowMs, body.Peers)
		m.observePrimary(body.Record.Epoch, body.Record.Primary)
	case protocol.PrimaryQuery:
		if body.Epoch == m.epoch {
			m.send(e.From, protocol.PrimaryReply{Epoch: body.Epoch, HeardMs: m.nowMs - max(m.lastHeartbeatMs, m.primaryConfirmedMs)})
		}
	case protocol.PollRequest:
		if body.Epoch < m.epoch {
			m.count(errkind.LowerEpoch)
			return
		}
		m.observePrimary(body.Epoch, e.From.Name)
		m.pollPrimary()
	case protocol.RouterUpdate:
		m.applyUpdate(e.From, body)
	case protocol.ExtendLease:
		m.grantExtension(e.From, body)
	case protocol.ExtendLeaseReply:
		m.extensionGranted(e.From, body)
	case protocol.LookUpReply:
		m.applyLookUpReply(body)
	default:
		m.count(errkind.Malformed)
	}
}

// observePrimary takes a newer primary as the one to ask. Only its word makes its epoch
// the least that is listened to.
func (m *Machine) observePrimary(epoch uint64, primary string) {
	if epoch >= m.epoch && primary != "" && epoch > 0 {
		m.primary = primary
	}
}

// applyUpdate takes the primary's answer to a question of this very process.
func (m *Machine) applyUpdate(from protocol.Node, w protocol.RouterUpdate) {
	if w.Epoch < m.epoch {
		m.count(errkind.LowerEpoch)
		return
	}
	// An answer that was overtaken by a later one says nothing any more.
	if w.For != m.settings.Self.Incarnation || w.EchoMs <= m.primaryConfirmedMs || w.EchoMs > m.nowMs {
		return
	}
	if w.Retired {
		m.note("retired: another router has this one's name; stop this one")
		m.retired, m.draining = true, true
		m.dispatchQueue()
		return
	}
	// A router never goes back to an older description.
	if w.Revision < m.revision {
		m.count(errkind.StaleRevision)
		return
	}
	// A number of an earlier primary says nothing to the next.
	m.registration = w.Number
	m.epoch, m.primary, m.primaryConfirmedMs = w.Epoch, from.Name, w.EchoMs
	m.detector.AddNodes(m.nowMs, w.Peers)
	m.setDraining(w.Leaving)
	m.drainingAsOfMs = max(m.drainingAsOfMs, w.EchoMs)
	if w.Revision > m.revision {
		d := m.pendingDescription
		if w.Sum != m.pendingDigest {
			d = m.parseDescription(w.Text)
		}
		if d == nil {
			return
		}
		m.revision, m.description = w.Revision, d
		m.revisionInUse.Store(w.Revision)
		m.pendingDigest, m.pendingDescription = "", nil
		m.leaseUntilMs = m.nowMs
		m.extensions = map[string]int64{}
		m.note("revision %d is in use", m.revision)
		m.resizeRetryBudgets()
	}
	if w.Renew {
		m.leaseUntilMs = max(m.leaseUntilMs, w.EchoMs+leaseMs)
	}
	switch {
	case w.Pending == "":
		m.pendingDigest, m.pendingDescription = "", nil
	case w.Pending == m.pendingDigest:
		m.pendingSeenMs = w.EchoMs
	case w.PendingText != "":
		if d := m.parseDescription(w.PendingText); d != nil {
			m.pendingDigest, m.pendingDescription, m.pendingSeenMs = w.Pending, d, w.EchoMs
			// The sooner it is acknowledged, the sooner it is taken.
			m.pollPrimary()
		}
	}
	m.dispatchQueue()
}

// leaseMs is the hold on a revision that the primary's word gives.
const leaseMs = 6000

func (m *Machine) parseDescription(text string) *description.Description {
	d, faults := description.Read([]byte(text), m.settings.Site)
	if len(faults) > 0 {
		m.count(errkind.Malformed)
		return nil
	}
	return d
}

func (m *Machine) setDraining(leaving []protocol.LeavingRunner) {
	m.drainingRunners = map[string]bool{}
	for _, mark := range leaving {
		m.drained[mark] = true
		m.drainingRunners[mark.Runner] = true
	}
}

func (m *Machine) runnerListRead(in protocol.RunnerListResult) {
	m.listReadPending = false
	if !in.Ok {
		return
	}
	var leaving []protocol.LeavingRunner
	for _, l := range in.Runners {
		if l.Leaving {
			leaving = append(leaving, protocol.LeavingRunner{Runner: l.Name, Incarnation: l.Incarnation})
		}
	}
	m.setDraining(leaving)
	m.drainingAsOfMs = max(m.drainingAsOfMs, m.listReadStartMs)
	m.dispatchQueue()
}

// maySendUntil says until when this router may send under its revision: as
// long as its hold runs, it need not fear that a next one is in force, and
// its word on leaving runners is fresh.
func (m *Machine) maySendUntil() int64 {
	if m.description == nil || m.highestSeenRevision > m.revision || m.retired {
		return m.nowMs
	}
	until := min(m.leaseUntilMs, m.drainingAsOfMs+drainingMaxAgeMs)
	if m.pendingDigest != "" {
		until = min(until, m.pendingSeenMs+pendingLeaseMs)
	}
	return until
}

func (m *Machine) maySendNow() bool { return m.nowMs < m.maySendUntil() }

func (m *Machine) send(to protocol.Node, body protocol.Message) {
	m.effects.Sends = append(m.effects.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

func (m *Machine) answer(id uint64, body any) {
	m.effects.Responses = append(m.effects.Responses, protocol.Response{ID: id, Body: body})
}

func (m *Machine) note(format string, args ...any) {
	m.effects.LogLines = append(m.effects.LogLines, fmt.Sprintf(format, args...))
}

func (m *Machine) count(kind errkind.Kind) { m.effects.Counts = append(m.effects.Counts, string(kind)) }

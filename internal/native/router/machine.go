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
	askMs = 300
	// pendingMs is how long a router that acknowledged a next revision goes
	// on with the present one after the question whose answer said "pending".
	pendingMs = 1500
	// leaveMs is how old the last word on leaving runners may be at a send.
	leaveMs = 2000
	// ownReadMs is when the router reads the platform for itself.
	ownReadMs  = 1000
	platformMs = 300
	// missMs is how long a miss waits for its look-up before it counts as held.
	missMs = 50
	// unansweredMs ends a request whose look-up was never answered, and one
	// for which there is no word from control.
	unansweredMs = 1500
	// entryMs is how old a cached entry may be and still be a hit.
	entryMs   = 10_000
	cacheMost = 4096
	// cutMs is how long all controllers are silent before old entries serve,
	// and cutEntryMs how old those may be.
	cutMs      = 1000
	cutEntryMs = 600_000
	takenMost  = 65_536
	// suspectMs keeps a runner that just failed from being the first choice.
	suspectMs = 1000
	silentMs  = 300
	// waitingMost bounds the keys that a question names.
	waitingMost = 64
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
	set    Settings
	nowMs  int64
	out    protocol.Effects
	roster *failuredetector.Detector

	// The revision in force as far as this router knows.
	revision uint64
	// inUse is the revision for those at the socket, on other threads.
	inUse      atomic.Uint64
	described  *description.Description
	revUntilMs int64
	heldSum    string
	held       *description.Description
	heldEchoMs int64
	higher     uint64
	// givenUntilMs is until when renewals given to peers may run.
	givenUntilMs int64
	prolongMs    int64
	prolonged    map[string]int64
	epoch        uint64
	primary      string
	echoMs       int64
	servedMs     int64
	askedMs      int64
	leaveWordMs  int64
	platformMs   int64
	reading      bool
	readMs       int64
	marks        map[protocol.LeavingRunner]bool
	// leavers are the runners whose present incarnation is leaving by the
	// latest word. A cached entry may still name the incarnation before, and
	// a request to that would reach the leaver as well.
	leavers map[string]bool
	leaving bool
	// number is what the primary registered this process under.
	number uint64
	// retired says that a later process has this router's name.
	retired bool

	cache    map[choice.Key]*entry
	requests map[uint64]*request
	// order keeps requests as they came, so that the eldest goes first.
	order   []uint64
	holding map[string]int
	budgets map[string]*budget
	taken   takenIDs
	busy    map[string]int64
	suspect map[string]int64
	target  int
	asks    uint64
	silent  map[uint64]int64
	// cutSinceMs is since when no look-up has been answered, or nought.
	cutSinceMs int64
	Counters   Counters
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
		set: set, nowMs: nowMs, roster: failuredetector.New(set.Self, set.Seeds, nil),
		askedMs: nowMs - askMs, leaveWordMs: nowMs - leaveMs - 1, echoMs: nowMs - 1, revUntilMs: nowMs,
		givenUntilMs: nowMs + wordHoldMs, prolonged: map[string]int64{},
		marks: map[protocol.LeavingRunner]bool{}, cache: map[choice.Key]*entry{}, requests: map[uint64]*request{},
		holding: map[string]int{}, budgets: map[string]*budget{}, taken: newTakenIDs(),
		busy: map[string]int64{}, suspect: map[string]int64{}, silent: map[uint64]int64{},
		Counters: Counters{Rejections: map[errkind.Kind]uint64{}},
	}
}

// WriteCheck is the check at the socket: a go that was made under an earlier
// revision, or whose time has passed, may not be written any more.
func (m *Machine) MaySend(nowMs int64, to StartAttempt) bool {
	return nowMs < to.WriteByMs && m.inUse.Load() == to.Revision
}

// Step takes one input and returns what to do.
func (m *Machine) Step(nowMs int64, input any) protocol.Effects {
	m.nowMs = nowMs
	m.out = protocol.Effects{}
	switch in := input.(type) {
	case protocol.Envelope:
		// It disturbs no one any more, and nothing brings it back.
		if !m.retired {
			m.receive(in)
		}
	case Request:
		m.take(in)
	case AttemptEnded:
		m.ended(in)
	case ClientDisconnected:
		if r := m.requests[in.ID]; r != nil {
			// It comes only while no go is under way, so one that was made
			// and not begun yet never will be.
			if r.away {
				m.busy[r.runner]--
			} else if r.taken && !r.mayHaveRun {
				// It only waited, so its sender may come back with its id.
				m.taken.forget(r.Service + "/" + r.RequestID)
			}
			m.forget(r)
		}
	case protocol.RunnerListResult:
		m.listing(in)
	case Drain:
		m.leaving = true
		m.wake()
	case StatusQuery:
		m.look(in)
	case protocol.Tick:
		m.tick()
	default:
		panic(fmt.Sprintf("traffic: unknown input %T", input))
	}
	return m.out
}

func (m *Machine) tick() {
	if m.retired {
		m.wake()
		return
	}
	m.out.Sends = append(m.out.Sends, m.roster.Tick(m.nowMs, m.epoch, m.primary, false)...)
	if m.nowMs-m.askedMs >= askMs {
		m.ask()
	}
	// The platform is read here only while the primary gives no word.
	if m.set.Platform != "" && m.nowMs-m.leaveWordMs > ownReadMs && m.nowMs-m.platformMs >= platformMs && !m.reading {
		m.platformMs, m.readMs, m.reading = m.nowMs, m.nowMs, true
		m.out.Calls = append(m.out.Calls, protocol.OutboundCall{Address: m.set.Platform, Body: protocol.PlatformCall{}})
	}
	m.prolong()
	m.turnTarget()
	m.wake()
}

func (m *Machine) ask() {
	m.askedMs = m.nowMs
	if place, ok := m.roster.Node(m.primary); ok && m.primary != "" {
		m.send(place, protocol.RouterPoll{EchoMs: m.nowMs, Revision: m.revision, Held: m.heldSum, GivenMs: max(0, m.givenUntilMs-m.nowMs), Waiting: m.waitingKeys(), Number: m.number})
	}
}

// waitingKeys lists what the eldest waiting requests need, once each.
func (m *Machine) waitingKeys() []protocol.LookUp {
	var keys []protocol.LookUp
	for _, id := range m.order {
		r := m.requests[id]
		if r == nil || r.away || m.entry(r.key) != nil || len(keys) >= waitingMost {
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
	if e.Site != m.set.Site {
		m.count(errkind.WrongSite)
		return
	}
	// An address may have passed to another daemon.
	if e.To != "" && e.To != m.set.Self.Name {
		m.count(errkind.WrongDaemon)
		return
	}
	m.roster.Observe(m.nowMs, e.From)
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
		if body.Serving && body.Epoch == m.epoch {
			m.servedMs = m.nowMs
		}
	case protocol.PeersRequest:
		m.send(e.From, protocol.PeersReply{Peers: m.roster.Nodes(), Record: protocol.EpochRecord{Epoch: m.epoch, Primary: m.primary}})
	case protocol.PeersReply:
		m.roster.AddNodes(m.nowMs, body.Peers)
		m.heed(body.Record.Epoch, body.Record.Primary)
	case protocol.PrimaryQuery:
		if body.Epoch == m.epoch {
			m.send(e.From, protocol.PrimaryReply{Epoch: body.Epoch, HeardMs: m.nowMs - max(m.servedMs, m.echoMs)})
		}
	case protocol.PollRequest:
		if body.Epoch < m.epoch {
			m.count(errkind.LowerEpoch)
			return
		}
		m.heed(body.Epoch, e.From.Name)
		m.ask()
	case protocol.RouterUpdate:
		m.word(e.From, body)
	case protocol.ExtendLease:
		m.giveProlong(e.From, body)
	case protocol.ExtendLeaseReply:
		m.takeProlonged(e.From, body)
	case protocol.LookUpReply:
		m.indexed(body)
	default:
		m.count(errkind.Malformed)
	}
}

// heed takes a newer primary as the one to ask. Only its word makes its epoch
// the least that is listened to.
func (m *Machine) heed(epoch uint64, primary string) {
	if epoch >= m.epoch && primary != "" && epoch > 0 {
		m.primary = primary
	}
}

// word takes the primary's answer to a question of this very process.
func (m *Machine) word(from protocol.Node, w protocol.RouterUpdate) {
	if w.Epoch < m.epoch {
		m.count(errkind.LowerEpoch)
		return
	}
	// An answer that was overtaken by a later one says nothing any more.
	if w.For != m.set.Self.Incarnation || w.EchoMs <= m.echoMs || w.EchoMs > m.nowMs {
		return
	}
	if w.Retired {
		m.note("retired: another router has this one's name; stop this one")
		m.retired, m.leaving = true, true
		m.wake()
		return
	}
	// A router never goes back to an older description.
	if w.Revision < m.revision {
		m.count(errkind.StaleRevision)
		return
	}
	// A number of an earlier primary says nothing to the next.
	m.number = w.Number
	m.epoch, m.primary, m.echoMs = w.Epoch, from.Name, w.EchoMs
	m.roster.AddNodes(m.nowMs, w.Peers)
	m.mark(w.Leaving)
	m.leaveWordMs = max(m.leaveWordMs, w.EchoMs)
	if w.Revision > m.revision {
		d := m.held
		if w.Sum != m.heldSum {
			d = m.read(w.Text)
		}
		if d == nil {
			return
		}
		m.revision, m.described = w.Revision, d
		m.inUse.Store(w.Revision)
		m.heldSum, m.held = "", nil
		m.revUntilMs = m.nowMs
		m.prolonged = map[string]int64{}
		m.note("revision %d is in use", m.revision)
		m.adaptBudgets()
	}
	if w.Renew {
		m.revUntilMs = max(m.revUntilMs, w.EchoMs+wordHoldMs)
	}
	switch {
	case w.Pending == "":
		m.heldSum, m.held = "", nil
	case w.Pending == m.heldSum:
		m.heldEchoMs = w.EchoMs
	case w.PendingText != "":
		if d := m.read(w.PendingText); d != nil {
			m.heldSum, m.held, m.heldEchoMs = w.Pending, d, w.EchoMs
			// The sooner it is acknowledged, the sooner it is taken.
			m.ask()
		}
	}
	m.wake()
}

// wordHoldMs is the hold on a revision that the primary's word gives.
const wordHoldMs = 6000

func (m *Machine) read(text string) *description.Description {
	d, faults := description.Read([]byte(text), m.set.Site)
	if len(faults) > 0 {
		m.count(errkind.Malformed)
		return nil
	}
	return d
}

func (m *Machine) mark(leaving []protocol.LeavingRunner) {
	m.leavers = map[string]bool{}
	for _, mark := range leaving {
		m.marks[mark] = true
		m.leavers[mark.Runner] = true
	}
}

func (m *Machine) listing(in protocol.RunnerListResult) {
	m.reading = false
	if !in.Ok {
		return
	}
	var leaving []protocol.LeavingRunner
	for _, l := range in.Runners {
		if l.Leaving {
			leaving = append(leaving, protocol.LeavingRunner{Runner: l.Name, Incarnation: l.Incarnation})
		}
	}
	m.mark(leaving)
	m.leaveWordMs = max(m.leaveWordMs, m.readMs)
	m.wake()
}

// usableUntil says until when this router may send under its revision: as
// long as its hold runs, it need not fear that a next one is in force, and
// its word on leaving runners is fresh.
func (m *Machine) usableUntil() int64 {
	if m.described == nil || m.higher > m.revision || m.retired {
		return m.nowMs
	}
	until := min(m.revUntilMs, m.leaveWordMs+leaveMs)
	if m.heldSum != "" {
		until = min(until, m.heldEchoMs+pendingMs)
	}
	return until
}

func (m *Machine) usable() bool { return m.nowMs < m.usableUntil() }

func (m *Machine) send(to protocol.Node, body protocol.Message) {
	m.out.Sends = append(m.out.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

func (m *Machine) answer(id uint64, body any) {
	m.out.Responses = append(m.out.Responses, protocol.Response{ID: id, Body: body})
}

func (m *Machine) note(format string, args ...any) {
	m.out.LogLines = append(m.out.LogLines, fmt.Sprintf(format, args...))
}

func (m *Machine) count(kind errkind.Kind) { m.out.Counts = append(m.out.Counts, string(kind)) }

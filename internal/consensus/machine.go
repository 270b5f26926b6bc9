// Package consensus is the control plane as one state machine: epochs and
// holds, the copied state, descriptions, the index and the orders.
package consensus

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/membership"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/replication"
	"myrtlewinch/internal/storage"
)

// Settings is what a controller knows before it knows anyone.
type Settings struct {
	Site  string
	Self  protocol.Node
	Seeds []string
	// GapMs replaces the usual gap between the orders of two holders.
	GapMs int64
	// Application is what runs on top of the replicated state. It must be set.
	Application Application
	// Hooks, where set, tells the application of more than Application does.
	Hooks Hooks
	// Bootstrap says who makes the first record of a site. BootstrapByOperator
	// needs Hooks.
	Bootstrap BootstrapMode
	// StopWithoutHandover makes a planned stop step down at once, without handing
	// this daemon's copy and vote to others first: for sites whose members are
	// listed by their operator, where no other daemon may take them.
	StopWithoutHandover bool
	// PeersForRouters tells routers of all known daemons. Else they learn of the
	// controllers only.
	PeersForRouters bool
	// QuietAfterRecoveryMs is how long a primary that goes on from an operator's
	// Recover waits until it speaks for the site, so that leases of the lost
	// primary have run out.
	QuietAfterRecoveryMs int64
	// MaxLosses is how many disks may be lost at once: so many further copies has
	// the state beside the primary's. Nought counts as one.
	MaxLosses int
	// FirstStart says that this is the first start of the whole site, so that its
	// seeds found it among them.
	FirstStart bool
	// Timing replaces the usual waits of election and replication. All members
	// of a site must have the same.
	Timing Timing
	// WitnessTimeoutMs replaces the usual time after which a silent witness's seat passes
	// to another.
	WitnessTimeoutMs int64
	// ReplicaGraceMs replaces the usual time that a recorded copy has to show itself to
	// a new primary.
	ReplicaGraceMs int64
	// LeaveTimeoutMs replaces the usual time that a planned stop may take to hand this
	// daemon's copy and vote to others.
	LeaveTimeoutMs int64
}

// Keys of a controller's own rows on the disk.
const (
	recordKey  = "record"
	retiredKey = "retired"
	peersKey   = "fellows"
)

// rememberMs is the least time between two writes of the known peers: all
// routers come at once at a site's start.
const rememberMs = 500

// remembered is the record with the ballot it was kept under.
type remembered struct {
	Record protocol.EpochRecord `json:"record"`
	Ballot protocol.Ballot      `json:"ballot"`
}

// Machine is one controller. It reads no clock, no socket and no disk.
type Machine struct {
	set     Settings
	waits   Timing
	nowMs   int64
	out     protocol.Effects
	local   []protocol.Envelope
	witness *witness.Acceptor
	state   *ledger.State
	record  protocol.EpochRecord
	ballot  protocol.Ballot
	saves   map[uint64]func(ok bool)
	saved   uint64
	// minCopies is how many disks must have a change before it is answered.
	minCopies int
	// firstDisk says that the disk was there at the first start of the site.
	firstDisk bool
	// notFirst are the incarnations of seeds that said that theirs is none.
	notFirst map[string]bool
	// witnessSaves counts the witness's changes on their way to the disk, and
	// witnessWaits are the answers that wait for them.
	witnessSaves int
	witnessWaits []func()
	broken       bool
	leaving      departure
	// retired says that this disk's name has passed to another for good.
	retired bool
	roster  *failuredetector.Detector
	// peers is the list last kept on the disk, peersSum what names it, and
	// peersMs when it was written.
	peers    string
	peersSum uint64
	peersMs  int64
	election election
	// primary and follower are this daemon's parts in replication, planner that of
	// the primary in membership.
	primary  replication.Primary
	follower replication.Follower
	planner  membership.Planner
	// hints is what the primary knows that needs no disk, at a follower as it was
	// last received.
	hints   protocol.Hints
	startMs int64
}

// New makes a controller from what its disk holds.
func New(set Settings, keys map[string]string, nowMs int64) (*Machine, error) {
	if set.GapMs == 0 {
		set.GapMs = DefaultGapMs
	}
	if set.Timing == (Timing{}) {
		set.Timing = usualTiming
	}
	minCopies := set.MaxLosses + 1
	set.MaxLosses = max(set.MaxLosses, 1)
	if set.WitnessTimeoutMs == 0 {
		set.WitnessTimeoutMs = usualWitnessTimeoutMs
	}
	if set.ReplicaGraceMs == 0 {
		set.ReplicaGraceMs = set.Timing.ElectionTimeoutMs
	}
	if set.LeaveTimeoutMs == 0 {
		set.LeaveTimeoutMs = leaveMs
	}
	m := &Machine{set: set, waits: set.Timing, minCopies: minCopies, notFirst: map[string]bool{}, nowMs: nowMs, state: ledger.New(), saves: map[uint64]func(bool){}}
	var err error
	if m.witness, err = witness.New(m.ownSeat(), keys[witness.Key], nowMs, set.Timing.LeaseMs); err != nil {
		return nil, errors.Wrap(err, "the witness record on the disk can't be read")
	}
	var known remembered
	if text := keys[recordKey]; text != "" {
		if err := json.Unmarshal([]byte(text), &known); err != nil {
			return nil, errors.Wrap(err, "the epoch record on the disk can't be read")
		}
	}
	m.record, m.ballot = known.Record, known.Ballot
	m.retired = keys[retiredKey] != ""
	// A witness's record may be half-recorded, so it is only a hint whom to ask.
	if m.witness.Record.Epoch > 0 && m.record.Epoch == 0 {
		m.record.Witnesses, m.record.Before = m.witness.Record.Witnesses, m.witness.Record.Before
	}
	var places []protocol.Node
	if text := keys[peersKey]; text != "" {
		if err := json.Unmarshal([]byte(text), &places); err != nil {
			return nil, errors.Wrap(err, "the remembered peers on the disk can't be read")
		}
	}
	if err := m.state.Take(keys); err != nil {
		return nil, errors.Wrap(err, "the control state on the disk can't be read")
	}
	m.roster = failuredetector.New(set.Self, set.Seeds, places)
	m.election = election{heardMs: nowMs}
	m.primary = replication.NewPrimary(set.Timing.replicationTiming())
	m.follower = replication.NewFollower(m.state.Position)
	m.startMs, m.peersMs = nowMs, nowMs-rememberMs
	m.firstDisk = keys[bootstrapKey] != ""
	if set.Hooks != nil {
		set.Hooks.Attach(host{m})
	}
	set.Application.StateChanged(host{m})
	return m, nil
}

func (m *Machine) ownSeat() protocol.MemberID {
	return protocol.MemberID{Name: m.set.Self.Name, Incarnation: m.set.Self.Incarnation}
}

// Inputs beside those of package protocol.
type (
	// Bootstrap is the operator's explicit act that begins a site.
	Bootstrap struct {
		ID        uint64
		Witnesses []string
		Backup    string
		// Recover goes on from this daemon's copy instead, which must be at
		// the change and revision that are named.
		Recover          bool
		Change, Revision uint64
	}
	// Leave begins a planned stop. It is answered with Departed once this
	// daemon's copy and vote are with others, or after Settings.LeaveTimeoutMs.
	Leave struct{ ID uint64 }
	// SetSeeds replaces the seeds, since the settings changed.
	SetSeeds struct{ Seeds []string }
)

// Step takes one input and returns what to do.
func (m *Machine) Step(nowMs int64, input any) protocol.Effects {
	m.nowMs = nowMs
	m.out = protocol.Effects{}
	if m.retired {
		m.stepRetired(input)
		return m.out
	}
	// A hold that ran out while nothing was done is noticed before anything else.
	m.checkLease()
	switch in := input.(type) {
	case protocol.Envelope:
		m.receive(in)
	case protocol.DiskWriteDone:
		then := m.saves[in.Number]
		delete(m.saves, in.Number)
		if then != nil {
			then(in.Ok)
		}
		if !in.Ok {
			m.breakDisk()
		}
	case Bootstrap:
		if in.Recover {
			m.recoverFrom(in)
		} else {
			m.found(in)
		}
	case Leave:
		m.beginDeparture(in)
	case SetSeeds:
		m.set.Seeds = in.Seeds
		m.roster.SetSeeds(in.Seeds)
	case protocol.Tick:
		m.tick()
	default:
		if !m.set.Application.HandleInput(host{m}, input) {
			panic(fmt.Sprintf("control: unknown input %T", input))
		}
	}
	// Messages of the daemon to itself, such as to its own witness.
	for len(m.local) > 0 {
		next := m.local[0]
		m.local = m.local[1:]
		m.receive(next)
	}
	return m.out
}

func (m *Machine) tick() {
	primary := m.record.Primary
	m.out.Sends = append(m.out.Sends, m.roster.Tick(m.nowMs, m.record.Epoch, primary, m.active())...)
	m.tickElection()
	m.tickDeparture()
	m.tickReplication()
	if m.set.Bootstrap == BootstrapBySeeds {
		m.tickFounding()
	}
	m.set.Application.Tick(host{m})
	m.rememberPeers()
}

// rememberPeers keeps the known peers on the disk, so that seeds may be
// swapped while this daemon is down. Routers keep no files: after the loss of
// everything it is the controllers that find them.
func (m *Machine) rememberPeers() {
	if m.broken || m.roster.Digest() == m.peersSum || m.nowMs-m.peersMs < rememberMs {
		return
	}
	m.peersSum, m.peersMs = m.roster.Digest(), m.nowMs
	text, _ := json.Marshal(m.roster.OtherNodes())
	if string(text) == m.peers {
		return
	}
	m.peers = string(text)
	m.save(storage.Write{Set: map[string]string{peersKey: m.peers}}, nil)
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
	if e.From.Part == protocol.RoleController && !m.heeds(e) {
		return
	}
	m.roster.Observe(m.nowMs, e.From)
	if m.set.Application.HandleMessage(host{m}, e) {
		return
	}
	switch body := e.Body.(type) {
	case protocol.Heartbeat:
	case protocol.PeersRequest:
		m.reply(e, protocol.PeersReply{Peers: m.known(e.From), Record: m.record})
	case protocol.PeersReply:
		m.roster.AddNodes(m.nowMs, body.Peers)
		// What a core peer holds as its record is complete, so it may be
		// taken; a router knows only the epoch and who is primary.
		if len(body.Record.Replicas) > 0 && body.Record.Epoch > m.record.Epoch && !m.isPrimary() {
			m.adopt(body.Record, protocol.Ballot{})
		}
	case protocol.Retire:
		m.heedRetire(body.Record)
	case protocol.HeartbeatReports:
		for _, s := range body.Seen {
			m.roster.ObserveReport(m.nowMs, s)
		}
	case protocol.Prepare:
		if body.Found && !body.AllSeeds && !m.mayBootstrap() {
			m.count(errkind.NotInitialDisk)
			m.reply(e, protocol.PrepareReply{Ballot: body.Ballot, NotFirstDisk: true})
			return
		}
		answer, changed := m.witness.Prepare(m.nowMs, e.From.Name, body)
		answer.At = m.follower.Durable
		m.saveWitness(changed, func() { m.reply(e, answer) })
	case protocol.Accept:
		answer, changed := m.witness.Accept(m.nowMs, body)
		m.saveWitness(changed, func() { m.reply(e, answer) })
	case protocol.RenewLease:
		answer, changed := m.witness.Renew(m.nowMs, body)
		m.saveWitness(changed, func() { m.reply(e, answer) })
	case protocol.ReleaseLease:
		m.witness.Release(e.From.Name, body)
	case protocol.PrepareReply:
		m.promised(e.From, body)
	case protocol.AcceptReply:
		m.kept(e.From, body)
	case protocol.PrimaryQuery:
		m.opinion(e, body)
	case protocol.PrimaryReply:
		m.opined(e.From, body)
	case protocol.TransferPrimary:
		m.transferred(e.From, body)
	case protocol.Append:
		m.handleAppend(e, body)
	case protocol.Snapshot:
		m.handleSnapshot(e, body)
	case protocol.AppendReply:
		m.handleAppendReply(e.From, body)
	default:
		m.count(errkind.Malformed)
	}
}

// known is what another daemon is told of the site. Where routers need the
// controllers only, they get no more: all of them ask at once while a primary is
// missing.
func (m *Machine) known(to protocol.Node) []protocol.Node {
	if m.set.PeersForRouters || to.Part != protocol.RoleRouter {
		return m.roster.Nodes()
	}
	return append(m.roster.NodesOf(protocol.RoleController), m.set.Self)
}

// saveWitness saves the witness where it changed, and then answers. What a
// witness says rests on all that it has decided, so an answer for which nothing
// changed waits, too, until the last change is on the disk: the same question
// asked again must not be answered before the first one.
func (m *Machine) saveWitness(changed bool, then func()) {
	switch {
	case m.broken:
	case changed:
		m.witnessSaves++
		m.save(storage.Write{Set: map[string]string{witness.Key: m.witness.Encode()}}, func(ok bool) {
			m.witnessSaves--
			if ok {
				then()
				m.answerAsWitness()
			}
		})
	case m.witnessSaves > 0:
		m.witnessWaits = append(m.witnessWaits, then)
	default:
		then()
	}
}

// answerAsWitness gives the answers that waited for the disk.
func (m *Machine) answerAsWitness() {
	if m.witnessSaves > 0 {
		return
	}
	waits := m.witnessWaits
	m.witnessWaits = nil
	for _, then := range waits {
		then()
	}
}

// save asks for a change of the disk and goes on with then once it ended.
func (m *Machine) save(w storage.Write, then func(ok bool)) {
	m.saved++
	if then != nil {
		m.saves[m.saved] = then
	}
	m.out.DiskWrites = append(m.out.DiskWrites, protocol.DiskWrite{Number: m.saved, Write: w})
}

// breakDisk is the end of this daemon's part in writes until it is restarted:
// what a failed write left behind is unknown.
func (m *Machine) breakDisk() {
	if m.broken {
		return
	}
	m.broken = true
	m.note("the disk failed; no more votes or writes until a restart")
	m.stepDown("disk defect")
}

func (m *Machine) reply(e protocol.Envelope, body protocol.Message) { m.send(e.From, body) }

func (m *Machine) send(to protocol.Node, body protocol.Message) {
	if to.Name == m.set.Self.Name {
		m.local = append(m.local, protocol.Envelope{Site: m.set.Site, From: m.set.Self, To: to.Name, Body: body})
		return
	}
	m.out.Sends = append(m.out.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

func (m *Machine) sendName(name string, body protocol.Message) {
	if place, ok := m.roster.Node(name); ok {
		m.send(place, body)
	}
}

func (m *Machine) note(format string, args ...any) {
	m.out.LogLines = append(m.out.LogLines, fmt.Sprintf(format, args...))
}

func (m *Machine) count(kind errkind.Kind) { m.out.Counts = append(m.out.Counts, string(kind)) }

func (m *Machine) answer(id uint64, body any) {
	m.out.Responses = append(m.out.Responses, protocol.Response{ID: id, Body: body})
}

// adopt takes a complete record as the one in force.
func (m *Machine) adopt(record protocol.EpochRecord, ballot protocol.Ballot) {
	if record.Epoch < m.record.Epoch {
		return
	}
	if record.Epoch > m.record.Epoch {
		m.note("epoch %d: primary %s", record.Epoch, record.Primary)
	}
	if slices.Contains(record.Gone, m.ownSeat()) {
		m.retire()
		return
	}
	changed := record.Epoch != m.record.Epoch || m.ballot.Less(ballot)
	m.record = record
	if m.ballot.Less(ballot) {
		m.ballot = ballot
	}
	if changed && !m.broken {
		text, _ := json.Marshal(remembered{m.record, m.ballot})
		m.save(storage.Write{Set: map[string]string{recordKey: string(text)}}, nil)
	}
}

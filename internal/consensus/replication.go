package consensus

import (
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/native/ledger"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

const (
	recentMost = 256
	// recentBytesMost bounds the changes that are kept for followers which lack
	// them, and so the message that brings them. Changes of a large row are soon
	// more bytes than a snapshot, which holds each row once.
	recentBytesMost = 1 << 20
)

var beginCommand ledger.Command = ledger.Begin{}

// replication is the copying of the control state: the primary's side of it, and
// what a follower has taken.
type replication struct {
	waits Timing
	// synced is what this disk holds; taken is what was asked of it.
	synced, taken protocol.Position
	writing       bool
	writeMs       int64
	line          []submission
	waiting       []waiter
	// committed is the last change that all copies have; at the start of a
	// primacy it is all that this disk held, since any of it may have been
	// answered by the one before.
	committed uint64
	base      protocol.Position
	recent    []protocol.Change
	// recentBytes is the size of the rows in recent.
	recentBytes int
	peers       map[string]*followerState
	soft        protocol.Hints
	sentMs      int64
	beganMs     int64
	// away is the witness that was last said to stay away for good.
	away string
	// peersSum names, at a follower, the list of peers that it took.
	peersSum uint64
	// sequence counts, at the primary, the messages of this epoch to followers;
	// heard is, at a follower, the newest that it took.
	sequence uint64
	heard    heardWord
	// contactMs is, at a follower, its own time at which a majority is known to
	// have stood behind the primary.
	contactMs int64
}

// heardWord orders the messages of primaries, whatever way they came.
type heardWord struct {
	epoch, sequence uint64
}

// overtaken says whether a later message of a primary was heard before this
// one. It notes the message otherwise.
func (c *replication) overtaken(epoch, sequence uint64) bool {
	if epoch == c.heard.epoch && sequence <= c.heard.sequence || epoch < c.heard.epoch {
		return true
	}
	c.heard = heardWord{epoch, sequence}
	return false
}

type submission struct {
	commands []ledger.Command
	then     func(ok bool)
}

type waiter struct {
	number uint64
	then   func(ok bool)
}

// followerState is how far a peer has followed.
type followerState struct {
	incarnation string
	heardMs     int64
	// at is the furthest position that the disk was said to hold.
	at    protocol.Position
	acked uint64
	// sentSequence is the message that brought the newest changes.
	sentSequence  uint64
	sent          uint64
	sentMs        int64
	needsSnapshot bool
	// peersSum names the list of peers that it has.
	peersSum uint64
	// behindMs is since when it lacks changes without taking any, or nought.
	behindMs int64
	// contact is the follower's clock as it was last told.
	contact protocol.ClockEcho
	// answered says that it was heard in this primacy, and epoch by which record.
	answered bool
	epoch    uint64
	// leaving says that the follower is stopping as planned.
	leaving bool
}

// live says whether the very disk answered lately.
func (c *replication) live(nowMs int64, seat protocol.MemberID) bool {
	f := c.peers[seat.Name]
	return f != nil && f.incarnation == seat.Incarnation && nowMs-f.heardMs <= c.waits.ElectionTimeoutMs
}

// keepsUp says whether the disk also takes writes: one that stalls lets its
// daemon answer and would hold up every write of the site.
func (c *replication) keepsUp(nowMs int64, seat protocol.MemberID) bool {
	if !c.live(nowMs, seat) {
		return false
	}
	f := c.peers[seat.Name]
	return f.behindMs == 0 || nowMs-f.behindMs <= c.waits.DiskStallMs
}

// counted notes how far the peer is, and since when it lacks something.
func (f *followerState) counted(nowMs int64, acked, last uint64) {
	if acked > f.acked || acked >= last {
		f.behindMs = 0
	}
	f.acked = acked
	if acked < last && f.behindMs == 0 {
		f.behindMs = nowMs
	}
}

func (m *Machine) beginReplication() {
	c := &m.replication
	c.peers = map[string]*followerState{}
	c.base, c.recent, c.recentBytes = m.state.Position, nil, 0
	c.writing = false
	c.committed = m.state.Position.Number
	c.sentMs, c.beganMs = m.nowMs-m.waits.AppendIntervalMs, m.nowMs
	c.sequence = 0
	// A recorded peer has a time to show itself; the one before may be lost.
	for _, seat := range m.record.Replicas {
		c.peers[seat.Name] = &followerState{incarnation: seat.Incarnation, heardMs: m.nowMs - m.waits.ElectionTimeoutMs + m.set.ReplicaGraceMs}
	}
}

// endReplication gives every write that waits the answer that its end is unknown.
func (m *Machine) endReplication() {
	c := &m.replication
	waiting, line := c.waiting, c.line
	c.waiting, c.line, c.peers, c.recent, c.recentBytes = nil, nil, nil, nil, 0
	c.writing = false
	for _, w := range waiting {
		w.then(false)
	}
	for _, b := range line {
		b.then(false)
	}
}

// submit hands commands over; then runs once both disks of the pair have
// them, or with false when that can't be known any more.
func (m *Machine) submit(then func(ok bool), commands ...ledger.Command) {
	m.replication.line = append(m.replication.line, submission{commands, then})
	m.pump()
}

func (m *Machine) pump() {
	c := &m.replication
	if c.writing || len(c.line) == 0 || !m.isPrimary() || m.broken {
		return
	}
	var commands []ledger.Command
	number := m.state.Position.Number + 1
	for _, b := range c.line {
		commands = append(commands, b.commands...)
		c.waiting = append(c.waiting, waiter{number, b.then})
	}
	c.line = nil
	change := protocol.Change{Before: m.state.Position, At: protocol.Position{Epoch: m.record.Epoch, Number: number}}
	change.Rows = m.state.Do(change.At, commands)
	m.set.Application.StateChanged(host{m})
	c.keepRecent(change)
	c.writing, c.writeMs = true, m.nowMs
	m.keepRows(storage.Write{Set: change.Rows}, change.At, func() {
		if m.isPrimary() {
			m.replication.writing = false
			m.advance()
			m.pump()
		}
	})
	for _, place := range m.roster.NodesOf(protocol.RoleController) {
		m.sendFollow(place)
	}
}

// keepRecent keeps a change for followers that lack it, and forgets the oldest
// beyond the bounds: who lacks one of those gets a snapshot.
func (c *replication) keepRecent(change protocol.Change) {
	c.recent = append(c.recent, change)
	c.recentBytes += rowBytes(change.Rows)
	for len(c.recent) > recentMost || c.recentBytes > recentBytesMost && len(c.recent) > 1 {
		c.base = c.recent[0].At
		c.recentBytes -= rowBytes(c.recent[0].Rows)
		c.recent = c.recent[1:]
	}
}

// rowBytes is the size of rows.
func rowBytes(rows map[string]string) int {
	bytes := 0
	for key, value := range rows {
		bytes += len(key) + len(value)
	}
	return bytes
}

// keepRows saves state rows; saves end in the order they were asked for.
func (m *Machine) keepRows(w storage.Write, at protocol.Position, then func()) {
	m.replication.taken = at
	m.save(w, func(ok bool) {
		if ok {
			m.replication.synced = at
			then()
		}
	})
}

// advance answers the writes that both disks of the pair now have.
func (m *Machine) advance() {
	c := &m.replication
	if !m.isPrimary() || m.nowMs >= m.election.leaseUntilMs {
		return
	}
	// As many disks may be lost at once as there are further copies.
	if len(m.record.Replicas) < m.minCopies {
		return
	}
	done := c.synced.Number
	pairs := [][]protocol.MemberID{m.record.Replicas}
	// While a new pair is being recorded, either may turn out to be in force.
	if m.election.proposal != nil {
		pairs = append(pairs, m.election.proposal.Replicas)
	}
	for _, pair := range pairs {
		for _, seat := range pair {
			if seat.Name == m.set.Self.Name {
				continue
			}
			f := c.peers[seat.Name]
			if f == nil || f.incarnation != seat.Incarnation {
				return
			}
			done = min(done, f.acked)
		}
	}
	c.committed = max(c.committed, done)
	for len(c.waiting) > 0 && c.waiting[0].number <= c.committed {
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		next.then(true)
	}
}

func (m *Machine) tickReplication() {
	if !m.isPrimary() || m.nowMs-m.replication.sentMs < m.waits.AppendIntervalMs {
		return
	}
	// A stalled disk would hold up the whole site; another's will not.
	if m.replication.writing && m.nowMs-m.replication.writeMs > m.waits.DiskStallMs {
		m.stepDown("the disk stalls")
		return
	}
	m.replication.sentMs = m.nowMs
	if m.set.Hooks != nil {
		m.replication.soft = m.set.Hooks.Hints()
	}
	for _, place := range m.roster.NodesOf(protocol.RoleController) {
		m.sendFollow(place)
	}
}

func (m *Machine) sendFollow(to protocol.Node) {
	c := &m.replication
	f := c.peers[to.Name]
	if f == nil {
		f = &followerState{incarnation: to.Incarnation}
		c.peers[to.Name] = f
	}
	// One snapshot is on its way at a time; meanwhile the word goes on.
	if f.needsSnapshot && m.nowMs-f.sentMs >= m.waits.AppendRetryMs {
		f.sentMs, f.sent = m.nowMs, m.state.Position.Number
		c.sequence++
		m.send(to, protocol.Snapshot{Sequence: c.sequence, Contact: f.contact, Record: m.record, At: m.state.Position, Rows: m.state.Rowset()})
		return
	}
	// The time runs from the last change that came through, not from the last
	// that was sent: a storm of changes would put it off for ever.
	if !f.needsSnapshot && f.acked < f.sent && m.nowMs-f.sentMs >= m.waits.AppendRetryMs {
		f.sent, f.sentMs = f.acked, m.nowMs
	}
	c.sequence++
	follow := protocol.Append{
		Record: m.record, Ballot: m.election.ballot, Last: m.state.Position, Soft: c.soft, PeersSum: m.roster.Digest(),
		Sequence: c.sequence, MayLeave: f.leaving && m.mayLeave(protocol.MemberID{Name: to.Name, Incarnation: f.incarnation}),
	}
	// Without the lease a majority may stand behind another by now.
	if m.nowMs < m.election.leaseUntilMs {
		follow.Contact = f.contact
	}
	if f.peersSum != follow.PeersSum {
		follow.Peers = m.roster.Nodes()
	}
	for _, change := range c.recent {
		if change.At.Number > f.sent && !f.needsSnapshot {
			follow.Changes = append(follow.Changes, change)
		}
	}
	if len(follow.Changes) > 0 {
		if f.sent == f.acked {
			f.sentMs = m.nowMs
		}
		f.sent, f.sentSequence = m.state.Position.Number, c.sequence
	}
	m.send(to, follow)
}

// onChain says whether a position is one this primary's state went through.
func (c *replication) onChain(at protocol.Position) bool {
	if at == c.base {
		return true
	}
	for _, change := range c.recent {
		if change.At == at {
			return true
		}
	}
	return false
}

func (m *Machine) followed(from protocol.Node, said protocol.AppendReply) {
	c := &m.replication
	if !m.isPrimary() || said.Epoch != m.record.Epoch && said.Epoch != m.record.Epoch-1 {
		return
	}
	f := c.peers[from.Name]
	if f == nil || f.incarnation != from.Incarnation {
		f = &followerState{incarnation: from.Incarnation}
		c.peers[from.Name] = f
	}
	// A disk never goes back, so what tells of less was overtaken on its way.
	if said.At.Less(f.at) {
		m.count(errkind.Overtaken)
		return
	}
	f.at, f.answered, f.epoch = said.At, true, said.Epoch
	f.heardMs, f.peersSum, f.contact, f.leaving = m.nowMs, said.PeersSum, said.Contact, said.Leaving
	if !c.onChain(said.At) {
		f.counted(m.nowMs, 0, m.state.Position.Number)
		if !f.needsSnapshot {
			f.needsSnapshot = true
			f.sentMs = m.nowMs - m.waits.AppendRetryMs
		}
		return
	}
	f.needsSnapshot = false
	if said.At.Number > f.acked {
		f.sentMs = m.nowMs
	}
	f.counted(m.nowMs, said.At.Number, m.state.Position.Number)
	f.sent = max(f.sent, f.acked)
	f.resendGap(said)
	m.advance()
}

// resendGap has changes sent again that the follower lacks although it heard
// the message that brought them or a later one.
func (f *followerState) resendGap(said protocol.AppendReply) {
	if said.Heard >= f.sentSequence && said.Taken.Number < f.sent {
		f.sent = max(f.acked, said.Taken.Number)
	}
}

// heedPrimary says whether a message of a primary counts.
func (m *Machine) heedPrimary(from protocol.Node, record protocol.EpochRecord, ballot protocol.Ballot) bool {
	if record.Epoch < m.record.Epoch || record.Primary != from.Name || record.Epoch == 0 {
		m.count(errkind.LowerEpoch)
		return false
	}
	if record.Epoch > m.record.Epoch && m.isPrimary() {
		m.losePrimacy("a higher epoch serves")
	}
	m.adopt(record, ballot)
	return true
}

// hearPrimary notes that the primary lives. A message that answers what this
// daemon said long ago was held up on its way, and tells nothing of now.
func (m *Machine) hearPrimary(echo protocol.ClockEcho) {
	if echo.StartMs == m.startMs && m.nowMs-echo.SentMs > m.waits.ElectionTimeoutMs {
		m.count(errkind.Overtaken)
		return
	}
	m.election.heardMs = m.nowMs
	// A candidate that hears the primary after all has no more cause.
	if m.election.role == asking {
		m.retreat(0)
	}
}

func (m *Machine) follow(e protocol.Envelope, said protocol.Append) {
	if m.isPrimary() && said.Record.Epoch == m.record.Epoch || !m.heedPrimary(e.From, said.Record, said.Ballot) {
		return
	}
	// Changes chain, so that of a message that was overtaken they still count;
	// all else in it is older than what is known here.
	if m.replication.overtaken(said.Record.Epoch, said.Sequence) {
		m.count(errkind.Overtaken)
	} else {
		m.hearPrimary(said.Contact)
		m.heedWord(said)
	}
	if !m.takeChanges(e.From, said.Changes) {
		m.tellFollowed(e.From)
	}
}

// takeChanges takes those that go on from what this disk has, and says whether
// there were any. What is compiled from the state, such as a large
// configuration, is brought up to it once for all of them.
func (m *Machine) takeChanges(from protocol.Node, changes []protocol.Change) bool {
	took := false
	for _, change := range changes {
		if change.Before != m.replication.taken || m.broken {
			continue
		}
		if err := m.state.Take(change.Rows); err != nil {
			m.note("a change can't be read: %v", err)
			m.count(errkind.Malformed)
			break
		}
		took = true
		m.keepRows(storage.Write{Set: change.Rows}, change.At, func() { m.tellFollowed(from) })
	}
	if took {
		m.set.Application.StateChanged(host{m})
	}
	return took
}

// heedWord takes what a primary's message says beside the changes.
func (m *Machine) heedWord(said protocol.Append) {
	if len(said.Peers) > 0 {
		m.replication.peersSum = 0
		if m.roster.AddNodes(m.nowMs, said.Peers) {
			m.replication.peersSum = said.PeersSum
		}
	}
	m.replication.soft = said.Soft
	if m.set.Hooks != nil {
		m.set.Hooks.HintsReceived(said.Soft)
	}
	m.noteContact(said.Contact)
	if said.MayLeave && m.leaving.wanted {
		m.depart("nothing is left to hand over")
	}
}

// noteContact takes the echo of this daemon's own clock. That of another life
// of the process says nothing here.
func (m *Machine) noteContact(echo protocol.ClockEcho) {
	if echo.StartMs != m.startMs || echo.SentMs > m.nowMs {
		return
	}
	m.replication.contactMs = max(m.replication.contactMs, echo.SentMs)
}

// inContact says whether a majority stood behind what this daemon knows within
// the last lease: as the primary by its lease, else by the primary's echo. What
// is handed out without it may have been replaced long ago.
func (m *Machine) inContact() bool {
	if m.isPrimary() {
		return m.active()
	}
	return m.replication.contactMs > 0 && m.nowMs < m.replication.contactMs+m.waits.LeaseMs
}

func (m *Machine) takeSnapshot(e protocol.Envelope, said protocol.Snapshot) {
	if m.isPrimary() || m.broken || !m.heedPrimary(e.From, said.Record, protocol.Ballot{}) {
		return
	}
	// An snapshot that a later change or snapshot overtook would take back what this
	// disk has acknowledged. Positions grow along every lawful history, so one
	// that is not further than what was taken can only be late.
	if !m.replication.taken.Less(said.At) {
		m.count(errkind.Overtaken)
		m.tellFollowed(e.From)
		return
	}
	if !m.replication.overtaken(said.Record.Epoch, said.Sequence) {
		m.hearPrimary(said.Contact)
	}
	fresh := ledger.New()
	if err := fresh.Take(said.Rows); err != nil {
		m.note("a snapshot can't be read: %v", err)
		m.count(errkind.Malformed)
		return
	}
	m.state = fresh
	m.set.Application.StateChanged(host{m})
	m.note("took a snapshot at change %d", said.At.Number)
	m.keepRows(storage.Write{ClearPrefix: ledger.Prefix, Set: said.Rows}, said.At, func() { m.tellFollowed(e.From) })
}

// tellFollowed says how far this disk is. One that takes no writes any more
// says nothing, so that another takes its part.
func (m *Machine) tellFollowed(to protocol.Node) {
	if m.broken {
		return
	}
	m.send(to, protocol.AppendReply{
		Epoch: m.record.Epoch, At: m.replication.synced, WitnessBlank: m.witness.Blank(), PeersSum: m.replication.peersSum,
		Contact: protocol.ClockEcho{SentMs: m.nowMs, StartMs: m.startMs}, Leaving: m.leaving.wanted,
		Taken: m.replication.taken, Heard: m.replication.heard.sequence,
	})
}

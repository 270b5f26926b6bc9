package consensus

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// DefaultGapMs passes between the last possible order of one holder and the
// first of the next.
const DefaultGapMs = 3000

type role int

const (
	follower role = iota
	asking
	promising
	keeping
	primary
)

var roleNames = []string{"follower", "asking", "promising", "keeping", "primary"}

// election is this daemon's part in epochs.
type election struct {
	role    role
	sinceMs int64
	nextMs  int64
	heardMs int64
	renewMs int64
	askedMs int64
	round   uint64
	ballot  protocol.Ballot
	opposed bool
	// asked holds whom the promise was asked of; granted who gave it.
	asked   map[protocol.MemberID]bool
	granted map[protocol.MemberID]bool
	// refused holds who refused for the sake of a higher ballot.
	refused map[protocol.MemberID]bool
	top     protocol.EpochRecord
	topKept protocol.Ballot
	// proposal is the record being kept, by this ballot.
	proposal  *protocol.EpochRecord
	keepers   map[protocol.MemberID]bool
	completes bool
	// grants holds when the last renewal that was granted had been sent.
	grants       map[protocol.MemberID]int64
	leaseUntilMs int64
	ordersMs     int64
	established  bool
	// quietMs is until when a recovered site says nothing.
	quietMs  int64
	founding *Bootstrap
	// learnMs is when peers were last asked for a newer record.
	learnMs int64
	// first is the record that the founding under way would make.
	first protocol.EpochRecord
	// finishes says that first is another's attempt, which this one completes.
	finishes bool
}

func (m *Machine) isPrimary() bool { return m.election.role == primary }

// active says whether this daemon may speak for the site: the lease runs and
// the other disk of the pair has all that this one has.
func (m *Machine) active() bool {
	return m.isPrimary() && m.nowMs < m.election.leaseUntilMs && m.election.established && m.nowMs >= m.election.quietMs
}

// entitled says whether this disk may become primary under the record.
func (m *Machine) entitled(record protocol.EpochRecord) bool {
	stops := m.leaving.wanted && m.set.StopWithoutHandover
	return !m.broken && !stops && record.HasReplica(m.ownSeat())
}

// mayStand also heeds what only this daemon's witness knows: the pair's new
// member may not have been told yet that its record is complete.
func (m *Machine) mayStand() bool {
	return m.entitled(m.record) || m.witness.Record.Epoch > m.record.Epoch && m.entitled(m.witness.Record)
}

func (m *Machine) checkLease() {
	if m.isPrimary() && m.nowMs >= m.election.leaseUntilMs {
		m.losePrimacy("the lease ran out")
	}
}

func (m *Machine) tickElection() {
	s := &m.election
	switch s.role {
	case follower:
		if !m.mayStand() {
			m.tickLearn()
			return
		}
		if m.nowMs < s.nextMs {
			return
		}
		// After a restart the recorded primary need not miss itself.
		if m.record.Primary == m.set.Self.Name {
			m.askPromises(false)
			return
		}
		waitMs := int64(m.waits.ElectionTimeoutMs)
		if m.leaving.wanted {
			waitMs += leavingMs
		}
		if m.nowMs-s.heardMs > waitMs {
			m.askOpinions()
		}
	case asking:
		if m.nowMs-s.sinceMs >= m.waits.PreVoteMs {
			if s.opposed {
				// They may miss it a moment later, and each moment counts.
				m.note("peers still hear the primary; no take-over")
				m.retreat(m.waits.PreVoteMs)
				return
			}
			m.askPromises(false)
		}
	case promising, keeping:
		m.askAgain()
		if m.nowMs-s.sinceMs >= m.waits.BallotTimeoutMs {
			m.retreat(200 + int64(len(m.set.Self.Name)*37+int(m.set.Self.Name[len(m.set.Self.Name)-1])*13)%300)
		}
	case primary:
		if m.nowMs-s.renewMs >= m.waits.RenewMs {
			s.renewMs = m.nowMs
			for _, voter := range m.record.Voters() {
				m.sendName(voter.Name, protocol.RenewLease{Ballot: s.ballot, Record: m.record, EchoMs: m.nowMs})
			}
			if s.proposal != nil {
				m.sendKeeps()
			}
		}
		m.planRecord()
	}
}

// askAgain repeats to the witnesses that have not granted it what this
// candidate asks. One that held off a moment ago may be free by now, and where
// just a majority is left, one lost message would cost the whole attempt.
func (m *Machine) askAgain() {
	s := &m.election
	if m.nowMs-s.askedMs < m.waits.RequestRetryMs {
		return
	}
	s.askedMs = m.nowMs
	if s.role == keeping {
		m.sendKeeps()
		return
	}
	for _, voter := range s.top.Voters() {
		if s.asked[voter] && !s.granted[voter] {
			m.sendName(voter.Name, m.promise())
		}
	}
}

func (m *Machine) retreat(waitMs int64) {
	m.election.role = follower
	m.election.nextMs = m.nowMs + waitMs
	m.election.proposal = nil
	if f := m.election.founding; f != nil {
		m.election.founding = nil
		m.answer(f.ID, protocol.Rejection{Kind: errkind.NotAccepted, Detail: "not all witnesses agreed; they must be up (for a founding: blank, or left by this same act); repeat it"})
	}
}

// askOpinions keeps one bad view from starting a take-over: the other core
// daemons and the primary's watchers must miss it too.
func (m *Machine) askOpinions() {
	m.election.role = asking
	m.election.sinceMs = m.nowMs
	m.election.opposed = false
	asked := m.roster.NodesOf(protocol.RoleController)
	for _, place := range m.roster.Watchers(m.record.Primary) {
		if !slices.Contains(asked, place) && place.Name != m.set.Self.Name {
			asked = append(asked, place)
		}
	}
	for _, place := range asked {
		if place.Name != m.record.Primary {
			m.send(place, protocol.PrimaryQuery{Epoch: m.record.Epoch})
		}
	}
}

func (m *Machine) opinion(e protocol.Envelope, ask protocol.PrimaryQuery) {
	// What counts is the primary's own word, not that its daemon lives: it may
	// have lost its disk or stepped down.
	heardMs := m.nowMs - m.election.heardMs
	if m.isPrimary() {
		heardMs = 0
	}
	m.reply(e, protocol.PrimaryReply{Epoch: ask.Epoch, HeardMs: heardMs, Record: m.record})
}

// opined takes what a peer knows. One that asked by an older record goes by the
// newer one from then on, and asks anew: those who know the newest record may
// hold no copy, and then only those who don't know it can take over.
func (m *Machine) opined(_ protocol.Node, said protocol.PrimaryReply) {
	if len(said.Record.Replicas) > 0 && said.Record.Epoch > m.record.Epoch && !m.isPrimary() {
		m.adopt(said.Record, protocol.Ballot{})
		if m.election.role == asking {
			m.retreat(0)
		}
		return
	}
	if m.election.role == asking && said.Epoch == m.record.Epoch && said.HeardMs < m.waits.ElectionTimeoutMs {
		m.election.opposed = true
	}
}

// tickLearn asks the other controllers for a newer record while the primary is
// missing: this daemon may be one that it entitles.
func (m *Machine) tickLearn() {
	s := &m.election
	if m.record.Epoch == 0 || m.nowMs-s.heardMs <= m.waits.ElectionTimeoutMs || m.nowMs-s.learnMs < m.waits.PreVoteMs {
		return
	}
	s.learnMs = m.nowMs
	for _, place := range m.roster.NodesOf(protocol.RoleController) {
		m.send(place, protocol.PrimaryQuery{Epoch: m.record.Epoch})
	}
}

func (m *Machine) transferred(from protocol.Node, said protocol.TransferPrimary) {
	if said.Record.Primary == from.Name && !m.isPrimary() {
		m.adopt(said.Record, protocol.Ballot{})
	}
	if said.Record.Epoch == m.record.Epoch && from.Name == m.record.Primary && m.entitled(m.record) && m.election.role == follower {
		m.askPromises(false)
	}
}

func (m *Machine) askPromises(found bool) {
	s := &m.election
	s.role = promising
	s.sinceMs, s.askedMs = m.nowMs, m.nowMs
	s.round = max(s.round, m.ballot.Round, m.witness.Promised.Round) + 1
	s.ballot = protocol.Ballot{Round: s.round, Name: m.set.Self.Name}
	s.asked, s.granted, s.refused = map[protocol.MemberID]bool{}, map[protocol.MemberID]bool{}, map[protocol.MemberID]bool{}
	s.top, s.topKept = m.record, m.ballot
	// What only this daemon's own witness keeps names whom to ask, too: of a
	// bootstrap that was cut short there is nothing else.
	if m.witness.Record.Epoch > s.top.Epoch {
		s.top, s.topKept = m.witness.Record, m.witness.Accepted
	}
	if found {
		s.top, s.topKept = s.first, protocol.Ballot{}
	}
	m.askMore()
}

// promise is what a candidate asks of each witness.
func (m *Machine) promise() protocol.Prepare {
	f := m.election.founding
	// Seeds that have not kept a half-recorded first record are blank still; they
	// must be able to agree to its end.
	finishes := m.set.Bootstrap == BootstrapBySeeds && f == nil && m.record.Epoch == 0 && m.election.top.Epoch == firstEpoch
	return protocol.Prepare{
		Ballot: m.election.ballot, Found: finishes || f != nil && !f.Recover, Recover: f != nil && f.Recover,
		AllSeeds: f != nil && len(f.Witnesses) == len(m.set.Seeds),
	}
}

func (m *Machine) askMore() {
	for _, voter := range m.election.top.Voters() {
		if !m.election.asked[voter] {
			m.election.asked[voter] = true
			m.sendName(voter.Name, m.promise())
		}
	}
}

func (m *Machine) promised(from protocol.Node, said protocol.PrepareReply) {
	s := &m.election
	s.round = max(s.round, said.Highest.Round)
	if s.role != promising || said.Ballot != s.ballot {
		return
	}
	if said.Record.Epoch > s.top.Epoch || said.Record.Epoch == s.top.Epoch && s.topKept.Less(said.Kept) {
		// A newer record may be half-recorded; it is completed before any other.
		if said.Record.Epoch > 0 && s.founding == nil {
			s.top, s.topKept = said.Record, said.Kept
			m.askMore()
		}
	}
	if s.founding != nil && said.NotFirstDisk {
		m.notFirst[from.Incarnation] = true
		return
	}
	if s.founding != nil && m.otherFounding(from, said) {
		return
	}
	if !said.Granted {
		// A witness that this act left half taken may run ahead in ballots; it
		// is overtaken at once, within the time of this go.
		if s.founding != nil && s.ballot.Less(said.Highest) {
			sinceMs := s.sinceMs
			m.askPromises(true)
			s.sinceMs = sinceMs
		} else {
			m.heedRival(from, said.Highest, s.top, s.granted)
		}
		return
	}
	s.granted[protocol.MemberID{Name: from.Name, Incarnation: from.Incarnation}] = true
	if s.founding != nil {
		m.foundWith()
		return
	}
	if s.top.Majority(func(v protocol.MemberID) bool { return s.granted[v] }) && s.top.Epoch > 0 {
		m.keep(s.top, true)
	}
}

// heedRival gives way to a candidate under a higher ballot, once so many refuse
// for its sake that no majority is left. Two that go on side by side hold each
// other's witnesses off for as long as both of them try; but one witness may
// remember a ballot of long ago.
func (m *Machine) heedRival(from protocol.Node, highest protocol.Ballot, record protocol.EpochRecord, agreed map[protocol.MemberID]bool) {
	s := &m.election
	if s.founding != nil || !s.ballot.Less(highest) {
		return
	}
	s.refused[protocol.MemberID{Name: from.Name, Incarnation: from.Incarnation}] = true
	// Right after its start this daemon has not heard of the others yet.
	started := m.nowMs-m.startMs < m.waits.ElectionTimeoutMs
	mayAgree := func(voter protocol.MemberID) bool {
		there := started || voter == m.ownSeat() || m.roster.Live(m.nowMs, voter.Name)
		return agreed[voter] || there && !s.refused[voter]
	}
	if record.Majority(mayAgree) {
		return
	}
	if s.role == keeping {
		// What witnesses granted with the record would keep the other out.
		for _, voter := range s.proposal.Voters() {
			m.sendName(voter.Name, protocol.ReleaseLease{Epoch: s.proposal.Epoch, Ballot: s.ballot})
		}
	}
	m.retreat(m.waits.BallotTimeoutMs)
}

// keep asks the witnesses to store a record under the present ballot.
func (m *Machine) keep(record protocol.EpochRecord, completes bool) {
	s := &m.election
	if s.role != primary {
		s.role = keeping
		s.sinceMs = m.nowMs
	}
	s.proposal = &record
	s.completes = completes
	s.keepers = map[protocol.MemberID]bool{}
	if s.role != primary {
		s.grants = map[protocol.MemberID]int64{}
	}
	m.sendKeeps()
}

func (m *Machine) sendKeeps() {
	for _, voter := range m.election.proposal.Voters() {
		if m.election.keepers[voter] {
			continue
		}
		m.sendName(voter.Name, protocol.Accept{Ballot: m.election.ballot, Record: *m.election.proposal, EchoMs: m.nowMs})
	}
}

func (m *Machine) kept(from protocol.Node, said protocol.AcceptReply) {
	s := &m.election
	s.round = max(s.round, said.Highest.Round)
	voter := protocol.MemberID{Name: from.Name, Incarnation: from.Incarnation}
	if said.Ballot != s.ballot || !said.Granted {
		// A new witness that missed the record that took it in is blank still,
		// and takes no renewal: it is given that record again.
		missed := said.Ballot == s.ballot && said.Record.Epoch < m.record.Epoch && !s.ballot.Less(said.Highest)
		if missed && s.role == primary && slices.Contains(m.record.Witnesses, voter) {
			m.send(from, protocol.Accept{Ballot: s.ballot, Record: m.record, EchoMs: m.nowMs})
		}
		if s.role == keeping && said.Ballot == s.ballot {
			m.heedRival(from, said.Highest, *s.proposal, s.keepers)
		}
		return
	}
	// Any grant under this ballot holds others off, so it counts for the lease.
	if s.grants != nil {
		s.grants[voter] = max(s.grants[voter], said.EchoMs)
	}
	if s.role == primary {
		m.countLease()
	}
	if s.proposal == nil || said.Epoch != s.proposal.Epoch || s.role != keeping && s.role != primary {
		return
	}
	s.keepers[voter] = true
	if !s.proposal.Majority(func(v protocol.MemberID) bool { return s.keepers[v] }) {
		return
	}
	record := *s.proposal
	s.proposal = nil
	if s.role == primary {
		m.adopt(record, s.ballot)
		m.countLease()
		m.commit()
		// Who is entitled by it should know at the next tick.
		m.primary.SentMs = m.nowMs - m.waits.AppendIntervalMs
		return
	}
	if s.completes {
		m.adopt(record, s.ballot)
		if !m.entitled(record) {
			m.retreat(m.waits.ElectionTimeoutMs)
			return
		}
		m.keep(protocol.EpochRecord{
			Epoch: record.Epoch + 1, Primary: m.set.Self.Name, Replicas: record.Replicas,
			Witnesses: record.Witnesses, Before: record.Witnesses, Gone: record.Gone,
		}, false)
		return
	}
	m.becomePrimary(record)
}

// countLease counts the lease from when the renewals that a majority granted
// were sent, so that it ends here before it ends at any of them.
func (m *Machine) countLease() {
	s := &m.election
	sent := make([]int64, 0, len(s.grants))
	for _, at := range s.grants {
		sent = append(sent, at)
	}
	slices.Sort(sent)
	for _, at := range slices.Backward(sent) {
		if m.record.Majority(func(v protocol.MemberID) bool { given, ok := s.grants[v]; return ok && given >= at }) {
			s.leaseUntilMs = max(s.leaseUntilMs, at+m.waits.LeaseMs)
			return
		}
	}
}

func (m *Machine) becomePrimary(record protocol.EpochRecord) {
	s := &m.election
	m.adopt(record, s.ballot)
	s.role = primary
	s.established = false
	s.leaseUntilMs = 0
	m.countLease()
	s.renewMs = m.nowMs
	// Another may have ordered until now.
	s.ordersMs = m.nowMs + m.set.GapMs
	if m.set.Hooks != nil {
		m.set.Hooks.Elected()
	}
	m.beginReplication()
	m.note("primary of epoch %d", record.Epoch)
	recovers := s.founding != nil && s.founding.Recover
	m.submit(func(ok bool) {
		if !ok {
			return
		}
		m.established(recovers)
	}, m.beginWith()...)
}

// established begins the primary's service: all copies hold its first change.
func (m *Machine) established(recovers bool) {
	m.election.established = true
	m.election.quietMs = 0
	if recovers {
		m.election.quietMs = m.nowMs + m.set.QuietAfterRecoveryMs
	}
	bootstrap := m.election.founding
	m.election.founding = nil
	m.note("the copies are whole; epoch %d serves", m.record.Epoch)
	m.set.Application.BecamePrimary(host{m})
	if bootstrap == nil || m.set.Bootstrap != BootstrapByOperator {
		return
	}
	if !recovers {
		m.set.Hooks.Bootstrapped()
	}
	m.answer(bootstrap.ID, BootstrapResult{Epoch: m.record.Epoch, Primary: m.record.Primary, Backup: bootstrap.Backup})
}

// losePrimacy ends this daemon's primacy without a word to anyone.
func (m *Machine) losePrimacy(why string) {
	m.note("no longer primary: %s", why)
	m.election.role = follower
	m.election.established = false
	m.election.proposal = nil
	m.election.leaseUntilMs = 0
	m.election.nextMs = m.nowMs + m.waits.RenewMs
	m.election.heardMs = m.nowMs
	m.primary.End()
	m.set.Application.LostPrimacy(host{m})
	if f := m.election.founding; f != nil {
		m.election.founding = nil
		m.answer(f.ID, protocol.Rejection{Kind: errkind.AcceptanceUnknown, Detail: "the founding may have been recorded; ask for the status"})
	}
}

// stepDown ends the primacy on purpose, so that the next need not wait for
// the lease to run out. The backup is told last, when this one has stopped.
func (m *Machine) stepDown(why string) {
	if !m.isPrimary() {
		return
	}
	epoch, voters := m.record.Epoch, m.record.Voters()
	peer, paired := m.members().Successor()
	m.losePrimacy(why)
	m.election.nextMs = m.nowMs + 2*m.waits.LeaseMs
	for _, voter := range voters {
		m.sendName(voter.Name, protocol.ReleaseLease{Epoch: epoch, Ballot: m.election.ballot})
	}
	if paired {
		m.sendName(peer.Name, protocol.TransferPrimary{Record: m.record})
	}
}

package election

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// prepare begins a ballot with a round above any that is known. For a bootstrap
// or a recovery it asks the witnesses of m.bootstrapRecord.
func (m *Machine) prepare(env *Environment, isBootstrap bool) {
	m.Role, m.roleSinceMs, m.requestedMs = Preparing, env.NowMs, env.NowMs
	m.highestRound = max(m.highestRound, m.RecordBallot.Round, env.Acceptor.Promised.Round) + 1
	m.Ballot = protocol.Ballot{Round: m.highestRound, Name: m.config.Self.Name}
	m.attempt.prepareSentTo = map[protocol.MemberID]bool{}
	m.attempt.promisedBy = map[protocol.MemberID]bool{}
	m.attempt.refusedBy = map[protocol.MemberID]bool{}
	m.attempt.newestRecord, m.attempt.newestRecordBallot = m.newestKnownRecord(env)
	if isBootstrap {
		m.attempt.newestRecord, m.attempt.newestRecordBallot = m.bootstrapRecord, protocol.Ballot{}
	}
	m.sendPrepares(env)
}

// newestKnownRecord returns the newest record that this daemon knows, with its ballot. The
// record that its own witness accepted counts, although it may not be chosen: after an
// interrupted bootstrap no other record lists witnesses to ask.
func (m *Machine) newestKnownRecord(env *Environment) (protocol.EpochRecord, protocol.Ballot) {
	own := env.Acceptor.State
	if own.Record.Epoch > m.Record.Epoch {
		return own.Record, own.Accepted
	}
	return m.Record, m.RecordBallot
}

// prepareRequest returns the Prepare message for each witness.
func (m *Machine) prepareRequest(env *Environment) protocol.Prepare {
	request := protocol.Prepare{Ballot: m.Ballot}
	if m.bootstrap == nil {
		// Only some seeds may have accepted the first record. The others are still blank and
		// refuse every Prepare that does not belong to a bootstrap. Found lets them promise,
		// so that the record can be chosen.
		request.Found = m.config.BootstrapBySeeds && m.Record.Epoch == 0 && m.attempt.newestRecord.Epoch == firstEpoch
		return request
	}
	request.Found, request.Recover = !m.bootstrap.Recover, m.bootstrap.Recover
	request.AllSeeds = len(m.bootstrap.Witnesses) == len(env.Seeds)
	return request
}

// sendPrepares sends the Prepare to the witnesses that have not been sent it under
// this ballot.
func (m *Machine) sendPrepares(env *Environment) {
	for _, voter := range m.attempt.newestRecord.Voters() {
		if !m.attempt.prepareSentTo[voter] {
			m.attempt.prepareSentTo[voter] = true
			m.sendTo(env, voter.Name, m.prepareRequest(env))
		}
	}
}

// repeatRequests sends the current request again to the witnesses that have not granted it.
// A witness may have refused because of a lease that has expired by now. If no more than a
// majority is alive, one lost message would otherwise fail the attempt.
func (m *Machine) repeatRequests(env *Environment) {
	if env.NowMs-m.requestedMs < m.config.Timing.RetryMs {
		return
	}
	m.requestedMs = env.NowMs
	if m.Role == Accepting {
		m.sendAccepts(env)
		return
	}
	for _, voter := range m.attempt.newestRecord.Voters() {
		if m.attempt.prepareSentTo[voter] && !m.attempt.promisedBy[voter] {
			m.sendTo(env, voter.Name, m.prepareRequest(env))
		}
	}
}

// HandlePrepareReply counts a witness's promise or handles its refusal.
func (m *Machine) HandlePrepareReply(env *Environment, from protocol.Node, reply protocol.PrepareReply) {
	m.highestRound = max(m.highestRound, reply.Highest.Round)
	if m.Role != Preparing || reply.Ballot != m.Ballot {
		return
	}
	if m.bootstrap == nil {
		m.noteNewestRecord(env, reply)
	} else if reply.NotFirstDisk {
		m.notInitialDisks[from.Incarnation] = true
		return
	} else if m.yieldToOtherBootstrap(env, from, reply) {
		return
	}
	if !reply.Granted {
		m.handlePrepareRefusal(env, from, reply)
		return
	}
	m.attempt.promisedBy[memberID(from)] = true
	if m.bootstrap != nil {
		m.proposeBootstrapRecord(env)
		return
	}
	if m.attempt.newestRecord.Majority(m.hasPromised) && m.attempt.newestRecord.Epoch > 0 {
		m.propose(env, m.attempt.newestRecord, true)
	}
}

func (m *Machine) hasPromised(voter protocol.MemberID) bool { return m.attempt.promisedBy[voter] }

// noteNewestRecord notes the record that a witness accepted if it is the newest so far. Less
// than a majority may have accepted this record, so it is proposed again before any other.
func (m *Machine) noteNewestRecord(env *Environment, reply protocol.PrepareReply) {
	accepted := reply.Record
	newer := accepted.Epoch > m.attempt.newestRecord.Epoch || accepted.Epoch == m.attempt.newestRecord.Epoch && m.attempt.newestRecordBallot.Less(reply.Kept)
	if newer && accepted.Epoch > 0 {
		m.attempt.newestRecord, m.attempt.newestRecordBallot = accepted, reply.Kept
		m.sendPrepares(env)
	}
}

func (m *Machine) handlePrepareRefusal(env *Environment, from protocol.Node, reply protocol.PrepareReply) {
	if m.bootstrap == nil || !m.Ballot.Less(reply.Highest) {
		m.yieldToHigherBallot(env, from, reply.Highest, m.attempt.newestRecord, m.attempt.promisedBy)
		return
	}
	// A witness may have promised a higher ballot to an earlier attempt of this bootstrap. A
	// still higher ballot is tried at once, within the time of this attempt.
	roleSinceMs := m.roleSinceMs
	m.prepare(env, true)
	m.roleSinceMs = roleSinceMs
}

// yieldToHigherBallot ends this attempt in favour of a candidate with a higher ballot,
// once so many witnesses have refused or are unresponsive that no majority is left. If two
// candidates both continued, each would keep the other from a majority for as long as both
// try. A single refusal is not enough, because one witness may have promised a higher ballot
// long ago.
func (m *Machine) yieldToHigherBallot(env *Environment, from protocol.Node, highest protocol.Ballot, record protocol.EpochRecord, agreed map[protocol.MemberID]bool) {
	if m.bootstrap != nil || !m.Ballot.Less(highest) {
		return
	}
	m.attempt.refusedBy[memberID(from)] = true
	// Right after its start this daemon doesn't know yet which controllers are alive.
	justStarted := env.NowMs-m.config.StartMs < m.config.Timing.TimeoutMs
	mayAgree := func(voter protocol.MemberID) bool {
		reachable := justStarted || voter == m.self() || env.Nodes.Live(env.NowMs, voter.Name)
		return agreed[voter] || reachable && !m.attempt.refusedBy[voter]
	}
	if record.Majority(mayAgree) {
		return
	}
	if m.Role == Accepting {
		// A witness that accepts the proposal grants a lease, which would block the
		// other candidate.
		m.releaseLeases(env, *m.Proposal)
	}
	m.endAttempt(env, m.config.Timing.BallotMs)
}

// propose asks the witnesses to accept a record under the current ballot. reproposes
// is true if the record is another candidate's.
func (m *Machine) propose(env *Environment, record protocol.EpochRecord, reproposes bool) {
	if m.Role != Primary {
		m.Role, m.roleSinceMs = Accepting, env.NowMs
	}
	m.Proposal, m.attempt.reproposes = &record, reproposes
	m.attempt.acceptedBy = map[protocol.MemberID]bool{}
	if m.Role != Primary {
		m.grants = map[protocol.MemberID]int64{}
	}
	m.sendAccepts(env)
}

// Propose proposes a record that changes the members. Only the primary calls it;
// RecordChanged reports that the record was chosen and is active.
func (m *Machine) Propose(env *Environment, record protocol.EpochRecord) {
	m.propose(env, record, false)
}

func (m *Machine) sendAccepts(env *Environment) {
	for _, voter := range m.Proposal.Voters() {
		if !m.attempt.acceptedBy[voter] {
			m.sendTo(env, voter.Name, protocol.Accept{Ballot: m.Ballot, Record: *m.Proposal, EchoMs: env.NowMs})
		}
	}
}

// HandleAcceptReply handles a witness's reply to an Accept or to a RenewLease.
func (m *Machine) HandleAcceptReply(env *Environment, from protocol.Node, reply protocol.AcceptReply) {
	m.highestRound = max(m.highestRound, reply.Highest.Round)
	if reply.Ballot != m.Ballot {
		return
	}
	if !reply.Granted {
		m.handleAcceptRefusal(env, from, reply)
		return
	}
	voter := memberID(from)
	// A witness that granted anything under this ballot refuses other
	// candidates, so the grant counts for the lease.
	if m.grants != nil {
		m.grants[voter] = max(m.grants[voter], reply.EchoMs)
	}
	if m.Role == Primary {
		m.extendLease()
	}
	mayPropose := m.Role == Accepting || m.Role == Primary
	if m.Proposal == nil || reply.Epoch != m.Proposal.Epoch || !mayPropose {
		return
	}
	m.attempt.acceptedBy[voter] = true
	if m.Proposal.Majority(func(voter protocol.MemberID) bool { return m.attempt.acceptedBy[voter] }) {
		m.proposalChosen(env)
	}
}

func (m *Machine) handleAcceptRefusal(env *Environment, from protocol.Node, reply protocol.AcceptReply) {
	// A new witness that missed the record which added it is still blank and
	// grants no renewal, so that record is sent to it again.
	missedRecord := reply.Record.Epoch < m.Record.Epoch && !m.Ballot.Less(reply.Highest)
	if missedRecord && m.Role == Primary && slices.Contains(m.Record.Witnesses, memberID(from)) {
		m.send(from, protocol.Accept{Ballot: m.Ballot, Record: m.Record, EchoMs: env.NowMs})
	}
	if m.Role == Accepting {
		m.yieldToHigherBallot(env, from, reply.Highest, *m.Proposal, m.attempt.acceptedBy)
	}
}

// proposalChosen is called once a majority of the witnesses has accepted the proposal,
// which is then the active record. If that was another candidate's record, this
// candidate continues with its own.
func (m *Machine) proposalChosen(env *Environment) {
	record := *m.Proposal
	m.Proposal = nil
	switch {
	case m.Role == Primary:
		m.AdoptRecord(env, record, m.Ballot)
		m.extendLease()
		m.output(RecordChanged{})
	case m.attempt.reproposes:
		m.AdoptRecord(env, record, m.Ballot)
		if !m.mayBecomePrimary(env, record) {
			m.endAttempt(env, m.config.Timing.TimeoutMs)
			return
		}
		next := record
		next.Epoch, next.Primary, next.Before = record.Epoch+1, m.config.Self.Name, record.Witnesses
		m.propose(env, next, false)
	default:
		m.becomePrimary(env, record)
	}
}

// endAttempt ends an attempt and any bootstrap in progress. No other attempt begins
// within waitMs.
func (m *Machine) endAttempt(env *Environment, waitMs int64) {
	m.Role, m.retryFromMs, m.Proposal = Follower, env.NowMs+waitMs, nil
	m.failBootstrap(errkind.NotAccepted, "not all witnesses agreed; each must be running and, for a bootstrap, be blank or hold the record of an earlier attempt of it; try again")
}

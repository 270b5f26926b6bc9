package consensus

import (
	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// witnessState is the witness of this disk, with the replies that wait for a write.
type witnessState struct {
	acceptor *witness.Acceptor
	// writes counts the writes of the witness's row that have not ended.
	writes int
	// waitingReplies holds functions that send replies to requests that changed nothing
	// themselves. They must not be called before all writes of the witness's row have ended.
	waitingReplies []func()
}

func (m *Machine) handlePrepare(e protocol.Envelope, request protocol.Prepare) {
	if request.Found && !request.AllSeeds && !m.election.MayVoteForBootstrap() {
		m.count(errkind.NotInitialDisk)
		m.send(e.From, protocol.PrepareReply{Ballot: request.Ballot, NotFirstDisk: true})
		return
	}
	reply, changed := m.witness.acceptor.Prepare(m.nowMs, e.From.Name, request)
	reply.At = m.follower.Durable
	m.replyAsWitness(changed, func() { m.send(e.From, reply) })
}

func (m *Machine) handleAccept(e protocol.Envelope, request protocol.Accept) {
	reply, changed := m.witness.acceptor.Accept(m.nowMs, request)
	m.replyAsWitness(changed, func() { m.send(e.From, reply) })
}

func (m *Machine) handleRenewLease(e protocol.Envelope, request protocol.RenewLease) {
	reply, changed := m.witness.acceptor.Renew(m.nowMs, request)
	m.replyAsWitness(changed, func() { m.send(e.From, reply) })
}

// replyAsWitness saves the witness if it changed, and then replies. A reply to a request
// that changed nothing also waits until earlier changes are synced, because it depends on
// them. Otherwise a repeated request would get a reply while the change that the first one
// made could still be lost.
func (m *Machine) replyAsWitness(changed bool, sendReply func()) {
	switch {
	case m.disk.failed:
	case changed:
		m.saveWitness(sendReply)
	case m.witness.writes > 0:
		m.witness.waitingReplies = append(m.witness.waitingReplies, sendReply)
	default:
		sendReply()
	}
}

func (m *Machine) saveWitness(sendReply func()) {
	m.witness.writes++
	write := storage.Write{Set: map[string]string{witness.Key: m.witness.acceptor.Encode()}}
	m.save(write, func(ok bool) {
		m.witness.writes--
		if ok {
			sendReply()
			m.sendWaitingReplies()
		}
	})
}

// sendWaitingReplies sends the waiting replies if no write is in flight.
func (m *Machine) sendWaitingReplies() {
	if m.witness.writes > 0 {
		return
	}
	replies := m.witness.waitingReplies
	m.witness.waitingReplies = nil
	for _, sendReply := range replies {
		sendReply()
	}
}

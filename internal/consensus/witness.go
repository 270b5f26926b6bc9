package consensus

import (
	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// witnessState is the witness of this disk, and its answers that wait for the disk.
type witnessState struct {
	acceptor *witness.Acceptor
	// writes counts the changes on their way to the disk.
	writes int
	// waiting are answers for which nothing changed, which wait for the last
	// change all the same.
	waiting []func()
}

func (m *Machine) handlePrepare(e protocol.Envelope, request protocol.Prepare) {
	if request.Found && !request.AllSeeds && !m.election.MayVoteForBootstrap() {
		m.count(errkind.NotInitialDisk)
		m.send(e.From, protocol.PrepareReply{Ballot: request.Ballot, NotFirstDisk: true})
		return
	}
	reply, changed := m.witness.acceptor.Prepare(m.nowMs, e.From.Name, request)
	reply.At = m.follower.Durable
	m.answerAsWitness(changed, func() { m.send(e.From, reply) })
}

func (m *Machine) handleAccept(e protocol.Envelope, request protocol.Accept) {
	reply, changed := m.witness.acceptor.Accept(m.nowMs, request)
	m.answerAsWitness(changed, func() { m.send(e.From, reply) })
}

func (m *Machine) handleRenewLease(e protocol.Envelope, request protocol.RenewLease) {
	reply, changed := m.witness.acceptor.Renew(m.nowMs, request)
	m.answerAsWitness(changed, func() { m.send(e.From, reply) })
}

// answerAsWitness saves the witness where it changed, and then answers. What a
// witness says rests on all that it has decided, so an answer for which nothing
// changed waits, too, until the last change is on the disk: the same request that
// is repeated must not be answered before the first one.
func (m *Machine) answerAsWitness(changed bool, answer func()) {
	switch {
	case m.disk.failed:
	case changed:
		m.saveWitness(answer)
	case m.witness.writes > 0:
		m.witness.waiting = append(m.witness.waiting, answer)
	default:
		answer()
	}
}

func (m *Machine) saveWitness(answer func()) {
	m.witness.writes++
	write := storage.Write{Set: map[string]string{witness.Key: m.witness.acceptor.Encode()}}
	m.save(write, func(ok bool) {
		m.witness.writes--
		if ok {
			answer()
			m.answerWaiting()
		}
	})
}

// answerWaiting gives the answers that waited for the disk, once none is on its
// way there any more.
func (m *Machine) answerWaiting() {
	if m.witness.writes > 0 {
		return
	}
	waiting := m.witness.waiting
	m.witness.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

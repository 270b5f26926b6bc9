package election

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// recoveryEpochStep is added to the newest known epoch for a recovery, so that the new
// epoch is above any that may have been chosen without this daemon's knowledge.
const recoveryEpochStep = 1000

func (m *Machine) isRecovering() bool { return m.bootstrap != nil && m.bootstrap.Recover }

// recoverSite continues the site from this daemon's possibly outdated state after all
// replicas were lost. Only an operator's command does this, and it must name the change and
// revision of that state. The three witnesses that the command names must agree, even if
// their disks are blank, and none may have a later state.
func (m *Machine) recoverSite(env *Environment, bootstrap Bootstrap) {
	if rejection := m.recoveryRejection(env); rejection != nil {
		m.reject(bootstrap, rejection)
		return
	}
	at := env.Position
	from := fmt.Sprintf("recovery from change %d of epoch %d, with revision %d", at.Number, at.Epoch, env.Revision)
	if bootstrap.Change != at.Number || bootstrap.Revision != env.Revision {
		m.reject(bootstrap, newRejection(errkind.StaleBase, from+"; to start it, give this change and revision"))
		return
	}
	first, rejection := m.buildFirstRecord(env, bootstrap)
	if rejection != nil {
		m.reject(bootstrap, rejection)
		return
	}
	first.Epoch = max(m.Record.Epoch, env.Acceptor.Record.Epoch, at.Epoch) + recoveryEpochStep
	// A lost replica that returns may have changes that the recovered state lacks, so its
	// disk is recorded as gone. A daemon of that name may return with a blank disk.
	first.Gone = m.Record.Gone
	for _, id := range m.Record.Replicas {
		lost := protocol.EpochRecord{Gone: first.Gone}
		first.Gone = lost.GoneWith(id)
	}
	m.logf("starting %s", from)
	m.bootstrapRecord, m.bootstrap = first, &bootstrap
	m.prepare(env, true)
}

// recoveryRejection returns why this daemon cannot recover the site, or nil if it can.
func (m *Machine) recoveryRejection(env *Environment) *protocol.Rejection {
	switch {
	case env.Position.Number == 0:
		return newRejection(errkind.NotBootstrapped, "this controller has no state to recover from")
	case env.DiskFailed:
		return newRejection(errkind.NotAccepted, "this controller's disk failed")
	case m.bootstrap != nil:
		return newRejection(errkind.NotAccepted, "a bootstrap or recovery is already in progress")
	case m.IsPrimary() || m.mayBeCandidate(env):
		return newRejection(errkind.NotAccepted, "this disk is a replica of the active record and becomes primary without a recovery")
	}
	for _, id := range m.Record.Replicas {
		node, known := env.Nodes.Node(id.Name)
		if known && node.Incarnation == id.Incarnation && env.Nodes.Live(env.NowMs, id.Name) {
			return newRejection(errkind.NotAccepted, "a replica of the active record is alive: "+id.Name+" becomes primary without a recovery")
		}
	}
	return nil
}

// yieldToLaterReplica ends a recovery and returns true if a witness has a later state.
// It also raises the epoch of the recovery above any that the witness knows.
func (m *Machine) yieldToLaterReplica(env *Environment, from protocol.Node, reply protocol.PrepareReply) bool {
	if reply.Record.Epoch >= m.bootstrapRecord.Epoch {
		m.bootstrapRecord.Epoch = reply.Record.Epoch + recoveryEpochStep
	}
	if !env.Position.Less(reply.At) {
		return false
	}
	yielded := *m.bootstrap
	m.bootstrap = nil
	m.endAttempt(env, 0)
	detail := fmt.Sprintf("%s has a later replica, up to change %d of epoch %d: recover from it", from.Name, reply.At.Number, reply.At.Epoch)
	m.reject(yielded, newRejection(errkind.NotAccepted, detail))
	return true
}

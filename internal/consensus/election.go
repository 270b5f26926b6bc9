package consensus

import (
	"fmt"

	"myrtlewinch/internal/election"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/statetable"
)

// runElection has the election handle an input and then handles its outputs.
func (m *Machine) runElection(handle func(e *election.Machine, env *election.Environment)) {
	handle(&m.election, &election.Environment{
		NowMs: m.nowMs, Nodes: m.detector, Acceptor: m.witness.acceptor, Seeds: m.settings.Seeds,
		Position: m.state.Position, Revision: m.state.RevisionNumber(), DiskFailed: m.disk.failed, Leaving: m.leaving.begun,
	})
	for _, output := range m.election.TakeOutputs() {
		m.handleOutput(output)
	}
}

func (m *Machine) handleOutput(output election.Output) {
	switch out := output.(type) {
	case election.Send:
		m.send(out.To, out.Body)
	case election.LogLine:
		m.out.LogLines = append(m.out.LogLines, string(out))
	case election.RecordAdopted:
		m.saveRecord(out)
	case election.RecordChanged:
		m.commit()
		// The next tick sends appends, so that the members of the record learn of the record
		// soon.
		m.primary.AppendsSentMs = m.nowMs - m.settings.Timing.AppendIntervalMs
	case election.BecamePrimary:
		m.beginPrimacy(out.Recovered)
	case election.LostPrimacy:
		m.primary.End()
		m.settings.Application.LostPrimacy(host{m})
	case election.InitialDiskMarked:
		m.saveRow(initialDiskKey, initialDiskMark)
	case election.BootstrapFailed:
		m.respond(out.ID, out.Rejection)
	case election.Retired:
		m.retire()
	default:
		panic(fmt.Sprintf("consensus: unknown election output %T", output))
	}
}

// tickElection ticks the election and, at the primary, plans the next record.
func (m *Machine) tickElection() {
	wasPrimary := m.isPrimary()
	m.runElection((*election.Machine).Tick)
	if wasPrimary {
		m.planRecord()
	}
}

// beginPrimacy submits the first change of a new primary, which serves once all replicas
// hold it.
func (m *Machine) beginPrimacy(recovered bool) {
	if m.settings.Hooks != nil {
		m.settings.Hooks.Elected()
	}
	m.beginReplication()
	epoch := m.record().Epoch
	m.logf("elected primary of epoch %d", epoch)
	commands := []statetable.Command{statetable.Begin{}}
	if ledger := m.state.Ledger(); recovered && ledger != nil {
		commands = append(commands, ledger.SkipAhead(epoch))
	}
	m.submit(func(ok bool) {
		if ok {
			m.establish()
		}
	}, commands...)
}

// establish notifies the application once all replicas hold the primary's first change.
func (m *Machine) establish() {
	bootstrap := m.election.Establish(m.nowMs)
	m.logf("all replicas hold the first change of epoch %d", m.record().Epoch)
	m.settings.Application.BecamePrimary(host{m})
	if bootstrap == nil || m.settings.Bootstrap != BootstrapByOperator {
		return
	}
	if !bootstrap.Recover {
		m.settings.Hooks.Bootstrapped()
	}
	m.respond(bootstrap.ID, BootstrapResult{Epoch: m.record().Epoch, Primary: m.record().Primary, Backup: bootstrap.Backup})
}

// BootstrapResult is the reply to a Bootstrap that succeeded.
type BootstrapResult struct {
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	Backup  string `json:"backup"`
}

// ReplyBody marks BootstrapResult as a protocol.Reply.
func (BootstrapResult) ReplyBody() {}

// stepDown ends this daemon's primacy and releases its lease, so that the next
// primary need not wait for the lease to expire.
func (m *Machine) stepDown(reason string) {
	if !m.isPrimary() {
		return
	}
	successor, _ := m.members().Successor()
	m.runElection(func(e *election.Machine, env *election.Environment) { e.StepDown(env, reason, successor.Name) })
}

// retire ends this daemon's participation for good, because another disk has its name. A
// row on the disk keeps it retired after restarts.
func (m *Machine) retire() {
	if m.retired {
		return
	}
	m.logf("superseded: another disk has this daemon's name; stop this daemon")
	m.retired = true
	m.saveRow(retiredKey, "for good")
}

// stepRetired rejects a Bootstrap, passes other inputs to the hooks, if any, and ignores
// everything else.
func (m *Machine) stepRetired(input protocol.Input) {
	if in, ok := input.(Bootstrap); ok {
		m.respond(in.ID, retiredRejection)
		return
	}
	if m.settings.Hooks != nil {
		m.settings.Hooks.InputWhileRetired(input)
	}
}

func (m *Machine) handlePeersReply(reply protocol.PeersReply) {
	m.detector.AddNodes(m.nowMs, reply.Peers)
	// The active record of a controller was chosen. A router knows only the epoch and
	// the primary.
	m.runElection(func(e *election.Machine, env *election.Environment) { e.LearnRecord(env, reply.Record) })
}

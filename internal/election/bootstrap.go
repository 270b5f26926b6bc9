package election

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Bootstrap is the input that bootstraps a site, or recovers it from this daemon's
// replica of the state. With Config.BootstrapBySeeds the seeds create this input themselves;
// otherwise an operator sends it.
type Bootstrap struct {
	// ID identifies the operator's request.
	ID uint64
	// Witnesses are the names of the controllers that become witnesses. Backup is the
	// name of the other replica, if an operator names one.
	Witnesses []string
	Backup    string
	// Recover makes this daemon's replica the site's state instead of bootstrapping a
	// new site. The replica must be at Change and Revision.
	Recover          bool
	Change, Revision uint64
}

// MachineInput marks Bootstrap as a protocol.Input.
func (Bootstrap) MachineInput() {}

const (
	// firstEpoch is the epoch of the record that bootstraps a site.
	firstEpoch = 1
	// operatorWitnesses is how many witnesses an operator must name.
	operatorWitnesses = 3
	// seedTurnMs is how long each seed in turn may attempt the bootstrap before the
	// next one may. A seed that fails at the first start delays the site only for
	// that time.
	seedTurnMs = 1500
	// allSeedsWaitMs is how long a seed waits, counted from its turn, until all seeds are
	// known. After that a majority is enough, so that the site can be bootstrapped without
	// a seed that is lost at the first start.
	allSeedsWaitMs = 3000
)

// HandleBootstrap bootstraps or recovers a site. For a bootstrap every witness must agree.
// Each must have accepted no record yet, or exactly the record of this bootstrap from an
// interrupted earlier attempt. No other operation starts a site from blank disks. A disk is
// blank if no record names it.
func (m *Machine) HandleBootstrap(env *Environment, bootstrap Bootstrap) {
	if bootstrap.Recover {
		m.recoverSite(env, bootstrap)
		return
	}
	if rejection := m.bootstrapRejection(env); rejection != nil {
		m.reject(bootstrap, rejection)
		return
	}
	first, rejection := m.buildFirstRecord(env, bootstrap)
	if rejection != nil {
		m.reject(bootstrap, rejection)
		return
	}
	m.bootstrapRecord = first
	if env.Acceptor.Record.Epoch > 0 && !sameBootstrap(env.Acceptor.Record, first) {
		m.reject(bootstrap, newRejection(errkind.AlreadyBootstrapped, "this controller's witness has accepted the first record of another bootstrap"))
		return
	}
	m.bootstrap, m.adoptedBootstrap = &bootstrap, false
	m.prepare(env, true)
}

// bootstrapRejection returns why this daemon cannot bootstrap a site now, or nil if it
// can.
func (m *Machine) bootstrapRejection(env *Environment) *protocol.Rejection {
	if m.Record.Epoch > 0 || env.Position.Number > 0 {
		return newRejection(errkind.AlreadyBootstrapped, "this controller already belongs to a bootstrapped site")
	}
	// A candidate that isn't bootstrapping may be proposing again the first record that
	// its own witness accepted. That doesn't prevent a bootstrap.
	if m.bootstrap != nil || m.Role != Follower && env.Acceptor.Record.Epoch == 0 {
		return newRejection(errkind.NotAccepted, "a bootstrap is already in progress")
	}
	return nil
}

func newRejection(kind errkind.Kind, detail string) *protocol.Rejection {
	return &protocol.Rejection{Kind: kind, Detail: detail}
}

func (m *Machine) reject(bootstrap Bootstrap, rejection *protocol.Rejection) {
	m.output(BootstrapFailed{ID: bootstrap.ID, Rejection: *rejection})
}

// failBootstrap ends the bootstrap or recovery in progress, if there is one.
func (m *Machine) failBootstrap(kind errkind.Kind, detail string) {
	if m.bootstrap == nil {
		return
	}
	failed := *m.bootstrap
	m.bootstrap = nil
	m.reject(failed, newRejection(kind, detail))
}

// buildFirstRecord returns the record that a bootstrap proposes, or why it is invalid.
func (m *Machine) buildFirstRecord(env *Environment, bootstrap Bootstrap) (protocol.EpochRecord, *protocol.Rejection) {
	names := map[string]bool{}
	var witnesses []protocol.MemberID
	for _, name := range bootstrap.Witnesses {
		names[name] = true
		node, ok := env.Nodes.Node(name)
		if !ok || node.Part != protocol.RoleController {
			return protocol.EpochRecord{}, newRejection(errkind.BadRequest, "witnesses: no controller named "+name+" is known here")
		}
		witnesses = append(witnesses, memberID(node))
	}
	distinct := len(names) == len(bootstrap.Witnesses)
	enough := m.config.BootstrapBySeeds || len(bootstrap.Witnesses) == operatorWitnesses
	if !distinct || !enough {
		return protocol.EpochRecord{}, newRejection(errkind.BadRequest, "witnesses: must be three different controllers")
	}
	if m.config.BootstrapBySeeds {
		return m.firstRecordOfSeeds(witnesses), nil
	}
	backup, ok := env.Nodes.Node(bootstrap.Backup)
	if !ok || backup.Part != protocol.RoleController || bootstrap.Backup == m.config.Self.Name {
		return protocol.EpochRecord{}, newRejection(errkind.BadRequest, "backup: must be another controller that is known here")
	}
	return m.newFirstRecord([]protocol.MemberID{m.self(), memberID(backup)}, witnesses), nil
}

func (m *Machine) newFirstRecord(replicas, witnesses []protocol.MemberID) protocol.EpochRecord {
	return protocol.EpochRecord{Epoch: firstEpoch, Primary: m.config.Self.Name, Replicas: replicas, Witnesses: witnesses, Before: witnesses}
}

// firstRecordOfSeeds returns the first record of a site that its seeds bootstrap. The number
// of seeds that become replicas is one more than the number of disks that may be lost.
func (m *Machine) firstRecordOfSeeds(witnesses []protocol.MemberID) protocol.EpochRecord {
	replicas := []protocol.MemberID{m.self()}
	for _, id := range witnesses {
		if id != m.self() && len(replicas) < m.config.MaxLosses+1 {
			replicas = append(replicas, id)
		}
	}
	return m.newFirstRecord(replicas, witnesses)
}

// sameBootstrap reports whether two first records come from the same bootstrap.
func sameBootstrap(a, b protocol.EpochRecord) bool {
	return a.Epoch == b.Epoch && a.Primary == b.Primary && slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Witnesses, b.Witnesses)
}

// yieldToOtherBootstrap checks the record that a witness accepted. If the record comes from
// another bootstrap, yieldToOtherBootstrap either ends this bootstrap and returns true, or
// adopts the other record to propose it again.
func (m *Machine) yieldToOtherBootstrap(env *Environment, from protocol.Node, reply protocol.PrepareReply) bool {
	if m.bootstrap.Recover {
		return m.yieldToLaterReplica(env, from, reply)
	}
	if reply.Record.Epoch == 0 {
		return false
	}
	if sameBootstrap(reply.Record, m.bootstrapRecord) {
		if m.attempt.newestRecordBallot.Less(reply.Kept) {
			m.attempt.newestRecordBallot = reply.Kept
		}
		return false
	}
	// The proposed record, this daemon's own or an adopted one, was accepted under a higher
	// ballot, so this one was never chosen.
	isFirst := reply.Record.Epoch == firstEpoch
	if isFirst && !m.attempt.newestRecordBallot.Less(reply.Kept) {
		return false
	}
	// If that record lists this disk as a replica, there may be no other daemon to propose
	// it again.
	if reply.Granted && isFirst && reply.Record.HasReplica(m.self()) {
		m.bootstrapRecord, m.attempt.newestRecord, m.attempt.newestRecordBallot, m.adoptedBootstrap = reply.Record, reply.Record, reply.Kept, true
		m.sendPrepares(env)
		return false
	}
	yielded := *m.bootstrap
	m.bootstrap = nil
	// The daemon whose witness accepted that record proposes it again, if no other
	// attempt interferes.
	m.endAttempt(env, seedTurnMs)
	m.reject(yielded, newRejection(errkind.AlreadyBootstrapped, "a witness has accepted the first record of another bootstrap"))
	return true
}

// proposeBootstrapRecord continues a bootstrap once all witnesses have promised. A
// majority is not enough: only if all agree is it certain that no later epoch was chosen.
// For a record adopted from another daemon's interrupted attempt a majority is enough, as
// for any record.
func (m *Machine) proposeBootstrapRecord(env *Environment) {
	if m.adoptedBootstrap {
		if m.bootstrapRecord.Majority(m.hasPromised) {
			m.propose(env, m.bootstrapRecord, true)
		}
		return
	}
	for _, id := range m.bootstrapRecord.Witnesses {
		if !m.hasPromised(id) {
			return
		}
	}
	m.propose(env, m.bootstrapRecord, false)
}

// MayVoteForBootstrap reports whether this disk may vote for a first record. A disk
// that was wiped after the first start may have voted for another record before. If an
// operator bootstraps the site, the operator is responsible for that.
func (m *Machine) MayVoteForBootstrap() bool { return !m.config.BootstrapBySeeds || m.initialDisk }

// markInitialDisk notes that this disk took part in the first start of the site.
func (m *Machine) markInitialDisk(env *Environment) {
	if m.config.FirstStart && !m.initialDisk && !env.DiskFailed {
		m.initialDisk = true
		m.output(InitialDiskMarked{})
	}
}

// TickBootstrap bootstraps the site, if this is its first start and this daemon is one
// of the seeds. All seeds that the first record names must agree to it. They are either
// all seeds, or those on disks that took part in the first start, if these are a majority
// of all seeds. So of any two attempts one reaches a seed that has agreed to the other,
// unless more than MaxLosses disks were lost.
func (m *Machine) TickBootstrap(env *Environment) {
	if !m.config.BootstrapBySeeds {
		return
	}
	m.markInitialDisk(env)
	bootstrapped := m.Record.Epoch > 0 || env.Position.Number > 0
	if !m.initialDisk || bootstrapped || m.Role != Follower || m.bootstrap != nil {
		return
	}
	seeds := slices.Sorted(slices.Values(env.Seeds))
	turn := slices.Index(seeds, m.config.Self.Address)
	if turn < 0 || env.NowMs < m.retryFromMs {
		return
	}
	turnMs := m.config.StartMs + int64(turn)*seedTurnMs
	if env.NowMs < turnMs {
		return
	}
	majoritySuffices := env.NowMs >= turnMs+allSeedsWaitMs
	names := m.bootstrapSeeds(env, seeds, majoritySuffices)
	all, majority := len(names) == len(seeds), 2*len(names) > len(seeds)
	if all || majoritySuffices && majority {
		m.HandleBootstrap(env, Bootstrap{Witnesses: names})
	}
}

// bootstrapSeeds returns the names of all seeds if all are known, or else of the known
// seeds on disks that took part in the first start. With mustBeLive it leaves out those
// that are unresponsive, because they may be lost for good.
func (m *Machine) bootstrapSeeds(env *Environment, seeds []string, mustBeLive bool) []string {
	var known, onInitialDisks []string
	for _, address := range seeds {
		node, ok := env.Nodes.NodeAt(address)
		if !ok {
			continue
		}
		live := node.Name == m.config.Self.Name || env.Nodes.Live(env.NowMs, node.Name)
		if mustBeLive && !live {
			continue
		}
		known = append(known, node.Name)
		if !m.notInitialDisks[node.Incarnation] {
			onInitialDisks = append(onInitialDisks, node.Name)
		}
	}
	if len(known) < len(seeds) {
		return onInitialDisks
	}
	return known
}

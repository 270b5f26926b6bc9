package consensus

import (
	"slices"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/storage"
)

// operatorWitnesses is how many witnesses an operator who bootstraps or recovers
// a site must name.
const operatorWitnesses = 3

// firstEpoch is the epoch of the record that founds a site.
const firstEpoch = 1

// BootstrapResult answers a founding.
type BootstrapResult struct {
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
	Backup  string `json:"backup"`
}

// found begins a site: every witness must agree, and must be blank or hold
// just what this very founding would give it, since an earlier go at it was
// cut short. Nothing else ever takes a blank disk for a beginning.
func (m *Machine) found(f Bootstrap) {
	drop := func(kind errkind.Kind, detail string) { m.answer(f.ID, protocol.Rejection{Kind: kind, Detail: detail}) }
	if m.record.Epoch > 0 || m.state.Position.Number > 0 {
		drop(errkind.AlreadyBootstrapped, "this controller belongs to a founded site")
		return
	}
	if m.election.founding != nil || m.election.role != follower && m.witness.Record.Epoch == 0 {
		drop(errkind.NotAccepted, "a founding is under way")
		return
	}
	first, fault := m.firstRecord(f)
	if fault != "" {
		drop(errkind.BadRequest, fault)
		return
	}
	m.election.first = first
	if m.witness.Record.Epoch > 0 && !same(m.witness.Record, m.election.first) {
		drop(errkind.AlreadyBootstrapped, "this controller's witness belongs to another founding")
		return
	}
	m.election.founding, m.election.finishes = &f, false
	m.askPromises(true)
}

// firstRecord is the record that an operator's act would make, or why it can't.
func (m *Machine) firstRecord(f Bootstrap) (protocol.EpochRecord, string) {
	set := map[string]bool{}
	var witnesses []protocol.MemberID
	for _, name := range f.Witnesses {
		set[name] = true
		place, ok := m.roster.Node(name)
		if !ok || place.Part != protocol.RoleController {
			return protocol.EpochRecord{}, "witnesses: no controller named " + name + " is known here"
		}
		witnesses = append(witnesses, protocol.MemberID{Name: name, Incarnation: place.Incarnation})
	}
	different := len(set) == len(f.Witnesses)
	enough := m.set.Bootstrap == BootstrapBySeeds || len(f.Witnesses) == operatorWitnesses
	if !different || !enough {
		return protocol.EpochRecord{}, "witnesses: must be three different controllers"
	}
	if m.set.Bootstrap == BootstrapBySeeds {
		return m.seedsRecord(witnesses), ""
	}
	backup, ok := m.roster.Node(f.Backup)
	if !ok || backup.Part != protocol.RoleController || f.Backup == m.set.Self.Name {
		return protocol.EpochRecord{}, "backup: must be another controller that is known here"
	}
	return protocol.EpochRecord{
		Epoch: 1, Primary: m.set.Self.Name,
		Replicas:  []protocol.MemberID{m.ownSeat(), {Name: backup.Name, Incarnation: backup.Incarnation}},
		Witnesses: witnesses, Before: witnesses,
	}, ""
}

// same says whether two records are of one act.
func same(a, b protocol.EpochRecord) bool {
	return a.Epoch == b.Epoch && a.Primary == b.Primary && slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Witnesses, b.Witnesses)
}

// otherFounding ends a founding once a witness is seen to hold another record.
func (m *Machine) otherFounding(from protocol.Node, said protocol.PrepareReply) bool {
	s := &m.election
	if s.founding.Recover {
		return m.otherRecovery(from, said)
	}
	if said.Record.Epoch == 0 || same(said.Record, s.first) {
		return false
	}
	// What was kept under an earlier ballot than the attempt that this one
	// finishes was never chosen.
	if s.finishes && said.Record.Epoch == firstEpoch && !s.topKept.Less(said.Kept) {
		return false
	}
	// A record that names this disk as a copy may have no other to finish it.
	if said.Granted && said.Record.Epoch == firstEpoch && said.Record.HasReplica(m.ownSeat()) {
		s.first, s.top, s.topKept, s.finishes = said.Record, said.Record, said.Kept, true
		m.askMore()
		return false
	}
	id := s.founding.ID
	s.founding = nil
	// Whoever keeps that record finishes it, if it is left the time.
	m.retreat(foundAfterMs)
	m.answer(id, protocol.Rejection{Kind: errkind.AlreadyBootstrapped, Detail: "a witness belongs to another founding"})
	return true
}

// foundWith goes on with a founding once all witnesses have agreed. All of
// them, not a majority: if any later epoch were recorded, one would know. To
// finish another's attempt a majority will do, as for any half-recorded record.
func (m *Machine) foundWith() {
	if m.election.finishes {
		if m.election.first.Majority(func(v protocol.MemberID) bool { return m.election.granted[v] }) {
			m.keep(m.election.first, true)
		}
		return
	}
	for _, seat := range m.election.first.Witnesses {
		if !m.election.granted[seat] {
			return
		}
	}
	m.keep(m.election.first, false)
}

// foundAfterMs lets the seeds try one after the other, so that a seed that died
// at the very start holds the site up only for a moment.
const foundAfterMs = 1500

// majorityAfterMs is how long the seeds wait for all of them before most of
// them will do. One that is removed for good at the very start must not keep
// the site from being founded.
const majorityAfterMs = 3000

// bootstrapKey marks a disk that was there, empty, at the first start of the
// site. Only such a disk may vote for a first record: one that was emptied later
// may have voted for another, which it forgot.
const bootstrapKey = "bootstrap"

// mayBootstrap says whether this disk may vote for a first record. An operator
// who bootstraps by an explicit act vouches for the disks.
func (m *Machine) mayBootstrap() bool {
	return m.set.Bootstrap == BootstrapByOperator || m.firstDisk
}

// markFirstDisk keeps on the disk that it was there at the first start. Saves
// keep their order, so no vote is on the disk before this.
func (m *Machine) markFirstDisk() {
	if !m.set.FirstStart || m.firstDisk || m.broken {
		return
	}
	m.firstDisk = true
	m.save(storage.Write{Set: map[string]string{bootstrapKey: "first start"}}, nil)
}

// tickFounding founds the site by itself, where this is the first start of
// all and this daemon is one of the seeds. All of those that it names must agree
// to the first record, and they are most of the seeds, on disks that were there
// at the first start, or all seeds. So of two attempts one meets a seed that has
// agreed to the other, unless more disks were lost than may be.
func (m *Machine) tickFounding() {
	m.markFirstDisk()
	if !m.firstDisk || m.record.Epoch > 0 || m.state.Position.Number > 0 || m.election.role != follower || m.election.founding != nil {
		return
	}
	seeds := slices.Sorted(slices.Values(m.set.Seeds))
	turn := slices.Index(seeds, m.set.Self.Address)
	if turn < 0 || m.nowMs < m.startMs+int64(turn)*foundAfterMs || m.nowMs < m.election.nextMs {
		return
	}
	waited := m.nowMs >= m.startMs+majorityAfterMs+int64(turn)*foundAfterMs
	var names, marked []string
	for _, seed := range seeds {
		place, known := m.roster.NodeAt(seed)
		// One that was heard once may be gone for good.
		if known && waited && place.Name != m.set.Self.Name && !m.roster.Live(m.nowMs, place.Name) {
			known = false
		}
		if known {
			names = append(names, place.Name)
		}
		if known && !m.notFirst[place.Incarnation] {
			marked = append(marked, place.Name)
		}
	}
	if len(names) < len(seeds) {
		names = marked
	}
	if len(names) < len(seeds) && (!waited || 2*len(names) <= len(seeds)) {
		return
	}
	m.found(Bootstrap{Witnesses: names})
}

// seedsRecord is the first record of a site that its seeds found: as many of
// them as may be lost, and one more, hold copies.
func (m *Machine) seedsRecord(witnesses []protocol.MemberID) protocol.EpochRecord {
	record := protocol.EpochRecord{Epoch: 1, Primary: m.set.Self.Name, Replicas: []protocol.MemberID{m.ownSeat()}, Witnesses: witnesses, Before: witnesses}
	for _, seat := range witnesses {
		if seat != m.ownSeat() && len(record.Replicas) < m.set.MaxLosses+1 {
			record.Replicas = append(record.Replicas, seat)
		}
	}
	return record
}

package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/election"
	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/protocol"
)

// A primary whose lease has expired becomes a follower before it handles the next input.
func TestPrimacyEndsWithItsLease(t *testing.T) {
	m, application := newPrimaryWithStubPeers(t)
	m.election.LeaseUntilMs = m.nowMs + 100
	m.Step(m.nowMs+99, protocol.Tick{})
	qt.Assert(t, m.isPrimary(), qt.IsTrue)
	m.election.LeaseUntilMs = m.nowMs + 1
	m.Step(m.nowMs+1, inspectHost{func(h Host) {
		qt.Assert(t, application.lostPrimacy, qt.Equals, 1)
		qt.Assert(t, h.Serves(), qt.IsFalse)
	}})
	qt.Assert(t, m.isPrimary(), qt.IsFalse)
}

// The newest record reached only members that it does not list as replicas. The replicas
// learn of it from these members, and one becomes primary.
func TestReplicasLearnOfANewerRecord(t *testing.T) {
	cases := []struct {
		about string
		// onlyAccepted is true if only witnesses accepted the record, as when the primary
		// is lost before it sends the record to anyone. Otherwise members know that it was
		// chosen.
		onlyAccepted bool
	}{{"members know that it was chosen", false}, {"only witnesses accepted it", true}}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			w := servingCluster(qt.New(t), 2, 5)
			w.writeRow("kept")
			primary := w.primary()
			m := w.nodes[primary].machine
			next := m.record()
			next.Epoch++
			ballot := m.election.Ballot
			w.kill(primary)
			for name, n := range w.nodes {
				if n.down || next.HasReplica(protocol.MemberID{Name: name, Incarnation: n.node.Incarnation}) {
					continue
				}
				n.machine.witness.acceptor.Record, n.machine.witness.acceptor.Accepted = next, ballot
				if !test.onlyAccepted {
					n.machine.election.Record = next
				}
			}
			w.waitFor(6000, "a failover", w.serves)
			w.c.Assert(w.activeRecord().Epoch > next.Epoch, qt.IsTrue)
			w.c.Assert(w.nodes[w.primary()].application.row, qt.Equals, "kept")
		})
	}
}

// A replica can become primary although it was never sent the record that added it, even if
// no other remaining member may become primary under that record.
func TestNewReplicaWithoutTheRecordBecomesPrimary(t *testing.T) {
	w := servingCluster(qt.New(t), 2, 5)
	w.writeRow("kept")
	primary := w.primary()
	m := w.nodes[primary].machine
	var added string
	for name, n := range w.nodes {
		if !m.record().HasReplica(protocol.MemberID{Name: name, Incarnation: n.node.Incarnation}) {
			added = name
		}
	}
	next := m.record()
	next.Epoch++
	var replaced string
	for i, id := range next.Replicas {
		if id.Name != primary {
			replaced = id.Name
			next.Replicas = append(append([]protocol.MemberID{}, next.Replicas[:i]...), next.Replicas[i+1:]...)
			break
		}
	}
	next.Replicas = append(next.Replicas, protocol.MemberID{Name: added, Incarnation: w.nodes[added].node.Incarnation})
	for name, n := range w.nodes {
		if name != added {
			n.machine.witness.acceptor.Record, n.machine.witness.acceptor.Accepted = next, m.election.Ballot
		}
	}
	w.kill(primary)
	w.kill(replaced)
	// The third replica also holds all changes, but knows only the previous record.
	w.waitFor(6000, "a failover", w.serves)
	w.c.Assert(w.nodes[w.primary()].application.row, qt.Equals, "kept")
}

// grantPromises sends a candidate the promises of all other members.
func (w *cluster) grantPromises(candidate string) {
	m := w.nodes[candidate].machine
	for peer := range w.nodes {
		if peer != candidate {
			m.Step(w.nowMs, w.envelope(peer, candidate, protocol.PrepareReply{Ballot: m.election.Ballot, Granted: true}))
		}
	}
}

// Of two candidates the one with the lower ballot yields, and releases the leases that
// witnesses granted it.
func TestCandidateYieldsToAHigherBallotInACluster(t *testing.T) {
	higher := protocol.Ballot{Round: 1 << 40, Name: "core-9"}
	cases := []struct {
		about    string
		accepts  bool
		highest  protocol.Ballot
		refusing int
		yields   bool
	}{
		{"preparing, a majority promised a higher ballot", false, higher, 2, true},
		{"preparing, one witness promised a higher ballot", false, higher, 1, false},
		{"preparing, a majority promised a lower ballot", false, protocol.Ballot{Round: 1, Name: "core-9"}, 2, false},
		{"accepting, a majority promised a higher ballot", true, higher, 2, true},
		{"accepting, one witness promised a higher ballot", true, higher, 1, false},
		{"accepting, a majority promised a lower ballot", true, protocol.Ballot{Round: 1, Name: "core-9"}, 2, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			w := servingCluster(qt.New(t), 1, 3)
			primary, name := w.primary(), w.followerReplica()
			m := w.nodes[name].machine
			w.kill(primary)
			m.Step(w.nowMs, w.envelope(primary, name, protocol.TransferPrimary{Record: m.record()}))
			qt.Assert(t, m.election.Role, qt.Equals, election.Preparing)
			var refusal protocol.Message = protocol.PrepareReply{Ballot: m.election.Ballot, Highest: test.highest}
			if test.accepts {
				w.grantPromises(name)
				qt.Assert(t, m.election.Role, qt.Equals, election.Accepting)
				refusal = protocol.AcceptReply{Ballot: m.election.Ballot, Highest: test.highest, Record: m.record()}
			}
			var effects protocol.Effects
			refusing := test.refusing
			for peer := range w.nodes {
				if peer != name && refusing > 0 {
					refusing--
					effects = m.Step(w.nowMs, w.envelope(peer, name, refusal))
				}
			}
			qt.Assert(t, m.election.Role == election.Follower, qt.Equals, test.yields)
			released := 0
			for _, send := range effects.Sends {
				if _, is := send.Body.(protocol.ReleaseLease); is {
					released++
				}
			}
			qt.Assert(t, released > 0, qt.Equals, test.yields && test.accepts)
		})
	}
}

// After a crash of all members the primary of the active record serves again at once, even
// if one witness promised a higher ballot long ago.
func TestRestartedPrimaryServesDespiteAnOldBallot(t *testing.T) {
	for _, member := range []string{"core-1", "core-2", "core-3"} {
		t.Run(member, func(t *testing.T) {
			w := servingCluster(qt.New(t), 1, 3)
			w.writeRow("kept")
			primary := w.primary()
			if member == primary {
				return
			}
			// This member promised the ballots of its own attempts during a partition.
			n := w.nodes[member]
			n.machine.witness.acceptor.Promised = protocol.Ballot{Round: 40, Name: member}
			n.rows[witness.Key] = n.machine.witness.acceptor.Encode()
			for name := range w.nodes {
				w.kill(name)
			}
			w.events = nil
			w.run(700)
			for name := range w.nodes {
				// The refusal arrives before any message of the third member.
				w.partitioned[name+">"+primary] = name != member
				w.restart(name)
			}
			w.run(100)
			w.partitioned = map[string]bool{}
			w.waitFor(400, "the primary of the active record", func() bool { return w.primary() == primary })
		})
	}
}

package election

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/protocol"
)

const startMs = 100_000

var testTiming = Timing{LeaseMs: 1500, RenewMs: 300, TimeoutMs: 1000, PreVoteMs: 300, BallotMs: 800, RetryMs: 150, OrderDelayMs: 3000}

func disk(name string) protocol.MemberID { return protocol.MemberID{Name: name, Incarnation: "1"} }

func disks(names ...string) []protocol.MemberID {
	var list []protocol.MemberID
	for _, name := range names {
		list = append(list, disk(name))
	}
	return list
}

func controller(name string) protocol.Node {
	return protocol.Node{Name: name, Address: name + ":1", Part: protocol.RoleController, Incarnation: "1"}
}

// activeRecord returns the record of epoch 4, whose primary is b.
func activeRecord(replicas ...string) protocol.EpochRecord {
	return protocol.EpochRecord{
		Epoch: 4, Primary: "b", Replicas: disks(replicas...), Witnesses: disks("a", "b", "c"), Before: disks("a", "b", "c"),
	}
}

// harness runs the machine of daemon a, which knows b and c, and keeps the outputs of the
// last input.
type harness struct {
	t       *testing.T
	machine Machine
	env     *Environment
	outputs []Output
}

func newHarness(t *testing.T, config Config, saved Saved) *harness {
	t.Helper()
	config.Self, config.StartMs, config.Timing, config.MaxLosses = controller("a"), startMs, testTiming, 1
	acceptor, err := witness.New(disk("a"), "", startMs, testTiming.LeaseMs)
	qt.Assert(t, err, qt.IsNil)
	nodes := failuredetector.New(config.Self, nil, nil)
	for _, name := range []string{"b", "c"} {
		nodes.Observe(startMs, controller(name))
	}
	env := &Environment{NowMs: startMs, Nodes: nodes, Acceptor: acceptor, Seeds: []string{"a:1", "b:1", "c:1"}}
	return &harness{t: t, machine: New(config, saved), env: env}
}

// handle applies one input and keeps its outputs.
func (h *harness) handle(input func(m *Machine)) {
	input(&h.machine)
	h.outputs = h.machine.TakeOutputs()
}

func (h *harness) tickAt(nowMs int64) {
	h.env.NowMs = nowMs
	h.handle(func(m *Machine) { m.Tick(h.env) })
}

// receiversOf returns the receivers of the messages of type T that the last input sent.
func receiversOf[T protocol.Message](h *harness) []string {
	var names []string
	for _, output := range h.outputs {
		if send, ok := output.(Send); ok {
			if _, is := send.Body.(T); is {
				names = append(names, send.To.Name)
			}
		}
	}
	return names
}

// outputsOf returns the outputs of type T of the last input.
func outputsOf[T Output](h *harness) []T {
	var list []T
	for _, output := range h.outputs {
		if out, ok := output.(T); ok {
			list = append(list, out)
		}
	}
	return list
}

// promiseBy has witnesses that accepted the record earlier promise the current ballot.
func (h *harness) promiseBy(record protocol.EpochRecord, from ...string) {
	for _, name := range from {
		h.handle(func(m *Machine) {
			m.HandlePrepareReply(h.env, controller(name), protocol.PrepareReply{Ballot: m.Ballot, Granted: true, Record: record})
		})
	}
}

// acceptBy has witnesses accept the proposal, with a lease that counts from now.
func (h *harness) acceptBy(from ...string) {
	epoch := h.machine.Proposal.Epoch
	for _, name := range from {
		h.handle(func(m *Machine) {
			m.HandleAcceptReply(h.env, controller(name), protocol.AcceptReply{Ballot: m.Ballot, Epoch: epoch, Granted: true, EchoMs: h.env.NowMs})
		})
	}
}

// candidate returns a replica that has lost contact with the primary and asks for promises.
func candidate(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Config{}, Saved{Record: activeRecord("a", "b")})
	h.tickAt(startMs + testTiming.TimeoutMs + 1)
	h.tickAt(h.env.NowMs + testTiming.PreVoteMs)
	qt.Assert(t, h.machine.Role, qt.Equals, Preparing)
	return h
}

// elected returns a primary of epoch 5.
func elected(t *testing.T) *harness {
	t.Helper()
	h := candidate(t)
	h.promiseBy(activeRecord("a", "b"), "b", "c")
	h.acceptBy("b", "c")
	h.acceptBy("b", "c")
	qt.Assert(t, h.machine.IsPrimary(), qt.IsTrue)
	return h
}

// The lease counts from when the requests were sent that a majority of the witnesses
// granted, and a majority of the witnesses before a change of them as well.
func TestExtendLease(t *testing.T) {
	a, b, c, d := disk("a"), disk("b"), disk("c"), disk("d")
	set, next := []protocol.MemberID{a, b, c}, []protocol.MemberID{a, b, d}
	cases := []struct {
		about             string
		witnesses, before []protocol.MemberID
		grants            map[protocol.MemberID]int64
		fromMs            int64
	}{
		{"none granted", set, set, map[protocol.MemberID]int64{}, 0},
		{"one is no majority", set, set, map[protocol.MemberID]int64{a: 100}, 0},
		{"two: from the earlier request", set, set, map[protocol.MemberID]int64{a: 100, b: 200}, 100},
		{"three: from the second-latest request", set, set, map[protocol.MemberID]int64{a: 100, b: 200, c: 300}, 200},
		{"a disk that is no witness", set, set, map[protocol.MemberID]int64{a: 100, d: 300}, 0},
		{"another disk of a witness's name", set, set, map[protocol.MemberID]int64{a: 100, {Name: "b", Incarnation: "2"}: 300}, 0},
		{"a change of the witnesses: both sets need a majority", next, set, map[protocol.MemberID]int64{a: 100, d: 300}, 0},
		{"a change of the witnesses: both sets have a majority", next, set, map[protocol.MemberID]int64{a: 100, b: 200, d: 300}, 100},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			record := protocol.EpochRecord{Epoch: 1, Witnesses: test.witnesses, Before: test.before}
			m := Machine{config: Config{Timing: testTiming}, Record: record, grants: test.grants}
			m.extendLease()
			untilMs := int64(0)
			if test.fromMs > 0 {
				untilMs = test.fromMs + testTiming.LeaseMs
			}
			qt.Assert(t, m.LeaseUntilMs, qt.Equals, untilMs)
		})
	}
}

// A peer that is still in contact with the primary prevents an election.
func TestPreVote(t *testing.T) {
	cases := []struct {
		about    string
		reply    protocol.PrimaryReply
		prepares bool
	}{
		{"the peer is in contact with the primary", protocol.PrimaryReply{Epoch: 4, HeardMs: testTiming.TimeoutMs - 1}, false},
		{"the peer has lost contact as well", protocol.PrimaryReply{Epoch: 4, HeardMs: testTiming.TimeoutMs + 1}, true},
		{"the peer replies for another epoch", protocol.PrimaryReply{Epoch: 3, HeardMs: 0}, true},
		{"the peer knows a newer record", protocol.PrimaryReply{Epoch: 4, HeardMs: testTiming.TimeoutMs + 1, Record: protocol.EpochRecord{
			Epoch: 6, Primary: "c", Replicas: disks("c", "d"), Witnesses: disks("a", "b", "c"), Before: disks("a", "b", "c"),
		}}, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t, Config{}, Saved{Record: activeRecord("a", "b")})
			h.tickAt(startMs + testTiming.TimeoutMs)
			qt.Assert(t, h.machine.Role, qt.Equals, Follower)
			h.tickAt(startMs + testTiming.TimeoutMs + 1)
			qt.Assert(t, h.machine.Role, qt.Equals, PreVote)
			qt.Assert(t, receiversOf[protocol.PrimaryQuery](h), qt.DeepEquals, []string{"c"})
			h.handle(func(m *Machine) { m.HandlePrimaryReply(h.env, test.reply) })
			h.tickAt(h.env.NowMs + testTiming.PreVoteMs)
			qt.Assert(t, h.machine.Role == Preparing, qt.Equals, test.prepares)
		})
	}
}

// A candidate that receives a message of the primary during its pre-vote becomes a follower
// again.
func TestPreVoteEndsWithThePrimaryAlive(t *testing.T) {
	h := newHarness(t, Config{}, Saved{Record: activeRecord("a", "b")})
	h.tickAt(startMs + testTiming.TimeoutMs + 1)
	h.handle(func(m *Machine) { m.NotePrimaryAlive(h.env) })
	qt.Assert(t, h.machine.Role, qt.Equals, Follower)
}

func TestWhoBecomesCandidate(t *testing.T) {
	cases := []struct {
		about            string
		config           Config
		replicas         []string
		diskFailed       bool
		leaving          bool
		afterMs          int64
		becomesCandidate bool
	}{
		{"a replica", Config{}, []string{"a", "b"}, false, false, testTiming.TimeoutMs + 1, true},
		{"not a replica", Config{}, []string{"b", "c"}, false, false, testTiming.TimeoutMs + 1, false},
		{"a replica whose disk failed", Config{}, []string{"a", "b"}, true, false, testTiming.TimeoutMs + 1, false},
		{"a leaving replica waits longer", Config{}, []string{"a", "b"}, false, true, testTiming.TimeoutMs + 1, false},
		{"a leaving replica after the longer wait", Config{}, []string{"a", "b"}, false, true, testTiming.TimeoutMs + leavingTimeoutExtraMs + 1, true},
		{"a leaving replica that stops without handover", Config{StopWithoutHandover: true}, []string{"a", "b"}, false, true, testTiming.TimeoutMs + leavingTimeoutExtraMs + 1, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t, test.config, Saved{Record: activeRecord(test.replicas...)})
			h.env.DiskFailed, h.env.Leaving = test.diskFailed, test.leaving
			h.tickAt(startMs + test.afterMs)
			qt.Assert(t, h.machine.Role == PreVote, qt.Equals, test.becomesCandidate)
		})
	}
}

// A candidate first proposes again the newest record that a witness accepted, then the
// record of the next epoch. It is the primary once that is chosen.
func TestElection(t *testing.T) {
	h := candidate(t)
	qt.Assert(t, receiversOf[protocol.Prepare](h), qt.DeepEquals, []string{"a", "b", "c"})
	partlyAccepted := activeRecord("a", "c")
	partlyAccepted.Epoch = 5
	h.promiseBy(partlyAccepted, "b", "c")
	qt.Assert(t, h.machine.Role, qt.Equals, Accepting)
	qt.Assert(t, *h.machine.Proposal, qt.DeepEquals, partlyAccepted)
	h.acceptBy("b")
	qt.Assert(t, outputsOf[RecordAdopted](h), qt.HasLen, 0)
	h.acceptBy("c")
	qt.Assert(t, outputsOf[RecordAdopted](h), qt.HasLen, 1)
	qt.Assert(t, h.machine.Proposal.Epoch, qt.Equals, uint64(6))
	qt.Assert(t, h.machine.Proposal.Primary, qt.Equals, "a")
	h.acceptBy("b", "c")
	qt.Assert(t, outputsOf[BecamePrimary](h), qt.DeepEquals, []BecamePrimary{{}})
	qt.Assert(t, h.machine.HasLease(h.env.NowMs), qt.IsTrue)
	qt.Assert(t, h.machine.Serves(h.env.NowMs), qt.IsFalse)
	h.machine.Establish(h.env.NowMs)
	qt.Assert(t, h.machine.Serves(h.env.NowMs), qt.IsTrue)
}

// A candidate doesn't become primary after it proposed again a record that does not list it
// as a replica.
func TestReproposedRecordOfOthers(t *testing.T) {
	h := candidate(t)
	others := activeRecord("b", "c")
	others.Epoch = 5
	h.promiseBy(others, "b", "c")
	h.acceptBy("b", "c")
	qt.Assert(t, h.machine.Role, qt.Equals, Follower)
	qt.Assert(t, h.machine.Record, qt.DeepEquals, others)
}

// Of two candidates the one with the lower ballot yields, and releases the leases that
// witnesses granted it.
func TestCandidateYieldsToAHigherBallot(t *testing.T) {
	higher, lower := protocol.Ballot{Round: 1 << 40, Name: "c"}, protocol.Ballot{Round: 0, Name: "c"}
	cases := []struct {
		about    string
		accepts  bool
		highest  protocol.Ballot
		refusing []string
		yields   bool
	}{
		{"preparing, a majority promised a higher ballot", false, higher, []string{"b", "c"}, true},
		{"preparing, one witness promised a higher ballot", false, higher, []string{"b"}, false},
		{"preparing, a majority promised a lower ballot", false, lower, []string{"b", "c"}, false},
		{"accepting, a majority promised a higher ballot", true, higher, []string{"b", "c"}, true},
		{"accepting, one witness promised a higher ballot", true, higher, []string{"b"}, false},
		{"accepting, a majority promised a lower ballot", true, lower, []string{"b", "c"}, false},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := candidate(t)
			for _, name := range []string{"b", "c"} {
				h.env.Nodes.Observe(h.env.NowMs, controller(name))
			}
			if test.accepts {
				h.promiseBy(activeRecord("a", "b"), "b", "c")
				qt.Assert(t, h.machine.Role, qt.Equals, Accepting)
			}
			for _, name := range test.refusing {
				h.handle(func(m *Machine) {
					if test.accepts {
						m.HandleAcceptReply(h.env, controller(name), protocol.AcceptReply{Ballot: m.Ballot, Highest: test.highest})
					} else {
						m.HandlePrepareReply(h.env, controller(name), protocol.PrepareReply{Ballot: m.Ballot, Highest: test.highest})
					}
				})
			}
			qt.Assert(t, h.machine.Role == Follower, qt.Equals, test.yields)
			qt.Assert(t, len(receiversOf[protocol.ReleaseLease](h)) > 0, qt.Equals, test.yields && test.accepts)
		})
	}
}

func TestAttemptEndsInTime(t *testing.T) {
	h := candidate(t)
	beganMs := h.env.NowMs
	h.tickAt(beganMs + testTiming.RetryMs)
	qt.Assert(t, receiversOf[protocol.Prepare](h), qt.DeepEquals, []string{"a", "b", "c"}, qt.Commentf("unanswered requests are repeated"))
	h.tickAt(beganMs + testTiming.BallotMs - 1)
	qt.Assert(t, h.machine.Role, qt.Equals, Preparing)
	h.tickAt(beganMs + testTiming.BallotMs)
	qt.Assert(t, h.machine.Role, qt.Equals, Follower)
}

func TestPrimacyEnds(t *testing.T) {
	cases := []struct {
		about    string
		end      func(h *harness, m *Machine)
		released []string
		notified []string
	}{
		{"the lease expired", func(h *harness, m *Machine) {
			h.env.NowMs = m.LeaseUntilMs
			m.CheckLease(h.env)
		}, nil, nil},
		{"it steps down", func(h *harness, m *Machine) { m.StepDown(h.env, "test", "b") }, []string{"a", "b", "c"}, []string{"b"}},
		{"it steps down without a successor", func(h *harness, m *Machine) { m.StepDown(h.env, "test", "") }, []string{"a", "b", "c"}, nil},
		{"another is primary of a higher epoch", func(h *harness, m *Machine) {
			next := activeRecord("b", "c")
			next.Epoch = m.Record.Epoch + 1
			qt.Check(h.t, m.AcceptPrimary(h.env, controller("b"), next, protocol.Ballot{}), qt.IsTrue)
		}, nil, nil},
		{"another disk has its name", func(h *harness, m *Machine) {
			next := m.Record
			next.Epoch++
			next.Gone = disks("a")
			m.HandleRetire(h.env, protocol.Retire{Record: next})
		}, nil, nil},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := elected(t)
			h.handle(func(m *Machine) { test.end(h, m) })
			qt.Assert(t, h.machine.IsPrimary(), qt.IsFalse)
			qt.Assert(t, outputsOf[LostPrimacy](h), qt.HasLen, 1)
			qt.Assert(t, receiversOf[protocol.ReleaseLease](h), qt.DeepEquals, test.released)
			qt.Assert(t, receiversOf[protocol.TransferPrimary](h), qt.DeepEquals, test.notified)
			h.handle(func(m *Machine) { m.CheckLease(h.env) })
			qt.Assert(t, h.outputs, qt.HasLen, 0)
		})
	}
}

// A primary renews its lease and keeps it while a majority grants the renewals.
func TestLeaseIsRenewed(t *testing.T) {
	h := elected(t)
	untilMs := h.machine.LeaseUntilMs
	h.tickAt(h.env.NowMs + testTiming.RenewMs)
	qt.Assert(t, receiversOf[protocol.RenewLease](h), qt.DeepEquals, []string{"a", "b", "c"})
	grant := func(name string) {
		h.handle(func(m *Machine) {
			m.HandleAcceptReply(h.env, controller(name), protocol.AcceptReply{Ballot: m.Ballot, Epoch: m.Record.Epoch, Granted: true, EchoMs: h.env.NowMs})
		})
	}
	grant("b")
	qt.Assert(t, h.machine.LeaseUntilMs, qt.Equals, untilMs)
	grant("c")
	qt.Assert(t, h.machine.LeaseUntilMs, qt.Equals, untilMs+testTiming.RenewMs)
}

// A change of the members is active once a majority of the witnesses has accepted it.
func TestProposeAtThePrimary(t *testing.T) {
	h := elected(t)
	next := h.machine.Record
	next.Epoch++
	next.Replicas = disks("a", "c")
	h.handle(func(m *Machine) { m.Propose(h.env, next) })
	h.acceptBy("b")
	qt.Assert(t, outputsOf[RecordChanged](h), qt.HasLen, 0)
	h.acceptBy("c")
	qt.Assert(t, outputsOf[RecordChanged](h), qt.HasLen, 1)
	qt.Assert(t, h.machine.Record, qt.DeepEquals, next)
	qt.Assert(t, h.machine.IsPrimary(), qt.IsTrue)
}

func TestAcceptPrimary(t *testing.T) {
	older, newer, ofC := activeRecord("a", "b"), activeRecord("a", "b"), activeRecord("a", "c")
	older.Epoch, newer.Epoch, ofC.Epoch, ofC.Primary = 3, 5, 5, "c"
	cases := []struct {
		about    string
		record   protocol.EpochRecord
		accepted bool
		epoch    uint64
	}{
		{"the active record", activeRecord("a", "b"), true, 4},
		{"a newer record", newer, true, 5},
		{"an older record", older, false, 4},
		{"a record that names another primary", ofC, false, 4},
		{"no record", protocol.EpochRecord{}, false, 4},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t, Config{}, Saved{Record: activeRecord("a", "b")})
			h.handle(func(m *Machine) {
				qt.Check(t, m.AcceptPrimary(h.env, controller("b"), test.record, protocol.Ballot{}), qt.Equals, test.accepted)
			})
			qt.Assert(t, h.machine.Record.Epoch, qt.Equals, test.epoch)
		})
	}
}

// The seeds attempt to bootstrap the site at its first start, one after the other. All
// seeds are asked, or a majority after a wait.
func TestBootstrapBySeeds(t *testing.T) {
	cases := []struct {
		about   string
		config  Config
		seeds   []string
		afterMs int64
		asked   []string
	}{
		{"the first seed, at once", Config{BootstrapBySeeds: true, FirstStart: true}, []string{"a:1", "b:1", "c:1"}, 0, []string{"a", "b", "c"}},
		{"the second seed waits for its turn", Config{BootstrapBySeeds: true, FirstStart: true}, []string{"B:1", "a:1", "b:1"}, seedTurnMs - 1, nil},
		{"a daemon that is not a seed", Config{BootstrapBySeeds: true, FirstStart: true}, []string{"b:1", "c:1"}, 0, nil},
		{"a seed is still unknown", Config{BootstrapBySeeds: true, FirstStart: true}, []string{"a:1", "b:1", "x:1"}, allSeedsWaitMs - 1, nil},
		{"a majority suffices after the wait", Config{BootstrapBySeeds: true, FirstStart: true}, []string{"a:1", "b:1", "x:1"}, allSeedsWaitMs, []string{"a", "b"}},
		{"a minority does not suffice", Config{BootstrapBySeeds: true, FirstStart: true}, []string{"a:1", "x:1", "y:1"}, allSeedsWaitMs, nil},
		{"a later start", Config{BootstrapBySeeds: true}, []string{"a:1", "b:1", "c:1"}, 0, nil},
		{"a site that an operator bootstraps", Config{FirstStart: true}, []string{"a:1", "b:1", "c:1"}, 0, nil},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t, test.config, Saved{})
			h.env.NowMs, h.env.Seeds = startMs+test.afterMs, test.seeds
			for _, name := range []string{"b", "c"} {
				h.env.Nodes.Observe(h.env.NowMs, controller(name))
			}
			h.handle(func(m *Machine) { m.TickBootstrap(h.env) })
			qt.Assert(t, receiversOf[protocol.Prepare](h), qt.DeepEquals, test.asked)
			wantMark := test.config.BootstrapBySeeds && test.config.FirstStart
			qt.Assert(t, len(outputsOf[InitialDiskMarked](h)) == 1, qt.Equals, wantMark)
		})
	}
}

// All witnesses of a first record must agree to it, not just a majority.
func TestBootstrapNeedsAllWitnesses(t *testing.T) {
	h := newHarness(t, Config{BootstrapBySeeds: true, FirstStart: true}, Saved{})
	h.handle(func(m *Machine) { m.TickBootstrap(h.env) })
	h.promiseBy(protocol.EpochRecord{}, "a", "b")
	qt.Assert(t, h.machine.Role, qt.Equals, Preparing)
	h.promiseBy(protocol.EpochRecord{}, "c")
	qt.Assert(t, h.machine.Role, qt.Equals, Accepting)
	h.acceptBy("a", "b")
	qt.Assert(t, outputsOf[BecamePrimary](h), qt.DeepEquals, []BecamePrimary{{}})
	qt.Assert(t, h.machine.Record.Epoch, qt.Equals, uint64(firstEpoch))
	qt.Assert(t, h.machine.Record.Replicas, qt.DeepEquals, disks("a", "b"))
}

// Guards against a site that is bootstrapped twice: a seed that repeats its bootstrap went on with
// another seed's record although its own had been accepted under a higher ballot, and so may have
// been chosen. Of two first records the one of the higher ballot is proposed, whichever is learned
// of first.
func TestRepeatedBootstrapProposesTheRecordOfTheHigherBallot(t *testing.T) {
	own := protocol.EpochRecord{Epoch: firstEpoch, Primary: "a", Replicas: disks("a", "b"), Witnesses: disks("a", "b", "c"), Before: disks("a", "b", "c")}
	other := own
	other.Primary, other.Replicas = "c", disks("c", "a")
	for _, test := range []struct {
		about            string
		ownRound, others uint64
		primary          string
	}{
		{"its own record is newer", 5, 3, "a"},
		{"the other record is newer", 3, 5, "c"},
	} {
		replies := []protocol.PrepareReply{
			{Granted: true, Record: own, Kept: protocol.Ballot{Round: test.ownRound, Name: "a"}},
			{Granted: true, Record: other, Kept: protocol.Ballot{Round: test.others, Name: "c"}},
		}
		for _, order := range [][]int{{0, 1}, {1, 0}} {
			t.Run(fmt.Sprint(test.about, order), func(t *testing.T) {
				h := newHarness(t, Config{BootstrapBySeeds: true, FirstStart: true}, Saved{})
				h.handle(func(m *Machine) { m.TickBootstrap(h.env) })
				for i, from := range []string{"b", "c"} {
					reply := replies[order[i]]
					reply.Ballot = h.machine.Ballot
					h.handle(func(m *Machine) { m.HandlePrepareReply(h.env, controller(from), reply) })
				}
				h.promiseBy(protocol.EpochRecord{}, "a")
				qt.Assert(t, h.machine.Proposal, qt.IsNotNil)
				qt.Assert(t, h.machine.Proposal.Primary, qt.Equals, test.primary)
			})
		}
	}
}

func TestRejectedBootstraps(t *testing.T) {
	cases := []struct {
		about     string
		saved     Saved
		position  protocol.Position
		bootstrap Bootstrap
		kind      errkind.Kind
	}{
		{"of a site that has a record", Saved{Record: activeRecord("a", "b")}, protocol.Position{}, Bootstrap{}, errkind.AlreadyBootstrapped},
		{"on a disk with changes", Saved{}, protocol.Position{Epoch: 1, Number: 1}, Bootstrap{}, errkind.AlreadyBootstrapped},
		{"with an unknown witness", Saved{}, protocol.Position{}, Bootstrap{Witnesses: []string{"a", "b", "x"}}, errkind.BadRequest},
		{"with too few witnesses", Saved{}, protocol.Position{}, Bootstrap{Witnesses: []string{"a", "b"}}, errkind.BadRequest},
		{"with a witness twice", Saved{}, protocol.Position{}, Bootstrap{Witnesses: []string{"a", "b", "b"}}, errkind.BadRequest},
		{"with itself as the backup", Saved{}, protocol.Position{}, Bootstrap{Witnesses: []string{"a", "b", "c"}, Backup: "a"}, errkind.BadRequest},
		{"a recovery without any state", Saved{}, protocol.Position{}, Bootstrap{Recover: true}, errkind.NotBootstrapped},
		{"a recovery by a replica", Saved{Record: activeRecord("a", "b")}, protocol.Position{Epoch: 4, Number: 9}, Bootstrap{Recover: true}, errkind.NotAccepted},
		{"a recovery while a replica is alive", Saved{Record: activeRecord("b", "x")}, protocol.Position{Epoch: 4, Number: 9}, Bootstrap{Recover: true}, errkind.NotAccepted},
		{"a recovery from another change", Saved{Record: activeRecord("x", "y")}, protocol.Position{Epoch: 4, Number: 9}, Bootstrap{Recover: true, Change: 8}, errkind.StaleBase},
	}
	for _, test := range cases {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t, Config{}, test.saved)
			h.env.Position = test.position
			test.bootstrap.ID = 7
			h.handle(func(m *Machine) { m.HandleBootstrap(h.env, test.bootstrap) })
			failed := outputsOf[BootstrapFailed](h)
			qt.Assert(t, failed, qt.HasLen, 1)
			qt.Assert(t, failed[0].ID, qt.Equals, uint64(7))
			qt.Assert(t, failed[0].Rejection.Kind, qt.Equals, test.kind)
		})
	}
}

// A recovery begins an epoch far above any that is known, and ends if a witness has a
// later state.
func TestRecovery(t *testing.T) {
	begin := func() *harness {
		h := newHarness(t, Config{}, Saved{Record: activeRecord("x", "y")})
		h.env.Position = protocol.Position{Epoch: 4, Number: 9}
		h.handle(func(m *Machine) {
			m.HandleBootstrap(h.env, Bootstrap{ID: 7, Witnesses: []string{"a", "b", "c"}, Backup: "b", Recover: true, Change: 9})
		})
		qt.Assert(t, receiversOf[protocol.Prepare](h), qt.DeepEquals, []string{"a", "b", "c"})
		return h
	}
	h := begin()
	h.promiseBy(activeRecord("x", "y"), "a", "b", "c")
	h.acceptBy("a", "b")
	qt.Assert(t, outputsOf[BecamePrimary](h), qt.DeepEquals, []BecamePrimary{{Recovered: true}})
	qt.Assert(t, h.machine.Record.Epoch, qt.Equals, uint64(4+recoveryEpochStep))
	qt.Assert(t, h.machine.Record.Gone, qt.DeepEquals, disks("x", "y"))
	h = begin()
	h.handle(func(m *Machine) {
		later := protocol.Position{Epoch: 4, Number: 10}
		m.HandlePrepareReply(h.env, controller("b"), protocol.PrepareReply{Ballot: m.Ballot, Granted: true, At: later})
	})
	qt.Assert(t, outputsOf[BootstrapFailed](h), qt.HasLen, 1)
	qt.Assert(t, h.machine.Role, qt.Equals, Follower)
}

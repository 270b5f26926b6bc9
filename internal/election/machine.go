package election

import (
	"fmt"
	"slices"

	"myrtlewinch/internal/election/witness"
	"myrtlewinch/internal/failuredetector"
	"myrtlewinch/internal/protocol"
)

// Role is a daemon's part in the election.
type Role int

const (
	// Follower waits for the primary to fall silent.
	Follower Role = iota
	// PreVote asks the other controllers whether they miss the primary, too.
	PreVote
	// Preparing asks the witnesses to promise a ballot.
	Preparing
	// Accepting asks the witnesses to store a record.
	Accepting
	// Primary holds the lease, or held it until a moment ago.
	Primary
)

// String is the role as status pages show it.
func (r Role) String() string {
	return [...]string{"follower", "asking", "promising", "keeping", "primary"}[r]
}

// Timing holds the waits of an election, in ms.
type Timing struct {
	// LeaseMs is how long a lease lasts from when its renewal was sent.
	LeaseMs int64
	// RenewMs passes between two renewals.
	RenewMs int64
	// TimeoutMs is how long the primary may be silent before a pre-vote.
	TimeoutMs int64
	// PreVoteMs is how long the others have to answer a pre-vote.
	PreVoteMs int64
	// BallotMs bounds each half of a ballot.
	BallotMs int64
	// RetryMs passes until an unanswered request to a witness is repeated.
	RetryMs int64
	// OrderGapMs passes between the last possible order of one primary and the
	// first of the next.
	OrderGapMs int64
	// QuietAfterRecoveryMs is how long a primary that began by an operator's
	// recovery doesn't speak for the site, so that leases of the lost primary run
	// out first.
	QuietAfterRecoveryMs int64
}

// Config is set once, when the daemon starts.
type Config struct {
	Self    protocol.Node
	StartMs int64
	Timing  Timing
	// MaxLosses is how many disks may be lost at once.
	MaxLosses int
	// BootstrapBySeeds lets the seeds bootstrap the site among them; otherwise it
	// takes an operator's Bootstrap.
	BootstrapBySeeds bool
	// FirstStart says that this is the first start of the whole site.
	FirstStart bool
	// StopWithoutHandover keeps a daemon that is stopping as planned from becoming
	// primary.
	StopWithoutHandover bool
}

// Environment is what the rest of the daemon knows when an input is handled.
type Environment struct {
	NowMs    int64
	Nodes    *failuredetector.Detector
	Acceptor *witness.Acceptor
	// Seeds are the addresses of the site's seeds.
	Seeds []string
	// Position and Revision are those of this daemon's copy of the state.
	Position protocol.Position
	Revision uint64
	// DiskFailed says that this disk takes no more writes; Leaving that the daemon
	// is stopping as planned.
	DiskFailed, Leaving bool
}

// attempt is what a ballot of this daemon has come to.
type attempt struct {
	// asked holds whom a promise was asked of, promised who gave it, and refused
	// who refused for the sake of a higher ballot.
	asked, promised, refused map[protocol.MemberID]bool
	// highest is the newest record that any witness showed, stored under
	// highestBallot; it may be half-recorded.
	highest       protocol.EpochRecord
	highestBallot protocol.Ballot
	// accepted holds who stored the proposal; completes says that the proposal is
	// another's record, to be completed.
	accepted  map[protocol.MemberID]bool
	completes bool
}

// Machine is one daemon's part in elections. Its exported fields may be read at
// any time; only tests set them.
type Machine struct {
	config  Config
	outputs []Output
	// Record is the record in force, as far as this daemon knows. It is complete:
	// a majority of the witnesses stored it. RecordBallot is the ballot under which
	// they did, where that is known. At epoch 0 it only names witnesses to be asked.
	Record       protocol.EpochRecord
	RecordBallot protocol.Ballot
	Role         Role
	// HeardMs is when the primary was last known to be alive.
	HeardMs int64
	// roleSinceMs is when the present half of an attempt began; retryFromMs is
	// until when no attempt may begin.
	roleSinceMs, retryFromMs int64
	// requestedMs is when the witnesses were last asked, queriedMs when the other
	// controllers were asked for a newer record, renewedMs when the lease was.
	requestedMs, queriedMs, renewedMs int64
	// opposed says that another controller hears the primary.
	opposed bool
	// Ballot is that of the last attempt; round is the highest known to any.
	Ballot protocol.Ballot
	round  uint64
	// attempt is what the present ballot has come to.
	attempt attempt
	// Proposal is the record being stored under Ballot.
	Proposal *protocol.EpochRecord
	// grants holds when the last renewal that each witness granted had been sent.
	grants map[protocol.MemberID]int64
	// LeaseUntilMs is when the lease runs out, OrdersFromMs from when this primary
	// may give orders.
	LeaseUntilMs, OrdersFromMs int64
	// Established says that all replicas hold the first change of this primacy;
	// quietUntilMs is until when it says nothing nevertheless.
	Established  bool
	quietUntilMs int64
	// bootstrap is what this daemon is to begin or recover the site by, first the
	// record that it would make. completesFirst says that first is another's
	// attempt, which this one completes.
	bootstrap      *Bootstrap
	first          protocol.EpochRecord
	completesFirst bool
	// firstDisk says that this disk was there at the first start of the site, and
	// notFirstDisks names the disks that said that they were not.
	firstDisk     bool
	notFirstDisks map[string]bool
}

// Saved is what a daemon's disk holds of earlier elections.
type Saved struct {
	Record protocol.EpochRecord
	Ballot protocol.Ballot
	// FirstDisk says that the disk was there at the first start of the site.
	FirstDisk bool
}

// New returns the machine of a daemon that starts.
func New(config Config, saved Saved) Machine {
	return Machine{
		config: config, Record: saved.Record, RecordBallot: saved.Ballot, HeardMs: config.StartMs,
		firstDisk: saved.FirstDisk, notFirstDisks: map[string]bool{},
	}
}

// TakeOutputs returns what is to be done, in order, and forgets it.
func (m *Machine) TakeOutputs() []Output {
	outputs := m.outputs
	m.outputs = nil
	return outputs
}

func (m *Machine) self() protocol.MemberID { return memberID(m.config.Self) }

func memberID(node protocol.Node) protocol.MemberID {
	return protocol.MemberID{Name: node.Name, Incarnation: node.Incarnation}
}

// IsPrimary says whether this daemon is the primary by its record.
func (m *Machine) IsPrimary() bool { return m.Role == Primary }

// HasLease says whether the lease runs.
func (m *Machine) HasLease(nowMs int64) bool { return nowMs < m.LeaseUntilMs }

// Serves says whether this daemon may speak for the site: it is the primary, its
// lease runs, and all replicas hold what it has.
func (m *Machine) Serves(nowMs int64) bool {
	return m.IsPrimary() && m.HasLease(nowMs) && m.Established && nowMs >= m.quietUntilMs
}

// mayLead says whether this disk may become primary under the record.
func (m *Machine) mayLead(env *Environment, record protocol.EpochRecord) bool {
	stops := env.Leaving && m.config.StopWithoutHandover
	return !env.DiskFailed && !stops && record.HasReplica(m.self())
}

// mayStand says whether this daemon may be a candidate. It also goes by what only
// its own witness knows: a new replica may not know yet that its record is
// complete.
func (m *Machine) mayStand(env *Environment) bool {
	own := env.Acceptor.Record
	return m.mayLead(env, m.Record) || own.Epoch > m.Record.Epoch && m.mayLead(env, own)
}

// Tick does what is due.
func (m *Machine) Tick(env *Environment) {
	switch m.Role {
	case Follower:
		m.tickFollower(env)
	case PreVote:
		m.tickPreVote(env)
	case Preparing, Accepting:
		m.repeatRequests(env)
		if env.NowMs-m.roleSinceMs >= m.config.Timing.BallotMs {
			m.retreat(env, backoffMs(m.config.Self.Name))
		}
	case Primary:
		m.tickPrimary(env)
	}
}

// backoffMs is how long a candidate waits after an attempt that failed, which
// differs by name, so that two candidates don't stay in step.
func backoffMs(name string) int64 {
	const leastMs, spreadMs = 200, 300
	last := int(name[len(name)-1])
	return leastMs + int64(len(name)*37+last*13)%spreadMs
}

// leavingDelayMs is how much longer than others a daemon that is stopping as
// planned waits before it takes over from a primary that is gone.
const leavingDelayMs = 500

func (m *Machine) tickFollower(env *Environment) {
	if !m.mayStand(env) {
		m.queryRecord(env)
		return
	}
	if env.NowMs < m.retryFromMs {
		return
	}
	// After a restart the recorded primary need not miss itself.
	if m.Record.Primary == m.config.Self.Name {
		m.prepare(env, false)
		return
	}
	timeoutMs := m.config.Timing.TimeoutMs
	if env.Leaving {
		timeoutMs += leavingDelayMs
	}
	if env.NowMs-m.HeardMs > timeoutMs {
		m.beginPreVote(env)
	}
}

func (m *Machine) tickPrimary(env *Environment) {
	if env.NowMs-m.renewedMs < m.config.Timing.RenewMs {
		return
	}
	m.renewedMs = env.NowMs
	for _, voter := range m.Record.Voters() {
		m.sendTo(env, voter.Name, protocol.RenewLease{Ballot: m.Ballot, Record: m.Record, EchoMs: env.NowMs})
	}
	if m.Proposal != nil {
		m.sendAccepts(env)
	}
}

// queryRecord asks the other controllers for a newer record while the primary is
// missing: this daemon may be a replica by it.
func (m *Machine) queryRecord(env *Environment) {
	timing := m.config.Timing
	missing := env.NowMs-m.HeardMs > timing.TimeoutMs
	if m.Record.Epoch == 0 || !missing || env.NowMs-m.queriedMs < timing.PreVoteMs {
		return
	}
	m.queriedMs = env.NowMs
	for _, node := range env.Nodes.NodesOf(protocol.RoleController) {
		m.send(node, protocol.PrimaryQuery{Epoch: m.Record.Epoch})
	}
}

// CheckLease ends the primacy once its lease has run out.
func (m *Machine) CheckLease(env *Environment) {
	if m.IsPrimary() && !m.HasLease(env.NowMs) {
		m.losePrimacy(env, "the lease ran out")
	}
}

// AdoptRecord takes a complete record as the one in force, unless an own one is
// newer. The ballot is zero where it is not known.
func (m *Machine) AdoptRecord(env *Environment, record protocol.EpochRecord, ballot protocol.Ballot) {
	if record.Epoch < m.Record.Epoch {
		return
	}
	if record.Epoch > m.Record.Epoch {
		m.logf("epoch %d: primary %s", record.Epoch, record.Primary)
	}
	if slices.Contains(record.Gone, m.self()) {
		m.retire(env)
		return
	}
	changed := record.Epoch != m.Record.Epoch || m.RecordBallot.Less(ballot)
	m.Record = record
	if m.RecordBallot.Less(ballot) {
		m.RecordBallot = ballot
	}
	if changed {
		m.output(RecordAdopted{Record: m.Record, Ballot: m.RecordBallot})
	}
}

// LearnRecord takes a record that another controller holds as complete, unless
// this daemon is the primary.
func (m *Machine) LearnRecord(env *Environment, record protocol.EpochRecord) bool {
	if len(record.Replicas) == 0 || record.Epoch <= m.Record.Epoch || m.IsPrimary() {
		return false
	}
	m.AdoptRecord(env, record, protocol.Ballot{})
	return true
}

// AcceptPrimary takes the record of a message of a primary. False says that the
// sender is not the primary by it, or that it is older than what is known.
func (m *Machine) AcceptPrimary(env *Environment, from protocol.Node, record protocol.EpochRecord, ballot protocol.Ballot) bool {
	if record.Epoch < m.Record.Epoch || record.Primary != from.Name || record.Epoch == 0 {
		return false
	}
	if record.Epoch > m.Record.Epoch && m.IsPrimary() {
		m.losePrimacy(env, "a higher epoch serves")
	}
	m.AdoptRecord(env, record, ballot)
	return true
}

// PrimaryAlive notes that the primary is alive. A candidate that has asked nobody
// but its peers gives up.
func (m *Machine) PrimaryAlive(env *Environment) {
	m.HeardMs = env.NowMs
	if m.Role == PreVote {
		m.retreat(env, 0)
	}
}

// HandleRetire heeds a message that this daemon's name has passed to another disk,
// if its record says so and is not older than what is known.
func (m *Machine) HandleRetire(env *Environment, message protocol.Retire) {
	if message.Record.Epoch >= m.Record.Epoch && slices.Contains(message.Record.Gone, m.self()) {
		m.retire(env)
	}
}

// retire ends this daemon's part for good.
func (m *Machine) retire(env *Environment) {
	m.output(Retired{})
	if m.IsPrimary() {
		m.losePrimacy(env, "this disk was replaced")
	}
}

func (m *Machine) output(output Output) { m.outputs = append(m.outputs, output) }

func (m *Machine) logf(format string, args ...any) { m.output(LogLine(fmt.Sprintf(format, args...))) }

func (m *Machine) send(to protocol.Node, body protocol.Message) { m.output(Send{To: to, Body: body}) }

// sendTo sends to a daemon by name, if it is known.
func (m *Machine) sendTo(env *Environment, name string, body protocol.Message) {
	if node, ok := env.Nodes.Node(name); ok {
		m.send(node, body)
	}
}

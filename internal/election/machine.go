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
	// Follower waits until it has lost contact with the primary.
	Follower Role = iota
	// PreVote asks the other controllers whether they have lost contact with
	// the primary as well.
	PreVote
	// Preparing asks the witnesses to promise a ballot.
	Preparing
	// Accepting asks the witnesses to accept a record.
	Accepting
	// Primary holds the lease. If the lease expires, the role lasts until CheckLease
	// is called with the next input.
	Primary
)

// String returns the role as status pages show it: "asking" is PreVote, "promising" is
// Preparing, and "keeping" is Accepting.
func (r Role) String() string {
	return [...]string{"follower", "asking", "promising", "keeping", "primary"}[r]
}

// Timing holds the timeouts, intervals and delays of an election, in ms.
type Timing struct {
	// LeaseMs is how long a lease lasts from when its renewal was sent.
	LeaseMs int64
	// RenewMs is the interval between two renewals.
	RenewMs int64
	// TimeoutMs is how long the primary may be unresponsive before a pre-vote.
	TimeoutMs int64
	// PreVoteMs is how long the other daemons have to reply to a pre-vote.
	PreVoteMs int64
	// BallotMs bounds each of the two phases of a ballot, Preparing and
	// Accepting.
	BallotMs int64
	// RetryMs is how long a request to a witness waits for a reply before it is sent
	// again.
	RetryMs int64
	// OrderDelayMs is how long after its election a new primary sends no orders
	// to runners, so that the last possible order of the previous primary
	// arrives first.
	OrderDelayMs int64
	// ServeDelayAfterRecoveryMs is how long a primary that an operator's recovery created
	// waits before it serves, so that leases of the lost primary expire first.
	ServeDelayAfterRecoveryMs int64
}

// Config is set once, when the daemon starts.
type Config struct {
	Self    protocol.Node
	StartMs int64
	Timing  Timing
	// MaxLosses is how many disks may be lost at once.
	MaxLosses int
	// BootstrapBySeeds lets the seeds bootstrap the site without an operator;
	// otherwise an operator's Bootstrap input is needed.
	BootstrapBySeeds bool
	// FirstStart is true if this is the first start of the whole site.
	FirstStart bool
	// StopWithoutHandover keeps a daemon that is shutting down as planned from becoming
	// primary.
	StopWithoutHandover bool
}

// Environment is the state of the rest of the daemon at the time of an input.
// The caller fills it in anew for each input.
type Environment struct {
	NowMs    int64
	Nodes    *failuredetector.Detector
	Acceptor *witness.Acceptor
	// Seeds are the addresses of the site's seeds.
	Seeds []string
	// Position and Revision are the position and the revision of this daemon's replica of
	// the state.
	Position protocol.Position
	Revision uint64
	// DiskFailed is true if this disk accepts no more writes. Leaving is true if the daemon
	// is shutting down as planned.
	DiskFailed, Leaving bool
}

// attempt is the state of one ballot of this daemon as a candidate.
type attempt struct {
	// prepareSentTo are the witnesses that were sent a Prepare. promisedBy are the witnesses
	// that granted it. refusedBy are the witnesses that refused a request because of a
	// higher ballot.
	prepareSentTo, promisedBy, refusedBy map[protocol.MemberID]bool
	// newestRecord is the newest record that this daemon knows or a witness returned,
	// accepted under newestRecordBallot. Less than a majority may have accepted it. The
	// Prepare is sent to its voters. In a bootstrap or recovery it begins as
	// bootstrapRecord.
	newestRecord       protocol.EpochRecord
	newestRecordBallot protocol.Ballot
	// acceptedBy are the witnesses that accepted the proposal. reproposes is true if the
	// proposal is a record of another candidate. Some witnesses may have accepted that
	// record already, so it has to be chosen before any other record.
	acceptedBy map[protocol.MemberID]bool
	reproposes bool
}

// Machine is the state of one daemon in elections. The owner may read the
// exported fields between two inputs; only tests set them.
type Machine struct {
	config  Config
	outputs []Output
	// Record is the active record, as far as this daemon knows. A majority of the
	// witnesses accepted it. RecordBallot is the ballot under which they did, zero if
	// unknown. At epoch 0 the record only lists witnesses to ask.
	Record       protocol.EpochRecord
	RecordBallot protocol.Ballot
	Role         Role
	// PrimaryAliveMs is when a message of the primary last showed that it was alive.
	PrimaryAliveMs int64
	// roleSinceMs is when the current phase of an attempt began. retryFromMs is the earliest
	// time for the next attempt.
	roleSinceMs, retryFromMs int64
	// requestedMs is when the ballot began or its requests were last repeated,
	// recordQueriedMs when the other controllers were last asked for a newer record, and
	// renewedMs when renewals of the lease were last sent.
	requestedMs, recordQueriedMs, renewedMs int64
	// primaryAliveAtPeer is true if another daemon replied to the pre-vote that it is in
	// contact with the primary.
	primaryAliveAtPeer bool
	// Ballot is the ballot of the last attempt. highestRound is the highest round that this
	// daemon has seen, in its own ballots or in those of other daemons.
	Ballot       protocol.Ballot
	highestRound uint64
	// attempt is the state of the current ballot.
	attempt attempt
	// Proposal is the record that the witnesses are asked to accept under
	// Ballot; nil if there is none.
	Proposal *protocol.EpochRecord
	// grants holds, for each witness, the time when the last Accept or RenewLease that the
	// witness granted was sent.
	grants map[protocol.MemberID]int64
	// LeaseUntilMs is when the lease expires unless it is renewed. OrdersFromMs is
	// when this primary may send its first order; see Timing.OrderDelayMs.
	LeaseUntilMs, OrdersFromMs int64
	// Established is true once all replicas hold this primary's first change. Even
	// then it doesn't serve before serveFromMs; see Timing.ServeDelayAfterRecoveryMs.
	Established bool
	serveFromMs int64
	// bootstrap is the bootstrap or recovery in progress, or nil. bootstrapRecord is the
	// record that it proposes. adoptedBootstrap is true if that record comes from another
	// daemon's interrupted bootstrap, which this one finishes.
	bootstrap        *Bootstrap
	bootstrapRecord  protocol.EpochRecord
	adoptedBootstrap bool
	// initialDisk is true if this disk took part in the first start of the site.
	// notInitialDisks are the incarnations of the disks that replied that they did not.
	initialDisk     bool
	notInitialDisks map[string]bool
}

// Saved is what a daemon's disk holds of earlier elections.
type Saved struct {
	Record protocol.EpochRecord
	Ballot protocol.Ballot
	// InitialDisk is true if the disk took part in the first start of the site.
	InitialDisk bool
}

// New returns the machine of a daemon that is starting.
func New(config Config, saved Saved) Machine {
	return Machine{
		config: config, Record: saved.Record, RecordBallot: saved.Ballot, PrimaryAliveMs: config.StartMs,
		initialDisk: saved.InitialDisk, notInitialDisks: map[string]bool{},
	}
}

// TakeOutputs returns the outputs since the last call, in order. Call it after each
// input.
func (m *Machine) TakeOutputs() []Output {
	outputs := m.outputs
	m.outputs = nil
	return outputs
}

func (m *Machine) self() protocol.MemberID { return memberID(m.config.Self) }

func memberID(node protocol.Node) protocol.MemberID {
	return protocol.MemberID{Name: node.Name, Incarnation: node.Incarnation}
}

// IsPrimary reports whether this daemon became the primary under the active record and has
// not lost the primacy since. It may not serve yet.
func (m *Machine) IsPrimary() bool { return m.Role == Primary }

// HasLease reports whether the lease has not expired.
func (m *Machine) HasLease(nowMs int64) bool { return nowMs < m.LeaseUntilMs }

// Serves reports whether this daemon may answer on behalf of the site: it is the
// primary, its lease has not expired, all replicas hold its first change, and the delay
// after a recovery has passed.
func (m *Machine) Serves(nowMs int64) bool {
	return m.IsPrimary() && m.HasLease(nowMs) && m.Established && nowMs >= m.serveFromMs
}

// mayBecomePrimary reports whether this daemon may become primary under the record: its
// disk is one of the replicas and works, and it isn't stopping without a handover.
func (m *Machine) mayBecomePrimary(env *Environment, record protocol.EpochRecord) bool {
	isStopping := env.Leaving && m.config.StopWithoutHandover
	return !env.DiskFailed && !isStopping && record.HasReplica(m.self())
}

// mayBeCandidate reports whether this daemon may be a candidate under the active record or
// under the record that its own witness accepted. A new replica may not have learned yet
// that the accepted record was chosen.
func (m *Machine) mayBeCandidate(env *Environment) bool {
	own := env.Acceptor.Record
	return m.mayBecomePrimary(env, m.Record) || own.Epoch > m.Record.Epoch && m.mayBecomePrimary(env, own)
}

// Tick does what is due at the current time: it begins, repeats or ends an attempt, asks
// for a newer record, or renews the lease.
func (m *Machine) Tick(env *Environment) {
	switch m.Role {
	case Follower:
		m.tickFollower(env)
	case PreVote:
		m.tickPreVote(env)
	case Preparing, Accepting:
		m.repeatRequests(env)
		if env.NowMs-m.roleSinceMs >= m.config.Timing.BallotMs {
			m.endAttempt(env, backoffMs(m.config.Self.Name))
		}
	case Primary:
		m.tickPrimary(env)
	}
}

// backoffMs returns how long a candidate waits after a failed attempt. It depends on the
// name, so that two candidates don't collide repeatedly.
func backoffMs(name string) int64 {
	const leastMs, spreadMs = 200, 300
	last := int(name[len(name)-1])
	return leastMs + int64(len(name)*37+last*13)%spreadMs
}

// leavingTimeoutExtraMs is added to the election timeout of a daemon that is shutting down
// as planned, so that another replica becomes primary first.
const leavingTimeoutExtraMs = 500

func (m *Machine) tickFollower(env *Environment) {
	if !m.mayBeCandidate(env) {
		m.queryRecord(env)
		return
	}
	if env.NowMs < m.retryFromMs {
		return
	}
	// The primary of the active record itself, restarted or with an expired lease,
	// needs neither the timeout nor a pre-vote.
	if m.Record.Primary == m.config.Self.Name {
		m.prepare(env, false)
		return
	}
	timeoutMs := m.config.Timing.TimeoutMs
	if env.Leaving {
		timeoutMs += leavingTimeoutExtraMs
	}
	if env.NowMs-m.PrimaryAliveMs > timeoutMs {
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
// unresponsive. This daemon may be a replica in that record.
func (m *Machine) queryRecord(env *Environment) {
	timing := m.config.Timing
	unresponsive := env.NowMs-m.PrimaryAliveMs > timing.TimeoutMs
	if m.Record.Epoch == 0 || !unresponsive || env.NowMs-m.recordQueriedMs < timing.PreVoteMs {
		return
	}
	m.recordQueriedMs = env.NowMs
	for _, node := range env.Nodes.NodesOf(protocol.RoleController) {
		m.send(node, protocol.PrimaryQuery{Epoch: m.Record.Epoch})
	}
}

// CheckLease makes this daemon a follower if it is a primary whose lease has expired.
func (m *Machine) CheckLease(env *Environment) {
	if m.IsPrimary() && !m.HasLease(env.NowMs) {
		m.losePrimacy(env, "the lease expired")
	}
}

// AdoptRecord makes a chosen record the active one, unless the record known here is newer.
// The ballot is zero if it is not known.
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

// LearnRecord adopts a newer record that another controller knows to be chosen, unless
// this daemon is the primary. It reports whether it did. A record without replicas, such
// as a router sends, is ignored.
func (m *Machine) LearnRecord(env *Environment, record protocol.EpochRecord) bool {
	if len(record.Replicas) == 0 || record.Epoch <= m.Record.Epoch || m.IsPrimary() {
		return false
	}
	m.AdoptRecord(env, record, protocol.Ballot{})
	return true
}

// AcceptPrimary adopts the record that came with a message of a primary. It returns
// false, and the message must be ignored, if that record does not name the sender as
// the primary, or if the record is older than the one known here.
func (m *Machine) AcceptPrimary(env *Environment, from protocol.Node, record protocol.EpochRecord, ballot protocol.Ballot) bool {
	if record.Epoch < m.Record.Epoch || record.Primary != from.Name || record.Epoch == 0 {
		return false
	}
	if record.Epoch > m.Record.Epoch && m.IsPrimary() {
		m.losePrimacy(env, "another primary has a higher epoch")
	}
	m.AdoptRecord(env, record, ballot)
	return true
}

// NotePrimaryAlive notes that the primary is alive. A candidate that is still in its pre-vote
// becomes a follower again.
func (m *Machine) NotePrimaryAlive(env *Environment) {
	m.PrimaryAliveMs = env.NowMs
	if m.Role == PreVote {
		m.endAttempt(env, 0)
	}
}

// HandleRetire retires this daemon if the record of the message lists this disk as gone
// (another disk has its name) and is not older than the one known here.
func (m *Machine) HandleRetire(env *Environment, message protocol.Retire) {
	if message.Record.Epoch >= m.Record.Epoch && slices.Contains(message.Record.Gone, m.self()) {
		m.retire(env)
	}
}

// retire ends this daemon's participation for good, because another disk has its name.
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
